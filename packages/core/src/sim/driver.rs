//! The main loop of the simulation.

use super::*;

/// Time after the start of the quiescent period within which the remaining faults end.
const SETTLING_TIME: Ms = 15_000;

impl World {
    /// Runs until the given time or the first violation.  The quiescent period starts at
    /// `quiescent_from`: users submit nothing more, and no new faults are injected.
    pub(super) fn run(mut self, until: Ms, quiescent_from: Ms) -> World {
        while self.now < until && self.violations.is_empty() {
            self.now += STEP;
            self.deliver_due_messages();
            self.lower_limits(until);
            let is_quiescent = self.now >= quiescent_from;
            self.step_users(is_quiescent);
            if !is_quiescent && self.rng.u32(0..self.faults.steps_between_faults) == 0 {
                self.inject_fault();
            }
            self.step_submission_burst();
            self.cancel_completing_jobs();
            if self.now == quiescent_from {
                self.end_faults();
            }
            self.crash_due_controllers();
            self.time_out_direct_commands();
            self.update_snapshots();
            self.step_controllers();
            self.step_workers();
            if self.now.is_multiple_of(1000) {
                self.check_invariants();
                if self.now > quiescent_from + SETTLING_TIME {
                    self.check_starvation();
                }
            }
        }
        self
    }

    /// Lowers the transaction limits during a run, without notice.  The controllers apply the
    /// new limits after a third of the run, and the state service enforces the new size of a
    /// value after half of it.
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

    /// Ends all faults within the settling time, so that the remaining jobs can make progress.
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
