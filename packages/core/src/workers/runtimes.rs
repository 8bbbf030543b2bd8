//! What completed tasks show of their machine's speed.

use std::time::Instant;

use crate::cluster::{Assignment, Cluster};
use crate::model::*;

/// Tasks of a job, and tasks on a machine, below which they say nothing.
const SPEED_PRIOR: u32 = 4;

impl Cluster {
    /// A completed task tells of its machine's speed.  Only completed tasks
    /// count, or an instantly failing machine would look fast.
    pub(super) fn record_runtime(&mut self, machine: &Name, p: &Assignment, now: Instant) {
        let Some(since) = p.running_since else { return };
        let ran = now.duration_since(since).as_secs_f64();
        if let Some(m) = self.machines.get_mut(machine) {
            m.failed_jobs.clear();
        }
        // short runs say little: the report interval blurs them
        if p.spec.estimate_s < 1.0
            || ran < self.policy.fresh.as_secs_f64()
            || p.spec.shape == Shape::Gang && p.spec.tasks > 1
        {
            return;
        }
        let ratio = (ran / p.spec.estimate_s).clamp(0.05, 20.0);
        let bias = self.runtime_bias.entry(p.spec.class.clone()).or_insert(ratio);
        *bias += (ratio - *bias) * 0.1;
        // a machine is held against the tasks of the same job on others: what
        // owners estimate is off by more than machines differ
        let (Some(job), Some(m)) = (self.jobs.get_mut(&p.spec.id), self.machines.get_mut(machine)) else { return };
        let (mean, n) = job.ran;
        job.ran = (mean + (ran - mean) / f64::from(n + 1), n + 1);
        if n >= SPEED_PRIOR {
            // so many tasks at the usual speed are taken for granted, or a
            // machine's first task would say more than all that it is
            let relative = (mean / ran).clamp(0.1, 10.0);
            m.speed_samples += 1;
            m.speed += (relative - m.speed) * (1.0 / f64::from(SPEED_PRIOR + m.speed_samples)).max(0.02);
        }
    }
}
