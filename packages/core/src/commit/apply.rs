//! Applies the result of a transaction to the leader's state.

use std::time::Instant;

use super::{read_shard, CommitBatch};
use crate::cluster::{Cluster, PlacementShard, StartRecord, TaskPhase};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{decode_value, KeyValue};

impl Cluster {
    /// Applies a transaction that succeeded at `revision`.  Returns the jobs that it ended,
    /// with their outcomes.
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
        if let Some(assignment) = assignment.filter(|assignment| start.matches_assignment(assignment)) {
            assignment.stored = true;
            self.machines_to_command.insert(start.machine.clone());
        }
    }

    /// Marks completed tasks of a job as stored, and releases their assignments.
    fn mark_completed_stored(&mut self, id: &Name, ranges: &TaskIndexSet, now: Instant) {
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

    /// Releases the assignments of those tasks that have completed.  Their completion is
    /// stored, so their exits may be acknowledged to the worker.
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

    /// Marks the contents of a transaction that failed, or whose result is unknown, as to be
    /// stored again.
    pub fn restore_uncommitted(&mut self, batch: CommitBatch) {
        self.jobs_to_store.extend(batch.completed.into_iter().map(|(id, _)| id));
        // jobs cancelled with a dependency stay listed in the dependency graph
        let done = batch.outcomes.into_iter().filter(|(_, outcome)| *outcome == JobOutcome::Done);
        self.jobs_to_store.extend(done.map(|(id, _)| id));
        self.unstored_starts.extend(batch.starts);
    }

    /// Applies the stored value of a key whose precondition failed; `None` if the key is
    /// absent.  Either an earlier transaction of this leader, whose result was unknown, has
    /// succeeded, or a user has cancelled a job.
    pub fn reconcile_key(&mut self, path: &str, item: Option<&KeyValue>, now: Instant) {
        if let Some(id) = path.strip_prefix(key::SHARD).and_then(|number| number.parse().ok()) {
            self.reconcile_shard(id, path, item);
        } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
            let record = item.and_then(|item| decode_value::<OutcomeRecord>(path, item.value.clone()));
            if let Some(record) = record {
                self.set_outcome(id, record.outcome, now);
            }
        }
    }

    /// Replaces the leader's copy of a shard by the stored one.
    ///
    /// Only a transaction of this leader whose result was unknown can have written the
    /// shard.  The stored shard may hold entries that the copy lacks, for example those
    /// moved to it from a split shard.  Overwriting them would lose starts.
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
