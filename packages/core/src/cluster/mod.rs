//! The leader's state and the operations that change it.  Each operation depends only on the
//! state and on `now`, and does no I/O.
//!
//! A task is *assigned* from the decision to start it until its absence is proved.  A task
//! whose state is uncertain counts as present: while it is assigned it is not queued, counts
//! towards the limits of its team and its zone, and occupies its machine's resources.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod admission;
mod assignments;
mod completion;
mod job;
mod liveness;
mod machine;
mod recovery;
mod rental;
mod shard;
mod team;
mod token;

pub use job::*;
pub use machine::*;
pub use rental::*;
pub use shard::*;
pub use team::TeamLimit;
pub use token::raise_token;

use crate::dependency::DependencyGraph;
use crate::model::*;
use crate::policy::Policy;

/// The state of the cluster, as known to a leader.
#[derive(Debug)]
pub struct Cluster {
    /// Leader term.  Fencing tokens, attempt numbers and ids of rental requests contain it, which
    /// makes them unique across leaders.
    pub term: u64,
    last_attempt: u64,
    /// Jobs that have not ended, or still have tasks on machines.  Jobs that are blocked by
    /// dependencies are not included.
    pub jobs: NameMap<Job>,
    /// Dependencies between jobs, with the jobs that they block.
    pub dependencies: DependencyGraph,
    /// Machines by name, including those that were removed a short time ago.
    pub machines: BTreeMap<Name, Machine>,
    /// Machine types by name.
    pub machine_types: BTreeMap<Name, MachineType>,
    /// Values of the tunables.
    pub policy: Arc<Policy>,
    /// Service-level objectives for the start of tasks, in seconds, by class.
    pub start_objectives: HashMap<Name, f64>,
    /// Guarantees and limits of teams, by team.
    pub teams: HashMap<Name, TeamLimit>,
    /// Zones in which a controller runs.  It renews the leases of the zone's workers while the
    /// zone is partitioned.
    pub zones_with_controller: BTreeSet<Name>,
    /// When the term of this leader began.
    pub term_started_at: Instant,
    /// When the last stall of this controller ended.  Earlier time does not count as time without
    /// heartbeats.
    pub last_stall_ended_at: Instant,
    /// State of the requests to the cloud, such as rentals of machines.
    pub fleet: Fleet,
    /// Moving average of the ratio of run time to estimate, by class.
    pub runtime_bias: HashMap<Name, f64>,
    /// Whether something has changed since the last placement pass that calls for another.
    pub queue_changed: bool,
    /// Records of starts to be stored, in the order of the queue.
    pub unstored_starts: BTreeMap<QueueKey, StartRecord>,
    last_queue_sequence: u64,
    /// Jobs of which completed tasks or an outcome are to be stored.
    pub jobs_to_store: BTreeSet<Name>,
    /// Shards as last stored, by number.
    pub shards: BTreeMap<u32, PlacementShard>,
    /// Number of the shard from which the next write continues its rotation.
    pub next_shard: u32,
    /// Machines for which direct commands may be due.
    pub machines_to_command: BTreeSet<Name>,
    /// What the previous leader had learned about machines that have sent no heartbeat in this
    /// term, by machine.
    pub machine_hints: HashMap<Name, MachineHints>,
    /// Waiting times of assigned tasks, counted from when the leader first knew the job.  The
    /// leader takes them for its metrics after each placement pass.
    pub placement_waits: Vec<Duration>,
}

impl Cluster {
    /// Returns the state of a new leader that has read nothing from the store yet.
    pub fn new(term: u64, policy: Arc<Policy>, teams: HashMap<Name, TeamLimit>, now: Instant) -> Cluster {
        Cluster {
            term,
            last_attempt: 0,
            jobs: NameMap::default(),
            dependencies: DependencyGraph::default(),
            machines: BTreeMap::new(),
            machine_types: BTreeMap::new(),
            policy,
            start_objectives: HashMap::new(),
            teams,
            zones_with_controller: BTreeSet::new(),
            term_started_at: now,
            last_stall_ended_at: now,
            fleet: Fleet::default(),
            runtime_bias: HashMap::new(),
            queue_changed: true,
            unstored_starts: BTreeMap::new(),
            last_queue_sequence: 0,
            jobs_to_store: BTreeSet::new(),
            shards: BTreeMap::new(),
            next_shard: 0,
            machines_to_command: BTreeSet::new(),
            machine_hints: HashMap::new(),
            placement_waits: Vec::new(),
        }
    }
}
