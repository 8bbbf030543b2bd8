//! Pages larger than a value may be.

use super::shard_size::{ShardBuilder, EMPTY};
use super::{shard_key, CommitBatch, TxnLimits};
use crate::cluster::{Cluster, PlacementShard, StartRecord};
use coralnotch_wire::state::Write;

/// Most bytes that one transaction moves from a page that is too large; with all
/// else it stays within the 64 KiB that the service takes.
const MOST_DIVIDED: usize = 40 * 1024;

impl Cluster {
    /// Divides a page that a former version, or a former limit, let grow beyond
    /// what a value may hold now: its entries go to new pages, as many as the
    /// transaction takes, and what is left fits or waits for its next turn.
    /// Until the page itself is written again it names some starts twice, which
    /// does no harm: the same start of a task is the same start.
    pub(super) fn divide(&mut self, b: &mut CommitBatch, id: u32, live: PlacementShard, most: &TxnLimits) {
        let mut rest = PlacementShard { revision: live.revision, ..PlacementShard::default() };
        let mut parts: Vec<PlacementShard> = vec![PlacementShard::default()];
        let mut filling = ShardBuilder::new();
        // one change is the ordinary page's, one this page's own
        let room = most.writes.saturating_sub(b.txn.writes.len() + 2).min(MOST_DIVIDED / most.shard_bytes.max(1));
        if b.divided.is_some() || room == 0 || most.preconditions < b.txn.preconditions.len() + room + 2 {
            return;
        }
        let place =
            |c: &Cluster, s: &StartRecord| c.machines.get(&s.machine).map(|m| (m.kind.clone(), m.zone.clone(), m.spot));
        for s in live.starts {
            let Some(at) = place(self, &s) else { continue };
            if filling.bytes + filling.start(&s, &at) > most.shard_bytes && parts.len() <= room {
                parts.push(PlacementShard::default());
                filling = ShardBuilder::new();
            }
            if filling.bytes + filling.start(&s, &at) > most.shard_bytes {
                rest.starts.push(s);
                continue;
            }
            filling.add_start(&s, &at);
            if let Some(p) = parts.last_mut() {
                p.starts.push(s);
            }
        }
        for (job, mut ranges) in live.completed {
            while !ranges.is_empty() {
                let part = filling.fitting(&job, &ranges, most.shard_bytes);
                if part.is_empty() {
                    if parts.len() > room || filling.bytes == EMPTY {
                        rest.completed.push((job, ranges));
                        break;
                    }
                    parts.push(PlacementShard::default());
                    filling = ShardBuilder::new();
                    continue;
                }
                filling.add_done(&job, &part);
                ranges = ranges.without_first_parts(part.parts());
                if let Some(p) = parts.last_mut() {
                    p.completed.push((job.clone(), part));
                }
            }
        }
        let whole = rest.starts.is_empty() && rest.completed.is_empty();
        for (n, mut part) in parts.into_iter().enumerate() {
            // what is whole has its first part in the old place
            let to = if n == 0 && whole { id } else { self.new_page() };
            part.revision = self.shards.get(&to).map_or(0, |p| p.revision);
            b.txn.require(shard_key(to), part.revision);
            b.txn.writes.push(Write::set(shard_key(to), &self.page_record(&part)));
            b.pages.push((to, part));
        }
        b.divided = (!whole).then_some((id, rest));
        tracing::info!("page {id} is larger than a value may be: divided into {}", b.pages.len());
    }
}
