//! The state of the simulated world.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::*;

/// What each team used and what was free on each worker, at one moment.
pub(super) struct CapacitySample {
    pub(super) used_by_team: HashMap<Name, f64>,
    /// Cores, by index of the worker.
    pub(super) free_on_worker: Vec<f64>,
}

/// Counters which show that a run had something to check.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Statistics {
    pub(super) elections: u32,
    /// Elections that a controller won while the key of its earlier incarnation was stored.
    pub(super) reelections: u32,
    /// Forwarded heartbeats that were accepted without their content.
    pub(super) unchanged_forwarded: u32,
    /// Tasks that started after the cancellation of their job was confirmed.
    pub(super) starts_after_cancellation: u32,
}

/// A run of the simulation.  Arrays are by index of the controller.
pub(super) struct World {
    pub(super) rng: fastrand::Rng,
    pub(super) started_at: Instant,
    /// Time since the start.
    pub(super) now: Ms,
    pub(super) defect: InjectedDefect,
    pub(super) policy: Arc<Policy>,
    pub(super) teams: HashMap<Name, TeamLimit>,
    /// Machines that are kept up.
    pub(super) scale: usize,
    /// Cores that each team may use.
    pub(super) quota: f64,
    pub(super) limits: TxnLimits,
    /// What a value may hold by the state service's limit.
    pub(super) max_value_bytes: usize,
    /// When controllers began to keep to lower limits.
    pub(super) limits_lowered_at: Ms,
    /// Whether heartbeats reach the leader by way of the other controllers.
    pub(super) forwards_heartbeats: bool,
    /// Whether cancellations are confirmed to users only when all controllers know of
    /// them; see `feature_gate::CONFIRMED_CANCELLATIONS`.
    pub(super) peer_notices_required: bool,
    /// A zone without a controller inside: when it is cut off, leases of its workers expire.
    pub(super) zone_without_controller: Option<usize>,

    pub(super) state_store: StateStore,
    pub(super) workers: Vec<Worker>,
    /// Machine lists of the last seconds: the cloud may answer with any of them.
    pub(super) machine_lists: Vec<Vec<ListedMachine>>,
    pub(super) controllers: [Option<Controller>; 3],
    /// Candidates for leader that wait for a response.
    pub(super) candidates: [Option<Candidate>; 3],
    /// What each process knows of outcomes, whether it leads or not.
    pub(super) snapshots: [OutcomeSnapshot; 3],
    /// What each controller has had the leader accept.
    pub(super) forwarding: [HeartbeatForwarding; 3],
    /// Copies of heartbeats that are delivered again to the next leader.
    pub(super) replayed_heartbeats: Vec<Heartbeat>,
    pub(super) faults: FaultSchedule,
    pub(super) in_flight: BTreeMap<DeliveryKey, Message>,
    pub(super) last_sequence: u64,
    pub(super) last_incarnation: u64,

    pub(super) jobs: BTreeMap<Name, SubmittedJob>,
    /// Jobs submitted with a mistake: their tasks fail.
    pub(super) faulty_jobs: HashSet<Name>,
    /// Jobs whose last task has ended just now.
    pub(super) completing_jobs: Vec<Name>,
    pub(super) submitted_at: HashMap<Name, Ms>,
    pub(super) task_finished_at: HashMap<Task, Ms>,
    /// When each job's outcome was stored.
    pub(super) outcome_stored_at: HashMap<Name, Ms>,
    /// Cancellations that are stored and not confirmed to their users yet.
    pub(super) unconfirmed_cancellations: BTreeSet<Name>,
    pub(super) cancellation_confirmed_at: HashMap<Name, Ms>,

    pub(super) violations: Vec<String>,
    pub(super) statistics: Statistics,
    /// The greatest term so far.
    pub(super) term: u64,
    /// Since when a leader has acted and was served without a break.
    pub(super) led_since: Ms,
    /// Since when each job has waited though there is room for it.
    pub(super) unplaced_since: HashMap<Name, Ms>,
    /// One sample a second, in a calm.
    pub(super) capacity_samples: VecDeque<CapacitySample>,
}

impl World {
    /// A small world: collisions are frequent.
    pub(super) fn new(seed: u64, defect: InjectedDefect) -> World {
        World::with_scale(9, seed, defect)
    }

    /// A world of a given number of machines.
    pub(super) fn with_scale(scale: usize, seed: u64, defect: InjectedDefect) -> World {
        let config = Config::parse("sim", SETTINGS).expect("settings of the simulation");
        let quota = 20.0 * (scale as f64 / 9.0).round();
        let limit =
            TeamLimit { guarantee: Resources::default(), limit: Resources { cpus: quota, gpus: 0.0, memory: 0.0 } };
        let mut rng = fastrand::Rng::with_seed(seed);
        let workers = (0..scale).map(|i| Worker::new(i, 0, rng.u64(0..3000))).collect();
        World {
            rng,
            started_at: Instant::now(),
            now: 0,
            defect,
            policy: Arc::new(Policy::new(&config).expect("the default policy")),
            teams: HashMap::from([("x".into(), limit), ("y".into(), limit)]),
            scale,
            quota,
            limits: limits(scale),
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
            faults: FaultSchedule::new(if scale > 100 { 30 } else { 100 }),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            last_incarnation: 3,
            jobs: BTreeMap::new(),
            faulty_jobs: HashSet::new(),
            completing_jobs: Vec::new(),
            submitted_at: HashMap::new(),
            task_finished_at: HashMap::new(),
            outcome_stored_at: HashMap::new(),
            unconfirmed_cancellations: BTreeSet::new(),
            cancellation_confirmed_at: HashMap::new(),
            violations: Vec::new(),
            statistics: Statistics::default(),
            term: 0,
            led_since: 0,
            unplaced_since: HashMap::new(),
            capacity_samples: VecDeque::new(),
        }
    }

    /// The moment of a simulated time.
    pub(super) fn at(&self, time: Ms) -> Instant {
        self.started_at + Duration::from_millis(time)
    }
}

/// Limits of a transaction that are reached in a world of a given scale.
fn limits(scale: usize) -> TxnLimits {
    TxnLimits {
        writes: 8.max(scale / 40),
        preconditions: 32.max(scale / 10),
        shard_bytes: 4096.max(scale * 15),
        value_bytes: 4096.max(scale * 15),
    }
}
