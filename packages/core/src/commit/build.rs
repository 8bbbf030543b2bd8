//! Builds the next transaction from the leader's state.

use std::collections::BTreeMap;

use super::shard_size::OpenShard;
use super::{shard_key, CommitBatch, TxnLimits};
use crate::cluster::{Cluster, Machine, PlacementShard, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{Precondition, Write};

/// Maximum number of shards examined for room before a new shard is created.
const MAX_CANDIDATE_SHARDS: usize = 4;

/// Expected size of one new entry in a shard, in bytes.
const EXPECTED_ENTRY_BYTES: usize = 48;

impl Cluster {
    /// Returns the next transaction; `None` if there is nothing to store.
    ///
    /// `leader_revision` is the revision of the leader key.  It is a precondition of the
    /// transaction, so that no write of a former leader succeeds.
    pub fn next_commit(&mut self, leader_revision: u64, limits: &TxnLimits) -> Option<CommitBatch> {
        let mut batch = CommitBatch::default();
        batch.txn.preconditions.push(Precondition { key: key::LEADER.into(), revision: leader_revision });
        self.cancel_dependents(&mut batch, limits);
        let partly_completed = self.end_completed_jobs(&mut batch, limits);
        self.drop_obsolete_starts();
        if !partly_completed.is_empty() || !self.unstored_starts.is_empty() {
            self.fill_shard(&mut batch, partly_completed, limits);
        }
        (!batch.txn.writes.is_empty()).then_some(batch)
    }

    /// Cancels jobs that depend on a cancelled job.  At most half of the writes are used for
    /// them; the rest is left to completed jobs, whose users are waiting.
    fn cancel_dependents(&self, batch: &mut CommitBatch, limits: &TxnLimits) {
        for id in self.dependencies.dependents_of_cancelled().take(limits.writes.div_ceil(2)) {
            if batch.has_room(limits) {
                batch.add_outcome(id.clone(), JobOutcome::Cancelled);
            }
        }
    }

    /// Adds the outcomes of the jobs whose tasks have all completed.  With an outcome, a
    /// job's ranges of completed tasks need not be stored.  Returns the jobs of which only
    /// some tasks have completed.
    fn end_completed_jobs(&mut self, batch: &mut CommitBatch, limits: &TxnLimits) -> Vec<Name> {
        let mut partly_completed = Vec::new();
        for id in std::mem::take(&mut self.jobs_to_store) {
            let Some(job) = self.jobs.get(&id).filter(|job| job.outcome.is_none()) else { continue };
            if !job.is_completing() {
                if !job.completed_unstored.is_empty() {
                    partly_completed.push(id);
                }
            } else if batch.has_room(limits) {
                batch.add_outcome(id, JobOutcome::Done);
            } else {
                self.jobs_to_store.insert(id);
            }
        }
        partly_completed
    }

    /// Removes obsolete starts from the front of the unstored starts, up to the first start that
    /// still has to be stored.
    fn drop_obsolete_starts(&mut self) {
        while let Some(first) = self.unstored_starts.first_entry() {
            if machine_of_unstored_start(&self.machines, first.get()).is_some() {
                break;
            }
            first.remove();
        }
    }

    /// Adds a write of a shard with new entries.  Completed tasks come first, because their
    /// users are waiting, then starts in the order of the queue.
    fn fill_shard(&mut self, batch: &mut CommitBatch, partly_completed: Vec<Name>, limits: &TxnLimits) {
        let new_entries = partly_completed.len() + self.unstored_starts.len();
        let mut open = self.shard_with_room(batch, new_entries, limits);
        batch.txn.add_precondition(shard_key(open.id), open.shard.revision);
        self.add_completed_tasks(batch, &mut open, partly_completed, limits);
        self.add_unstored_starts(batch, &mut open, limits);
        let OpenShard { id, mut shard, .. } = open;
        shard.starts.extend(batch.starts.iter().map(|(_, start)| start.clone()));
        shard.completed.extend(batch.completed.iter().cloned());
        batch.txn.writes.push(Write::set(shard_key(id), &self.shard_record(&shard)));
        batch.shards.push((id, shard));
    }

    /// Adds as many completed tasks as fit.  Jobs with tasks that do not fit remain to be stored.
    fn add_completed_tasks(
        &mut self,
        batch: &mut CommitBatch,
        open: &mut OpenShard,
        jobs: Vec<Name>,
        limits: &TxnLimits,
    ) {
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else { continue };
            let unstored = &job.completed_unstored;
            let fitting = open.size.fitting_ranges(&id, unstored, limits.shard_bytes);
            if fitting.range_count() < unstored.range_count() {
                self.jobs_to_store.insert(id.clone());
            }
            if !fitting.is_empty() {
                open.size.add_completed(&id, &fitting);
                batch.completed.push((id, fitting));
            }
        }
    }

    /// Adds as many starts as fit.  The others remain to be stored.
    ///
    /// A start is stored on condition that its job has no outcome.  The leader never starts
    /// a task of a job that has ended, but a worker may report one that is still running.
    /// That task counts as present until it is gone, so its start is stored as well.  It is
    /// stored without the condition, which would never hold and make every transaction fail.
    fn add_unstored_starts(&mut self, batch: &mut CommitBatch, open: &mut OpenShard, limits: &TxnLimits) {
        while let Some((queue_key, start)) = self.unstored_starts.pop_first() {
            let Some(machine) = machine_of_unstored_start(&self.machines, &start) else { continue };
            let location = machine.location();
            let outcome_key = format!("{}{}", key::OUTCOME, start.task.job);
            let is_over = self.jobs.get(&start.task.job).is_none_or(|job| job.outcome.is_some());
            let needs_precondition = !is_over && !batch.txn.has_precondition(&outcome_key);
            let preconditions = batch.txn.preconditions.len() + usize::from(needs_precondition);
            let fits = open.size.has_room_for(&start, &location, limits.shard_bytes);
            if !fits || preconditions > limits.preconditions {
                self.unstored_starts.insert(queue_key, start);
                break;
            }
            if !is_over {
                batch.txn.add_precondition(outcome_key, 0);
            }
            open.size.add_start(&start, &location);
            batch.starts.push((queue_key, start));
        }
    }

    /// Returns the entries of a stored shard that are still valid.
    fn valid_entries(&self, id: u32, stored: &PlacementShard) -> OpenShard {
        let mut valid = OpenShard::empty(id, stored.revision);
        for start in &stored.starts {
            let Some(machine) = self.machines.get(&start.machine) else { continue };
            // a start for an earlier incarnation is obsolete even if the attempt is the same
            let is_valid =
                machine.tasks.get(&start.task).is_some_and(|assignment| start.matches_assignment(assignment));
            if is_valid {
                valid.size.add_start(start, &machine.location());
                valid.shard.starts.push(start.clone());
            }
        }
        for (job, ranges) in &stored.completed {
            if self.jobs.get(job).is_some_and(|job| job.outcome.is_none()) {
                valid.size.add_completed(job, ranges);
                valid.shard.completed.push((job.clone(), ranges.clone()));
            }
        }
        valid
    }

    /// Returns the shard to rewrite, with its valid entries.
    ///
    /// It is the smallest shard with room among the next few in the rotation, or a new one.
    /// A shard has room if all new entries, or new entries of half a shard's size, are
    /// expected to fit.  Oversized shards among the candidates are split.
    fn shard_with_room(&mut self, batch: &mut CommitBatch, new_entries: usize, limits: &TxnLimits) -> OpenShard {
        let wanted_bytes = (new_entries * EXPECTED_ENTRY_BYTES).min(limits.shard_bytes / 2);
        let mut smallest: Option<OpenShard> = None;
        for id in self.take_next_shards() {
            let open = self.valid_entries(id, &self.shards[&id]);
            let bytes = open.size.bytes();
            if bytes > limits.shard_bytes {
                self.split_shard(batch, open, limits);
            } else if bytes + wanted_bytes <= limits.shard_bytes
                && smallest.as_ref().is_none_or(|smallest| bytes < smallest.size.bytes())
            {
                smallest = Some(open);
            }
        }
        smallest.unwrap_or_else(|| OpenShard::empty(self.create_shard(), 0))
    }

    /// Returns the numbers of the next few shards in the rotation, and advances it.
    fn take_next_shards(&mut self) -> Vec<u32> {
        let next = self.next_shard;
        let rotation = self.shards.range(next..).chain(self.shards.range(..next));
        let ids: Vec<u32> = rotation.map(|(id, _)| *id).take(MAX_CANDIDATE_SHARDS).collect();
        if let Some(last) = ids.last() {
            self.next_shard = last + 1;
        }
        ids
    }

    /// Creates an empty shard and returns its number.  The shard stays in the leader's state
    /// even if the transaction fails, because a transaction whose result is unknown may have
    /// created it in the store.
    pub(super) fn create_shard(&mut self) -> u32 {
        let id = self.shards.last_key_value().map_or(0, |(id, _)| id + 1);
        self.shards.insert(id, PlacementShard::default());
        id
    }
}

/// Returns the machine of a start that remains to be stored; `None` if the assignment no
/// longer exists or its start is already stored.
fn machine_of_unstored_start<'a>(machines: &'a BTreeMap<Name, Machine>, start: &StartRecord) -> Option<&'a Machine> {
    let machine = machines.get(&start.machine)?;
    let assignment = machine.tasks.get(&start.task)?;
    (start.matches_assignment(assignment) && !assignment.stored).then_some(machine)
}
