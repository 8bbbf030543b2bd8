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
mod rental;
mod shard;

pub use job::*;
pub use machine::*;
pub use rental::*;
pub use shard::*;

use crate::dependency::{BlockedJob, DependencyGraph, DependencyStatus, Urgency};
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

/// Guarantee and limit of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Guaranteed.
    pub guarantee: Resources,
    /// Most at any time, 0 for no limit.
    pub limit: Resources,
}

impl TeamLimit {
    /// Whether `used` more `size` stays within the limit.
    pub fn allows(&self, used: &Resources, size: &Resources) -> bool {
        let ok = |most: f64, used: f64, add: f64| most <= 0.0 || used + add <= most + 1e-6;
        ok(self.limit.cpus, used.cpus, size.cpus) && ok(self.limit.gpus, used.gpus, size.gpus)
    }
}

/// Term in the high bits of tokens and attempts.
const TERM_SHIFT: u32 = 24;

/// The token with which a controller that does not lead answers a worker: above the
/// one that the worker has seen, and of the same term.  A start that is held up
/// under that one finds the higher.
pub fn raise_token(token: u64) -> u64 {
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

    /// Machines that there are, up or not.
    pub fn machine_count(&self) -> usize {
        self.machines.values().filter(|m| m.removed_at.is_none()).count()
    }

    /// Whether any team has a limit or a guarantee.
    pub fn has_limits(&self) -> bool {
        let any = |s: &Resources| s.cpus > 0.0 || s.gpus > 0.0;
        self.teams.values().any(|t| any(&t.guarantee) || any(&t.limit))
    }

    /// The token of this term.
    pub fn base_token(&self) -> u64 {
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
                Some(j) => j.outcome.map_or(DependencyStatus::Open, DependencyStatus::Ended),
                None => DependencyStatus::Unknown,
            };
            if self.dependency.block(&spec, stamp, now, look) {
                self.update_urgencies();
                return;
            }
        }
        self.add_started_job(spec, stamp, outcome, now);
    }

    /// A job that may start, or has: a start on record, or a task that a worker
    /// reports, shows that all it needs was done before.
    pub fn add_started_job(&mut self, spec: Arc<JobSpec>, stamp: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.dependency.unblock(&spec.id);
        // one that is over and still on record tells its end as well: taken for
        // known only, it was never asked about, and what needs it waited for ever
        let free = match outcome {
            Some(outcome) => self.dependency.apply_outcome(&spec.id, outcome),
            None => Vec::new(),
        };
        self.dependency.mark_known(&spec.id);
        let mut job = Job::new(spec, stamp, outcome, now);
        job.urgency = self.dependency.urgency(&job.spec.id, Urgency::own(&job.spec, now));
        self.jobs.insert(job.spec.id.clone(), job);
        for h in free {
            self.release_blocked_job(h);
        }
        self.update_urgencies();
        self.queue_changed = true;
    }

    /// A job that waited for others enters the queue, with the arrival that it
    /// has had all the time.
    pub(crate) fn release_blocked_job(&mut self, h: BlockedJob) {
        self.add_started_job(h.spec, h.revision, None, h.first_seen);
    }

    /// Jobs take over what those that need them make of them.
    fn update_urgencies(&mut self) {
        for id in self.dependency.take_changed() {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.urgency = self.dependency.urgency(&id, Urgency::own(&job.spec, job.first_seen));
            self.queue_changed = true;
        }
    }

    /// A stored page, read by a new leader: all of its starts are uncertain.
    pub fn add_shard(
        &mut self,
        id: u32,
        page: PlacementShard,
        machines: &HashMap<Name, MachineLocation>,
        now: Instant,
    ) {
        for (job, ranges) in &page.completed {
            let Some(j) = self.jobs.get_mut(job) else { continue };
            for n in ranges.iter().take_while(|n| *n < j.spec.tasks) {
                j.completed.insert(n);
                j.pending.remove(n);
            }
            if j.is_completing() {
                self.jobs_to_store.insert(job.clone());
            }
        }
        for s in &page.starts {
            if let Some(location) = machines.get(&s.machine) {
                self.add_start(s, location, now);
            }
        }
        self.shards.insert(id, page);
    }

    fn add_start(&mut self, s: &StartRecord, location: &MachineLocation, now: Instant) {
        let Some(job) = self.jobs.get_mut(&s.task.job) else {
            tracing::error!("a page names {}, whose job is unknown", s.task);
            return;
        };
        let MachineLocation { kind, zone, spot } = location;
        let m = self
            .machines
            .entry(s.machine.clone())
            .or_insert_with(|| Machine::new(s.machine.clone(), kind.clone(), zone.clone(), *spot, now));
        if let Some(t) = self.types.get(kind) {
            m.size = t.size();
        }
        // pages may still name an earlier start of the same task here, also of the same
        // attempt: a gang that lost its places with a worker's session gets them again
        if m.tasks.get(&s.task).is_some_and(|p| (p.attempt, p.incarnation) >= (s.attempt, s.incarnation)) {
            return;
        }
        let mut place = Assignment::new(job.spec.clone(), s.attempt, s.incarnation, now);
        (place.stored, place.inherited, place.confirmed) = (true, true, false);
        if job.outcome.is_some() {
            // a stop is due, and if its machine stays silent, a deletion: the
            // former leader may have had no time for either
            (place.stop_grace_s, place.stop_requested_at) = (Some(0.0), Some(now));
        }
        job.record_assignment(s.task.index, &s.machine);
        if job.spec.shape == Shape::Gang {
            job.attempt = job.attempt.max(s.attempt);
        }
        m.tasks.insert(s.task.clone(), place);
        m.idle_since = None;
    }

    /// Decides a start.  The command leaves only after the record is stored.
    pub fn assign(&mut self, task: &Task, machine: &Name, attempt: u64, now: Instant) -> bool {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return false;
        };
        if job.outcome.is_some() || !job.pending.remove(task.index) {
            return false;
        }
        job.assignments.entry(task.index).or_default().push(machine.clone());
        m.tasks.insert(task.clone(), Assignment::new(job.spec.clone(), attempt, m.incarnation, now));
        m.idle_since = None;
        let session = m.incarnation;
        self.placement_waits.push(now.duration_since(job.first_seen));
        self.queue_start_record(task, machine, attempt, session);
        true
    }

    /// A start, or what turned up without one, is to be stored.
    pub fn queue_start_record(&mut self, task: &Task, machine: &Name, attempt: u64, session: u64) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        self.next_queue_sequence += 1;
        let start = StartRecord { machine: machine.clone(), task: task.clone(), attempt, incarnation: session };
        self.unstored_starts.insert((job.queue_priority(), self.next_queue_sequence), start);
    }

    /// Whether nothing of a job that is over is on any machine, or may still get onto
    /// one: what was ever started counts until it is proved to be gone.
    pub fn has_no_task_of(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|j| j.outcome.is_some() && j.assignments.is_empty())
    }

    /// The token under which a machine's worker was spoken to last, if it is of this
    /// term: a controller that was cut off with its zone may have raised it.
    pub fn fence_offset_of(&self, token: u64) -> Option<u64> {
        (token >> TERM_SHIFT == self.term).then(|| token - self.base_token())
    }

    /// A placed task is proved to be off its machine.
    pub fn release_assignment(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.tasks.remove(task).is_none() {
            return;
        }
        if m.tasks.is_empty() {
            m.idle_since = Some(now);
        }
        self.queue_changed = true;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(list) = job.assignments.get_mut(&task.index) {
            list.retain(|n| n != machine);
            if list.is_empty() {
                job.assignments.remove(&task.index);
            }
        }
        job.requeue(task.index);
    }

    /// Everything on a machine is proved to be gone.
    pub fn release_all_assignments(&mut self, machine: &Name, now: Instant) {
        let Some(m) = self.machines.get(machine) else { return };
        for task in m.tasks.keys().cloned().collect::<Vec<_>>() {
            self.release_assignment(machine, &task, now);
        }
    }

    /// A task has completed; the store has still to learn of it.  A gang's
    /// tasks complete together.
    pub fn mark_completed(&mut self, task: &Task, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.outcome.is_some() || job.spec.shape == Shape::Service || task.index >= job.spec.tasks {
            return;
        }
        let all = if job.spec.shape == Shape::Gang { 0..job.spec.tasks } else { task.index..task.index + 1 };
        for n in all {
            if !job.completed.contains(n) && job.completed_unstored.insert(n) {
                job.pending.remove(n);
            }
        }
        self.jobs_to_store.insert(task.job.clone());
        job.quarantine = None;
        job.not_before = None;
        // a copy that may be elsewhere is of no use any more; but tasks of a
        // completed gang end by themselves at the same moment
        if job.spec.shape != Shape::Gang {
            for m in job.assignments.get(&task.index).cloned().unwrap_or_default() {
                self.request_stop(&m, task, 0.0, now);
            }
        }
    }

    /// A job's end, as the store has it.
    pub fn set_outcome(&mut self, id: &str, outcome: JobOutcome, now: Instant) {
        for h in self.dependency.apply_outcome(id, outcome) {
            self.release_blocked_job(h);
        }
        self.update_urgencies();
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.pending = Ranges::default();
        job.completed_unstored = Ranges::default();
        self.queue_changed = true;
        for (m, t) in job.placed_tasks() {
            let unsent = self
                .machines
                .get(&m)
                .and_then(|m| m.tasks.get(&t))
                .is_some_and(|p| p.start_sent_in.is_none() && !p.inherited && p.phase == TaskPhase::Assigned);
            if unsent {
                // its command never left
                self.release_assignment(&m, &t, now);
            } else {
                self.request_stop(&m, &t, 0.0, now);
            }
        }
    }

    /// Decides a stop; it is repeated until the task is gone.
    pub fn request_stop(&mut self, machine: &Name, task: &Task, grace: f64, now: Instant) {
        let Some(p) = self.machines.get_mut(machine).and_then(|m| m.tasks.get_mut(task)) else { return };
        if p.phase == TaskPhase::Completed {
            return;
        }
        if p.stop_grace_s.is_none_or(|g| grace < g) {
            p.stop_grace_s = Some(grace);
            p.stop_sent = false;
        }
        p.stop_requested_at.get_or_insert(now);
        self.machines_to_command.insert(machine.clone());
    }

    /// What each team may be using now.
    pub fn team_usage(&self) -> NameMap<Resources> {
        let mut used: NameMap<Resources> = NameMap::default();
        for p in self.machines.values().flat_map(|m| m.tasks.values()).filter(|p| p.occupies_resources()) {
            match used.get_mut(&p.spec.team) {
                Some(u) => u.add(&p.spec.size()),
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
    pub fn time_since_heartbeat(&self, m: &Machine, now: Instant) -> Duration {
        let alone = !self.zones_with_controller.contains(&m.zone);
        let told = || self.machine_hints.get(&m.name).filter(|_| alone).and_then(|l| l.last_heartbeat);
        let own = self.resumed_at > self.term_started_at;
        let waited = now.duration_since(self.term_started_at.max(self.resumed_at)) > self.policy.missed;
        let since = match m.last_heartbeat {
            Some(t) => t.max(self.resumed_at),
            None if waited && !own => told().unwrap_or(self.term_started_at.max(m.first_seen)),
            None => self.term_started_at.max(m.first_seen).max(self.resumed_at),
        };
        now.saturating_duration_since(since)
    }

    /// Forgets jobs that are over and nowhere any more, and machines long
    /// gone whose record is gone too.
    pub fn collect_garbage(&mut self, now: Instant) {
        let keep = self.policy.tombstone;
        self.machines.retain(|_, m| m.removed_at.is_none_or(|t| now.duration_since(t) < keep));
        self.jobs.retain(|_, j| j.outcome.is_none() || !j.assignments.is_empty());
    }
}
