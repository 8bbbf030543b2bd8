//! Starts, stops and releases of tasks.

use std::time::Instant;

use super::{Assignment, Cluster, StartRecord, TaskPhase};
use crate::model::*;

impl Cluster {
    /// Decides a start.  The command leaves only after the record is stored.
    pub fn assign(&mut self, task: &Task, machine: &Name, attempt: u64, now: Instant) -> bool {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return false;
        };
        if job.outcome.is_some() || !job.pending.remove(task.index) {
            return false;
        }
        job.assignments.entry(task.index).or_default().push(machine.clone());
        m.tasks.insert(task.clone(), Assignment::new(job.spec.clone(), attempt, m.incarnation, now));
        m.idle_since = None;
        let session = m.incarnation;
        self.placement_waits.push(now.duration_since(job.first_seen));
        self.queue_start_record(task, machine, attempt, session);
        true
    }

    /// A start, or what turned up without one, is to be stored.
    pub fn queue_start_record(&mut self, task: &Task, machine: &Name, attempt: u64, session: u64) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        self.next_queue_sequence += 1;
        let start = StartRecord { machine: machine.clone(), task: task.clone(), attempt, incarnation: session };
        self.unstored_starts.insert((job.queue_priority(), self.next_queue_sequence), start);
    }

    /// Whether nothing of a job that is over is on any machine, or may still get onto
    /// one: what was ever started counts until it is proved to be gone.
    pub fn has_no_task_of(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|j| j.outcome.is_some() && j.assignments.is_empty())
    }

    /// A placed task is proved to be off its machine.
    pub fn release_assignment(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.tasks.remove(task).is_none() {
            return;
        }
        if m.tasks.is_empty() {
            m.idle_since = Some(now);
        }
        self.queue_changed = true;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(list) = job.assignments.get_mut(&task.index) {
            list.retain(|n| n != machine);
            if list.is_empty() {
                job.assignments.remove(&task.index);
            }
        }
        job.requeue(task.index);
    }

    /// Everything on a machine is proved to be gone.
    pub fn release_all_assignments(&mut self, machine: &Name, now: Instant) {
        let Some(m) = self.machines.get(machine) else { return };
        for task in m.tasks.keys().cloned().collect::<Vec<_>>() {
            self.release_assignment(machine, &task, now);
        }
    }

    /// Decides a stop; it is repeated until the task is gone.
    pub fn request_stop(&mut self, machine: &Name, task: &Task, grace: f64, now: Instant) {
        let Some(p) = self.machines.get_mut(machine).and_then(|m| m.tasks.get_mut(task)) else { return };
        if p.phase == TaskPhase::Completed {
            return;
        }
        if p.stop_grace_s.is_none_or(|g| grace < g) {
            p.stop_grace_s = Some(grace);
            p.stop_sent = false;
        }
        p.stop_requested_at.get_or_insert(now);
        self.machines_to_command.insert(machine.clone());
    }
}
