//! Building of the next transaction.

use std::collections::BTreeMap;

use super::shard_size::OpenShard;
use super::{shard_key, CommitBatch, TxnLimits};
use crate::cluster::{Cluster, Machine, PlacementShard, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{Precondition, Write};

/// Shards looked at for one with room before a new one is created.
const SHARDS_TRIED: usize = 4;

/// Bytes of a shard that one new entry is expected to take.
const EXPECTED_ENTRY_BYTES: usize = 48;

impl Cluster {
    /// The next transaction, if the store lacks anything.  `leader` is the revision of
    /// the leader key: no write of a former leader succeeds.
    pub fn next_commit(&mut self, leader: u64, limits: &TxnLimits) -> Option<CommitBatch> {
        let mut batch = CommitBatch::default();
        batch.txn.preconditions.push(Precondition { key: key::LEADER.into(), revision: leader });
        self.cancel_dependents(&mut batch, limits);
        let partly_completed = self.end_completed_jobs(&mut batch, limits);
        self.drop_obsolete_starts();
        if !partly_completed.is_empty() || !self.unstored_starts.is_empty() {
            self.fill_shard(&mut batch, partly_completed, limits);
        }
        (!batch.txn.writes.is_empty()).then_some(batch)
    }

    /// Cancels jobs that need a cancelled job.  Half of the transaction is left to the
    /// jobs that completed, whose users wait.
    fn cancel_dependents(&self, batch: &mut CommitBatch, limits: &TxnLimits) {
        for id in self.dependency.needing_cancelled().take(limits.writes.div_ceil(2)) {
            if batch.has_room(limits) {
                batch.add_outcome(id.clone(), JobOutcome::Cancelled);
            }
        }
    }

    /// Ends the jobs all of whose tasks have completed: the outcome makes their ranges
    /// of completed tasks unnecessary.  Returns the jobs of which only some tasks have.
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

    /// Drops the first unstored starts as far as they were given up meanwhile.
    fn drop_obsolete_starts(&mut self) {
        while let Some(first) = self.unstored_starts.first_entry() {
            if machine_to_store(&self.machines, first.get()).is_some() {
                break;
            }
            first.remove();
        }
    }

    /// Adds a shard with what is new: completed tasks first, as their users wait, then
    /// starts in the order of the queue.
    fn fill_shard(&mut self, batch: &mut CommitBatch, partly_completed: Vec<Name>, limits: &TxnLimits) {
        let new_entries = partly_completed.len() + self.unstored_starts.len();
        let mut open = self.shard_with_room(batch, new_entries, limits);
        batch.txn.require(shard_key(open.id), open.shard.revision);
        self.add_completed_tasks(batch, &mut open, partly_completed, limits);
        self.add_unstored_starts(batch, &mut open, limits);
        let OpenShard { id, mut shard, .. } = open;
        shard.starts.extend(batch.starts.iter().map(|(_, start)| start.clone()));
        shard.completed.extend(batch.completed.iter().cloned());
        batch.txn.writes.push(Write::set(shard_key(id), &self.shard_record(&shard)));
        batch.shards.push((id, shard));
    }

    /// Adds completed tasks, as many as fit; the jobs of the others stay to be stored.
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
            if fitting.parts() < unstored.parts() {
                self.jobs_to_store.insert(id.clone());
            }
            if !fitting.is_empty() {
                open.size.add_completed(&id, &fitting);
                batch.completed.push((id, fitting));
            }
        }
    }

    /// Adds starts, as many as fit; the others stay to be stored.
    ///
    /// A start is stored on condition that its job has no outcome.  No start of a job
    /// that is over is ever decided, but a task that was found running of one is on
    /// record like any other, as it counts until it is gone.  That start goes without
    /// the condition: it would fail for ever, and everything else with it.
    fn add_unstored_starts(&mut self, batch: &mut CommitBatch, open: &mut OpenShard, limits: &TxnLimits) {
        while let Some((queue_key, start)) = self.unstored_starts.pop_first() {
            let Some(machine) = machine_to_store(&self.machines, &start) else { continue };
            let location = machine.location();
            let outcome_key = format!("{}{}", key::OUTCOME, start.task.job);
            let is_over = self.jobs.get(&start.task.job).is_none_or(|job| job.outcome.is_some());
            let needs_precondition = !is_over && !batch.txn.requires(&outcome_key);
            let preconditions = batch.txn.preconditions.len() + usize::from(needs_precondition);
            let fits = open.size.has_room_for(&start, &location, limits.shard_bytes);
            if !fits || preconditions > limits.preconditions {
                self.unstored_starts.insert(queue_key, start);
                break;
            }
            if !is_over {
                batch.txn.require(outcome_key, 0);
            }
            open.size.add_start(&start, &location);
            batch.starts.push((queue_key, start));
        }
    }

    /// What is still valid of a shard.
    fn valid_entries(&self, id: u32, stored: &PlacementShard) -> OpenShard {
        let mut valid = OpenShard::empty(id, stored.revision);
        for start in &stored.starts {
            let Some(machine) = self.machines.get(&start.machine) else { continue };
            // a start for an earlier incarnation is obsolete, also if the attempt is the same
            let is_valid = machine.tasks.get(&start.task).is_some_and(|assignment| start.is_of(assignment));
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

    /// The shard that is to be rewritten, with what is still valid of it: of the next
    /// few in the rotation the emptiest that has room, or a new one.  A shard is worth
    /// its write if it takes all that is new, or as much as half a shard.
    fn shard_with_room(&mut self, batch: &mut CommitBatch, new_entries: usize, limits: &TxnLimits) -> OpenShard {
        let wanted = (new_entries * EXPECTED_ENTRY_BYTES).min(limits.shard_bytes / 2);
        let mut emptiest: Option<OpenShard> = None;
        for id in self.take_next_shards() {
            let open = self.valid_entries(id, &self.shards[&id]);
            let bytes = open.size.bytes();
            if bytes > limits.shard_bytes {
                self.split_shard(batch, open, limits);
            } else if bytes + wanted <= limits.shard_bytes
                && emptiest.as_ref().is_none_or(|emptiest| bytes < emptiest.size.bytes())
            {
                emptiest = Some(open);
            }
        }
        emptiest.unwrap_or_else(|| OpenShard::empty(self.create_shard(), 0))
    }

    /// The next few shards in the rotation.
    fn take_next_shards(&mut self) -> Vec<u32> {
        let next = self.next_shard;
        let rotation = self.shards.range(next..).chain(self.shards.range(..next));
        let ids: Vec<u32> = rotation.map(|(id, _)| *id).take(SHARDS_TRIED).collect();
        if let Some(last) = ids.last() {
            self.next_shard = last + 1;
        }
        ids
    }

    /// The number of a new shard.  It is kept from now on: a transaction whose result is
    /// unknown may have created it.
    pub(super) fn create_shard(&mut self) -> u32 {
        let id = self.shards.last_key_value().map_or(0, |(id, _)| id + 1);
        self.shards.insert(id, PlacementShard::default());
        id
    }
}

/// The machine of a start that is still to be stored; `None` if the start was given up.
fn machine_to_store<'a>(machines: &'a BTreeMap<Name, Machine>, start: &StartRecord) -> Option<&'a Machine> {
    let machine = machines.get(&start.machine)?;
    let assignment = machine.tasks.get(&start.task)?;
    (start.is_of(assignment) && !assignment.stored).then_some(machine)
}
