//! Ends of tasks and jobs.

use std::time::Instant;

use super::{Cluster, TaskPhase};
use crate::model::*;

impl Cluster {
    /// A task has completed; the store has still to learn of it.  A gang's
    /// tasks complete together.
    pub fn mark_completed(&mut self, task: &Task, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.outcome.is_some() || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let all = if job.spec.shape == Shape::Gang { 0..job.spec.tasks } else { task.index..task.index + 1 };
        for n in all {
            if !job.completed.contains(n) && job.completed_unstored.insert(n) {
                job.pending.remove(n);
            }
        }
        self.jobs_to_store.insert(task.job.clone());
        job.quarantine = None;
        job.not_before = None;
        // a copy that may be elsewhere is of no use any more; but tasks of a
        // completed gang end by themselves at the same moment
        if job.spec.shape != Shape::Gang {
            for m in job.assignments.get(&task.index).cloned().unwrap_or_default() {
                self.request_stop(&m, task, 0.0, now);
            }
        }
    }

    /// A job's end, as the store has it.
    pub fn set_outcome(&mut self, id: &str, outcome: JobOutcome, now: Instant) {
        for h in self.dependency.apply_outcome(id, outcome) {
            self.release_blocked_job(h);
        }
        self.update_urgencies();
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.pending = Ranges::default();
        job.completed_unstored = Ranges::default();
        self.queue_changed = true;
        for (m, t) in job.placed_tasks() {
            let unsent = self
                .machines
                .get(&m)
                .and_then(|m| m.tasks.get(&t))
                .is_some_and(|p| p.start_sent_in.is_none() && !p.inherited && p.phase == TaskPhase::Assigned);
            if unsent {
                // its command never left
                self.release_assignment(&m, &t, now);
            } else {
                self.request_stop(&m, &t, 0.0, now);
            }
        }
    }
}
