//! Faults: crashes, pauses, outages and partitions.

use super::*;

/// Whoever leads at that moment.
pub(super) const CURRENT_LEADER: usize = usize::MAX;

impl World {
    /// A controller's process ends; what it had sent is still under way.
    pub(super) fn crash_controller(&mut self, i: usize) {
        (self.controllers[i], self.candidates[i]) = (None, None);
        let back = if self.rng.bool() { 200 } else { 3000 };
        self.down_until[i] = self.now + back;
        self.paused_until[i] = 0;
        self.last_incarnation += 1;
        self.snapshots[i] = OutcomeSnapshot::new(self.last_incarnation);
        self.forwarding[i] = HeartbeatForwarding::default();
    }

    pub(super) fn inject_fault(&mut self) {
        let t = self.now;
        match self.rng.u32(0..22) {
            // leaders change ten times in two minutes
            17 => (0..10).for_each(|n| self.scheduled_crashes.push((t + n * 12_000, CURRENT_LEADER))),
            // one-task jobs, a quarter of them cancelled
            18 => self.submission_burst_until = t + self.rng.u64(100..600) * STEP,
            19 => self.cancel_on_completion_until = t + self.rng.u64(100..600) * STEP,
            // machines reach no controller, and are reached
            20 => {
                for _ in 0..self.scale.div_ceil(4) {
                    let (n, t) = (self.rng.usize(0..self.workers.len()), t + self.rng.u64(50..600) * STEP);
                    self.workers[n].outbound_lost_until = t;
                }
            }
            // running jobs are cancelled, and their machines hang
            21 => {
                let hang = t + self.rng.u64(50..450) * STEP;
                for _ in 0..4 {
                    let Some(id) = self.cancel_random_job() else { continue };
                    for w in self.workers.iter_mut().filter(|w| w.tasks.keys().any(|k| k.job == id)).take(2) {
                        w.hung_until = hang;
                    }
                }
                if self.rng.bool() {
                    self.scheduled_crashes.push((t + self.rng.u64(1..20) * STEP, CURRENT_LEADER));
                }
            }
            0 => {
                // often it is back at once, and ends again in its first steps
                let i = self.rng.usize(0..3);
                self.crash_controller(i);
                for n in 1..=self.rng.u64(0..4) {
                    self.scheduled_crashes.push((t + n * self.rng.u64(3..15) * STEP, i));
                }
            }
            1 => {
                (0..3).for_each(|i| self.crash_controller(i));
                if self.rng.u32(0..3) == 0 {
                    // all are away for longer than a worker's lease
                    self.down_until.fill(t + self.rng.u64(310..450) * STEP);
                }
            }
            2 => self.state_store_outage_until = t + self.rng.u64(10..150) * STEP,
            3 | 4 => {
                let i = self.rng.usize(0..3);
                self.lease_renewal_blocked_until[i] = t + self.rng.u64(20..200) * STEP;
            }
            10 | 11 => {
                let short = self.rng.bool();
                let gap = if short { self.rng.u64(5..60) } else { self.rng.u64(160..500) };
                self.next_pause = Some((self.rng.usize(0..3), gap * STEP));
            }
            // the leader alone is refused, for less or longer than its lease;
            // then everybody is, for longer than a withdrawal has
            13 | 14 => {
                let i = self.state_store.leader.map_or(0, |l| l.0);
                self.state_store_refuses_until[i] = t + self.rng.u64(10..80) * STEP;
                // users withdraw meanwhile, at one that may end, or lose its
                // siblings, just after
                (0..4).for_each(|_| drop(self.cancel_random_job()));
                let by = (i + self.rng.usize(1..3)) % 3;
                match self.rng.u32(0..3) {
                    0 => self.scheduled_crashes.push((t + 5 * STEP, by)),
                    1 => self.peers_unreachable_until[by] = t + self.rng.u64(300..1000) * STEP,
                    _ => {}
                }
                if self.rng.bool() && self.scale <= 100 {
                    self.state_store_outage_until =
                        self.state_store_refuses_until[i] - 500 + self.rng.u64(300..1000) * STEP;
                }
            }
            // the leader is cut from the state service and its siblings, and
            // reaches workers; or it loses its siblings alone
            15 => {
                let i = self.state_store.leader.map_or(0, |l| l.0);
                self.peers_unreachable_until[i] = t + self.rng.u64(50..900) * STEP;
                if self.rng.bool() {
                    self.state_store_refuses_until[i] = self.peers_unreachable_until[i];
                }
            }
            // answers and commands to some machines are lost, their reports
            // arrive
            16 => {
                for _ in 0..self.scale.div_ceil(4) {
                    let (n, t) = (self.rng.usize(0..self.workers.len()), t + self.rng.u64(50..600) * STEP);
                    self.workers[n].inbound_lost_until = t;
                }
            }
            12 => self.workers_unreachable_until[self.rng.usize(0..3)] = t + self.rng.u64(20..600) * STEP,
            9 => {
                let zone = self.rng.usize(0..3);
                self.zone_partitioned_until[zone] = t + self.rng.u64(100..1000) * STEP;
                if self.rng.bool() {
                    self.cloud_outage_until = self.zone_partitioned_until[zone];
                }
                (0..2).for_each(|_| drop(self.cancel_random_job()));
            }
            // dozens at once in a large world
            kind => {
                for _ in 0..self.scale.div_ceil(30) {
                    let i = self.rng.usize(0..self.workers.len());
                    let hang = t + self.rng.u64(10..400) * STEP;
                    let w = &mut self.workers[i];
                    match kind {
                        5 => {
                            w.alive = false;
                            w.tasks.clear();
                        }
                        6 | 7 => w.hung_until = hang,
                        _ => w.tasks_fail = !w.tasks_fail,
                    }
                }
                self.scale_out();
            }
        }
    }
}
