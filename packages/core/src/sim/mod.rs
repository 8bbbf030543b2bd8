//! A seeded world of stand-ins (state service, cloud, workers, users) that
//! drives the controllers' decision code through crashes, lost authority,
//! late messages and outages, while a checker asserts the rules.  Time is
//! simulated; nothing here sleeps or opens a socket.

mod controllers;
mod history;
mod machines;
mod pictures;
mod rules;
mod service;

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
use controllers::{Controller, Standing};
use coralnotch_wire::state::{read_value, KeyValue, Txn, Write};
use machines::{listed, Work, Worker};
use pictures::Picture;
use service::Store;

pub use coralnotch_policy::example::SETTINGS;
pub use coralnotch_wire::example::spec;
pub use service::Records;

/// A new leader's state, for tests of single slices.
pub fn cluster(term: u64, now: Instant) -> Cluster {
    let config = Config::parse("sim", SETTINGS).expect("settings of the simulation");
    let policy = Arc::new(Policy::new(&config).expect("the default policy"));
    let mut c = Cluster::new(term, policy, HashMap::new(), now);
    c.set_types(&[machine_type("t")]);
    c
}

/// A report of a machine without tasks.
pub fn report(machine: &str, zone: &str, session: u64, tally: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: "127.0.0.1:9".into(),
        kind: "t".into(),
        zone: zone.into(),
        spot: false,
        incarnation: session,
        sequence: tally,
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
enum Sabotage {
    None,
    /// Tasks of a machine silent for 5 s are taken for gone.
    SilenceIsProof,
    /// Commands leave before their start is stored.
    UnstoredStarts,
    /// A direct start without an answer is forgotten at once.
    NoDoubt,
    /// Reports are as new as the hour they are read, however late they are.
    ReadingOrder,
    /// A machine that a list lacks is taken for gone.
    ListIsProof,
    /// A job that waits for others starts when it comes.
    HoldsNothing,
    /// An end that is not stored yet releases what needs it.
    EarlyRelease,
    /// A new leader holds back what runs already.
    ForgetsBegun,
    /// What needs a cancelled job is left as it is.
    NoCascade,
    /// A reap comes under the token of the direct start that it ends.
    ReapsUnderOldToken,
    /// Who stands for leader does not look whether another was quicker.
    UnguardedElection,
    /// Leases are renewed in an outage and in a cut zone whatever is known of
    /// withdrawals.
    RenewsBlindly,
    /// A user is told of a withdrawal at once, whoever knows of it.
    TellsAtOnce,
    /// A job without an end is called unfinished whatever became of what it needs.
    CallsUnlooked,
    /// The word of some of the siblings is taken for that of all.
    SomeSiblings,
    /// Whoever does not know a job says that nothing is left of it, though it does not
    /// lead, or has not read what is on record.
    ClearUnread,
    /// A report that repeats an earlier one counts as news, whatever came in between.
    RepeatsAnything,
    /// A controller that stood still trusts the authority it had before, and
    /// its writes are not guarded on the leader key.
    OldAuthority,
}

#[derive(Clone)]
enum Message {
    Elect {
        from: usize,
        life: u64,
        number: u64,
        hold: u64,
        term: u64,
        txn: Txn,
    },
    Elected {
        to: usize,
        life: u64,
        number: u64,
        outcome: Option<u64>,
    },
    Report {
        to: usize,
        report: Heartbeat,
        number: u64,
    },
    /// A report by way of a controller that does not lead.
    Forwarded {
        by: usize,
        term: u64,
        to: usize,
        message: ForwardedHeartbeat,
        report: Heartbeat,
        number: u64,
    },
    /// The leader took a report that was forwarded, or wants it in full.
    Taken {
        by: usize,
        term: u64,
        report: Heartbeat,
        whole: bool,
    },
    Answer {
        machine: usize,
        number: u64,
        session: u64,
        answer: HeartbeatReply,
    },
    Direct {
        from: usize,
        life: u64,
        call: DirectCommand,
    },
    DirectAnswer {
        to: usize,
        life: u64,
        call: DirectCommand,
        report: Option<Heartbeat>,
    },
    Txn {
        from: usize,
        life: u64,
        number: u64,
        txn: Txn,
        at: Ms,
    },
    TxnAnswer {
        to: usize,
        life: u64,
        number: u64,
        outcome: Option<Result<u64, Vec<String>>>,
    },
    Job {
        to: usize,
        spec: Arc<JobSpec>,
        stamp: u64,
    },
    Delete {
        names: Vec<Name>,
        from: usize,
        life: u64,
    },
    Deleted {
        names: Vec<Name>,
        to: usize,
        life: u64,
    },
}

impl Message {
    /// The controller that sends it, if one does.
    fn sender(&self) -> Option<usize> {
        match self {
            Message::Elect { from, .. }
            | Message::Direct { from, .. }
            | Message::Txn { from, .. }
            | Message::Delete { from, .. } => Some(*from),
            Message::Forwarded { by, .. } => Some(*by),
            _ => None,
        }
    }

    /// A late copy of a request, whose answer reaches nobody.
    fn again(&self) -> Option<Message> {
        let mut m = self.clone();
        match &mut m {
            Message::Elect { life, .. }
            | Message::Direct { life, .. }
            | Message::Txn { life, .. }
            | Message::Delete { life, .. } => *life = NOBODY,
            Message::Report { number, .. } | Message::Forwarded { number, .. } => *number = NOBODY,
            _ => return None,
        }
        Some(m)
    }

    /// The controller that it is for, if it is for one.
    fn receiver(&self) -> Option<usize> {
        match self {
            Message::Report { to, .. }
            | Message::Forwarded { to, .. }
            | Message::Taken { by: to, .. }
            | Message::Elected { to, .. }
            | Message::DirectAnswer { to, .. }
            | Message::TxnAnswer { to, .. }
            | Message::Job { to, .. }
            | Message::Deleted { to, .. } => Some(*to),
            _ => None,
        }
    }
}

/// Nobody's life, and no report's number.
const NOBODY: u64 = u64::MAX;
/// Whoever leads at that moment.
const LEADER: usize = usize::MAX;
/// When the last trouble is over, from the beginning of the calm.
const SETTLES: Ms = 15_000;

struct World {
    rng: fastrand::Rng,
    t0: Instant,
    now: Ms,
    policy: Arc<Policy>,
    teams: HashMap<Name, TeamLimit>,
    store: Store,
    workers: Vec<Worker>,
    controllers: Vec<Option<Controller>>,
    /// Who stands for leader, and waits for an answer.
    standing: [Option<Standing>; 3],
    /// Elections that were carried out, and takings-over of an earlier life's key.
    elections: (u32, u32),
    down_until: Vec<Ms>,
    /// When controllers end once more; `LEADER`: whoever leads then.
    kills: Vec<(Ms, usize)>,
    /// Copies of reports that are kept for the next leader.
    for_next: Vec<Heartbeat>,
    /// Until when one-task jobs come five a second, a little faster than the users', and until when jobs are cancelled as
    /// their last tasks end.
    burst: Ms,
    at_end: Ms,
    /// Jobs whose last task has ended just now.
    ending: Vec<Name>,
    /// Since when each job has waited though there is room for it.
    waiting: HashMap<Name, Ms>,
    /// What the teams used and what was free on each machine, second by second.
    samples: std::collections::VecDeque<(HashMap<Name, f64>, Vec<f64>)>,
    /// Starts after a confirmed cancellation.
    slips: u32,
    no_renewal: Vec<Ms>,
    outage: Ms,
    /// Until when the state service refuses each controller alone.
    refused: [Ms; 3],
    /// Until when the cloud's interface is down.
    no_cloud: Ms,
    /// Until when each controller does not reach the others.
    apart: [Ms; 3],
    /// What each process knows of ends, leader or not.
    pictures: [Picture; 3],
    /// Reports reach the leader by way of the others.
    forwards: bool,
    /// What each controller has had the leader take, and how many reports were short.
    forwarding: [HeartbeatForwarding; 3],
    repeated: u32,
    /// Until when each controller stands still while its clocks run on: what
    /// is sent to it waits, and what it was about to send leaves as it wakes.
    frozen: [Ms; 3],
    /// Who stands still at its next step, between its check and its sends, and
    /// for how long.
    freezes: Option<(usize, Ms)>,
    /// Until when each controller and the workers do not reach one another.
    deaf: [Ms; 3],
    /// Lists of the last seconds: what the cloud tells may be any of them.
    lists: Vec<Vec<ListedMachine>>,
    /// Jobs submitted with a mistake.
    mistaken: std::collections::HashSet<Name>,
    /// Until when each zone is cut off.  A controller inside renews the
    /// leases of its workers.
    cut: [Ms; 3],
    /// A zone without a controller inside: cut off, its leases run out.
    unmanned: Option<usize>,
    jobs: BTreeMap<Name, (Arc<JobSpec>, u64)>,
    /// Since when a leader has acted and was served without a break.
    led: Ms,
    /// When each job's end was stored.
    ended: HashMap<Name, Ms>,
    /// When each was submitted.
    came: HashMap<Name, Ms>,
    /// All tell users of withdrawals only when all know; see `gate::TOLD`.
    told: bool,
    /// Jobs that users have withdrawn and were not told of yet.
    withdrawn: std::collections::BTreeSet<Name>,
    /// When users were told of withdrawals.
    cancelled: HashMap<Name, Ms>,
    finished: HashMap<Task, Ms>,
    mail: BTreeMap<(Ms, u64), Message>,
    serial: u64,
    lives: u64,
    term: u64,
    sabotage: Sabotage,
    /// Machines that are kept up, and cores that a team may use.
    scale: usize,
    quota: f64,
    /// Steps between two troubles, on average.
    quiet: u32,
    limits: TxnLimits,
    /// What a value may hold from some moment on, and since when controllers
    /// keep to it.
    value_most: usize,
    lowered: Ms,
    broken: Vec<String>,
}

impl World {
    /// A small world: collisions are frequent.
    fn new(seed: u64, sabotage: Sabotage) -> World {
        World::of(9, seed, sabotage)
    }

    fn of(scale: usize, seed: u64, sabotage: Sabotage) -> World {
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
            store: Store::default(),
            workers,
            controllers: vec![None, None, None],
            standing: [None; 3],
            elections: (0, 0),
            down_until: vec![0; 3],
            kills: Vec::new(),
            for_next: Vec::new(),
            burst: 0,
            at_end: 0,
            ending: Vec::new(),
            waiting: HashMap::new(),
            samples: Default::default(),
            slips: 0,
            no_renewal: vec![0; 3],
            outage: 0,
            refused: [0; 3],
            no_cloud: 0,
            apart: [0; 3],
            pictures: [Picture::new(1), Picture::new(2), Picture::new(3)],
            forwards: seed % 3 == 2,
            forwarding: Default::default(),
            repeated: 0,
            frozen: [0; 3],
            freezes: None,
            deaf: [0; 3],
            lists: Vec::new(),
            mistaken: std::collections::HashSet::new(),
            cut: [0; 3],
            unmanned: seed.is_multiple_of(2).then_some(2),
            jobs: BTreeMap::new(),
            led: 0,
            ended: HashMap::new(),
            came: HashMap::new(),
            told: !seed.is_multiple_of(4),
            withdrawn: Default::default(),
            cancelled: HashMap::new(),
            finished: HashMap::new(),
            mail: BTreeMap::new(),
            serial: 0,
            lives: 3,
            term: 0,
            sabotage,
            scale,
            quota,
            quiet: if scale > 100 { 30 } else { 100 },
            limits: TxnLimits {
                writes: 8.max(scale / 40),
                preconditions: 32.max(scale / 10),
                shard_bytes: 4096.max(scale * 15),
                value_bytes: 4096.max(scale * 15),
            },
            value_most: usize::MAX,
            lowered: Ms::MAX,
            broken: Vec::new(),
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
        self.serial += 1;
        // a sender that stands still has not sent it yet
        let leaves = m.sender().map_or(self.now, |i| self.frozen[i].max(self.now));
        // a request may arrive once more, late, when nobody waits for an answer
        let again = (self.rng.u32(0..30) == 0).then(|| m.again()).flatten();
        self.mail.insert((leaves + delay, self.serial), m);
        if let Some(m) = again {
            self.serial += 1;
            let late = self.rng.u64(1..600) * STEP;
            self.mail.insert((leaves + delay + late, self.serial), m);
        }
    }

    /// What the watch shows: one that hangs is opened anew within a third of
    /// `cancel_s`.
    fn watched(&mut self, m: Message) {
        self.serial += 1;
        let at = self.now + self.rng.u64(1..200) * STEP;
        self.mail.insert((at, self.serial), m);
    }

    fn submit(&mut self) {
        self.submit_one(false);
    }

    /// A user submits a job; `small`: an array of one small task that waits for nothing.
    fn submit_one(&mut self, small: bool) {
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
        let stamp = self.store.apply(&submissions_txn([(&*spec, false)].into_iter())).expect("a new job");
        if self.rng.u32(0..12) == 0 {
            self.mistaken.insert(spec.id.clone());
        }
        self.jobs.insert(spec.id.clone(), (spec.clone(), stamp));
        self.came.insert(spec.id.clone(), self.now);
        for to in 0..3 {
            self.watched(Message::Job { to, spec: spec.clone(), stamp });
        }
    }

    /// A controller takes a withdrawal, stores it, and tells its user.
    fn cancel(&mut self) -> Option<Name> {
        let by = self.rng.usize(0..3);
        if !self.served(by) {
            return None;
        }
        let open: Vec<Name> = self.jobs.keys().filter(|id| self.store.outcome(id).is_none()).cloned().collect();
        if open.is_empty() {
            return None;
        }
        let id = open[self.rng.usize(0..open.len())].clone();
        self.cancel_one(by, &id, &open);
        Some(id)
    }

    /// A controller takes the withdrawal of a job; it ends some of those that need it
    /// with it.
    fn cancel_one(&mut self, by: usize, id: &Name, open: &[Name]) {
        let mut ends = vec![id.clone()];
        if self.rng.bool() {
            // who takes the withdrawal ends what needs the job, as far as it knows
            ends.extend(open.iter().filter(|o| self.jobs[*o].0.needs.contains(id)).take(2).cloned());
        }
        let txn = cancellations_txn(&ends);
        if let Ok(stamp) = self.store.apply(&txn) {
            for id in ends {
                self.learns(by, &id, JobOutcome::Cancelled, stamp);
                match self.told {
                    true => drop(self.withdrawn.insert(id)),
                    false => drop(self.cancelled.insert(id, self.now)),
                }
            }
        }
    }

    /// A controller's process ends; what it had sent is still under way.
    fn ends(&mut self, i: usize) {
        (self.controllers[i], self.standing[i]) = (None, None);
        let back = if self.rng.bool() { 200 } else { 3000 };
        self.down_until[i] = self.now + back;
        self.frozen[i] = 0;
        self.lives += 1;
        self.pictures[i] = Picture::new(self.lives);
        self.forwarding[i] = HeartbeatForwarding::default();
    }

    fn trouble(&mut self) {
        let t = self.now;
        match self.rng.u32(0..22) {
            // leaders change ten times in two minutes
            17 => (0..10).for_each(|n| self.kills.push((t + n * 12_000, LEADER))),
            // one-task jobs, a quarter of them cancelled
            18 => self.burst = t + self.rng.u64(100..600) * STEP,
            19 => self.at_end = t + self.rng.u64(100..600) * STEP,
            // machines reach no controller, and are reached
            20 => {
                for _ in 0..self.scale.div_ceil(4) {
                    let (n, t) = (self.rng.usize(0..self.workers.len()), t + self.rng.u64(50..600) * STEP);
                    self.workers[n].mute_until = t;
                }
            }
            // running jobs are cancelled, and their machines hang
            21 => {
                let hang = t + self.rng.u64(50..450) * STEP;
                for _ in 0..4 {
                    let Some(id) = self.cancel() else { continue };
                    for w in self.workers.iter_mut().filter(|w| w.tasks.keys().any(|k| k.job == id)).take(2) {
                        w.hung_until = hang;
                    }
                }
                if self.rng.bool() {
                    self.kills.push((t + self.rng.u64(1..20) * STEP, LEADER));
                }
            }
            0 => {
                // often it is back at once, and ends again in its first steps
                let i = self.rng.usize(0..3);
                self.ends(i);
                for n in 1..=self.rng.u64(0..4) {
                    self.kills.push((t + n * self.rng.u64(3..15) * STEP, i));
                }
            }
            1 => {
                (0..3).for_each(|i| self.ends(i));
                if self.rng.u32(0..3) == 0 {
                    // all are away for longer than a worker's lease
                    self.down_until.fill(t + self.rng.u64(310..450) * STEP);
                }
            }
            2 => self.outage = t + self.rng.u64(10..150) * STEP,
            3 | 4 => {
                let i = self.rng.usize(0..3);
                self.no_renewal[i] = t + self.rng.u64(20..200) * STEP;
            }
            10 | 11 => {
                let short = self.rng.bool();
                let gap = if short { self.rng.u64(5..60) } else { self.rng.u64(160..500) };
                self.freezes = Some((self.rng.usize(0..3), gap * STEP));
            }
            // the leader alone is refused, for less or longer than its lease;
            // then everybody is, for longer than a withdrawal has
            13 | 14 => {
                let i = self.store.leader.map_or(0, |l| l.0);
                self.refused[i] = t + self.rng.u64(10..80) * STEP;
                // users withdraw meanwhile, at one that may end, or lose its
                // siblings, just after
                (0..4).for_each(|_| drop(self.cancel()));
                let by = (i + self.rng.usize(1..3)) % 3;
                match self.rng.u32(0..3) {
                    0 => self.kills.push((t + 5 * STEP, by)),
                    1 => self.apart[by] = t + self.rng.u64(300..1000) * STEP,
                    _ => {}
                }
                if self.rng.bool() && self.scale <= 100 {
                    self.outage = self.refused[i] - 500 + self.rng.u64(300..1000) * STEP;
                }
            }
            // the leader is cut from the state service and its siblings, and
            // reaches workers; or it loses its siblings alone
            15 => {
                let i = self.store.leader.map_or(0, |l| l.0);
                self.apart[i] = t + self.rng.u64(50..900) * STEP;
                if self.rng.bool() {
                    self.refused[i] = self.apart[i];
                }
            }
            // answers and commands to some machines are lost, their reports
            // arrive
            16 => {
                for _ in 0..self.scale.div_ceil(4) {
                    let (n, t) = (self.rng.usize(0..self.workers.len()), t + self.rng.u64(50..600) * STEP);
                    self.workers[n].deaf_until = t;
                }
            }
            12 => self.deaf[self.rng.usize(0..3)] = t + self.rng.u64(20..600) * STEP,
            9 => {
                let zone = self.rng.usize(0..3);
                self.cut[zone] = t + self.rng.u64(100..1000) * STEP;
                if self.rng.bool() {
                    self.no_cloud = self.cut[zone];
                }
                (0..2).for_each(|_| drop(self.cancel()));
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
                        _ => w.sick = !w.sick,
                    }
                }
                self.rent();
            }
        }
    }

    fn run(mut self, until: Ms, calm_from: Ms) -> World {
        while self.now < until && self.broken.is_empty() {
            self.now += STEP;
            while let Some(e) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
                let m = e.remove();
                self.deliver(m);
            }
            if self.now == until / 3 {
                // all have the version that keeps to the later limits, which come
                // without notice
                self.lowered = self.now;
                let l = self.limits;
                self.limits = TxnLimits { writes: l.writes / 2, shard_bytes: l.shard_bytes / 4, ..l };
            }
            if self.now == until / 2 {
                self.value_most = self.limits.shard_bytes;
            }
            let calm = self.now >= calm_from;
            for _ in 0..self.scale.div_ceil(9) {
                if !calm && self.rng.u32(0..40) == 0 {
                    self.submit();
                }
                if !calm && self.rng.u32(0..120) == 0 {
                    self.cancel();
                }
            }
            if !calm && self.rng.u32(0..self.quiet) == 0 {
                self.trouble();
            }
            if self.now < self.burst && self.now.is_multiple_of(2 * STEP) {
                self.submit_one(true);
                if self.rng.u32(0..4) == 0 {
                    self.cancel();
                }
            }
            for id in std::mem::take(&mut self.ending) {
                let by = self.rng.usize(0..3);
                if self.now < self.at_end && self.rng.bool() && self.served(by) && self.store.outcome(&id).is_none() {
                    self.cancel_one(by, &id, &[]);
                }
            }
            if self.now == calm_from {
                // all troubles end soon, and what is left has to settle
                let end = self.now + SETTLES;
                self.kills.retain(|k| k.0 < end);
                (self.burst, self.at_end) = (self.burst.min(self.now), self.at_end.min(end));
                let until = [&mut self.refused, &mut self.apart, &mut self.cut, &mut self.deaf, &mut self.frozen];
                until
                    .into_iter()
                    .flatten()
                    .chain([&mut self.outage, &mut self.no_cloud])
                    .for_each(|t| *t = end.min(*t));
                for w in &mut self.workers {
                    w.sick = false;
                    for t in [&mut w.hung_until, &mut w.deaf_until, &mut w.mute_until] {
                        *t = end.min(*t);
                    }
                }
            }
            let due = self.kills.extract_if(.., |k| k.0 <= self.now).collect::<Vec<_>>();
            for (_, i) in due {
                match (i, self.store.leader) {
                    (LEADER, Some((leads, _))) => self.ends(leads),
                    (LEADER, None) => {}
                    _ => self.ends(i),
                }
            }
            self.gives_up();
            self.pictures_step();
            self.controllers_step();
            self.workers_step();
            if self.now.is_multiple_of(1000) {
                self.always();
                if self.now > calm_from + SETTLES {
                    self.nobody_waits();
                }
            }
        }
        self
    }
}

#[test]
fn the_rules_hold_through_troubles() {
    let (mut done, mut chained, mut taken, mut repeated) = (0, 0, 0, 0);
    for seed in 0..40 {
        let w = World::new(seed, Sabotage::None).run(280_000, 180_000);
        assert!(w.broken.is_empty(), "seed {seed} at {} ms: {:?}", w.now, w.broken);
        assert_eq!(w.forgotten(), [] as [String; 0], "seed {seed}");
        let through = || w.jobs.values().filter(|j| w.store.outcome(&j.0.id) == Some(JobOutcome::Done));
        done += through().count();
        taken += w.elections.1;
        repeated += w.repeated;
        chained += through().filter(|j| !j.0.needs.is_empty()).count();
    }
    // the checker had something to check
    assert!(done > 250 && chained > 25, "only {done} jobs came through, {chained} of them had waited for others");
    assert!(repeated > 300, "only {repeated} reports were forwarded without their content");
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
    let slips = std::sync::atomic::AtomicU32::new(0);
    std::thread::scope(|s| {
        for _ in 0..std::thread::available_parallelism().map_or(1, |n| n.get()) {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let w = World::new(1000 + seed, Sabotage::None).run(280_000, 180_000);
                slips.fetch_add(w.slips, std::sync::atomic::Ordering::Relaxed);
                let mut wrong = w.broken.clone();
                wrong.extend(w.forgotten());
                if !wrong.is_empty() {
                    if let Some(c) = w.controllers.iter().flatten().find(|c| w.now < c.until) {
                        let held: Vec<_> =
                            c.cluster.dependency.blocked().map(|h| (&h.spec.id, &h.spec.needs, &h.missing)).collect();
                        println!("term {} led since {}: {held:?}", c.cluster.term, w.led);
                    }
                    println!("seed {} at {} ms: {wrong:?}", 1000 + seed, w.now);
                    failed.lock().expect("a list").push(1000 + seed);
                }
            });
        }
    });
    println!("starts after a confirmed cancellation: {}", slips.into_inner());
    let failed = failed.into_inner().expect("a list");
    assert!(failed.is_empty(), "{} of {seeds} days failed: {failed:?}", failed.len());
}

/// Each invariant, broken on purpose, is noticed: the checker is not blind.
#[test]
fn the_checker_sees_broken_invariants() {
    let all = [
        Sabotage::SilenceIsProof,
        Sabotage::UnstoredStarts,
        Sabotage::NoDoubt,
        Sabotage::ReadingOrder,
        Sabotage::ListIsProof,
        Sabotage::HoldsNothing,
        Sabotage::EarlyRelease,
        Sabotage::ForgetsBegun,
        Sabotage::NoCascade,
        Sabotage::ReapsUnderOldToken,
        Sabotage::UnguardedElection,
        Sabotage::OldAuthority,
        Sabotage::RenewsBlindly,
        Sabotage::SomeSiblings,
        Sabotage::CallsUnlooked,
        Sabotage::TellsAtOnce,
        Sabotage::ClearUnread,
        Sabotage::RepeatsAnything,
    ];
    // each on a thread of its own: some take hundreds of days
    let noticed = |s| (0..600).any(|seed| !World::new(seed, s).run(280_000, 180_000).broken.is_empty());
    let seen = std::thread::scope(|scope| {
        let days = all.map(|s| scope.spawn(move || noticed(s)));
        days.map(|d| d.join().expect("no panic"))
    });
    for (s, seen) in all.into_iter().zip(seen) {
        assert!(seen, "{s:?} went unnoticed");
    }
    let large = World::of(1000, 0, Sabotage::SilenceIsProof).run(90_000, 70_000);
    assert!(!large.broken.is_empty(), "a thousand machines hide what nine show");
}

/// The same with a thousand machines, of which dozens fail at once: pages
/// fill, are taken in turn and read by one leader after another.
#[test]
fn the_rules_hold_in_a_large_world() {
    let (mut terms, mut done, mut pages) = (0, 0, 0);
    for seed in 0..2 {
        let w = World::of(1000, seed, Sabotage::None).run(90_000, 70_000);
        assert!(w.broken.is_empty(), "seed {seed} at {} ms: {:?}", w.now, w.broken);
        terms += w.term;
        done += w.jobs.keys().filter(|id| w.store.outcome(id) == Some(JobOutcome::Done)).count();
        pages += w.store.kv.keys().filter(|k| k.starts_with(key::SHARD)).count();
    }
    assert!(terms > 3 && done > 60 && pages > 20, "too little to check: {terms} terms, {done} done, {pages} pages");
}
