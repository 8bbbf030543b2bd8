//! Splitting of shards that are larger than a value may be.

use super::shard_size::{OpenShard, ShardSize};
use super::{shard_key, CommitBatch, TxnLimits};
use crate::cluster::{Cluster, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;
use coralnotch_wire::state::Write;

/// Most bytes that one transaction moves from an oversized shard; with everything else it
/// stays within the 64 KiB that the store accepts.
const MAX_MOVED_BYTES: usize = 40 * 1024;

/// Writes, each with its precondition, that the new parts leave free in a transaction: that
/// of the shard with the new entries, and that of the split shard itself.
const RESERVED_WRITES: usize = 2;

impl Cluster {
    /// Splits a shard that a former version, or a former limit, let grow beyond what a
    /// value may hold now.  Its entries go to new shards, as many as the transaction
    /// takes; what is left fits, or waits until the shard is next in the rotation.
    ///
    /// Until the shard itself is written again, some starts are stored twice.  That is
    /// harmless: the same start of a task is the same start.
    pub(super) fn split_shard(&mut self, batch: &mut CommitBatch, oversized: OpenShard, limits: &TxnLimits) {
        let free_writes = limits.writes.saturating_sub(batch.txn.writes.len() + RESERVED_WRITES);
        let new_shards = free_writes.min(MAX_MOVED_BYTES / limits.shard_bytes.max(1));
        let preconditions = batch.txn.preconditions.len() + new_shards + RESERVED_WRITES;
        if batch.split_remainder.is_some() || new_shards == 0 || limits.preconditions < preconditions {
            return;
        }
        let OpenShard { id, shard, .. } = oversized;
        let mut split = ShardSplit::new(shard.revision, new_shards + 1, limits.shard_bytes);
        for start in shard.starts {
            let Some(machine) = self.machines.get(&start.machine) else { continue };
            split.add_start(start, &machine.location());
        }
        for (job, ranges) in shard.completed {
            split.add_completed(&job, ranges);
        }
        self.write_split(batch, id, split);
        tracing::info!(shard = id, parts = batch.shards.len(), "oversized shard split");
    }

    /// Adds the parts of a split shard to the transaction.  If nothing remains, the first
    /// part replaces the shard itself.
    fn write_split(&mut self, batch: &mut CommitBatch, id: u32, split: ShardSplit) {
        let is_complete = split.is_complete();
        let ShardSplit { full, last, remainder, .. } = split;
        for (number, mut part) in full.into_iter().chain([last]).enumerate() {
            let target = if number == 0 && is_complete { id } else { self.create_shard() };
            part.revision = self.shards.get(&target).map_or(0, |shard| shard.revision);
            batch.txn.require(shard_key(target), part.revision);
            batch.txn.writes.push(Write::set(shard_key(target), &self.shard_record(&part)));
            batch.shards.push((target, part));
        }
        batch.split_remainder = (!is_complete).then_some((id, remainder));
    }
}

/// The parts into which a shard is split.
struct ShardSplit {
    /// Parts that take no more.
    full: Vec<PlacementShard>,
    /// The part that is being filled.
    last: PlacementShard,
    /// The size of the part that is being filled.
    size: ShardSize,
    /// Entries that found no room in any part.
    remainder: PlacementShard,
    max_parts: usize,
    max_bytes: usize,
}

impl ShardSplit {
    /// An empty split of a shard that was last written at `revision`, into `max_parts`
    /// parts of `max_bytes` bytes each.
    fn new(revision: u64, max_parts: usize, max_bytes: usize) -> ShardSplit {
        ShardSplit {
            full: Vec::new(),
            last: PlacementShard::default(),
            size: ShardSize::new(),
            remainder: PlacementShard { revision, ..PlacementShard::default() },
            max_parts,
            max_bytes,
        }
    }

    /// Whether all entries found room.
    fn is_complete(&self) -> bool {
        self.remainder.starts.is_empty() && self.remainder.completed.is_empty()
    }

    /// Whether another part may be begun.
    fn may_begin_part(&self) -> bool {
        self.full.len() + 1 < self.max_parts
    }

    /// Begins another part.
    fn begin_part(&mut self) {
        self.full.push(std::mem::take(&mut self.last));
        self.size = ShardSize::new();
    }

    fn add_start(&mut self, start: StartRecord, location: &MachineLocation) {
        if !self.size.has_room_for(&start, location, self.max_bytes) && self.may_begin_part() {
            self.begin_part();
        }
        if !self.size.has_room_for(&start, location, self.max_bytes) {
            self.remainder.starts.push(start);
            return;
        }
        self.size.add_start(&start, location);
        self.last.starts.push(start);
    }

    fn add_completed(&mut self, job: &Name, mut ranges: Ranges) {
        while !ranges.is_empty() {
            let fitting = self.size.fitting_ranges(job, &ranges, self.max_bytes);
            if !fitting.is_empty() {
                self.size.add_completed(job, &fitting);
                ranges = ranges.without_first_parts(fitting.parts());
                self.last.completed.push((job.clone(), fitting));
            } else if self.may_begin_part() && !self.size.is_empty() {
                self.begin_part();
            } else {
                self.remainder.completed.push((job.clone(), ranges));
                return;
            }
        }
    }
}
