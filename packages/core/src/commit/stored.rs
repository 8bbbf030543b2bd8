//! The stored form of a page.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, MachineLocation, PlacementShard, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{read_value, KeyValue};

/// Task, attempt, machine (as an index) and session of a start.
type StoredStart = (u32, u64, usize, u64);

/// The stored form: names once, the rest by number.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct ShardRecord {
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

impl Cluster {
    pub(super) fn page_record(&self, page: &PlacementShard) -> ShardRecord {
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
}
