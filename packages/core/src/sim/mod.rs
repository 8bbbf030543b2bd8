//! A seeded world of stand-ins (state service, cloud, workers, users) that
//! drives the controllers' decision code through crashes, lost authority,
//! late messages and outages, while a checker asserts the rules.  Time is
//! simulated; nothing here sleeps or opens a socket.

mod controllers;
mod invariants;
mod machines;
mod request_history;
mod snapshots;
mod state_store;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cluster::ListedMachine;
use crate::cluster::{Cluster, MachineState, TeamLimit};
use crate::commit::TxnLimits;
use crate::commit::{read_shard, started_jobs, CommitBatch};
use crate::config::Config;
use crate::heartbeat_forwarding::{ForwardedHeartbeat, HeartbeatForwarding};
use crate::key;
use crate::model::*;
use crate::policy::Policy;
use crate::user_request::{cancellations_txn, submissions_txn};
use crate::workers::*;
use controllers::{Candidate, Controller};
use coralnotch_wire::state::{read_value, KeyValue, Txn, Write};
use machines::{list_entry, TaskProgress, Worker};
use snapshots::OutcomeSnapshot;
use state_store::StateStore;

pub use coralnotch_policy::example::SETTINGS;
pub use coralnotch_wire::example::spec;
pub use state_store::Records;

/// A new leader's state, for tests of single slices.
pub fn cluster(term: u64, now: Instant) -> Cluster {
    let config = Config::parse("sim", SETTINGS).expect("settings of the simulation");
    let policy = Arc::new(Policy::new(&config).expect("the default policy"));
    let mut c = Cluster::new(term, policy, HashMap::new(), now);
    c.set_types(&[machine_type("t")]);
    c
}

/// A heartbeat of a machine without tasks.
pub fn report(machine: &str, zone: &str, incarnation: u64, sequence: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: "127.0.0.1:9".into(),
        kind: "t".into(),
        zone: zone.into(),
        spot: false,
        incarnation,
        sequence,
        fencing_token: token,
        reclaim_in_s: None,
        tasks: vec![],
    }
}

pub fn machine_type(name: &str) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 8.0,
        gpus: 0.0,
        memory: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec![],
    }
}

/// Milliseconds of simulated time.
type Ms = u64;
const STEP: Ms = 100;

/// An invariant broken on purpose, to see that the checker notices.
#[derive(Debug, Clone, Copy, PartialEq)]
enum InjectedDefect {
    None,
    /// Tasks of a machine silent for 5 s are taken for gone.
    ReleaseAfterMissedHeartbeats,
    /// Commands leave before their start is stored.
    StartBeforeCommit,
    /// A direct start without an answer is forgotten at once.
    ForgetUnansweredStart,
    /// Reports are as new as the hour they are read, however late they are.
    OrderHeartbeatsByArrival,
    /// A machine that a list lacks is taken for gone.
    ReleaseUnlistedMachines,
    /// A job that waits for others starts when it comes.
    IgnoreDependencies,
    /// An end that is not stored yet releases what needs it.
    UnblockBeforeCommit,
    /// A new leader holds back what runs already.
    BlockStartedJobs,
    /// What needs a cancelled job is left as it is.
    SkipCascadingCancellation,
    /// A reap comes under the token of the direct start that it ends.
    KeepTokenOfDirectStart,
    /// Who stands for leader does not look whether another was quicker.
    ElectWithoutPreconditions,
    /// Leases are renewed in an outage and in a cut zone whatever is known of
    /// cancellations.
    RenewLeasesUnchecked,
    /// A user is told of a withdrawal at once, whoever knows of it.
    ConfirmCancellationAtOnce,
    /// A job without an end is called unfinished whatever became of what it needs.
    ReportUnfinishedUnchecked,
    /// The word of some of the siblings is taken for that of all.
    TrustPartialPeerKnowledge,
    /// Whoever does not know a job says that nothing is left of it, though it does not
    /// lead, or has not read what is on record.
    ReportNoTasksUnchecked,
    /// A heartbeat that repeats an earlier one counts as news, whatever submitted in between.
    AcceptAnyUnchangedHeartbeat,
    /// A controller that stood still trusts the authority it had before, and
    /// its writes are not guarded on the leader key.
    TrustExpiredLease,
}

#[derive(Clone)]
enum Message {
    ElectionRequest {
        from: usize,
        incarnation: u64,
        number: u64,
        lease_id: u64,
        term: u64,
        txn: Txn,
    },
    ElectionResponse {
        to: usize,
        incarnation: u64,
        number: u64,
        outcome: Option<u64>,
    },
    Heartbeat {
        to: usize,
        heartbeat: Heartbeat,
        number: u64,
    },
    /// A heartbeat by way of a controller that does not lead.
    ForwardedHeartbeat {
        by: usize,
        term: u64,
        to: usize,
        message: ForwardedHeartbeat,
        heartbeat: Heartbeat,
        number: u64,
    },
    /// The leader took a heartbeat that was forwarded, or unmet demand it in full.
    ForwardingResponse {
        by: usize,
        term: u64,
        heartbeat: Heartbeat,
        cancellations_complete_as_of: bool,
    },
    HeartbeatResponse {
        machine: usize,
        number: u64,
        incarnation: u64,
        answer: HeartbeatReply,
    },
    DirectCommandRequest {
        from: usize,
        incarnation: u64,
        call: DirectCommand,
    },
    DirectCommandResponse {
        to: usize,
        incarnation: u64,
        call: DirectCommand,
        heartbeat: Option<Heartbeat>,
    },
    TxnRequest {
        from: usize,
        incarnation: u64,
        number: u64,
        txn: Txn,
        at: Ms,
    },
    TxnResponse {
        to: usize,
        incarnation: u64,
        number: u64,
        outcome: Option<Result<u64, Vec<String>>>,
    },
    JobSubmitted {
        to: usize,
        spec: Arc<JobSpec>,
        revision: u64,
    },
    DeleteMachines {
        names: Vec<Name>,
        from: usize,
        incarnation: u64,
    },
    MachinesDeleted {
        names: Vec<Name>,
        to: usize,
        incarnation: u64,
    },
}

impl Message {
    /// The controller that sends it, if one does.
    fn sender(&self) -> Option<usize> {
        match self {
            Message::ElectionRequest { from, .. }
            | Message::DirectCommandRequest { from, .. }
            | Message::TxnRequest { from, .. }
            | Message::DeleteMachines { from, .. } => Some(*from),
            Message::ForwardedHeartbeat { by, .. } => Some(*by),
            _ => None,
        }
    }

    /// A late copy of a request, whose answer reaches nobody.
    fn again(&self) -> Option<Message> {
        let mut m = self.clone();
        match &mut m {
            Message::ElectionRequest { incarnation, .. }
            | Message::DirectCommandRequest { incarnation, .. }
            | Message::TxnRequest { incarnation, .. }
            | Message::DeleteMachines { incarnation, .. } => *incarnation = NO_RECEIVER,
            Message::Heartbeat { number, .. } | Message::ForwardedHeartbeat { number, .. } => *number = NO_RECEIVER,
            _ => return None,
        }
        Some(m)
    }

    /// The controller that it is for, if it is for one.
    fn receiver(&self) -> Option<usize> {
        match self {
            Message::Heartbeat { to, .. }
            | Message::ForwardedHeartbeat { to, .. }
            | Message::ForwardingResponse { by: to, .. }
            | Message::ElectionResponse { to, .. }
            | Message::DirectCommandResponse { to, .. }
            | Message::TxnResponse { to, .. }
            | Message::JobSubmitted { to, .. }
            | Message::MachinesDeleted { to, .. } => Some(*to),
            _ => None,
        }
    }
}

/// Nobody's incarnation, and no heartbeat's number.
const NO_RECEIVER: u64 = u64::MAX;
/// Whoever leads at that moment.
const CURRENT_LEADER: usize = usize::MAX;
/// When the last fault is over, from the beginning of the calm.
const SETTLING_TIME: Ms = 15_000;

struct World {
    rng: fastrand::Rng,
    t0: Instant,
    now: Ms,
    policy: Arc<Policy>,
    teams: HashMap<Name, TeamLimit>,
    state_store: StateStore,
    workers: Vec<Worker>,
    controllers: Vec<Option<Controller>>,
    /// Who stands for leader, and waits for an answer.
    candidates: [Option<Candidate>; 3],
    /// Elections that were carried out, and takings-over of an earlier incarnation's key.
    elections: (u32, u32),
    down_until: Vec<Ms>,
    /// When controllers end once more; `CURRENT_LEADER`: whoever leads then.
    scheduled_crashes: Vec<(Ms, usize)>,
    /// Copies of reports that are kept for the next leader.
    replayed_heartbeats: Vec<Heartbeat>,
    /// Until when one-task jobs come five a second, a little faster than the users', and until when jobs are cancelled as
    /// their last tasks end.
    submission_burst_until: Ms,
    cancel_on_completion_until: Ms,
    /// Jobs whose last task has ended just now.
    completing_jobs: Vec<Name>,
    /// Since when each job has waited though there is room for it.
    unplaced_since: HashMap<Name, Ms>,
    /// What the teams used and what was free on each machine, second by second.
    capacity_samples: std::collections::VecDeque<(HashMap<Name, f64>, Vec<f64>)>,
    /// Starts after a confirmed cancellation.
    starts_after_cancellation: u32,
    lease_renewal_blocked_until: Vec<Ms>,
    state_store_outage_until: Ms,
    /// Until when the state service refuses each controller alone.
    state_store_refuses_until: [Ms; 3],
    /// Until when the cloud's interface is down.
    cloud_outage_until: Ms,
    /// Until when each controller does not reach the others.
    peers_unreachable_until: [Ms; 3],
    /// What each process knows of ends, leader or not.
    snapshots: [OutcomeSnapshot; 3],
    /// Reports reach the leader by way of the others.
    forwards_heartbeats: bool,
    /// What each controller has had the leader take, and how many reports were short.
    forwarding: [HeartbeatForwarding; 3],
    unchanged_forwarded: u32,
    /// Until when each controller stands still while its clocks run on: what
    /// is sent to it waits, and what it was about to send leaves as it wakes.
    paused_until: [Ms; 3],
    /// Who stands still at its next step, between its check and its sends, and
    /// for how long.
    next_pause: Option<(usize, Ms)>,
    /// Until when each controller and the workers do not reach one another.
    workers_unreachable_until: [Ms; 3],
    /// Lists of the last seconds: what the cloud tells may be any of them.
    machine_lists: Vec<Vec<ListedMachine>>,
    /// Jobs submitted with a mistake.
    faulty_jobs: std::collections::HashSet<Name>,
    /// Until when each zone is cut off.  A controller inside renews the
    /// leases of its workers.
    zone_partitioned_until: [Ms; 3],
    /// A zone without a controller inside: cut off, its leases run out.
    zone_without_controller: Option<usize>,
    jobs: BTreeMap<Name, (Arc<JobSpec>, u64)>,
    /// Since when a leader has acted and was served without a break.
    led_since: Ms,
    /// When each job's end was stored.
    outcome_stored_at: HashMap<Name, Ms>,
    /// When each was submitted.
    submitted_at: HashMap<Name, Ms>,
    /// All tell users of cancellations only when all know; see `gate::TOLD`.
    peer_notices_required: bool,
    /// Jobs that users have withdrawn and were not told of yet.
    unconfirmed_cancellations: std::collections::BTreeSet<Name>,
    /// When users were told of cancellations.
    cancellation_confirmed_at: HashMap<Name, Ms>,
    task_finished_at: HashMap<Task, Ms>,
    in_flight: BTreeMap<(Ms, u64), Message>,
    last_sequence: u64,
    last_incarnation: u64,
    term: u64,
    defect: InjectedDefect,
    /// Machines that are kept up, and cores that a team may use.
    scale: usize,
    quota: f64,
    /// Steps between two troubles, on average.
    steps_between_faults: u32,
    limits: TxnLimits,
    /// What a value may lease from some moment on, and since when controllers
    /// keep to it.
    max_value_bytes: usize,
    limits_lowered_at: Ms,
    violations: Vec<String>,
}

impl World {
    /// A small world: collisions are frequent.
    fn new(seed: u64, defect: InjectedDefect) -> World {
        World::with_scale(9, seed, defect)
    }

    fn with_scale(scale: usize, seed: u64, defect: InjectedDefect) -> World {
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

    fn at(&self, t: Ms) -> Instant {
        self.t0 + Duration::from_millis(t)
    }

    fn send(&mut self, m: Message) {
        // mostly at once, now and then late, rarely a minute late
        let delay = match self.rng.u32(0..100) {
            0..=89 => STEP,
            90..=96 => self.rng.u64(1..30) * STEP,
            _ => self.rng.u64(10..700) * STEP,
        };
        self.last_sequence += 1;
        // a sender that stands still has not sent it yet
        let leaves = m.sender().map_or(self.now, |i| self.paused_until[i].max(self.now));
        // a request may arrive once more, late, when nobody waits for an answer
        let again = (self.rng.u32(0..30) == 0).then(|| m.again()).flatten();
        self.in_flight.insert((leaves + delay, self.last_sequence), m);
        if let Some(m) = again {
            self.last_sequence += 1;
            let late = self.rng.u64(1..600) * STEP;
            self.in_flight.insert((leaves + delay + late, self.last_sequence), m);
        }
    }

    /// What the watch shows: one that hangs is opened anew within a third of
    /// `cancel_s`.
    fn send_watch_event(&mut self, m: Message) {
        self.last_sequence += 1;
        let at = self.now + self.rng.u64(1..200) * STEP;
        self.in_flight.insert((at, self.last_sequence), m);
    }

    fn submit_random_job(&mut self) {
        self.submit_job(false);
    }

    /// A user submits a job; `small`: an array of one small task that waits for nothing.
    fn submit_job(&mut self, small: bool) {
        let n = self.jobs.len();
        let shape = if small { 0 } else { self.rng.usize(0..3) };
        let shape = [Shape::Array, Shape::Gang, Shape::Service][shape];
        let one_zone = self.rng.u32(0..4) == 0;
        // guests come with many of the smallest tasks
        let tiny = small || shape == Shape::Array && self.rng.u32(0..6) == 0;
        let tasks = if small { 1 } else { self.rng.u32(if tiny { 20..60 } else { 1..6 }) };
        // jobs that were accepted, in whatever state by now
        let named =
            if shape != Shape::Service && n > 0 && !small { [0, 0, 1, 1, 2, 3][self.rng.usize(0..6)] } else { 0 };
        let lately = n.saturating_sub(12);
        let needs = (0..named).map(|_| format!("j-{:06}", self.rng.usize(lately..n)).into());
        let needs: Vec<Name> = needs.filter(|id| self.jobs[id].0.shape != Shape::Service).collect();
        let spec = Arc::new(JobSpec {
            needs,
            team: if self.rng.bool() { "x" } else { "y" }.into(),
            shape,
            priority: [Priority::Production, Priority::High, Priority::Normal, Priority::Low][self.rng.usize(0..4)],
            cpus: if tiny { 0.25 } else { f64::from(self.rng.u32(1..4)) },
            image: format!("img-{}", self.rng.u32(0..3)).into(),
            zone: (self.rng.u32(0..6) == 0).then(|| "z1".into()),
            one_zone,
            spread: !one_zone && self.rng.u32(0..3) == 0,
            spot: self.rng.bool(),
            ..(*spec(&format!("j-{n:06}"), tasks)).clone()
        });
        let mut spec = spec;
        if spec.spread && spec.zone.is_some() {
            Arc::make_mut(&mut spec).zone = None;
        }
        let revision = self.state_store.apply(&submissions_txn([(&*spec, false)].into_iter())).expect("a new job");
        if self.rng.u32(0..12) == 0 {
            self.faulty_jobs.insert(spec.id.clone());
        }
        self.jobs.insert(spec.id.clone(), (spec.clone(), revision));
        self.submitted_at.insert(spec.id.clone(), self.now);
        for to in 0..3 {
            self.send_watch_event(Message::JobSubmitted { to, spec: spec.clone(), revision });
        }
    }

    /// A controller takes a withdrawal, stores it, and tells its user.
    fn cancel_random_job(&mut self) -> Option<Name> {
        let by = self.rng.usize(0..3);
        if !self.is_served(by) {
            return None;
        }
        let open: Vec<Name> = self.jobs.keys().filter(|id| self.state_store.outcome(id).is_none()).cloned().collect();
        if open.is_empty() {
            return None;
        }
        let id = open[self.rng.usize(0..open.len())].clone();
        self.cancel_job(by, &id, &open);
        Some(id)
    }

    /// A controller takes the withdrawal of a job; it ends some of those that need it
    /// with it.
    fn cancel_job(&mut self, by: usize, id: &Name, open: &[Name]) {
        let mut ends = vec![id.clone()];
        if self.rng.bool() {
            // who takes the withdrawal ends what needs the job, as far as it knows
            ends.extend(open.iter().filter(|o| self.jobs[*o].0.needs.contains(id)).take(2).cloned());
        }
        let txn = cancellations_txn(&ends);
        if let Ok(revision) = self.state_store.apply(&txn) {
            for id in ends {
                self.record_outcome(by, &id, JobOutcome::Cancelled, revision);
                match self.peer_notices_required {
                    true => drop(self.unconfirmed_cancellations.insert(id)),
                    false => drop(self.cancellation_confirmed_at.insert(id, self.now)),
                }
            }
        }
    }

    /// A controller's process ends; what it had sent is still under way.
    fn crash_controller(&mut self, i: usize) {
        (self.controllers[i], self.candidates[i]) = (None, None);
        let back = if self.rng.bool() { 200 } else { 3000 };
        self.down_until[i] = self.now + back;
        self.paused_until[i] = 0;
        self.last_incarnation += 1;
        self.snapshots[i] = OutcomeSnapshot::new(self.last_incarnation);
        self.forwarding[i] = HeartbeatForwarding::default();
    }

    fn inject_fault(&mut self) {
        let t = self.now;
        match self.rng.u32(0..22) {
            // leaders change ten times in two minutes
            17 => (0..10).for_each(|n| self.scheduled_crashes.push((t + n * 12_000, CURRENT_LEADER))),
            // one-task jobs, a quarter of them cancelled
            18 => self.submission_burst_until = t + self.rng.u64(100..600) * STEP,
            19 => self.cancel_on_completion_until = t + self.rng.u64(100..600) * STEP,
            // machines reach no controller, and are reached
            20 => {
                for _ in 0..self.scale.div_ceil(4) {
                    let (n, t) = (self.rng.usize(0..self.workers.len()), t + self.rng.u64(50..600) * STEP);
                    self.workers[n].outbound_lost_until = t;
                }
            }
            // running jobs are cancelled, and their machines hang
            21 => {
                let hang = t + self.rng.u64(50..450) * STEP;
                for _ in 0..4 {
                    let Some(id) = self.cancel_random_job() else { continue };
                    for w in self.workers.iter_mut().filter(|w| w.tasks.keys().any(|k| k.job == id)).take(2) {
                        w.hung_until = hang;
                    }
                }
                if self.rng.bool() {
                    self.scheduled_crashes.push((t + self.rng.u64(1..20) * STEP, CURRENT_LEADER));
                }
            }
            0 => {
                // often it is back at once, and ends again in its first steps
                let i = self.rng.usize(0..3);
                self.crash_controller(i);
                for n in 1..=self.rng.u64(0..4) {
                    self.scheduled_crashes.push((t + n * self.rng.u64(3..15) * STEP, i));
                }
            }
            1 => {
                (0..3).for_each(|i| self.crash_controller(i));
                if self.rng.u32(0..3) == 0 {
                    // all are away for longer than a worker's lease
                    self.down_until.fill(t + self.rng.u64(310..450) * STEP);
                }
            }
            2 => self.state_store_outage_until = t + self.rng.u64(10..150) * STEP,
            3 | 4 => {
                let i = self.rng.usize(0..3);
                self.lease_renewal_blocked_until[i] = t + self.rng.u64(20..200) * STEP;
            }
            10 | 11 => {
                let short = self.rng.bool();
                let gap = if short { self.rng.u64(5..60) } else { self.rng.u64(160..500) };
                self.next_pause = Some((self.rng.usize(0..3), gap * STEP));
            }
            // the leader alone is refused, for less or longer than its lease;
            // then everybody is, for longer than a withdrawal has
            13 | 14 => {
                let i = self.state_store.leader.map_or(0, |l| l.0);
                self.state_store_refuses_until[i] = t + self.rng.u64(10..80) * STEP;
                // users withdraw meanwhile, at one that may end, or lose its
                // siblings, just after
                (0..4).for_each(|_| drop(self.cancel_random_job()));
                let by = (i + self.rng.usize(1..3)) % 3;
                match self.rng.u32(0..3) {
                    0 => self.scheduled_crashes.push((t + 5 * STEP, by)),
                    1 => self.peers_unreachable_until[by] = t + self.rng.u64(300..1000) * STEP,
                    _ => {}
                }
                if self.rng.bool() && self.scale <= 100 {
                    self.state_store_outage_until =
                        self.state_store_refuses_until[i] - 500 + self.rng.u64(300..1000) * STEP;
                }
            }
            // the leader is cut from the state service and its siblings, and
            // reaches workers; or it loses its siblings alone
            15 => {
                let i = self.state_store.leader.map_or(0, |l| l.0);
                self.peers_unreachable_until[i] = t + self.rng.u64(50..900) * STEP;
                if self.rng.bool() {
                    self.state_store_refuses_until[i] = self.peers_unreachable_until[i];
                }
            }
            // answers and commands to some machines are lost, their reports
            // arrive
            16 => {
                for _ in 0..self.scale.div_ceil(4) {
                    let (n, t) = (self.rng.usize(0..self.workers.len()), t + self.rng.u64(50..600) * STEP);
                    self.workers[n].inbound_lost_until = t;
                }
            }
            12 => self.workers_unreachable_until[self.rng.usize(0..3)] = t + self.rng.u64(20..600) * STEP,
            9 => {
                let zone = self.rng.usize(0..3);
                self.zone_partitioned_until[zone] = t + self.rng.u64(100..1000) * STEP;
                if self.rng.bool() {
                    self.cloud_outage_until = self.zone_partitioned_until[zone];
                }
                (0..2).for_each(|_| drop(self.cancel_random_job()));
            }
            // dozens at once in a large world
            kind => {
                for _ in 0..self.scale.div_ceil(30) {
                    let i = self.rng.usize(0..self.workers.len());
                    let hang = t + self.rng.u64(10..400) * STEP;
                    let w = &mut self.workers[i];
                    match kind {
                        5 => {
                            w.alive = false;
                            w.tasks.clear();
                        }
                        6 | 7 => w.hung_until = hang,
                        _ => w.tasks_fail = !w.tasks_fail,
                    }
                }
                self.scale_out();
            }
        }
    }

    fn run(mut self, until: Ms, calm_from: Ms) -> World {
        while self.now < until && self.violations.is_empty() {
            self.now += STEP;
            while let Some(e) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let m = e.remove();
                self.deliver(m);
            }
            if self.now == until / 3 {
                // all have the version that keeps to the later limits, which come
                // without notice
                self.limits_lowered_at = self.now;
                let l = self.limits;
                self.limits = TxnLimits { writes: l.writes / 2, shard_bytes: l.shard_bytes / 4, ..l };
            }
            if self.now == until / 2 {
                self.max_value_bytes = self.limits.shard_bytes;
            }
            let calm = self.now >= calm_from;
            for _ in 0..self.scale.div_ceil(9) {
                if !calm && self.rng.u32(0..40) == 0 {
                    self.submit_random_job();
                }
                if !calm && self.rng.u32(0..120) == 0 {
                    self.cancel_random_job();
                }
            }
            if !calm && self.rng.u32(0..self.steps_between_faults) == 0 {
                self.inject_fault();
            }
            if self.now < self.submission_burst_until && self.now.is_multiple_of(2 * STEP) {
                self.submit_job(true);
                if self.rng.u32(0..4) == 0 {
                    self.cancel_random_job();
                }
            }
            for id in std::mem::take(&mut self.completing_jobs) {
                let by = self.rng.usize(0..3);
                if self.now < self.cancel_on_completion_until
                    && self.rng.bool()
                    && self.is_served(by)
                    && self.state_store.outcome(&id).is_none()
                {
                    self.cancel_job(by, &id, &[]);
                }
            }
            if self.now == calm_from {
                // all troubles end soon, and what is left has to settle
                let end = self.now + SETTLING_TIME;
                self.scheduled_crashes.retain(|k| k.0 < end);
                (self.submission_burst_until, self.cancel_on_completion_until) =
                    (self.submission_burst_until.min(self.now), self.cancel_on_completion_until.min(end));
                let until = [
                    &mut self.state_store_refuses_until,
                    &mut self.peers_unreachable_until,
                    &mut self.zone_partitioned_until,
                    &mut self.workers_unreachable_until,
                    &mut self.paused_until,
                ];
                until
                    .into_iter()
                    .flatten()
                    .chain([&mut self.state_store_outage_until, &mut self.cloud_outage_until])
                    .for_each(|t| *t = end.min(*t));
                for w in &mut self.workers {
                    w.tasks_fail = false;
                    for t in [&mut w.hung_until, &mut w.inbound_lost_until, &mut w.outbound_lost_until] {
                        *t = end.min(*t);
                    }
                }
            }
            let due = self.scheduled_crashes.extract_if(.., |k| k.0 <= self.now).collect::<Vec<_>>();
            for (_, i) in due {
                match (i, self.state_store.leader) {
                    (CURRENT_LEADER, Some((leads, _))) => self.crash_controller(leads),
                    (CURRENT_LEADER, None) => {}
                    _ => self.crash_controller(i),
                }
            }
            self.time_out_direct_commands();
            self.update_snapshots();
            self.step_controllers();
            self.step_workers();
            if self.now.is_multiple_of(1000) {
                self.check_invariants();
                if self.now > calm_from + SETTLING_TIME {
                    self.check_starvation();
                }
            }
        }
        self
    }
}

#[test]
fn the_rules_hold_through_troubles() {
    let (mut done, mut chained, mut taken, mut unchanged_forwarded) = (0, 0, 0, 0);
    for seed in 0..40 {
        let w = World::new(seed, InjectedDefect::None).run(280_000, 180_000);
        assert!(w.violations.is_empty(), "seed {seed} at {} ms: {:?}", w.now, w.violations);
        assert_eq!(w.blocked_despite_done_dependencies(), [] as [String; 0], "seed {seed}");
        let through = || w.jobs.values().filter(|j| w.state_store.outcome(&j.0.id) == Some(JobOutcome::Done));
        done += through().count();
        taken += w.elections.1;
        unchanged_forwarded += w.unchanged_forwarded;
        chained += through().filter(|j| !j.0.needs.is_empty()).count();
    }
    // the checker had something to check
    assert!(done > 250 && chained > 25, "only {done} jobs came through, {chained} of them had waited for others");
    assert!(unchanged_forwarded > 300, "only {unchanged_forwarded} reports were forwarded without their content");
    assert!(taken > 20, "only {taken} controllers came back while they still led");
}

/// The same with thousands of seeds, by hand: `cargo test --release -p coralnotch-core
/// thousands -- --ignored --nocapture`; SEEDS says how many.
#[test]
#[ignore = "takes minutes"]
fn the_rules_hold_through_thousands_of_days() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(4000);
    let first: u64 = std::env::var("FIRST").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    let seeds = first + seeds;
    let next = std::sync::atomic::AtomicU64::new(first);
    let failed = std::sync::Mutex::new(Vec::new());
    let starts_after_cancellation = std::sync::atomic::AtomicU32::new(0);
    std::thread::scope(|s| {
        for _ in 0..std::thread::available_parallelism().map_or(1, |n| n.get()) {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let w = World::new(1000 + seed, InjectedDefect::None).run(280_000, 180_000);
                starts_after_cancellation.fetch_add(w.starts_after_cancellation, std::sync::atomic::Ordering::Relaxed);
                let mut wrong = w.violations.clone();
                wrong.extend(w.blocked_despite_done_dependencies());
                if !wrong.is_empty() {
                    if let Some(c) = w.controllers.iter().flatten().find(|c| w.now < c.until) {
                        let held: Vec<_> =
                            c.cluster.dependency.blocked().map(|h| (&h.spec.id, &h.spec.needs, &h.missing)).collect();
                        println!("term {} led since {}: {held:?}", c.cluster.term, w.led_since);
                    }
                    println!("seed {} at {} ms: {wrong:?}", 1000 + seed, w.now);
                    failed.lock().expect("a list").push(1000 + seed);
                }
            });
        }
    });
    println!("starts after a confirmed cancellation: {}", starts_after_cancellation.into_inner());
    let failed = failed.into_inner().expect("a list");
    assert!(failed.is_empty(), "{} of {seeds} days failed: {failed:?}", failed.len());
}

/// Each invariant, broken on purpose, is noticed: the checker is not blind.
#[test]
fn the_checker_sees_broken_invariants() {
    let all = [
        InjectedDefect::ReleaseAfterMissedHeartbeats,
        InjectedDefect::StartBeforeCommit,
        InjectedDefect::ForgetUnansweredStart,
        InjectedDefect::OrderHeartbeatsByArrival,
        InjectedDefect::ReleaseUnlistedMachines,
        InjectedDefect::IgnoreDependencies,
        InjectedDefect::UnblockBeforeCommit,
        InjectedDefect::BlockStartedJobs,
        InjectedDefect::SkipCascadingCancellation,
        InjectedDefect::KeepTokenOfDirectStart,
        InjectedDefect::ElectWithoutPreconditions,
        InjectedDefect::TrustExpiredLease,
        InjectedDefect::RenewLeasesUnchecked,
        InjectedDefect::TrustPartialPeerKnowledge,
        InjectedDefect::ReportUnfinishedUnchecked,
        InjectedDefect::ConfirmCancellationAtOnce,
        InjectedDefect::ReportNoTasksUnchecked,
        InjectedDefect::AcceptAnyUnchangedHeartbeat,
    ];
    // each on a thread of its own: some take hundreds of days
    let noticed = |s| (0..600).any(|seed| !World::new(seed, s).run(280_000, 180_000).violations.is_empty());
    let seen = std::thread::scope(|scope| {
        let days = all.map(|s| scope.spawn(move || noticed(s)));
        days.map(|d| d.join().expect("no panic"))
    });
    for (s, seen) in all.into_iter().zip(seen) {
        assert!(seen, "{s:?} went unnoticed");
    }
    let large = World::with_scale(1000, 0, InjectedDefect::ReleaseAfterMissedHeartbeats).run(90_000, 70_000);
    assert!(!large.violations.is_empty(), "a thousand machines hide what nine show");
}

/// The same with a thousand machines, of which dozens fail at once: pages
/// fill, are taken in turn and read by one leader after another.
#[test]
fn the_rules_hold_in_a_large_world() {
    let (mut terms, mut done, mut pages) = (0, 0, 0);
    for seed in 0..2 {
        let w = World::with_scale(1000, seed, InjectedDefect::None).run(90_000, 70_000);
        assert!(w.violations.is_empty(), "seed {seed} at {} ms: {:?}", w.now, w.violations);
        terms += w.term;
        done += w.jobs.keys().filter(|id| w.state_store.outcome(id) == Some(JobOutcome::Done)).count();
        pages += w.state_store.kv.keys().filter(|k| k.starts_with(key::SHARD)).count();
    }
    assert!(terms > 3 && done > 60 && pages > 20, "too little to check: {terms} terms, {done} done, {pages} pages");
}
