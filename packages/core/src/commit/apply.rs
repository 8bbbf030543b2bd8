//! Application of the result of a transaction.

use std::time::Instant;

use super::{read_shard, CommitBatch};
use crate::cluster::{Cluster, PlacementShard, StartRecord, TaskPhase};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{read_value, KeyValue};

impl Cluster {
    /// Applies a transaction that succeeded at this revision.  Returns the jobs that it
    /// ended.
    pub fn apply_commit(&mut self, batch: CommitBatch, revision: u64, now: Instant) -> Vec<(Name, JobOutcome)> {
        for (_, start) in &batch.starts {
            self.mark_start_stored(start);
        }
        for (id, ranges) in &batch.completed {
            self.mark_completed_stored(id, ranges, now);
        }
        for (id, mut shard) in batch.shards {
            shard.revision = revision;
            self.shards.insert(id, shard);
        }
        if let Some((id, remainder)) = batch.split_remainder {
            self.shards.insert(id, remainder);
        }
        for (id, outcome) in &batch.outcomes {
            if let Some(job) = self.jobs.get(id) {
                self.release_completed(job.assigned_tasks(), now);
            }
            self.set_outcome(id, *outcome, now);
        }
        batch.outcomes
    }

    /// Marks a start as stored, so that its command may be sent.
    fn mark_start_stored(&mut self, start: &StartRecord) {
        let Some(machine) = self.machines.get_mut(&start.machine) else { return };
        let assignment = machine.tasks.get_mut(&start.task);
        if let Some(assignment) = assignment.filter(|assignment| start.is_of(assignment)) {
            assignment.stored = true;
            self.machines_to_command.insert(start.machine.clone());
        }
    }

    /// Marks completed tasks of a job as stored, and releases them.
    fn mark_completed_stored(&mut self, id: &Name, ranges: &Ranges, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut assigned = Vec::new();
        for index in ranges.iter() {
            job.completed.insert(index);
            job.completed_unstored.remove(index);
            for machine in job.assignments.get(&index).into_iter().flatten() {
                assigned.push((machine.clone(), Task { job: id.clone(), index }));
            }
        }
        self.release_completed(assigned, now);
    }

    /// Releases those of these tasks that have completed, which is stored now: their
    /// exits may be acknowledged.
    fn release_completed(&mut self, assigned: Vec<(Name, Task)>, now: Instant) {
        for (name, task) in assigned {
            let assignment = self.machines.get(&name).and_then(|machine| machine.tasks.get(&task));
            let completed = assignment.filter(|assignment| assignment.phase == TaskPhase::Completed);
            let Some(attempt) = completed.map(|assignment| assignment.attempt) else { continue };
            self.release_assignment(&name, &task, now);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.exited.insert(task, attempt);
            }
        }
    }

    /// Takes back a transaction that did not, or may not have, succeeded: all of it is to
    /// be written again.
    pub fn restore_uncommitted(&mut self, batch: CommitBatch) {
        self.jobs_to_store.extend(batch.completed.into_iter().map(|(id, _)| id));
        // jobs that end with a cancelled job are found again by their dependency
        let done = batch.outcomes.into_iter().filter(|(_, outcome)| *outcome == JobOutcome::Done);
        self.jobs_to_store.extend(done.map(|(id, _)| id));
        self.unstored_starts.extend(batch.starts);
    }

    /// Applies what a conflicting key really holds: an earlier transaction of this leader
    /// whose result was unknown succeeded after all, or a user cancelled a job.
    pub fn reconcile_key(&mut self, path: &str, item: Option<&KeyValue>, now: Instant) {
        if let Some(id) = path.strip_prefix(key::SHARD).and_then(|number| number.parse().ok()) {
            self.reconcile_shard(id, path, item);
        } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
            let record = item.and_then(|item| read_value::<OutcomeRecord>(path, item.value.clone()));
            if let Some(record) = record {
                self.set_outcome(id, record.outcome, now);
            }
        }
    }

    /// Applies what the store has of a shard.
    ///
    /// Only a transaction of this leader can have written it, one whose result was unknown
    /// until now.  The shard may hold what the leader's copy never did, as one that took
    /// part of another does, and to overwrite that would lose starts.
    fn reconcile_shard(&mut self, id: u32, path: &str, item: Option<&KeyValue>) {
        let stored = match item {
            None => Some(PlacementShard::default()),
            Some(item) => read_shard(path, item).map(|stored| stored.shard),
        };
        if let Some(shard) = stored {
            self.shards.insert(id, shard);
        }
    }
}
