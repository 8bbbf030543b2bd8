//! Assignment of tasks to machines: start, stop and release.

use std::time::Instant;

use super::{Assignment, Cluster, QueueKey, StartRecord, TaskPhase};
use crate::model::*;

impl Cluster {
    /// Assigns a pending task to a machine.  The start is sent only after its record is
    /// stored.  Returns false, and changes nothing, if the task is not pending or the machine
    /// is unknown.
    pub fn assign(&mut self, task: &Task, machine: &Name, attempt: u64, now: Instant) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else { return false };
        let Some(assigned_machine) = self.machines.get_mut(machine) else { return false };
        if job.outcome.is_some() || !job.pending.remove(task.index) {
            return false;
        }
        job.assignments.entry(task.index).or_default().push(machine.clone());
        let incarnation = assigned_machine.incarnation;
        let assignment = Assignment::new(job.spec.clone(), attempt, incarnation, now);
        assigned_machine.tasks.insert(task.clone(), assignment);
        assigned_machine.idle_since = None;
        self.placement_waits.push(now.duration_since(job.first_seen));
        self.queue_start_record(task, machine, attempt, incarnation);
        true
    }

    /// Queues the record of a start to be stored.  A task that was found on a machine without
    /// a record gets one in the same way.
    pub fn queue_start_record(&mut self, task: &Task, machine: &Name, attempt: u64, incarnation: u64) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        self.last_queue_sequence += 1;
        let key = QueueKey { priority: job.queue_priority(), sequence: self.last_queue_sequence };
        let start = StartRecord { machine: machine.clone(), task: task.clone(), attempt, incarnation };
        self.unstored_starts.insert(key, start);
    }

    /// Reports whether a job has ended and none of its tasks is on a machine or can still
    /// arrive on one.  A task that was ever started counts until its absence is proved.  An
    /// unknown job has no tasks.
    pub fn has_no_task_of(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|job| job.outcome.is_some() && job.assignments.is_empty())
    }

    /// Requests the stop of an assigned task, with `grace_s` seconds to save its progress.
    /// The stop is repeated until the task is gone; a later request can only shorten the
    /// grace.
    pub fn request_stop(&mut self, machine: &Name, task: &Task, grace_s: f64, now: Instant) {
        let assignment = self.machines.get_mut(machine).and_then(|machine| machine.tasks.get_mut(task));
        let Some(assignment) = assignment else { return };
        if assignment.phase == TaskPhase::Completed {
            return;
        }
        if assignment.stop_grace_s.is_none_or(|requested| grace_s < requested) {
            assignment.stop_grace_s = Some(grace_s);
            assignment.stop_sent = false;
        }
        assignment.stop_requested_at.get_or_insert(now);
        self.machines_to_command.insert(machine.clone());
    }

    /// Releases an assignment whose task is proved to be absent from its machine.  The task
    /// is queued again unless it has completed, is assigned elsewhere, or its job has ended.
    pub fn release_assignment(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(released_machine) = self.machines.get_mut(machine) else { return };
        if released_machine.tasks.remove(task).is_none() {
            return;
        }
        if released_machine.tasks.is_empty() {
            released_machine.idle_since = Some(now);
        }
        self.queue_changed = true;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(machines) = job.assignments.get_mut(&task.index) {
            machines.retain(|name| name != machine);
            if machines.is_empty() {
                job.assignments.remove(&task.index);
            }
        }
        job.requeue(task.index);
    }

    /// Releases all assignments of a machine from which every task is proved to be absent.
    pub fn release_all_assignments(&mut self, name: &Name, now: Instant) {
        let Some(machine) = self.machines.get(name) else { return };
        for task in machine.tasks.keys().cloned().collect::<Vec<_>>() {
            self.release_assignment(name, &task, now);
        }
    }
}
