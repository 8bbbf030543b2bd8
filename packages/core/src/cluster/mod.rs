//! The leader's state, and the operations that change it.  Everything here is a plain
//! function of the state and `now`.
//!
//! A task is *assigned* from the decision to start it until its absence is proved.  What
//! is uncertain counts as present: an assigned task is never queued, uses its team's
//! limit and its zone, and occupies its machine's resources.

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

/// The state of a leader.
#[derive(Debug)]
pub struct Cluster {
    /// The term; it makes tokens, attempts and rental requests unique.
    pub term: u64,
    next_attempt: u64,
    /// Jobs that are not over, or still have tasks on machines.  Jobs that wait for others
    /// are not among them yet.
    pub jobs: NameMap<Job>,
    /// Jobs that wait for others.
    pub dependency: DependencyGraph,
    /// Machines.
    pub machines: BTreeMap<Name, Machine>,
    /// Machine types.
    pub types: BTreeMap<Name, MachineType>,
    /// The policy.
    pub policy: Arc<Policy>,
    /// Service-level objective for the start of tasks, in seconds, by class.
    pub start_objectives: HashMap<Name, f64>,
    /// Quotas of teams.
    pub teams: HashMap<Name, TeamLimit>,
    /// Zones with a controller inside, which renews the leases there when the zone is
    /// partitioned.
    pub zones_with_controller: BTreeSet<Name>,
    /// When this leader's term began.
    pub term_started_at: Instant,
    /// When this controller last resumed after a stall.  The time without heartbeats counts
    /// from then at the earliest.
    pub resumed_at: Instant,
    /// Rentals of machines.
    pub fleet: Fleet,
    /// Ratio of run time to estimate, by class.
    pub runtime_bias: HashMap<Name, f64>,
    /// Something changed that placement should look at.
    pub queue_changed: bool,
    /// Starts to be stored, in the order of the queue.
    pub unstored_starts: BTreeMap<QueueKey, StartRecord>,
    next_queue_sequence: u64,
    /// Jobs with completed tasks, or an outcome, to be stored.
    pub jobs_to_store: BTreeSet<Name>,
    /// Shards as the store has them, by number.
    pub shards: BTreeMap<u32, PlacementShard>,
    /// The number from which on the rotation of shards continues.
    pub next_shard: u32,
    /// Machines for which there may be direct commands.
    pub machines_to_command: BTreeSet<Name>,
    /// What the previous leader had learned of machines that have sent no heartbeat in this
    /// term.
    pub machine_hints: HashMap<Name, MachineHints>,
    /// How long the tasks assigned in the last pass had waited.
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
