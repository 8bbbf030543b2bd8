//! Run times of completed tasks, from which the bias of estimates and the speeds of machines are
//! derived.

use std::time::Instant;

use crate::cluster::{Assignment, Cluster};
use crate::model::*;

/// Number of tasks at the usual speed that are assumed before the first observation of a job or
/// a machine.  Without them, the first task of a machine would determine its speed alone.
const PRIOR_SAMPLES: u32 = 4;
/// Minimum estimate that is compared with a run time, in seconds.
const MIN_ESTIMATE_S: f64 = 1.0;
/// Weight of a new observation in the runtime bias of a class.
const BIAS_WEIGHT: f64 = 0.1;
/// Minimum weight of a new observation in the speed of a machine.
const MIN_SPEED_WEIGHT: f64 = 0.02;
/// Bounds of the ratio of run time to estimate.
const RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Bounds of the relative speed that is derived from one task.
const SPEED_BOUNDS: (f64, f64) = (0.1, 10.0);

impl Cluster {
    /// Records the run time of a completed task, and clears the failures that were attributed to
    /// the machine.  Only completed tasks count, as a machine on which tasks fail at once would
    /// otherwise look fast.
    pub(super) fn record_runtime(&mut self, machine: &Name, assignment: &Assignment, now: Instant) {
        let Some(since) = assignment.running_since else { return };
        let runtime_s = now.duration_since(since).as_secs_f64();
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.failed_jobs.clear();
        }
        if self.is_runtime_informative(&assignment.spec, runtime_s) {
            self.update_runtime_bias(&assignment.spec, runtime_s);
            self.update_machine_speed(machine, &assignment.spec, runtime_s);
        }
    }

    /// Reports whether a run time is meaningful.  Short run times are too imprecise, because they
    /// are measured by heartbeats, and the tasks of a gang wait for each other.
    fn is_runtime_informative(&self, spec: &JobSpec, runtime_s: f64) -> bool {
        let is_gang = spec.shape == Shape::Gang && spec.tasks > 1;
        !(spec.estimated_run_time_s < MIN_ESTIMATE_S || runtime_s < self.policy.fresh.as_secs_f64() || is_gang)
    }

    /// Updates the runtime bias of a class, a moving average of the ratio of run time to estimate.
    fn update_runtime_bias(&mut self, spec: &JobSpec, runtime_s: f64) {
        let ratio = (runtime_s / spec.estimated_run_time_s).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let bias = self.runtime_bias.entry(spec.class.clone()).or_insert(ratio);
        *bias += (ratio - *bias) * BIAS_WEIGHT;
    }

    /// Updates the speed of a machine.  The run time is compared with those of other tasks of the
    /// same job and not with the estimate, because the errors of users' estimates are larger than
    /// the differences between machines.
    fn update_machine_speed(&mut self, name: &Name, spec: &JobSpec, runtime_s: f64) {
        let Some(job) = self.jobs.get_mut(&spec.id) else { return };
        let Some(machine) = self.machines.get_mut(name) else { return };
        let others = job.runtime;
        job.runtime.add(runtime_s);
        if others.samples < PRIOR_SAMPLES {
            return;
        }
        let speed = (others.mean_s / runtime_s).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        machine.speed_samples += 1;
        let weight = 1.0 / f64::from(PRIOR_SAMPLES + machine.speed_samples);
        machine.speed += (speed - machine.speed) * weight.max(MIN_SPEED_WEIGHT);
    }
}
