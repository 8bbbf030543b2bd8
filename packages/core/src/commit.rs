//! Group commit: what the leader's state has that the store lacks, as one
//! transaction at a time, built from the state itself.  A transaction that
//! failed or stayed in doubt is simply built again from what then holds.
//!
//! The service counts changes by key, so starts and completed tasks of many
//! machines and jobs share a *page*.  A transaction rewrites one page: what is
//! still true of it, and all that is new.  Pages are taken in turn, so what
//! is no longer true leaves the store by and by without a change of its own;
//! until then it only makes a new leader count a place as uncertain.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, Machine, MachineLocation, PlacementShard, QueueKey, StartRecord, TaskPhase};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{read_value, KeyValue, Precondition, Txn, Write};

/// Task, attempt, machine (as an index) and session of a start.
type StoredStart = (u32, u64, usize, u64);

/// The stored form: names once, the rest by number.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ShardRecord {
    pools: Vec<(Name, Name, bool)>,
    machines: Vec<(Name, usize)>,
    /// By job.
    starts: Vec<(Name, Vec<StoredStart>)>,
    done: Vec<(Name, Ranges)>,
}

/// Turns a stored page into starts, with type, zone and kind of each machine.
pub fn read_shard(path: &str, item: &KeyValue) -> Option<(u32, PlacementShard, HashMap<Name, MachineLocation>)> {
    let id = path.strip_prefix(key::SHARD)?.parse().ok()?;
    let r: ShardRecord = read_value(path, item.value.clone())?;
    let mut places = HashMap::new();
    for (name, pool) in &r.machines {
        places.insert(name.clone(), r.pools.get(*pool)?.clone());
    }
    let mut starts = Vec::new();
    for (job, list) in r.starts {
        for (index, attempt, machine, session) in list {
            let machine = r.machines.get(machine)?.0.clone();
            starts.push(StartRecord { machine, task: Task { job: job.clone(), index }, attempt, incarnation: session });
        }
    }
    Some((id, PlacementShard { revision: item.revision, starts, completed: r.done }, places))
}

/// The jobs that a stored page names as started.
pub fn started_jobs_of_shard(item: &KeyValue) -> Vec<Name> {
    let r: Option<ShardRecord> = read_value(&item.key, item.value.clone());
    r.map(|r| r.starts.into_iter().map(|s| s.0).collect()).unwrap_or_default()
}

/// The jobs that have begun, as far as pages tell: no start is stored before the
/// ends of all that its job needs, so they wait for nothing.
pub fn started_jobs<'a>(pages: impl Iterator<Item = &'a PlacementShard>) -> HashSet<Name> {
    let of = |p: &'a PlacementShard| p.starts.iter().map(|s| &s.task.job).chain(p.completed.iter().map(|d| &d.0));
    pages.flat_map(of).cloned().collect()
}

/// The key of a page.
pub fn shard_key(id: u32) -> String {
    format!("{}{id}", key::SHARD)
}

/// Most that a number takes.
fn digits(n: u64) -> usize {
    n.checked_ilog10().map_or(1, |d| d as usize + 1)
}

/// Most that a text takes, with quotes, however it is escaped.
fn text(s: &str) -> usize {
    let plain = |c: char| matches!(c, ' '..='~') && c != '"' && c != '\\';
    2 + s.chars().map(|c| if plain(c) { 1 } else { 6 * c.len_utf16() }).sum::<usize>()
}

/// Most that a page without entries takes.
const EMPTY: usize = 64;

/// What a page takes in the form that is counted, entry by entry; a comma or a
/// colon may come with a space.
#[derive(Debug)]
struct ShardBuilder {
    bytes: usize,
    pools: Vec<MachineLocation>,
    machines: NameMap<()>,
    jobs: NameMap<()>,
}

impl ShardBuilder {
    fn new() -> ShardBuilder {
        ShardBuilder { bytes: EMPTY, pools: Vec::new(), machines: NameMap::default(), jobs: NameMap::default() }
    }

    /// What one more start takes.
    fn start(&self, s: &StartRecord, at: &MachineLocation) -> usize {
        let mut bytes = 10 + digits(s.task.index.into()) + digits(s.attempt) + digits(s.incarnation);
        bytes += digits(self.machines.len() as u64);
        if !self.machines.contains_key(&s.machine) {
            bytes += 6 + text(&s.machine) + digits(self.pools.len() as u64);
        }
        if !self.jobs.contains_key(&s.task.job) {
            bytes += 8 + text(&s.task.job);
        }
        if !self.pools.contains(at) {
            bytes += 13 + text(&at.0) + text(&at.1);
        }
        bytes
    }

    fn add_start(&mut self, s: &StartRecord, at: &MachineLocation) {
        self.bytes += self.start(s, at);
        self.machines.insert(s.machine.clone(), ());
        self.jobs.insert(s.task.job.clone(), ());
        if !self.pools.contains(at) {
            self.pools.push(at.clone());
        }
    }

    /// What completed tasks take: the name of their job, and then each range.
    fn done(job: &Name) -> usize {
        8 + text(job)
    }

    fn range((a, b): (u32, u32)) -> usize {
        6 + digits(a.into()) + digits(b.into())
    }

    fn add_done(&mut self, job: &Name, ranges: &Ranges) {
        self.bytes += ShardBuilder::done(job) + ranges.spans().map(ShardBuilder::range).sum::<usize>();
    }

    /// As many of the first ranges as fit.
    fn fitting(&self, job: &Name, ranges: &Ranges, most: usize) -> Ranges {
        let mut left = most.saturating_sub(self.bytes + ShardBuilder::done(job));
        let fits = |r: &(u32, u32)| {
            let bytes = ShardBuilder::range(*r);
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        };
        ranges.first_parts(ranges.spans().take_while(fits).count())
    }
}

/// The machine of a start that is still to be stored; none of one that was given up.
fn to_store<'a>(machines: &'a BTreeMap<Name, Machine>, s: &StartRecord) -> Option<&'a Machine> {
    let m = machines.get(&s.machine)?;
    let p = m.tasks.get(&s.task)?;
    (p.attempt == s.attempt && p.incarnation == s.incarnation && !p.stored).then_some(m)
}

/// Pages looked at for one with room before a new one is made.
const PAGES_TRIED: usize = 4;

/// Most bytes that one transaction moves from a page that is too large; with all
/// else it stays within the 64 KiB that the service takes.
const MOST_DIVIDED: usize = 40 * 1024;

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

    fn new_page(&mut self) -> u32 {
        let id = self.shards.last_key_value().map_or(0, |p| p.0 + 1);
        // kept from now on: a try in doubt may have made it
        self.shards.insert(id, PlacementShard::default());
        id
    }

    /// Divides a page that a former version, or a former limit, let grow beyond
    /// what a value may hold now: its entries go to new pages, as many as the
    /// transaction takes, and what is left fits or waits for its next turn.
    /// Until the page itself is written again it names some starts twice, which
    /// does no harm: the same start of a task is the same start.
    fn divide(&mut self, b: &mut CommitBatch, id: u32, live: PlacementShard, most: &TxnLimits) {
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

    fn page_record(&self, page: &PlacementShard) -> ShardRecord {
        let mut r = ShardRecord::default();
        let mut machines: HashMap<&Name, usize> = HashMap::new();
        let mut jobs: HashMap<&Name, usize> = HashMap::new();
        for s in &page.starts {
            let Some(m) = self.machines.get(&s.machine) else { continue };
            let machine = *machines.entry(&s.machine).or_insert_with(|| {
                let pool = (m.kind.clone(), m.zone.clone(), m.spot);
                let pool = index_of(&mut r.pools, pool);
                r.machines.push((s.machine.clone(), pool));
                r.machines.len() - 1
            });
            let job = *jobs.entry(&s.task.job).or_insert_with(|| {
                r.starts.push((s.task.job.clone(), Vec::new()));
                r.starts.len() - 1
            });
            r.starts[job].1.push((s.task.index, s.attempt, machine, s.incarnation));
        }
        r.done.clone_from(&page.completed);
        r
    }

    /// The transaction was carried out at this revision.  Returns the jobs
    /// that ended by it.
    pub fn apply_commit(&mut self, b: CommitBatch, revision: u64, now: Instant) -> Vec<(Name, JobOutcome)> {
        for (_, s) in &b.starts {
            let Some(m) = self.machines.get_mut(&s.machine) else { continue };
            if let Some(p) =
                m.tasks.get_mut(&s.task).filter(|p| p.attempt == s.attempt && p.incarnation == s.incarnation)
            {
                p.stored = true;
                self.machines_to_command.insert(s.machine.clone());
            }
        }
        for (id, ranges) in &b.done {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            for n in ranges.iter() {
                job.completed.insert(n);
                job.completed_unstored.remove(n);
            }
            self.clear_completed(id, Some(ranges), now);
        }
        for (id, mut page) in b.pages {
            page.revision = revision;
            self.shards.insert(id, page);
        }
        if let Some((id, rest)) = b.divided {
            self.shards.insert(id, rest);
        }
        for (id, outcome) in &b.ends {
            self.clear_completed(id, None, now);
            self.set_outcome(id, *outcome, now);
        }
        b.ends
    }

    /// Completed tasks whose completion is stored are off their machines, and
    /// may be acknowledged there.
    fn clear_completed(&mut self, id: &Name, which: Option<&Ranges>, now: Instant) {
        let Some(job) = self.jobs.get(id) else { return };
        let places: Vec<(Name, Task)> = match which {
            None => job.placed_tasks(),
            Some(r) => {
                let at = |n| job.assignments.get(&n).into_iter().flatten().map(move |m| (m.clone(), n));
                let task = |(m, index)| (m, Task { job: id.clone(), index });
                r.iter().flat_map(at).map(task).collect()
            }
        };
        for (name, task) in places {
            let place = self.machines.get(&name).and_then(|m| m.tasks.get(&task));
            let Some(attempt) = place.filter(|p| p.phase == TaskPhase::Completed).map(|p| p.attempt) else { continue };
            self.release_assignment(&name, &task, now);
            if let Some(m) = self.machines.get_mut(&name) {
                m.exited.insert(task, attempt);
            }
        }
    }

    /// The transaction was not, or may not have been, carried out: all of it
    /// is to be written again.
    pub fn restore_uncommitted(&mut self, b: CommitBatch) {
        self.jobs_to_store.extend(b.done.into_iter().map(|d| d.0));
        // those that end with a cancelled job are still known to
        self.jobs_to_store.extend(b.ends.into_iter().filter(|e| e.1 == JobOutcome::Done).map(|e| e.0));
        self.unstored_starts.extend(b.starts);
    }

    /// What a key in conflict really holds: an earlier transaction of ours in
    /// doubt was carried out after all, or a user withdrew a job.
    pub fn reconcile_key(&mut self, path: &str, item: Option<&KeyValue>, now: Instant) {
        if let Some(id) = path.strip_prefix(key::SHARD).and_then(|p| p.parse().ok()) {
            // only a try of our own, in doubt until now, can have written it: it
            // may hold what this page never did, as one that divided another, and
            // to write over that would lose starts
            let stored = match item {
                None => Some(PlacementShard::default()),
                Some(i) => read_shard(path, i).map(|p| p.1),
            };
            if let Some(page) = stored {
                self.shards.insert(id, page);
            }
        } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
            let outcome = item.and_then(|i| read_value::<OutcomeRecord>(path, i.value.clone()));
            if let Some(f) = outcome {
                self.set_outcome(id, f.outcome, now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
