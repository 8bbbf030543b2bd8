//! Converts shards to and from the records that the store holds.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, MachineLocation, PlacementShard, StartRecord};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{decode_value, KeyValue};

/// A start: index of the task, attempt, position of the machine in
/// [`ShardRecord::machines`], incarnation of the worker.
type StoredStart = (u32, u64, usize, u64);

/// A location: machine type, zone, and whether the machines there are spot instances.
type StoredLocation = (Name, Name, bool);

/// The stored record of a shard.  Names of machines and locations are stored once and
/// referred to by their positions in the lists.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct ShardRecord {
    #[serde(rename = "pools")]
    locations: Vec<StoredLocation>,
    /// Names of machines, with the positions of their locations in `locations`.
    machines: Vec<(Name, usize)>,
    /// Starts by job.
    starts: Vec<(Name, Vec<StoredStart>)>,
    /// Completed tasks by job.
    #[serde(rename = "done")]
    completed: Vec<(Name, TaskIndexSet)>,
}

/// A shard as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredShard {
    /// Number of the shard, the last part of its key.
    pub id: u32,
    /// Starts and completed tasks, with the revision at which the shard was written.
    pub shard: PlacementShard,
    /// Locations of the machines that the starts refer to.
    pub locations: HashMap<Name, MachineLocation>,
}

/// Returns the key under which the shard with this number is stored.
pub fn shard_key(id: u32) -> String {
    format!("{}{id}", key::SHARD)
}

/// Decodes a shard from the value of the key `path`; `None` if the key is not that of a shard,
/// or the value is malformed.
pub fn read_shard(path: &str, item: &KeyValue) -> Option<StoredShard> {
    let id = path.strip_prefix(key::SHARD)?.parse().ok()?;
    let record: ShardRecord = decode_value(path, item.value.clone())?;
    let mut locations = HashMap::new();
    for (name, position) in &record.machines {
        let (machine_type, zone, spot) = record.locations.get(*position)?.clone();
        locations.insert(name.clone(), MachineLocation { machine_type, zone, spot });
    }
    let mut starts = Vec::new();
    for (job, stored_starts) in record.starts {
        for (index, attempt, machine, incarnation) in stored_starts {
            let machine = record.machines.get(machine)?.0.clone();
            let task = Task { job: job.clone(), index };
            starts.push(StartRecord { machine, task, attempt, incarnation });
        }
    }
    let shard = PlacementShard { revision: item.revision, starts, completed: record.completed };
    Some(StoredShard { id, shard, locations })
}

/// Returns the jobs that have starts in a stored shard; none if the value is malformed.
pub fn started_jobs_of_shard(item: &KeyValue) -> Vec<Name> {
    let record: Option<ShardRecord> = decode_value(&item.key, item.value.clone());
    record.map(|record| record.starts.into_iter().map(|(job, _)| job).collect()).unwrap_or_default()
}

/// Returns the jobs that have starts or completed tasks in the given shards.
///
/// A start is stored only after the outcomes of all dependencies of its job, so none of these
/// jobs waits for a dependency.
pub fn started_jobs<'a>(shards: impl Iterator<Item = &'a PlacementShard>) -> HashSet<Name> {
    let jobs = |shard: &'a PlacementShard| {
        let started = shard.starts.iter().map(|start| &start.task.job);
        started.chain(shard.completed.iter().map(|(job, _)| job))
    };
    shards.flat_map(jobs).cloned().collect()
}

impl Cluster {
    /// Returns the record to store for a shard.  Starts on machines that the leader no longer
    /// knows are left out.
    pub(super) fn shard_record(&self, shard: &PlacementShard) -> ShardRecord {
        let mut record = ShardRecord::default();
        let mut machines: HashMap<&Name, usize> = HashMap::new();
        let mut jobs: HashMap<&Name, usize> = HashMap::new();
        for start in &shard.starts {
            let Some(machine) = self.machines.get(&start.machine) else { continue };
            let machine = *machines.entry(&start.machine).or_insert_with(|| {
                let location = (machine.machine_type.clone(), machine.zone.clone(), machine.spot);
                let location = index_of(&mut record.locations, location);
                record.machines.push((start.machine.clone(), location));
                record.machines.len() - 1
            });
            let job = *jobs.entry(&start.task.job).or_insert_with(|| {
                record.starts.push((start.task.job.clone(), Vec::new()));
                record.starts.len() - 1
            });
            record.starts[job].1.push((start.task.index, start.attempt, machine, start.incarnation));
        }
        record.completed.clone_from(&shard.completed);
        record
    }
}
