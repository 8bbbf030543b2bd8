//! Group commit: what the leader's state has that the store lacks, as one
//! transaction at a time, built from the state itself.  A transaction that
//! failed or stayed in doubt is simply built again from what then holds.
//!
//! The service counts changes by key, so starts and completed tasks of many
//! machines and jobs share a *page*.  A transaction rewrites one page: what is
//! still true of it, and all that is new.  Pages are taken in turn, so what
//! is no longer true leaves the store by and by without a change of its own;
//! until then it only makes a new leader count a place as uncertain.

use std::collections::HashMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, Page, Phase, Start, Turn, Whereabouts};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{read_value, Guard, Item, Txn, Write};

/// Task, attempt, machine (as an index) and session of a start.
type StartRecord = (u32, u64, usize, u64);

/// The stored form: names once, the rest by number.
#[derive(Debug, Default, Serialize, Deserialize)]
struct PageRecord {
    pools: Vec<(Name, Name, bool)>,
    machines: Vec<(Name, usize)>,
    /// By job.
    starts: Vec<(Name, Vec<StartRecord>)>,
    done: Vec<(Name, Ranges)>,
}

/// Turns a stored page into starts, with type, zone and kind of each machine.
pub fn read_page(path: &str, item: &Item) -> Option<(u32, Page, HashMap<Name, Whereabouts>)> {
    let id = path.strip_prefix(key::PAGE)?.parse().ok()?;
    let r: PageRecord = read_value(path, item.data.clone())?;
    let mut places = HashMap::new();
    for (name, pool) in &r.machines {
        places.insert(name.clone(), r.pools.get(*pool)?.clone());
    }
    let mut starts = Vec::new();
    for (job, list) in r.starts {
        for (index, attempt, machine, session) in list {
            let machine = r.machines.get(machine)?.0.clone();
            starts.push(Start { machine, task: Task { job: job.clone(), index }, attempt, session });
        }
    }
    Some((id, Page { stamp: item.stamp, starts, done: r.done }, places))
}

/// The jobs that a stored page names as started.
pub fn jobs_of_page(item: &Item) -> Vec<Name> {
    let r: Option<PageRecord> = read_value(&item.path, item.data.clone());
    r.map(|r| r.starts.into_iter().map(|s| s.0).collect()).unwrap_or_default()
}

/// The key of a page.
pub fn page_key(id: u32) -> String {
    format!("{}{id}", key::PAGE)
}

/// Upper bound of what a start adds to a page, in the form that is counted.
fn start_bytes(s: &Start) -> usize {
    64 + s.machine.len() + s.task.job.len()
}

fn done_bytes(job: &Name, ranges: &Ranges) -> usize {
    16 + job.len() + 16 * ranges.parts()
}

/// Upper bound of a page without entries: the names of types and zones.
const PAGE_HEAD: usize = 1024;

/// Pages looked at for one with room before a new one is made.
const PAGES_TRIED: usize = 4;

/// What one transaction may hold.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Puts and deletes.
    pub writes: usize,
    /// Conditions.
    pub guards: usize,
    /// Bytes of a page, within the limit for a value.
    pub page_bytes: usize,
}

/// A transaction and what its success means.
#[derive(Debug, Default)]
pub struct Batch {
    /// What is sent.
    pub txn: Txn,
    page: Option<(u32, Page)>,
    /// The starts among the page's that are new, with their turns.
    starts: Vec<(Turn, Start)>,
    /// The completed tasks that are new.
    done: Vec<(Name, Ranges)>,
    ends: Vec<Name>,
}

impl Cluster {
    /// The next transaction, if the store lacks anything.  `leader` is the
    /// stamp of the leader key: no write of a former leader gets through.
    pub fn next_batch(&mut self, leader: u64, most: &TxnLimits) -> Option<Batch> {
        let mut b = Batch::default();
        b.txn.guards.push(Guard { path: key::LEADER.into(), stamp: leader });
        let mut bytes = PAGE_HEAD;
        // completed tasks first: their users wait.  The end of a job says it
        // all; no range is needed beside it, and none is ever missing
        for id in std::mem::take(&mut self.finished) {
            let Some(job) = self.jobs.get(&id).filter(|j| j.fate.is_none()) else { continue };
            if job.completing() {
                if b.txn.writes.len() + 1 < most.writes && b.txn.guards.len() + 2 < most.guards {
                    let path = format!("{}{id}", key::FATE);
                    b.txn.guard(path.clone(), 0);
                    b.txn.writes.push(Write::set(path, &FateRecord { fate: Fate::Done }));
                    b.ends.push(id);
                } else {
                    self.finished.insert(id);
                }
                continue;
            }
            let room = most.page_bytes.saturating_sub(bytes + 16 + id.len()) / 16;
            let part = job.finishing.first_parts(room);
            if part.parts() < job.finishing.parts() {
                self.finished.insert(id.clone());
            }
            if !part.is_empty() {
                bytes += done_bytes(&id, &part);
                b.done.push((id, part));
            }
        }
        // then starts, in the order of the queue.  No start of a job that is
        // over is ever stored
        while let Some((turn, s)) = self.unstored.pop_first() {
            let place = self.machines.get(&s.machine).and_then(|m| m.tasks.get(&s.task));
            if !place.is_some_and(|p| p.attempt == s.attempt && p.session == s.session && !p.stored) {
                continue;
            }
            let path = format!("{}{}", key::FATE, s.task.job);
            let guards = b.txn.guards.len() + usize::from(!b.txn.guarded(&path));
            // one more guard is the page's
            if bytes + start_bytes(&s) > most.page_bytes || guards + 1 > most.guards {
                self.unstored.insert(turn, s);
                break;
            }
            b.txn.guard(path, 0);
            bytes += start_bytes(&s);
            b.starts.push((turn, s));
        }
        if !b.starts.is_empty() || !b.done.is_empty() {
            let (id, mut page) = self.page_with_room(bytes, most.page_bytes);
            b.txn.guard(page_key(id), page.stamp);
            page.starts.extend(b.starts.iter().map(|(_, s)| s.clone()));
            page.done.extend(b.done.iter().cloned());
            b.txn.writes.push(Write::set(page_key(id), &self.page_record(&page)));
            b.page = Some((id, page));
        }
        (!b.txn.writes.is_empty()).then_some(b)
    }

    /// What of a page is still true.
    fn live(&self, page: &Page) -> Page {
        let at = |s: &&Start| {
            let p = self.machines.get(&s.machine).and_then(|m| m.tasks.get(&s.task));
            p.is_some_and(|p| p.attempt == s.attempt)
        };
        let open = |d: &&(Name, Ranges)| self.jobs.get(&d.0).is_some_and(|j| j.fate.is_none());
        Page {
            stamp: page.stamp,
            starts: page.starts.iter().filter(at).cloned().collect(),
            done: page.done.iter().filter(open).cloned().collect(),
        }
    }

    /// The next page in turn that has room, with what is still true of it; of
    /// a few the emptiest, or a new one.
    fn page_with_room(&mut self, new: usize, most: usize) -> (u32, Page) {
        let next = self.next_page;
        let ids: Vec<u32> =
            self.pages.range(next..).chain(self.pages.range(..next)).map(|p| *p.0).take(PAGES_TRIED).collect();
        if let Some(last) = ids.last() {
            self.next_page = last + 1;
        }
        let mut best: Option<(usize, u32, Page)> = None;
        for id in ids {
            let live = self.live(&self.pages[&id]);
            let bytes = live.starts.iter().map(start_bytes).sum::<usize>()
                + live.done.iter().map(|(j, r)| done_bytes(j, r)).sum::<usize>();
            if bytes + new <= most && best.as_ref().is_none_or(|b| bytes < b.0) {
                best = Some((bytes, id, live));
            }
        }
        match best {
            Some((_, id, page)) => (id, page),
            None => {
                let id = self.pages.last_key_value().map_or(0, |p| p.0 + 1);
                // kept from now on: a try in doubt may have made it
                self.pages.insert(id, Page::default());
                (id, Page::default())
            }
        }
    }

    fn page_record(&self, page: &Page) -> PageRecord {
        let mut r = PageRecord::default();
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
            r.starts[job].1.push((s.task.index, s.attempt, machine, s.session));
        }
        r.done.clone_from(&page.done);
        r
    }

    /// The transaction was carried out at this revision.  Returns the jobs
    /// that are done by it.
    pub fn committed(&mut self, b: Batch, revision: u64, now: Instant) -> Vec<Name> {
        for (_, s) in &b.starts {
            let Some(m) = self.machines.get_mut(&s.machine) else { continue };
            if let Some(p) = m.tasks.get_mut(&s.task).filter(|p| p.attempt == s.attempt && p.session == s.session) {
                p.stored = true;
                self.tell.insert(s.machine.clone());
            }
        }
        for (id, ranges) in &b.done {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            for n in ranges.iter() {
                job.done.insert(n);
                job.finishing.remove(n);
            }
            self.clear_completed(id, Some(ranges), now);
        }
        if let Some((id, mut page)) = b.page {
            page.stamp = revision;
            self.pages.insert(id, page);
        }
        for id in &b.ends {
            self.clear_completed(id, None, now);
            self.set_fate(id, Fate::Done, now);
        }
        b.ends
    }

    /// Completed tasks whose completion is stored are off their machines, and
    /// may be acknowledged there.
    fn clear_completed(&mut self, id: &Name, which: Option<&Ranges>, now: Instant) {
        let Some(job) = self.jobs.get(id) else { return };
        let places: Vec<(Name, Task)> = match which {
            None => job.placed(),
            Some(r) => {
                let at = |n| job.places.get(&n).into_iter().flatten().map(move |m| (m.clone(), n));
                let task = |(m, index)| (m, Task { job: id.clone(), index });
                r.iter().flat_map(at).map(task).collect()
            }
        };
        for (name, task) in places {
            let place = self.machines.get(&name).and_then(|m| m.tasks.get(&task));
            let Some(attempt) = place.filter(|p| p.phase == Phase::Completed).map(|p| p.attempt) else { continue };
            self.vacate(&name, &task, now);
            if let Some(m) = self.machines.get_mut(&name) {
                m.exited.insert(task, attempt);
            }
        }
    }

    /// The transaction was not, or may not have been, carried out: all of it
    /// is to be written again.
    pub fn not_committed(&mut self, b: Batch) {
        self.finished.extend(b.done.into_iter().map(|d| d.0));
        self.finished.extend(b.ends);
        self.unstored.extend(b.starts);
    }

    /// What a key in conflict really holds: an earlier transaction of ours in
    /// doubt was carried out after all, or a user withdrew a job.
    pub fn resolve(&mut self, path: &str, item: Option<&Item>, now: Instant) {
        if let Some(id) = path.strip_prefix(key::PAGE).and_then(|p| p.parse().ok()) {
            if let Some(page) = self.pages.get_mut(&id) {
                page.stamp = item.map_or(0, |i| i.stamp);
            }
        } else if let Some(id) = path.strip_prefix(key::FATE) {
            let fate = item.and_then(|i| read_value::<FateRecord>(path, i.data.clone()));
            if let Some(f) = fate {
                self.set_fate(id, f.fate, now);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim::{cluster, spec};
    use proptest::prelude::*;

    fn limits(page_bytes: usize) -> TxnLimits {
        TxnLimits { writes: 8, guards: 32, page_bytes }
    }

    proptest! {
        /// All that is committed is found by the next leader, over however
        /// many pages and however the tasks come and go; no page outgrows its
        /// limit, and no start is called stored that no page has.
        #[test]
        fn pages_hold_what_is_true(ops in prop::collection::vec((0u8..4, 0u32..40, 0usize..6), 1..120)) {
            let now = Instant::now();
            let mut c = cluster(1, now);
            let mut store: HashMap<String, Item> = HashMap::new();
            let mut revision = 10;
            c.add_job(spec("j-000001", 40), 1, None, now);
            for i in 0..6 {
                let name: Name = format!("i-{i}").into();
                let mut m = crate::cluster::Machine::new(name.clone(), "t".into(), "z0".into(), false, now);
                m.session = 1;
                c.machines.insert(name, m);
            }
            for (op, index, machine) in ops {
                let task = Task { job: "j-000001".into(), index };
                let machine: Name = format!("i-{machine}").into();
                match op {
                    0 | 1 => {
                        let attempt = c.new_attempt();
                        c.assign(&task, &machine, attempt, now);
                    }
                    2 => {
                        let at = c.jobs["j-000001"].places.get(&index).map(|l| l[0].clone());
                        if let Some(at) = at {
                            c.vacate(&at, &task, now);
                        }
                    }
                    _ => {
                        if let Some(b) = c.next_batch(5, &limits(1024 + 400)) {
                            revision += 1;
                            for w in &b.txn.writes {
                                if let Write::Set { set, data, .. } = w {
                                    let size = serde_json::to_string(&data).map_or(0, |s| s.len());
                                    prop_assert!(size <= 1024 + 400, "a page of {} bytes", size);
                                    let item = Item { path: set.clone(), data: data.clone(), stamp: revision };
                                    store.insert(set.clone(), item);
                                }
                            }
                            c.committed(b, revision, now);
                        }
                    }
                }
            }
            let mut next = cluster(2, now);
            next.add_job(spec("j-000001", 40), 1, None, now);
            for (path, item) in &store {
                let (id, page, machines) = read_page(path, item).expect("our own page");
                prop_assert_eq!(c.pages[&id].stamp, page.stamp);
                next.add_page(id, page, &machines, now);
            }
            for (name, m) in &c.machines {
                for (task, p) in m.tasks.iter().filter(|(_, p)| p.stored) {
                    let found = next.machines.get(name).and_then(|m| m.tasks.get(task));
                    prop_assert!(found.is_some_and(|f| f.attempt == p.attempt && f.former), "{} is lost", task);
                }
            }
        }
    }

    /// The end of a job is stored once, and with the last task, not before.
    #[test]
    fn the_end_comes_with_the_last_task() {
        let now = Instant::now();
        let mut c = cluster(1, now);
        c.add_job(spec("j-000001", 2), 1, None, now);
        let task = |index| Task { job: "j-000001".into(), index };
        c.complete(&task(0), now);
        let b = c.next_batch(5, &limits(4096)).expect("a completed task");
        assert!(b.ends.is_empty() && b.done.len() == 1);
        assert!(c.committed(b, 6, now).is_empty());
        c.complete(&task(1), now);
        let b = c.next_batch(5, &limits(4096)).expect("the end");
        assert!(b.txn.guarded("c2/w/fate/j-000001"));
        // in doubt: said again, and only its success counts
        c.not_committed(b);
        let b = c.next_batch(5, &limits(4096)).expect("the end again");
        assert_eq!(c.committed(b, 7, now), ["j-000001".into()]);
        assert!(c.next_batch(5, &limits(4096)).is_none());
    }
}
