//! Splits shards that exceed the size limit.

use super::shard_size::{OpenShard, ShardSize};
use super::{shard_key, CommitBatch, TxnLimits};
use crate::cluster::{Cluster, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;
use coralnotch_wire::state::Write;

/// Maximum size of the entries that one transaction moves out of an oversized shard, in
/// bytes.  With its other writes the transaction stays below the 64 KiB that the store accepts.
const MAX_MOVED_BYTES: usize = 40 * 1024;

/// Number of writes, each with its precondition, that a split leaves free in a transaction:
/// one for the shard with the new entries, and one for the split shard itself.
const RESERVED_WRITES: usize = 2;

impl Cluster {
    /// Splits a shard that exceeds the size limit because an earlier version wrote it or the
    /// limit was higher at that time.  As many entries as the transaction can hold move to
    /// new shards.  If the rest is still too large, it is split when the rotation reaches
    /// the shard again.
    ///
    /// Until the split shard itself is rewritten, some starts are stored in two shards.  This
    /// is harmless, because both entries denote the same start.
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

    /// Adds the parts of a split shard to the transaction.  If all entries fit into the parts,
    /// the first part replaces the split shard itself.
    fn write_split(&mut self, batch: &mut CommitBatch, id: u32, split: ShardSplit) {
        let is_complete = split.is_complete();
        let ShardSplit { closed, current, remainder, .. } = split;
        for (number, mut part) in closed.into_iter().chain([current]).enumerate() {
            let target = if number == 0 && is_complete { id } else { self.create_shard() };
            part.revision = self.shards.get(&target).map_or(0, |shard| shard.revision);
            batch.txn.add_precondition(shard_key(target), part.revision);
            batch.txn.writes.push(Write::set(shard_key(target), &self.shard_record(&part)));
            batch.shards.push((target, part));
        }
        batch.split_remainder = (!is_complete).then_some((id, remainder));
    }
}

/// The distribution of a shard's entries over smaller shards, the parts.
struct ShardSplit {
    /// Parts that are closed.
    closed: Vec<PlacementShard>,
    /// The part to which entries are being added.
    current: PlacementShard,
    /// Size of `current`.
    size: ShardSize,
    /// Entries that do not fit into any part.
    remainder: PlacementShard,
    max_parts: usize,
    /// Maximum size of a part in bytes.
    max_bytes: usize,
}

impl ShardSplit {
    /// Starts the split of a shard that was last written at `revision`, into at most
    /// `max_parts` parts of at most `max_bytes` bytes each.
    fn new(revision: u64, max_parts: usize, max_bytes: usize) -> ShardSplit {
        ShardSplit {
            closed: Vec::new(),
            current: PlacementShard::default(),
            size: ShardSize::new(),
            remainder: PlacementShard { revision, ..PlacementShard::default() },
            max_parts,
            max_bytes,
        }
    }

    /// Reports whether all entries fit into the parts.
    fn is_complete(&self) -> bool {
        self.remainder.starts.is_empty() && self.remainder.completed.is_empty()
    }

    /// Reports whether the split may have another part.
    fn may_begin_part(&self) -> bool {
        self.closed.len() + 1 < self.max_parts
    }

    /// Closes the current part and begins an empty one.
    fn begin_part(&mut self) {
        self.closed.push(std::mem::take(&mut self.current));
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
        self.current.starts.push(start);
    }

    fn add_completed(&mut self, job: &Name, mut ranges: TaskIndexSet) {
        while !ranges.is_empty() {
            let fitting = self.size.fitting_ranges(job, &ranges, self.max_bytes);
            if !fitting.is_empty() {
                self.size.add_completed(job, &fitting);
                ranges = ranges.without_first_ranges(fitting.range_count());
                self.current.completed.push((job.clone(), fitting));
            } else if self.may_begin_part() && !self.size.is_empty() {
                self.begin_part();
            } else {
                self.remainder.completed.push((job.clone(), ranges));
                return;
            }
        }
    }
}
