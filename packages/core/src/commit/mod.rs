//! Group commit: the leader stores its changes in one transaction at a time.  A transaction
//! is built from everything that the leader's state has and the store lacks.  If it fails,
//! or its result is unknown, the next one is built from the state at that time.
//!
//! The store limits the number of keys written per second and per transaction.  The starts
//! and completed tasks of many machines and jobs therefore share one key and its value, a
//! *shard*.  A transaction rewrites one shard with its entries that are still valid and as
//! many new entries as fit.  Shards are rewritten in rotation, so that obsolete entries are
//! removed without a write of their own.  An obsolete entry that a new leader still reads
//! only makes it treat an assignment as uncertain.

mod apply;
mod build;
mod shard_size;
mod split;
mod stored;

pub use stored::{read_shard, shard_key, started_jobs, started_jobs_of_shard, StoredShard};

use crate::cluster::{PlacementShard, QueueKey, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::Txn;

/// Limits for one transaction.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Maximum number of puts and deletes.
    pub writes: usize,
    /// Maximum number of preconditions.
    pub preconditions: usize,
    /// Maximum size of a shard in bytes, at most `value_bytes`.
    pub shard_bytes: usize,
    /// Maximum size of any value in bytes.
    pub value_bytes: usize,
}

impl TxnLimits {
    /// Returns three quarters of these limits, but leaves room for an outcome and a shard
    /// with a few starts.  No limit grows.
    pub fn reduced(self) -> TxnLimits {
        let reduce = |limit: usize, least: usize| (limit / 4 * 3).max(least.min(limit));
        TxnLimits {
            writes: reduce(self.writes, 3),
            preconditions: reduce(self.preconditions, 12),
            shard_bytes: reduce(self.shard_bytes, 512),
            value_bytes: reduce(self.value_bytes, 512),
        }
    }
}

/// A transaction, and the changes to apply to the leader's state once it has succeeded.
#[derive(Debug, Default)]
pub struct CommitBatch {
    /// The transaction to send to the store.
    pub txn: Txn,
    /// The shards that the transaction writes, with their numbers.
    shards: Vec<(u32, PlacementShard)>,
    /// Number and remaining entries of an oversized shard whose other entries move to new
    /// shards.  The transaction does not write the oversized shard itself.
    split_remainder: Option<(u32, PlacementShard)>,
    /// New starts in the shards, with their positions in the queue.
    starts: Vec<(QueueKey, StartRecord)>,
    /// New completed tasks in the shards, by job.
    completed: Vec<(Name, TaskIndexSet)>,
    /// Outcomes that the transaction stores, by job.
    outcomes: Vec<(Name, JobOutcome)>,
}

impl CommitBatch {
    /// Reports whether one more write and its precondition fit, with room left for a shard.
    fn has_room(&self, limits: &TxnLimits) -> bool {
        self.txn.writes.len() + 1 < limits.writes && self.txn.preconditions.len() + 2 < limits.preconditions
    }

    /// Adds a write of the job's outcome, on condition that the job has none yet.
    fn add_outcome(&mut self, id: Name, outcome: JobOutcome) {
        key::put_outcome(&mut self.txn, &id, outcome);
        self.outcomes.push((id, outcome));
    }
}

#[cfg(test)]
mod tests;
