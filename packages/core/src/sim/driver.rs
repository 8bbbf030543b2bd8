//! The main loop of the simulation.

use super::*;

/// The time after the beginning of the calm in which the last faults end.
const SETTLING_TIME: Ms = 15_000;

impl World {
    /// Runs to a given time, or to the first violation; from `calm_from` on nothing is
    /// submitted, and faults end.
    pub(super) fn run(mut self, until: Ms, calm_from: Ms) -> World {
        while self.now < until && self.violations.is_empty() {
            self.now += STEP;
            self.deliver_due_messages();
            self.lower_limits(until);
            let is_calm = self.now >= calm_from;
            self.step_users(is_calm);
            if !is_calm && self.rng.u32(0..self.faults.steps_between_faults) == 0 {
                self.inject_fault();
            }
            self.step_submission_burst();
            self.cancel_completing_jobs();
            if self.now == calm_from {
                self.end_faults();
            }
            self.crash_due_controllers();
            self.time_out_direct_commands();
            self.update_snapshots();
            self.step_controllers();
            self.step_workers();
            if self.now.is_multiple_of(1000) {
                self.check_invariants();
                if self.now > calm_from + SETTLING_TIME {
                    self.check_starvation();
                }
            }
        }
        self
    }

    /// Lowers the limits of a transaction in the course of a run, without notice: after a
    /// third all controllers keep to the new ones, after a half the state service insists
    /// on them.
    fn lower_limits(&mut self, until: Ms) {
        if self.now == until / 3 {
            self.limits_lowered_at = self.now;
            self.limits.writes /= 2;
            self.limits.shard_bytes /= 4;
        }
        if self.now == until / 2 {
            self.max_value_bytes = self.limits.shard_bytes;
        }
    }

    /// Lets all faults end soon: what is left has to settle.
    fn end_faults(&mut self) {
        let end = self.now + SETTLING_TIME;
        self.faults.end_by(self.now, end);
        for worker in &mut self.workers {
            worker.tasks_fail = false;
            for until in [&mut worker.hung_until, &mut worker.inbound_lost_until, &mut worker.outbound_lost_until] {
                *until = end.min(*until);
            }
        }
    }
}
