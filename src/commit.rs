//! Group commit: what the leader's state has that the store lacks, as one
//! transaction at a time, built from the state itself.  A transaction that
//! failed or stayed in doubt is simply built again from what then holds.

use std::time::Instant;

use crate::cluster::{Cluster, Exited, MachineRecord, Phase, CHUNK};
use crate::model::*;
use crate::store::{key, Guard, Item, Txn, TxnLimits, Write};

/// A transaction and what its success means.
#[derive(Debug, Default)]
pub struct Batch {
    /// What is sent.
    pub txn: Txn,
    machines: Vec<(Name, Option<MachineRecord>)>,
    chunks: Vec<(Name, u32, Ranges)>,
    ends: Vec<Name>,
    bytes: usize,
}

/// Bytes of a transaction; half the service's limit, which counts JSON.
const MOST_BYTES: usize = 30 * 1024;

fn room(b: &Batch, most: &TxnLimits, guards: usize) -> bool {
    b.txn.writes.len() < most.writes && b.txn.guards.len() + guards <= most.guards && b.bytes < MOST_BYTES
}

/// The key of a chunk of completed tasks.
pub fn chunk_key(job: &str, chunk: u32) -> String {
    format!("{}{job}/{chunk}", key::DONE)
}

impl Cluster {
    /// The next transaction, if the store lacks anything.  `leader` is the
    /// stamp of the leader key: no write of a former leader gets through.
    pub fn next_batch(&mut self, leader: u64, most: &TxnLimits) -> Option<Batch> {
        let mut b = Batch::default();
        b.txn.guards.push(Guard { path: key::LEADER.into(), stamp: leader });
        // completed tasks first: their users wait
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| j.fate.is_none()) {
            while let Some(&c) = job.dirty_chunks.iter().next() {
                if !room(&b, most, 2) {
                    break;
                }
                job.dirty_chunks.remove(&c);
                let (from, to) = (c * CHUNK, (c + 1).saturating_mul(CHUNK));
                let mut all = job.done.within(from, to);
                for n in job.finishing.within(from, to).iter() {
                    all.insert(n);
                }
                let path = chunk_key(id, c);
                b.txn.guard(path.clone(), job.chunks.get(&c).copied().unwrap_or(0));
                b.bytes += 64 + 16 * all.len().min(CHUNK) as usize / 2;
                b.txn.writes.push(Write::set(path, &DoneRecord { done: all.clone() }));
                b.chunks.push((id.clone(), c, all));
            }
            // the last range and the end in one transaction, if it is all
            // that is left; the end never before the last range
            if job.completing() && job.dirty_chunks.is_empty() && room(&b, most, 1) {
                let path = format!("{}{id}", key::FATE);
                b.txn.guard(path.clone(), 0);
                b.txn.writes.push(Write::set(path, &FateRecord { fate: Fate::Done }));
                b.ends.push(id.clone());
            }
        }
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.dirty) {
            let mut fates: Vec<&Name> = m.tasks.iter().filter(|(_, p)| !p.stored).map(|(t, _)| &t.job).collect();
            fates.dedup();
            if !room(&b, most, 1 + fates.len()) {
                if b.txn.writes.is_empty() {
                    log::error!("machine {name} has starts of {} jobs, too many for a transaction", fates.len());
                }
                continue;
            }
            // a completed task stays in the record until its range is stored
            let tasks: Vec<(Task, u64, u64)> = m.tasks.iter().map(|(t, p)| (t.clone(), p.attempt, p.session)).collect();
            let path = format!("{}{name}", key::MACHINE);
            if tasks.is_empty() && m.stamp == 0 {
                m.dirty = false;
                for e in m.exited.values_mut() {
                    e.cleared = true;
                }
                continue;
            }
            // no start of a job that is over is ever stored
            for f in fates {
                b.txn.guard(format!("{}{f}", key::FATE), 0);
            }
            m.dirty = false;
            b.txn.guard(path.clone(), m.stamp);
            b.bytes += 64 + tasks.len() * 56;
            if tasks.is_empty() {
                b.txn.writes.push(Write::delete(path));
                b.machines.push((name.clone(), None));
            } else {
                let r = MachineRecord { kind: m.kind.clone(), zone: m.zone.clone(), spot: m.spot, tasks };
                b.txn.writes.push(Write::set(path, &r));
                b.machines.push((name.clone(), Some(r)));
            }
        }
        (!b.txn.writes.is_empty()).then_some(b)
    }

    /// The transaction was carried out at this revision.  Returns the jobs
    /// that are done by it.
    pub fn committed(&mut self, b: &Batch, revision: u64, now: Instant) -> Vec<Name> {
        for (id, chunk, ranges) in &b.chunks {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.chunks.insert(*chunk, revision);
            for n in ranges.iter() {
                job.done.insert(n);
                job.finishing.remove(n);
            }
            for (name, task) in job.placed().into_iter().filter(|(_, t)| ranges.contains(t.index)) {
                let place = self.machines.get(&name).and_then(|m| m.tasks.get(&task));
                let Some(attempt) = place.filter(|p| p.phase == Phase::Completed).map(|p| p.attempt) else { continue };
                self.vacate(&name, &task, now);
                if let Some(m) = self.machines.get_mut(&name) {
                    m.exited.insert(task, Exited { attempt, cleared: false });
                }
            }
        }
        for (name, record) in &b.machines {
            let Some(m) = self.machines.get_mut(name) else { continue };
            m.stamp = if record.is_some() { revision } else { 0 };
            let empty = Vec::new();
            let stored = record.as_ref().map_or(&empty, |r| &r.tasks);
            for (t, attempt, session) in stored {
                if let Some(p) = m.tasks.get_mut(t).filter(|p| p.attempt == *attempt && p.session == *session) {
                    p.stored = true;
                }
            }
            for (t, e) in &mut m.exited {
                e.cleared |= !stored.iter().any(|(s, a, _)| s == t && *a == e.attempt);
            }
        }
        for id in &b.ends {
            self.set_fate(id, Fate::Done, now);
        }
        b.ends.clone()
    }

    /// The transaction was not, or may not have been, carried out: all of it
    /// is to be written again.
    pub fn not_committed(&mut self, b: &Batch) {
        for (id, chunk, _) in &b.chunks {
            if let Some(job) = self.jobs.get_mut(id).filter(|j| j.fate.is_none()) {
                job.dirty_chunks.insert(*chunk);
            }
        }
        for (name, _) in &b.machines {
            if let Some(m) = self.machines.get_mut(name) {
                m.dirty = true;
            }
        }
    }

    /// What a key in conflict really holds: an earlier transaction of ours in
    /// doubt was carried out after all, or a user withdrew a job.
    pub fn resolve(&mut self, path: &str, item: Option<&Item>, now: Instant) {
        let stamp = item.map_or(0, |i| i.stamp);
        if let Some(name) = path.strip_prefix(key::MACHINE) {
            if let Some(m) = self.machines.get_mut(name) {
                m.stamp = stamp;
                m.dirty = true;
            }
        } else if let Some((id, chunk)) = path.strip_prefix(key::DONE).and_then(|p| p.split_once('/')) {
            if let (Some(job), Ok(chunk)) = (self.jobs.get_mut(id), chunk.parse::<u32>()) {
                job.chunks.insert(chunk, stamp);
            }
        } else if let Some(id) = path.strip_prefix(key::FATE) {
            let fate = item.and_then(|i| crate::store::read_value::<FateRecord>(path, i.data.clone()));
            if let Some(f) = fate {
                self.set_fate(id, f.fate, now);
            }
        }
    }
}

/// The stored value of a chunk.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct DoneRecord {
    /// Completed tasks.
    pub done: Ranges,
}

/// The stored value of a job's end.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct FateRecord {
    /// How it ended.
    pub fate: Fate,
}
