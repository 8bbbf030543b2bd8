//! Group commit: what the leader's state has that the store lacks, as one
//! transaction at a time, built from the state itself.  A transaction that
//! failed or stayed in doubt is simply built again from what then holds.
//!
//! The service counts changes by key, so starts and completed tasks of many
//! machines and jobs share a *page*.  A transaction rewrites one page: what is
//! still true of it, and all that is new.  Pages are taken in turn, so what
//! is no longer true leaves the store by and by without a change of its own;
//! until then it only makes a new leader count a place as uncertain.

mod apply;
mod build;
mod shard_size;
mod split;
mod stored;

pub use stored::{read_shard, shard_key, started_jobs, started_jobs_of_shard};

use crate::cluster::{PlacementShard, QueueKey, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::Txn;

/// What one transaction may hold.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Puts and deletes.
    pub writes: usize,
    /// Conditions.
    pub preconditions: usize,
    /// Bytes of a page, within the limit for a value.
    pub shard_bytes: usize,
    /// Bytes of any value.
    pub value_bytes: usize,
}

impl TxnLimits {
    /// Three quarters of it, but room for an end and a page with a few starts.
    pub fn reduced(self) -> TxnLimits {
        let less = |n: usize, least: usize| (n / 4 * 3).max(least.min(n));
        TxnLimits {
            writes: less(self.writes, 3),
            preconditions: less(self.preconditions, 12),
            shard_bytes: less(self.shard_bytes, 512),
            value_bytes: less(self.value_bytes, 512),
        }
    }
}

/// A transaction and what its success means.
#[derive(Debug, Default)]
pub struct CommitBatch {
    /// What is sent.
    pub txn: Txn,
    /// Pages as it writes them.
    pages: Vec<(u32, PlacementShard)>,
    /// A page that others now hold a part of, with what is left to it.
    divided: Option<(u32, PlacementShard)>,
    /// The starts among the pages' that are new, with their turns.
    starts: Vec<(QueueKey, StartRecord)>,
    /// The completed tasks that are new.
    done: Vec<(Name, Ranges)>,
    ends: Vec<(Name, JobOutcome)>,
}

impl CommitBatch {
    /// Whether one more change and its condition fit, with room left for a page.
    fn room(&self, most: &TxnLimits) -> bool {
        self.txn.writes.len() + 1 < most.writes && self.txn.preconditions.len() + 2 < most.preconditions
    }

    fn end(&mut self, id: Name, outcome: JobOutcome) {
        key::put_outcome(&mut self.txn, &id, outcome);
        self.ends.push((id, outcome));
    }
}

#[cfg(test)]
mod tests;
