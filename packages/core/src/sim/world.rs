//! The state of a simulation run: the simulated cluster, the active faults and the records of
//! the checker.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::*;

/// Cores in use by each team and free on each worker at one point in time.
pub(super) struct CapacitySample {
    pub(super) used_cpus_by_team: HashMap<Name, f64>,
    /// Free cores by the index of the worker.
    pub(super) free_cpus_by_worker: Vec<f64>,
}

/// Counts of situations that a run must reach for the checker to cover them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Statistics {
    pub(super) elections: u32,
    /// Elections that a controller won while the leader key of its earlier incarnation was
    /// still stored.
    pub(super) reelections: u32,
    /// Forwarded heartbeats that the leader accepted in the short form, which states only that
    /// the heartbeat is unchanged.
    pub(super) unchanged_forwarded: u32,
    /// Tasks that started after the cancellation of their job was confirmed to the user.
    pub(super) starts_after_cancellation: u32,
}

/// The state of a simulation run.  Arrays are indexed by controller.
pub(super) struct World {
    pub(super) rng: fastrand::Rng,
    pub(super) started_at: Instant,
    /// Simulated time since the start of the run.
    pub(super) now: Ms,
    pub(super) defect: InjectedDefect,
    pub(super) policy: Arc<Policy>,
    pub(super) teams: HashMap<Name, TeamLimit>,
    /// Number of machines that the cluster starts with; see `scale_out` for replacements.
    pub(super) machine_count: usize,
    /// Maximum number of cores that each team may use.
    pub(super) quota: f64,
    pub(super) limits: TxnLimits,
    /// Maximum size of a stored value that the state service accepts, in bytes.
    pub(super) max_value_bytes: usize,
    /// Time from which controllers apply the lowered limits; `Ms::MAX` before that.
    pub(super) limits_lowered_at: Ms,
    /// Whether controllers that do not lead forward heartbeats to the leader.
    pub(super) forwards_heartbeats: bool,
    /// Whether a cancellation is confirmed to its user only after all controllers know of
    /// it; see `feature_gate::CONFIRMED_CANCELLATIONS`.
    pub(super) peer_notices_required: bool,
    /// Zone without a controller, if there is one.  In a partition of this zone, no controller
    /// can renew the leases of its workers, so they expire.
    pub(super) zone_without_controller: Option<usize>,

    pub(super) state_store: StateStore,
    pub(super) workers: Vec<Worker>,
    /// Machine lists of the last seconds, one a second.  The cloud may respond with any of them.
    pub(super) machine_lists: Vec<Vec<ListedMachine>>,
    pub(super) controllers: [Option<Controller>; 3],
    /// Candidacies whose election transaction has no response yet.
    pub(super) candidates: [Option<Candidate>; 3],
    /// Job outcomes known to each controller process, whether it leads or not.
    pub(super) snapshots: [OutcomeSnapshot; 3],
    /// Heartbeats that the leader has accepted from each forwarding controller.
    pub(super) forwarding: [HeartbeatForwarding; 3],
    /// Copies of heartbeats that are delivered a second time after the next election.
    pub(super) replayed_heartbeats: Vec<Heartbeat>,
    pub(super) faults: FaultSchedule,
    pub(super) in_flight: BTreeMap<DeliveryKey, Message>,
    pub(super) last_sequence: u64,
    pub(super) last_incarnation: u64,

    pub(super) jobs: BTreeMap<Name, SubmittedJob>,
    /// Jobs whose tasks fail on every machine, as if the user had made a mistake in the job.
    pub(super) failing_jobs: HashSet<Name>,
    /// Jobs whose last task has completed since `cancel_completing_jobs` last ran.
    pub(super) completing_jobs: Vec<Name>,
    pub(super) submitted_at: HashMap<Name, Ms>,
    pub(super) task_finished_at: HashMap<Task, Ms>,
    /// Time at which each job's outcome was stored.
    pub(super) outcome_stored_at: HashMap<Name, Ms>,
    /// Jobs whose cancellation is stored but not yet confirmed to the user.
    pub(super) unconfirmed_cancellations: BTreeSet<Name>,
    pub(super) cancellation_confirmed_at: HashMap<Name, Ms>,

    pub(super) violations: Vec<String>,
    pub(super) statistics: Statistics,
    /// Greatest term of any election so far.
    pub(super) greatest_term: u64,
    /// Time since which, without interruption, some controller has had the leader lease and
    /// been served by the state service.
    pub(super) served_leader_since: Ms,
    /// Time since which each pending job has had enough free capacity to start.
    pub(super) unplaced_since: HashMap<Name, Ms>,
    /// Capacity samples of the quiescent period, one a second.
    pub(super) capacity_samples: VecDeque<CapacitySample>,
}

impl World {
    /// Creates a cluster of 9 machines, which is small enough that conflicts are frequent.
    pub(super) fn new(seed: u64, defect: InjectedDefect) -> World {
        World::with_machine_count(9, seed, defect)
    }

    /// Creates a cluster with the given number of machines.
    pub(super) fn with_machine_count(machine_count: usize, seed: u64, defect: InjectedDefect) -> World {
        let config = Config::parse("sim", SETTINGS).expect("the example settings are valid");
        let quota = 20.0 * (machine_count as f64 / 9.0).round();
        let limit =
            TeamLimit { guarantee: Resources::default(), limit: Resources { cpus: quota, gpus: 0.0, memory_gb: 0.0 } };
        let mut rng = fastrand::Rng::with_seed(seed);
        let workers = (0..machine_count).map(|i| Worker::new(i, 0, rng.u64(0..3000))).collect();
        World {
            rng,
            started_at: Instant::now(),
            now: 0,
            defect,
            policy: Arc::new(Policy::new(&config).expect("the default policy is valid")),
            teams: HashMap::from([("x".into(), limit), ("y".into(), limit)]),
            machine_count,
            quota,
            limits: limits(machine_count),
            max_value_bytes: usize::MAX,
            limits_lowered_at: Ms::MAX,
            forwards_heartbeats: seed % 3 == 2,
            peer_notices_required: !seed.is_multiple_of(4),
            zone_without_controller: seed.is_multiple_of(2).then_some(2),
            state_store: StateStore::default(),
            workers,
            machine_lists: Vec::new(),
            controllers: [None, None, None],
            candidates: [None; 3],
            snapshots: [1, 2, 3].map(OutcomeSnapshot::new),
            forwarding: Default::default(),
            replayed_heartbeats: Vec::new(),
            faults: FaultSchedule::new(if machine_count > 100 { 30 } else { 100 }),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            last_incarnation: 3,
            jobs: BTreeMap::new(),
            failing_jobs: HashSet::new(),
            completing_jobs: Vec::new(),
            submitted_at: HashMap::new(),
            task_finished_at: HashMap::new(),
            outcome_stored_at: HashMap::new(),
            unconfirmed_cancellations: BTreeSet::new(),
            cancellation_confirmed_at: HashMap::new(),
            violations: Vec::new(),
            statistics: Statistics::default(),
            greatest_term: 0,
            served_leader_since: 0,
            unplaced_since: HashMap::new(),
            capacity_samples: VecDeque::new(),
        }
    }

    /// Converts a simulated time to an `Instant`.
    pub(super) fn instant_at(&self, time: Ms) -> Instant {
        self.started_at + Duration::from_millis(time)
    }
}

/// Returns transaction limits that are low enough to be reached in a cluster of
/// `machine_count` machines.
fn limits(machine_count: usize) -> TxnLimits {
    TxnLimits {
        writes: 8.max(machine_count / 40),
        preconditions: 32.max(machine_count / 10),
        shard_bytes: 4096.max(machine_count * 15),
        value_bytes: 4096.max(machine_count * 15),
    }
}
