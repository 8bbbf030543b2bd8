//! Group commit: what the leader's state has and the store lacks is written in one
//! transaction at a time, which is built from the state itself.  A transaction that
//! failed, or whose result is unknown, is simply built again from the state at that time.
//!
//! The store limits writes by key, so the starts and completed tasks of many machines and
//! jobs share a *shard*.  A transaction rewrites one shard: what is still valid of it,
//! and all that is new.  Shards are rewritten in rotation, so that entries that are no
//! longer valid leave the store without a write of their own; until then they only make
//! a new leader count an assignment as uncertain.

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

/// What one transaction may hold.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Puts and deletes.
    pub writes: usize,
    /// Preconditions.
    pub preconditions: usize,
    /// Bytes of a shard, within the limit for a value.
    pub shard_bytes: usize,
    /// Bytes of any value.
    pub value_bytes: usize,
}

impl TxnLimits {
    /// Three quarters of these limits, but room for an outcome and a shard with a few
    /// starts.
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

/// A transaction, and what is to be applied when it has succeeded.
#[derive(Debug, Default)]
pub struct CommitBatch {
    /// The transaction.
    pub txn: Txn,
    /// Shards as it writes them, by number.
    shards: Vec<(u32, PlacementShard)>,
    /// An oversized shard that was split and is not written: what remains to it, as the
    /// other shards now hold the rest.
    split_remainder: Option<(u32, PlacementShard)>,
    /// New starts in the shards, with their position in the queue.
    starts: Vec<(QueueKey, StartRecord)>,
    /// New completed tasks in the shards, by job.
    completed: Vec<(Name, Ranges)>,
    /// Jobs that end.
    outcomes: Vec<(Name, JobOutcome)>,
}

impl CommitBatch {
    /// Whether one more write and its precondition fit, with room left for a shard.
    fn has_room(&self, limits: &TxnLimits) -> bool {
        self.txn.writes.len() + 1 < limits.writes && self.txn.preconditions.len() + 2 < limits.preconditions
    }

    /// Adds the outcome of a job.
    fn add_outcome(&mut self, id: Name, outcome: JobOutcome) {
        key::put_outcome(&mut self.txn, &id, outcome);
        self.outcomes.push((id, outcome));
    }
}

#[cfg(test)]
mod tests;
