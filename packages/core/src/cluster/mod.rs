//! What the leader knows of jobs and machines, and the steps that change it.
//! Everything here is a plain function of state and `now`.
//!
//! A task is *placed* from when a start is decided until its absence is
//! proved.  What is uncertain counts as present: a placed task is never
//! queued, uses its team's limit and its zone, and holds its machine's room.

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

/// Everything a leader knows.
#[derive(Debug)]
pub struct Cluster {
    /// The term; it makes tokens, attempts and charters unique.
    pub term: u64,
    next_attempt: u64,
    /// Jobs that are not over, or still have tasks somewhere; those that wait
    /// for others are not among them yet.
    pub jobs: NameMap<Job>,
    /// Jobs that wait for others.
    pub dependency: DependencyGraph,
    /// Machines.
    pub machines: BTreeMap<Name, Machine>,
    /// Machine types.
    pub types: BTreeMap<Name, MachineType>,
    /// The policy.
    pub policy: Arc<Policy>,
    /// Time within which tasks of a class should start.
    pub start_objectives: HashMap<Name, f64>,
    /// Teams' limits.
    pub teams: HashMap<Name, TeamLimit>,
    /// Zones with a controller inside, which renews the leases there when the
    /// zone is cut off.
    pub zones_with_controller: BTreeSet<Name>,
    /// When this leader began.
    pub term_started_at: Instant,
    /// Since when this controller has not stood still; no silence of others
    /// counts from before.
    pub resumed_at: Instant,
    /// Rentals and what comes of them.
    pub fleet: Fleet,
    /// Ratio of run time to estimate, by class.
    pub runtime_bias: HashMap<Name, f64>,
    /// Something changed that placement should look at.
    pub queue_changed: bool,
    /// Starts to be stored.
    pub unstored_starts: BTreeMap<QueueKey, StartRecord>,
    next_queue_sequence: u64,
    /// Jobs with completed tasks, or an end, to be stored.
    pub jobs_to_store: BTreeSet<Name>,
    /// What the store holds of starts and completed tasks.
    pub shards: BTreeMap<u32, PlacementShard>,
    /// The page whose turn it is to be rewritten.
    pub next_shard: u32,
    /// Machines that there may be something to tell.
    pub machines_to_command: BTreeSet<Name>,
    /// What the previous leader had learned of machines that have not reported yet.
    pub machine_hints: HashMap<Name, MachineHints>,
    /// How long the tasks placed in the last pass had waited.
    pub placement_waits: Vec<Duration>,
}

impl Cluster {
    /// The state of a new leader, before it has read anything.
    pub fn new(term: u64, policy: Arc<Policy>, teams: HashMap<Name, TeamLimit>, now: Instant) -> Cluster {
        Cluster {
            term,
            next_attempt: 0,
            jobs: NameMap::default(),
            dependency: DependencyGraph::default(),
            machines: BTreeMap::new(),
            types: BTreeMap::new(),
            policy,
            start_objectives: HashMap::new(),
            teams,
            zones_with_controller: BTreeSet::new(),
            term_started_at: now,
            resumed_at: now,
            fleet: Fleet::default(),
            runtime_bias: HashMap::new(),
            queue_changed: true,
            unstored_starts: BTreeMap::new(),
            next_queue_sequence: 0,
            jobs_to_store: BTreeSet::new(),
            shards: BTreeMap::new(),
            next_shard: 0,
            machines_to_command: BTreeSet::new(),
            machine_hints: HashMap::new(),
            placement_waits: Vec::new(),
        }
    }
}
