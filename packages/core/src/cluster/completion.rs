//! Completion of tasks and jobs.

use std::time::Instant;

use super::{Assignment, Cluster, TaskPhase};
use crate::model::*;

impl Cluster {
    /// Marks a task as completed; the completion is still to be stored.  All tasks of a gang
    /// complete together.  Services and ended jobs are not changed.
    pub fn mark_completed(&mut self, task: &Task, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.outcome.is_some() || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let is_gang = job.spec.shape == Shape::Gang;
        let completed = if is_gang { 0..job.spec.tasks } else { task.index..task.index + 1 };
        for index in completed {
            if !job.completed.contains(index) && job.completed_unstored.insert(index) {
                job.pending.remove(index);
            }
        }
        self.jobs_to_store.insert(task.job.clone());
        job.quarantine = None;
        job.not_before = None;
        // A copy of the task that may run on another machine is no longer needed.  The tasks
        // of a completed gang need no stop, because they all exit at the same time.
        if !is_gang {
            for machine in job.assignments.get(&task.index).cloned().unwrap_or_default() {
                self.request_stop(&machine, task, 0.0, now);
            }
        }
    }

    /// Sets the stored outcome of a job.  Its tasks are stopped, and jobs that no longer wait
    /// for a dependency enter the queue.
    pub fn set_outcome(&mut self, id: &str, outcome: JobOutcome, now: Instant) {
        for blocked in self.dependencies.apply_outcome(id, outcome) {
            self.release_blocked_job(blocked);
        }
        self.update_urgencies();
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.pending = TaskIndexSet::default();
        job.completed_unstored = TaskIndexSet::default();
        self.queue_changed = true;
        for (machine, task) in job.assigned_tasks() {
            let assignment = self.machines.get(&machine).and_then(|machine| machine.tasks.get(&task));
            if assignment.is_some_and(was_never_sent) {
                self.release_assignment(&machine, &task, now);
            } else {
                self.request_stop(&machine, &task, 0.0, now);
            }
        }
    }
}

/// Reports whether the start of an assignment was never sent to its machine.
fn was_never_sent(assignment: &Assignment) -> bool {
    assignment.start_sent_after.is_none() && !assignment.inherited && assignment.phase == TaskPhase::Assigned
}
