//! The next transaction.

use std::collections::BTreeMap;

use super::shard_size::ShardBuilder;
use super::{shard_key, CommitBatch, TxnLimits};
use crate::cluster::{Cluster, Machine, PlacementShard, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{Precondition, Write};

/// The machine of a start that is still to be stored; none of one that was given up.
fn to_store<'a>(machines: &'a BTreeMap<Name, Machine>, s: &StartRecord) -> Option<&'a Machine> {
    let m = machines.get(&s.machine)?;
    let p = m.tasks.get(&s.task)?;
    (p.attempt == s.attempt && p.incarnation == s.incarnation && !p.stored).then_some(m)
}

/// Pages looked at for one with room before a new one is made.
const PAGES_TRIED: usize = 4;

impl Cluster {
    /// The next transaction, if the store lacks anything.  `leader` is the
    /// stamp of the leader key: no write of a former leader gets through.
    pub fn next_commit(&mut self, leader: u64, most: &TxnLimits) -> Option<CommitBatch> {
        let mut b = CommitBatch::default();
        b.txn.preconditions.push(Precondition { key: key::LEADER.into(), revision: leader });
        // what needs a cancelled job ends with it; half of a transaction is left
        // to those that completed, whose users wait
        let needs_cancelled_job: Vec<Name> =
            self.dependency.needing_cancelled().take(most.writes.div_ceil(2)).cloned().collect();
        for id in needs_cancelled_job {
            if b.room(most) {
                b.end(id, JobOutcome::Cancelled);
            }
        }
        // The end of a job says it all; no range is needed beside it, and none
        // is ever missing
        let mut partly = Vec::new();
        for id in std::mem::take(&mut self.jobs_to_store) {
            let Some(job) = self.jobs.get(&id).filter(|j| j.outcome.is_none()) else { continue };
            if !job.is_completing() {
                if !job.completed_unstored.is_empty() {
                    partly.push(id);
                }
            } else if b.room(most) {
                b.end(id, JobOutcome::Done);
            } else {
                self.jobs_to_store.insert(id);
            }
        }
        // a start that was given up meanwhile is nothing to store
        while let Some(first) = self.unstored_starts.first_entry() {
            if to_store(&self.machines, first.get()).is_some() {
                break;
            }
            first.remove();
        }
        if !partly.is_empty() || !self.unstored_starts.is_empty() {
            self.fill_page(&mut b, partly, most);
        }
        (!b.txn.writes.is_empty()).then_some(b)
    }

    /// Adds a page with what is new: completed tasks first, their users wait;
    /// then starts, in the order of the queue.
    fn fill_page(&mut self, b: &mut CommitBatch, partly: Vec<Name>, most: &TxnLimits) {
        let news = partly.len() + self.unstored_starts.len();
        let (id, mut page, mut filling) = self.page_with_room(b, news, most);
        b.txn.require(shard_key(id), page.revision);
        for job in partly {
            let Some(j) = self.jobs.get(&job) else { continue };
            let part = filling.fitting(&job, &j.completed_unstored, most.shard_bytes);
            if part.parts() < j.completed_unstored.parts() {
                self.jobs_to_store.insert(job.clone());
            }
            if !part.is_empty() {
                filling.add_done(&job, &part);
                b.done.push((job, part));
            }
        }
        // No start of a job that is over is ever decided; what was found running of
        // one is on record like any other, for it counts until it is gone.  To
        // guard that on the absence of its end would fail for ever, and with it all
        // else that there is to store
        while let Some((turn, s)) = self.unstored_starts.pop_first() {
            let Some(m) = to_store(&self.machines, &s) else { continue };
            let at = (m.kind.clone(), m.zone.clone(), m.spot);
            let path = format!("{}{}", key::OUTCOME, s.task.job);
            let over = self.jobs.get(&s.task.job).is_none_or(|j| j.outcome.is_some());
            let guards = b.txn.preconditions.len() + usize::from(!over && !b.txn.requires(&path));
            if filling.bytes + filling.start(&s, &at) > most.shard_bytes || guards > most.preconditions {
                self.unstored_starts.insert(turn, s);
                break;
            }
            if !over {
                b.txn.require(path, 0);
            }
            filling.add_start(&s, &at);
            b.starts.push((turn, s));
        }
        page.starts.extend(b.starts.iter().map(|(_, s)| s.clone()));
        page.completed.extend(b.done.iter().cloned());
        b.txn.writes.push(Write::set(shard_key(id), &self.page_record(&page)));
        b.pages.push((id, page));
    }

    /// What of a page is still true, and what that takes.
    fn live(&self, page: &PlacementShard) -> (PlacementShard, ShardBuilder) {
        let (mut live, mut filling) =
            (PlacementShard { revision: page.revision, ..PlacementShard::default() }, ShardBuilder::new());
        for s in &page.starts {
            let Some(m) = self.machines.get(&s.machine) else { continue };
            // a start for an earlier session is dead, also if the attempt is the same
            if m.tasks.get(&s.task).is_some_and(|p| p.attempt == s.attempt && p.incarnation == s.incarnation) {
                filling.add_start(s, &(m.kind.clone(), m.zone.clone(), m.spot));
                live.starts.push(s.clone());
            }
        }
        for (id, ranges) in &page.completed {
            if self.jobs.get(id).is_some_and(|j| j.outcome.is_none()) {
                filling.add_done(id, ranges);
                live.completed.push((id.clone(), ranges.clone()));
            }
        }
        (live, filling)
    }

    /// The next page in turn that has room, with what is still true of it; of
    /// a few the emptiest, or a new one.  A page is worth its change if it takes
    /// all that is new, or as much as half a page.
    fn page_with_room(
        &mut self,
        b: &mut CommitBatch,
        news: usize,
        most: &TxnLimits,
    ) -> (u32, PlacementShard, ShardBuilder) {
        let wanted = (news * 48).min(most.shard_bytes / 2);
        let next = self.next_shard;
        let ids: Vec<u32> =
            self.shards.range(next..).chain(self.shards.range(..next)).map(|p| *p.0).take(PAGES_TRIED).collect();
        if let Some(last) = ids.last() {
            self.next_shard = last + 1;
        }
        let mut best: Option<(u32, PlacementShard, ShardBuilder)> = None;
        for id in ids {
            let (live, filling) = self.live(&self.shards[&id]);
            if filling.bytes > most.shard_bytes {
                self.divide(b, id, live, most);
            } else if filling.bytes + wanted <= most.shard_bytes
                && best.as_ref().is_none_or(|b| filling.bytes < b.2.bytes)
            {
                best = Some((id, live, filling));
            }
        }
        best.unwrap_or_else(|| (self.new_page(), PlacementShard::default(), ShardBuilder::new()))
    }

    pub(super) fn new_page(&mut self) -> u32 {
        let id = self.shards.last_key_value().map_or(0, |p| p.0 + 1);
        // kept from now on: a try in doubt may have made it
        self.shards.insert(id, PlacementShard::default());
        id
    }
}
