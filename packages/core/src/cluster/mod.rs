//! What the leader knows of jobs and machines, and the steps that change it.
//! Everything here is a plain function of state and `now`.
//!
//! A task is *placed* from when a start is decided until its absence is
//! proved.  What is uncertain counts as present: a placed task is never
//! queued, uses its team's limit and its zone, and holds its machine's room.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod job;
mod machine;
mod page;
mod rented;

pub use job::*;
pub use machine::*;
pub use page::*;
pub use rented::*;

use crate::dependency::{Dependency, Held, Need, Urgency};
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
    pub dependency: Dependency,
    /// Machines.
    pub machines: BTreeMap<Name, Machine>,
    /// Machine types.
    pub types: BTreeMap<Name, MachineType>,
    /// The policy.
    pub policy: Arc<Policy>,
    /// Time within which tasks of a class should start.
    pub wait_aims: HashMap<Name, f64>,
    /// Teams' limits.
    pub teams: HashMap<Name, TeamLimit>,
    /// Zones with a controller inside, which renews the leases there when the
    /// zone is cut off.
    pub manned: BTreeSet<Name>,
    /// When this leader began.
    pub began: Instant,
    /// Since when this controller has not stood still; no silence of others
    /// counts from before.
    pub awake: Instant,
    /// Rentals and what comes of them.
    pub fleet: Fleet,
    /// Ratio of run time to estimate, by class.
    pub bias: HashMap<Name, f64>,
    /// Something changed that placement should look at.
    pub queue_changed: bool,
    /// Starts to be stored.
    pub unstored: BTreeMap<Turn, Start>,
    next_turn: u64,
    /// Jobs with completed tasks, or an end, to be stored.
    pub finished: BTreeSet<Name>,
    /// What the store holds of starts and completed tasks.
    pub pages: BTreeMap<u32, Page>,
    /// The page whose turn it is to be rewritten.
    pub next_page: u32,
    /// Machines that there may be something to tell.
    pub tell: BTreeSet<Name>,
    /// What the previous leader had learned of machines that have not reported yet.
    pub learned: HashMap<Name, Learned>,
    /// How long the tasks placed in the last pass had waited.
    pub placed_after: Vec<Duration>,
}

/// Guarantee and limit of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Guaranteed.
    pub guarantee: Resources,
    /// Most at any time, 0 for no limit.
    pub most: Resources,
}

impl TeamLimit {
    /// Whether `used` more `size` stays within the limit.
    pub fn allows(&self, used: &Resources, size: &Resources) -> bool {
        let ok = |most: f64, used: f64, add: f64| most <= 0.0 || used + add <= most + 1e-6;
        ok(self.most.cpus, used.cpus, size.cpus) && ok(self.most.gpus, used.gpus, size.gpus)
    }
}

/// Term in the high bits of tokens and attempts.
const TERM_SHIFT: u32 = 24;

/// The token with which a controller that does not lead answers a worker: above the
/// one that the worker has seen, and of the same term.  A start that is held up
/// under that one finds the higher.
pub fn raise(token: u64) -> u64 {
    let next = token + 1;
    if next >> TERM_SHIFT == token >> TERM_SHIFT {
        next
    } else {
        token
    }
}

impl Cluster {
    /// The state of a new leader, before it has read anything.
    pub fn new(term: u64, policy: Arc<Policy>, teams: HashMap<Name, TeamLimit>, now: Instant) -> Cluster {
        Cluster {
            term,
            next_attempt: 0,
            jobs: NameMap::default(),
            dependency: Dependency::default(),
            machines: BTreeMap::new(),
            types: BTreeMap::new(),
            policy,
            wait_aims: HashMap::new(),
            teams,
            manned: BTreeSet::new(),
            began: now,
            awake: now,
            fleet: Fleet::default(),
            bias: HashMap::new(),
            queue_changed: true,
            unstored: BTreeMap::new(),
            next_turn: 0,
            finished: BTreeSet::new(),
            pages: BTreeMap::new(),
            next_page: 0,
            tell: BTreeSet::new(),
            learned: HashMap::new(),
            placed_after: Vec::new(),
        }
    }

    /// Machines that there are, up or not.
    pub fn here(&self) -> usize {
        self.machines.values().filter(|m| m.gone.is_none()).count()
    }

    /// Whether any team has a limit or a guarantee.
    pub fn has_limits(&self) -> bool {
        let any = |s: &Resources| s.cpus > 0.0 || s.gpus > 0.0;
        self.teams.values().any(|t| any(&t.guarantee) || any(&t.most))
    }

    /// The token of this term.
    pub fn token(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// An attempt number that no leader has ever given: the term is new with
    /// every leader, the counter with every attempt.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        (self.term << TERM_SHIFT) + self.next_attempt
    }

    /// A job as the store has it.  One that needs others enters the queue only
    /// when the store has their ends.
    pub fn add_job(&mut self, spec: Arc<JobSpec>, stamp: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        if outcome.is_none() && !spec.needs.is_empty() {
            let look = |n: &Name| match self.jobs.get(n) {
                Some(j) => j.outcome.map_or(Need::Open, Need::Over),
                None => Need::Unknown,
            };
            if self.dependency.hold(&spec, stamp, now, look) {
                self.urgencies();
                return;
            }
        }
        self.add_begun(spec, stamp, outcome, now);
    }

    /// A job that may start, or has: a start on record, or a task that a worker
    /// reports, shows that all it needs was done before.
    pub fn add_begun(&mut self, spec: Arc<JobSpec>, stamp: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.dependency.started(&spec.id);
        // one that is over and still on record tells its end as well: taken for
        // known only, it was never asked about, and what needs it waited for ever
        let free = match outcome {
            Some(outcome) => self.dependency.ended(&spec.id, outcome),
            None => Vec::new(),
        };
        self.dependency.appears(&spec.id);
        let mut job = Job::new(spec, stamp, outcome, now);
        job.urgency = self.dependency.urgency(&job.spec.id, Urgency::own(&job.spec, now));
        self.jobs.insert(job.spec.id.clone(), job);
        for h in free {
            self.release(h);
        }
        self.urgencies();
        self.queue_changed = true;
    }

    /// A job that waited for others enters the queue, with the arrival that it
    /// has had all the time.
    pub(crate) fn release(&mut self, h: Held) {
        self.add_begun(h.spec, h.stamp, None, h.known);
    }

    /// Jobs take over what those that need them make of them.
    fn urgencies(&mut self) {
        for id in self.dependency.changes() {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.urgency = self.dependency.urgency(&id, Urgency::own(&job.spec, job.known));
            self.queue_changed = true;
        }
    }

    /// A stored page, read by a new leader: all of its starts are uncertain.
    pub fn add_page(&mut self, id: u32, page: Page, machines: &HashMap<Name, Whereabouts>, now: Instant) {
        for (job, ranges) in &page.done {
            let Some(j) = self.jobs.get_mut(job) else { continue };
            for n in ranges.iter().take_while(|n| *n < j.spec.tasks) {
                j.done.insert(n);
                j.todo.remove(n);
            }
            if j.completing() {
                self.finished.insert(job.clone());
            }
        }
        for s in &page.starts {
            if let Some((kind, zone, spot)) = machines.get(&s.machine) {
                self.add_start(s, kind, zone, *spot, now);
            }
        }
        self.pages.insert(id, page);
    }

    fn add_start(&mut self, s: &Start, kind: &Name, zone: &Name, spot: bool, now: Instant) {
        let Some(job) = self.jobs.get_mut(&s.task.job) else {
            tracing::error!("a page names {}, whose job is unknown", s.task);
            return;
        };
        let m = self
            .machines
            .entry(s.machine.clone())
            .or_insert_with(|| Machine::new(s.machine.clone(), kind.clone(), zone.clone(), spot, now));
        if let Some(t) = self.types.get(kind) {
            m.size = t.size();
        }
        // pages may still name an earlier start of the same task here, also of the same
        // attempt: a gang that lost its places with a worker's session gets them again
        if m.tasks.get(&s.task).is_some_and(|p| (p.attempt, p.session) >= (s.attempt, s.session)) {
            return;
        }
        let mut place = Place::new(job.spec.clone(), s.attempt, s.session, now);
        (place.stored, place.former, place.fenced) = (true, true, false);
        if job.outcome.is_some() {
            // a stop is due, and if its machine stays silent, a deletion: the
            // former leader may have had no time for either
            (place.halt, place.halt_since) = (Some(0.0), Some(now));
        }
        job.todo.remove(s.task.index);
        let list = job.places.entry(s.task.index).or_default();
        if !list.contains(&s.machine) {
            list.push(s.machine.clone());
        }
        if job.spec.shape == Shape::Gang {
            job.attempt = job.attempt.max(s.attempt);
        }
        m.tasks.insert(s.task.clone(), place);
        m.idle = None;
    }

    /// Decides a start.  The command leaves only after the record is stored.
    pub fn assign(&mut self, task: &Task, machine: &Name, attempt: u64, now: Instant) -> bool {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return false;
        };
        if job.outcome.is_some() || !job.todo.remove(task.index) {
            return false;
        }
        job.places.entry(task.index).or_default().push(machine.clone());
        m.tasks.insert(task.clone(), Place::new(job.spec.clone(), attempt, m.session, now));
        m.idle = None;
        let session = m.session;
        self.placed_after.push(now.duration_since(job.known));
        self.record(task, machine, attempt, session);
        true
    }

    /// A start, or what turned up without one, is to be stored.
    pub fn record(&mut self, task: &Task, machine: &Name, attempt: u64, session: u64) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        self.next_turn += 1;
        let start = Start { machine: machine.clone(), task: task.clone(), attempt, session };
        self.unstored.insert((job.turn(), self.next_turn), start);
    }

    /// Whether nothing of a job that is over is on any machine, or may still get onto
    /// one: what was ever started counts until it is proved to be gone.
    pub fn clear_of(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|j| j.outcome.is_some() && j.places.is_empty())
    }

    /// The token under which a machine's worker was spoken to last, if it is of this
    /// term: a controller that was cut off with its zone may have raised it.
    pub fn raised(&self, token: u64) -> Option<u64> {
        (token >> TERM_SHIFT == self.term).then(|| token - self.token())
    }

    /// A placed task is proved to be off its machine.
    pub fn vacate(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.tasks.remove(task).is_none() {
            return;
        }
        if m.tasks.is_empty() {
            m.idle = Some(now);
        }
        self.queue_changed = true;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(list) = job.places.get_mut(&task.index) {
            list.retain(|n| n != machine);
            if list.is_empty() {
                job.places.remove(&task.index);
            }
        }
        job.requeue(task.index);
    }

    /// Everything on a machine is proved to be gone.
    pub fn vacate_all(&mut self, machine: &Name, now: Instant) {
        let Some(m) = self.machines.get(machine) else { return };
        for task in m.tasks.keys().cloned().collect::<Vec<_>>() {
            self.vacate(machine, &task, now);
        }
    }

    /// A task has completed; the store has still to learn of it.  A gang's
    /// tasks complete together.
    pub fn complete(&mut self, task: &Task, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.outcome.is_some() || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let all = if job.spec.shape == Shape::Gang { 0..job.spec.tasks } else { task.index..task.index + 1 };
        for n in all {
            if !job.done.contains(n) && job.finishing.insert(n) {
                job.todo.remove(n);
            }
        }
        self.finished.insert(task.job.clone());
        job.suspect = None;
        job.wait_until = None;
        // a copy that may be elsewhere is of no use any more; but tasks of a
        // completed gang end by themselves at the same moment
        if job.spec.shape != Shape::Gang {
            for m in job.places.get(&task.index).cloned().unwrap_or_default() {
                self.halt(&m, task, 0.0, now);
            }
        }
    }

    /// A job's end, as the store has it.
    pub fn set_outcome(&mut self, id: &str, outcome: JobOutcome, now: Instant) {
        for h in self.dependency.ended(id, outcome) {
            self.release(h);
        }
        self.urgencies();
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.todo = Ranges::default();
        job.finishing = Ranges::default();
        self.queue_changed = true;
        for (m, t) in job.placed() {
            let unsent = self
                .machines
                .get(&m)
                .and_then(|m| m.tasks.get(&t))
                .is_some_and(|p| p.sent.is_none() && !p.former && p.phase == Phase::Ordered);
            if unsent {
                // its command never left
                self.vacate(&m, &t, now);
            } else {
                self.halt(&m, &t, 0.0, now);
            }
        }
    }

    /// Decides a stop; it is repeated until the task is gone.
    pub fn halt(&mut self, machine: &Name, task: &Task, grace: f64, now: Instant) {
        let Some(p) = self.machines.get_mut(machine).and_then(|m| m.tasks.get_mut(task)) else { return };
        if p.phase == Phase::Completed {
            return;
        }
        if p.halt.is_none_or(|g| grace < g) {
            p.halt = Some(grace);
            p.halt_sent = false;
        }
        p.halt_since.get_or_insert(now);
        self.tell.insert(machine.clone());
    }

    /// What each team may be using now.
    pub fn usage(&self) -> NameMap<Resources> {
        let mut used: NameMap<Resources> = NameMap::default();
        for p in self.machines.values().flat_map(|m| m.tasks.values()).filter(|p| p.present()) {
            match used.get_mut(&p.spec.team) {
                Some(u) => u.give(&p.spec.size()),
                None => drop(used.insert(p.spec.team.clone(), p.spec.size())),
            }
        }
        used
    }

    /// For how long a machine has been silent.  In a zone without a controller,
    /// of one that has not reported in this term, what the previous leader told
    /// counts, once those that can report have had the time to.  Elsewhere it
    /// does not: a controller in a cut zone hears machines that the previous leader
    /// did not, and a new leader once gave up two hundred of them as the cut
    /// healed.  A gap of this controller's own counts for nothing.
    pub fn silence(&self, m: &Machine, now: Instant) -> Duration {
        let alone = !self.manned.contains(&m.zone);
        let told = || self.learned.get(&m.name).filter(|_| alone).and_then(|l| l.heard);
        let own = self.awake > self.began;
        let waited = now.duration_since(self.began.max(self.awake)) > self.policy.missed;
        let since = match m.heard {
            Some(t) => t.max(self.awake),
            None if waited && !own => told().unwrap_or(self.began.max(m.known)),
            None => self.began.max(m.known).max(self.awake),
        };
        now.saturating_duration_since(since)
    }

    /// Forgets jobs that are over and nowhere any more, and machines long
    /// gone whose record is gone too.
    pub fn tidy(&mut self, now: Instant) {
        let keep = self.policy.tombstone;
        self.machines.retain(|_, m| m.gone.is_none_or(|t| now.duration_since(t) < keep));
        self.jobs.retain(|_, j| j.outcome.is_none() || !j.places.is_empty());
    }
}
