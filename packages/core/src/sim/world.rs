//! The state of the simulated world.

use super::*;

pub(super) struct World {
    pub(super) rng: fastrand::Rng,
    pub(super) t0: Instant,
    pub(super) now: Ms,
    pub(super) policy: Arc<Policy>,
    pub(super) teams: HashMap<Name, TeamLimit>,
    pub(super) state_store: StateStore,
    pub(super) workers: Vec<Worker>,
    pub(super) controllers: Vec<Option<Controller>>,
    /// Who stands for leader, and waits for an answer.
    pub(super) candidates: [Option<Candidate>; 3],
    /// Elections that were carried out, and takings-over of an earlier incarnation's key.
    pub(super) elections: (u32, u32),
    pub(super) down_until: Vec<Ms>,
    /// When controllers end once more; `CURRENT_LEADER`: whoever leads then.
    pub(super) scheduled_crashes: Vec<(Ms, usize)>,
    /// Copies of reports that are kept for the next leader.
    pub(super) replayed_heartbeats: Vec<Heartbeat>,
    /// Until when one-task jobs come five a second, a little faster than the users', and until when jobs are cancelled as
    /// their last tasks end.
    pub(super) submission_burst_until: Ms,
    pub(super) cancel_on_completion_until: Ms,
    /// Jobs whose last task has ended just now.
    pub(super) completing_jobs: Vec<Name>,
    /// Since when each job has waited though there is room for it.
    pub(super) unplaced_since: HashMap<Name, Ms>,
    /// What the teams used and what was free on each machine, second by second.
    pub(super) capacity_samples: std::collections::VecDeque<(HashMap<Name, f64>, Vec<f64>)>,
    /// Starts after a confirmed cancellation.
    pub(super) starts_after_cancellation: u32,
    pub(super) lease_renewal_blocked_until: Vec<Ms>,
    pub(super) state_store_outage_until: Ms,
    /// Until when the state service refuses each controller alone.
    pub(super) state_store_refuses_until: [Ms; 3],
    /// Until when the cloud's interface is down.
    pub(super) cloud_outage_until: Ms,
    /// Until when each controller does not reach the others.
    pub(super) peers_unreachable_until: [Ms; 3],
    /// What each process knows of ends, leader or not.
    pub(super) snapshots: [OutcomeSnapshot; 3],
    /// Reports reach the leader by way of the others.
    pub(super) forwards_heartbeats: bool,
    /// What each controller has had the leader take, and how many reports were short.
    pub(super) forwarding: [HeartbeatForwarding; 3],
    pub(super) unchanged_forwarded: u32,
    /// Until when each controller stands still while its clocks run on: what
    /// is sent to it waits, and what it was about to send leaves as it wakes.
    pub(super) paused_until: [Ms; 3],
    /// Who stands still at its next step, between its check and its sends, and
    /// for how long.
    pub(super) next_pause: Option<(usize, Ms)>,
    /// Until when each controller and the workers do not reach one another.
    pub(super) workers_unreachable_until: [Ms; 3],
    /// Lists of the last seconds: what the cloud tells may be any of them.
    pub(super) machine_lists: Vec<Vec<ListedMachine>>,
    /// Jobs submitted with a mistake.
    pub(super) faulty_jobs: std::collections::HashSet<Name>,
    /// Until when each zone is cut off.  A controller inside renews the
    /// leases of its workers.
    pub(super) zone_partitioned_until: [Ms; 3],
    /// A zone without a controller inside: cut off, its leases run out.
    pub(super) zone_without_controller: Option<usize>,
    pub(super) jobs: BTreeMap<Name, (Arc<JobSpec>, u64)>,
    /// Since when a leader has acted and was served without a break.
    pub(super) led_since: Ms,
    /// When each job's end was stored.
    pub(super) outcome_stored_at: HashMap<Name, Ms>,
    /// When each was submitted.
    pub(super) submitted_at: HashMap<Name, Ms>,
    /// All tell users of cancellations only when all know; see `gate::TOLD`.
    pub(super) peer_notices_required: bool,
    /// Jobs that users have withdrawn and were not told of yet.
    pub(super) unconfirmed_cancellations: std::collections::BTreeSet<Name>,
    /// When users were told of cancellations.
    pub(super) cancellation_confirmed_at: HashMap<Name, Ms>,
    pub(super) task_finished_at: HashMap<Task, Ms>,
    pub(super) in_flight: BTreeMap<(Ms, u64), Message>,
    pub(super) last_sequence: u64,
    pub(super) last_incarnation: u64,
    pub(super) term: u64,
    pub(super) defect: InjectedDefect,
    /// Machines that are kept up, and cores that a team may use.
    pub(super) scale: usize,
    pub(super) quota: f64,
    /// Steps between two troubles, on average.
    pub(super) steps_between_faults: u32,
    pub(super) limits: TxnLimits,
    /// What a value may lease from some moment on, and since when controllers
    /// keep to it.
    pub(super) max_value_bytes: usize,
    pub(super) limits_lowered_at: Ms,
    pub(super) violations: Vec<String>,
}

impl World {
    /// A small world: collisions are frequent.
    pub(super) fn new(seed: u64, defect: InjectedDefect) -> World {
        World::with_scale(9, seed, defect)
    }

    pub(super) fn with_scale(scale: usize, seed: u64, defect: InjectedDefect) -> World {
        let config = Config::parse("sim", SETTINGS).expect("settings of the simulation");
        let quota = 20.0 * (scale as f64 / 9.0).round();
        let limit =
            TeamLimit { guarantee: Resources::default(), limit: Resources { cpus: quota, gpus: 0.0, memory: 0.0 } };
        let mut rng = fastrand::Rng::with_seed(seed);
        let workers = (0..scale).map(|i| Worker::new(i, 0, rng.u64(0..3000))).collect();
        World {
            rng,
            t0: Instant::now(),
            now: 0,
            policy: Arc::new(Policy::new(&config).expect("the default policy")),
            teams: HashMap::from([("x".into(), limit), ("y".into(), limit)]),
            state_store: StateStore::default(),
            workers,
            controllers: vec![None, None, None],
            candidates: [None; 3],
            elections: (0, 0),
            down_until: vec![0; 3],
            scheduled_crashes: Vec::new(),
            replayed_heartbeats: Vec::new(),
            submission_burst_until: 0,
            cancel_on_completion_until: 0,
            completing_jobs: Vec::new(),
            unplaced_since: HashMap::new(),
            capacity_samples: Default::default(),
            starts_after_cancellation: 0,
            lease_renewal_blocked_until: vec![0; 3],
            state_store_outage_until: 0,
            state_store_refuses_until: [0; 3],
            cloud_outage_until: 0,
            peers_unreachable_until: [0; 3],
            snapshots: [OutcomeSnapshot::new(1), OutcomeSnapshot::new(2), OutcomeSnapshot::new(3)],
            forwards_heartbeats: seed % 3 == 2,
            forwarding: Default::default(),
            unchanged_forwarded: 0,
            paused_until: [0; 3],
            next_pause: None,
            workers_unreachable_until: [0; 3],
            machine_lists: Vec::new(),
            faulty_jobs: std::collections::HashSet::new(),
            zone_partitioned_until: [0; 3],
            zone_without_controller: seed.is_multiple_of(2).then_some(2),
            jobs: BTreeMap::new(),
            led_since: 0,
            outcome_stored_at: HashMap::new(),
            submitted_at: HashMap::new(),
            peer_notices_required: !seed.is_multiple_of(4),
            unconfirmed_cancellations: Default::default(),
            cancellation_confirmed_at: HashMap::new(),
            task_finished_at: HashMap::new(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            last_incarnation: 3,
            term: 0,
            defect,
            scale,
            quota,
            steps_between_faults: if scale > 100 { 30 } else { 100 },
            limits: TxnLimits {
                writes: 8.max(scale / 40),
                preconditions: 32.max(scale / 10),
                shard_bytes: 4096.max(scale * 15),
                value_bytes: 4096.max(scale * 15),
            },
            max_value_bytes: usize::MAX,
            limits_lowered_at: Ms::MAX,
            violations: Vec::new(),
        }
    }

    pub(super) fn at(&self, t: Ms) -> Instant {
        self.t0 + Duration::from_millis(t)
    }
}
