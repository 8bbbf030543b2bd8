//! The main loop of the simulation.

use super::*;

/// When the last fault is over, from the beginning of the calm.
const SETTLING_TIME: Ms = 15_000;

impl World {
    pub(super) fn run(mut self, until: Ms, calm_from: Ms) -> World {
        while self.now < until && self.violations.is_empty() {
            self.now += STEP;
            while let Some(e) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let m = e.remove();
                self.deliver(m);
            }
            if self.now == until / 3 {
                // all have the version that keeps to the later limits, which come
                // without notice
                self.limits_lowered_at = self.now;
                let l = self.limits;
                self.limits = TxnLimits { writes: l.writes / 2, shard_bytes: l.shard_bytes / 4, ..l };
            }
            if self.now == until / 2 {
                self.max_value_bytes = self.limits.shard_bytes;
            }
            let calm = self.now >= calm_from;
            for _ in 0..self.scale.div_ceil(9) {
                if !calm && self.rng.u32(0..40) == 0 {
                    self.submit_random_job();
                }
                if !calm && self.rng.u32(0..120) == 0 {
                    self.cancel_random_job();
                }
            }
            if !calm && self.rng.u32(0..self.steps_between_faults) == 0 {
                self.inject_fault();
            }
            if self.now < self.submission_burst_until && self.now.is_multiple_of(2 * STEP) {
                self.submit_job(true);
                if self.rng.u32(0..4) == 0 {
                    self.cancel_random_job();
                }
            }
            for id in std::mem::take(&mut self.completing_jobs) {
                let by = self.rng.usize(0..3);
                if self.now < self.cancel_on_completion_until
                    && self.rng.bool()
                    && self.is_served(by)
                    && self.state_store.outcome(&id).is_none()
                {
                    self.cancel_job(by, &id, &[]);
                }
            }
            if self.now == calm_from {
                // all troubles end soon, and what is left has to settle
                let end = self.now + SETTLING_TIME;
                self.scheduled_crashes.retain(|k| k.0 < end);
                (self.submission_burst_until, self.cancel_on_completion_until) =
                    (self.submission_burst_until.min(self.now), self.cancel_on_completion_until.min(end));
                let until = [
                    &mut self.state_store_refuses_until,
                    &mut self.peers_unreachable_until,
                    &mut self.zone_partitioned_until,
                    &mut self.workers_unreachable_until,
                    &mut self.paused_until,
                ];
                until
                    .into_iter()
                    .flatten()
                    .chain([&mut self.state_store_outage_until, &mut self.cloud_outage_until])
                    .for_each(|t| *t = end.min(*t));
                for w in &mut self.workers {
                    w.tasks_fail = false;
                    for t in [&mut w.hung_until, &mut w.inbound_lost_until, &mut w.outbound_lost_until] {
                        *t = end.min(*t);
                    }
                }
            }
            let due = self.scheduled_crashes.extract_if(.., |k| k.0 <= self.now).collect::<Vec<_>>();
            for (_, i) in due {
                match (i, self.state_store.leader) {
                    (CURRENT_LEADER, Some((leads, _))) => self.crash_controller(leads),
                    (CURRENT_LEADER, None) => {}
                    _ => self.crash_controller(i),
                }
            }
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
}
