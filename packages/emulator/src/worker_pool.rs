//! Machines with their workers, as the protocol has them: sessions, leases and
//! fences, image fetches, gangs, saves.  A plain state machine over all
//! machines at once, as gangs span them; it also notes each broken rule that
//! can be seen from where tasks run.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{JobSpec, MachineType, Name, Resources, Shape, Task};
use coralnotch_wire::workers::{
    Command, DirectCommandBody, ExitCause, Heartbeat, HeartbeatReply, TaskState, TaskStatus,
};
use fastrand::Rng;

/// How workers behave, all in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Without an answered report for so long, a worker kills its tasks.
    pub lease_s: f64,
    /// How long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// How quickly a gang notices a loss, and how close its stops must be.
    pub gang_peer_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Work {
    Pulling,
    Gathering {
        since: Instant,
    },
    Running {
        since: Instant,
    },
    /// A mate is gone: it exits then.
    Alone {
        until: Instant,
    },
    /// Saves until then; all mates have to be told by `told_by`.
    Flushing {
        until: Instant,
        told_by: Instant,
    },
    Ended {
        cause: ExitCause,
        saved: Option<bool>,
    },
}

#[derive(Debug, Clone)]
struct Held {
    attempt: u64,
    work: Work,
}

/// A machine with its worker.
#[derive(Debug)]
pub struct Machine {
    /// Type.
    pub kind: MachineType,
    /// Zone.
    pub zone: Name,
    /// Spot or ordinary.
    pub spot: bool,
    /// Where its worker takes direct commands.
    pub address: Name,
    /// When the cloud takes it.
    pub taken: Option<Instant>,
    /// Something changed that is worth a report.
    changed: bool,
    /// Nothing on it changes by itself before this.
    due: Instant,
    /// It has tasks of gangs: what these do hangs on other machines.
    gangs: bool,
    session: u64,
    tally: u64,
    token: u64,
    renewed: Instant,
    /// Relative to its type.
    speed: f64,
    tasks: BTreeMap<Task, Held>,
    /// Images, with when they are here; the last used last.
    images: Vec<(Name, f64, Instant)>,
}

/// A report on its way: only its answer, in time, counts.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    session: u64,
    at: Instant,
}

/// All machines, and what users uploaded.
#[derive(Debug)]
pub struct WorkerPool {
    settings: Settings,
    machines: BTreeMap<Name, Machine>,
    /// The machines that list a task, in any state.
    holders: HashMap<Task, Vec<Name>>,
    /// Machines with something to report since this was last asked for.
    changed: Vec<Name>,
    specs: HashMap<Name, Arc<JobSpec>>,
    /// Jobs whose start is timed, with how many of their tasks have yet to start.
    timed: HashMap<Name, u32>,
    /// Completed tasks of each job; their results are kept.
    done: HashMap<Name, BTreeSet<u32>>,
    /// When the last task of a job completed.
    completed: HashMap<Name, Instant>,
    /// Saved progress, in seconds of the estimate; by job for gangs.
    saved: HashMap<Task, f64>,
    rng: Rng,
    /// How long a task runs for each second of its estimate.
    pub pace: f64,
    /// Rules that were seen broken.
    pub broken: Vec<String>,
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks killed by the lease of their worker.
    pub killed: u64,
    /// When all tasks of a timed job had begun to run.
    pub begun: Vec<(Name, Instant)>,
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e9))
}

/// A machine does not list a task any more.
fn release(holders: &mut HashMap<Task, Vec<Name>>, task: &Task, machine: &str) {
    if let Some(list) = holders.get_mut(task) {
        list.retain(|n| **n != *machine);
        if list.is_empty() {
            holders.remove(task);
        }
    }
}

impl WorkerPool {
    /// An empty pool.
    pub fn new(settings: Settings, pace: f64, rng: Rng) -> WorkerPool {
        WorkerPool {
            settings,
            machines: BTreeMap::new(),
            holders: HashMap::new(),
            changed: Vec::new(),
            specs: HashMap::new(),
            timed: HashMap::new(),
            done: HashMap::new(),
            completed: HashMap::new(),
            saved: HashMap::new(),
            rng,
            pace,
            broken: Vec::new(),
            started: 0,
            killed: 0,
            begun: Vec::new(),
        }
    }

    /// A user uploads a job's description; the first one stays.
    pub fn upload(&mut self, spec: JobSpec) {
        self.specs.entry(spec.id.clone()).or_insert_with(|| Arc::new(spec));
    }

    /// The start of a job that was uploaded is to be timed.
    pub fn time_start(&mut self, job: &Name) {
        if let Some(spec) = self.specs.get(job) {
            self.timed.insert(job.clone(), spec.tasks);
        }
    }

    /// How many tasks of a job are done.
    pub fn done(&self, job: &str) -> usize {
        self.done.get(job).map_or(0, BTreeSet::len)
    }

    /// When the last task of each completed job did.
    pub fn completed(&self) -> &HashMap<Name, Instant> {
        &self.completed
    }

    /// Tasks that run, and those of services among them.
    pub fn running(&self) -> (u64, u64) {
        let (mut all, mut replicas) = (0, 0);
        for (task, held) in self.machines.values().flat_map(|m| &m.tasks) {
            if !matches!(held.work, Work::Running { .. }) {
                continue;
            }
            all += 1;
            let service = self.specs.get(&task.job).is_some_and(|s| s.shape == Shape::Service);
            replicas += u64::from(service);
        }
        (all, replicas)
    }

    /// The machines.
    pub fn machines(&self) -> &BTreeMap<Name, Machine> {
        &self.machines
    }

    /// The cloud takes a machine back at that time.
    pub fn notice(&mut self, name: &str, at: Instant) {
        if let Some(m) = self.machines.get_mut(name) {
            m.taken = Some(at);
            m.changed = true;
            self.changed.push(name.into());
        }
    }

    /// The machines with something to report since the last call, some of them more than once.
    pub fn take_changed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Whether a machine has something to report.
    pub fn has_changed(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|m| m.changed)
    }

    /// A machine is up.
    pub fn up(&mut self, name: Name, kind: MachineType, zone: Name, spot: bool, address: Name, now: Instant) {
        let m = Machine {
            kind,
            zone,
            spot,
            address,
            taken: None,
            changed: true,
            due: now,
            gangs: false,
            session: 1,
            tally: 0,
            token: 0,
            renewed: now,
            speed: 0.95 + 0.1 * self.rng.f64(),
            tasks: BTreeMap::new(),
            images: Vec::new(),
        };
        self.machines.insert(name, m);
    }

    /// A machine and all on it is gone.
    pub fn gone(&mut self, name: &str) {
        let Some(m) = self.machines.remove(name) else { return };
        for task in m.tasks.keys() {
            release(&mut self.holders, task, name);
        }
    }

    /// A machine's report; `None` if there is no such machine.
    pub fn report(&mut self, name: &str, now: Instant) -> Option<(Heartbeat, Sent)> {
        let m = self.machines.get_mut(name)?;
        m.tally += 1;
        m.changed = false;
        let one = |(task, held): (&Task, &Held)| {
            let (state, cause, saved) = match held.work {
                Work::Pulling => (TaskState::Pulling, None, None),
                Work::Gathering { .. } => (TaskState::WaitingForGang, None, None),
                Work::Running { .. } | Work::Alone { .. } => (TaskState::Running, None, None),
                Work::Flushing { .. } => (TaskState::Checkpointing, None, None),
                Work::Ended { cause, saved } => (TaskState::Exited, Some(cause), saved),
            };
            TaskStatus { task: task.clone(), attempt: held.attempt, state, cause, saved }
        };
        let report = Heartbeat {
            machine: name.into(),
            address: m.address.clone(),
            kind: m.kind.name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            incarnation: m.session,
            sequence: m.tally,
            fencing_token: m.token,
            reclaim_in_s: m.taken.map(|t| t.saturating_duration_since(now).as_secs_f64()),
            tasks: m.tasks.iter().map(one).collect(),
        };
        Some((report, Sent { session: m.session, at: now }))
    }

    /// The answer to a report.  One for an earlier session, or with a lower
    /// token, is dropped.
    pub fn answered(&mut self, name: &str, sent: Sent, answer: HeartbeatReply, now: Instant) {
        let Some(m) = self.machines.get_mut(name) else { return };
        if sent.session != m.session || answer.fencing_token < m.token {
            return;
        }
        let raised = answer.fencing_token > m.token;
        m.changed |= raised;
        m.token = answer.fencing_token;
        m.renewed = sent.at;
        if raised {
            self.changed.push(name.into());
        }
        if !answer.commands.is_empty() {
            self.execute(name, answer.commands, now);
        }
    }

    /// A direct command; whether it was executed.
    pub fn command(&mut self, name: &str, body: DirectCommandBody, now: Instant) -> bool {
        let Some(m) = self.machines.get_mut(name) else { return false };
        if body.incarnation != m.session || body.fencing_token < m.token {
            return false;
        }
        m.token = body.fencing_token;
        self.execute(name, body.commands, now);
        true
    }

    fn execute(&mut self, name: &str, orders: Vec<Command>, now: Instant) {
        for o in orders {
            match o {
                Command::Start { task, attempt } => self.run(name, task, attempt, now),
                Command::Stop { task, attempt, grace } => self.halt(name, &task, attempt, grace, now),
                Command::Acknowledge { task, attempt } => {
                    let Some(m) = self.machines.get_mut(name) else { return };
                    if m.tasks.get(&task).is_some_and(|h| h.attempt == attempt && matches!(h.work, Work::Ended { .. }))
                    {
                        m.tasks.remove(&task);
                        release(&mut self.holders, &task, name);
                    }
                }
            }
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.changed = true;
            m.due = now;
            self.changed.push(name.into());
        }
    }

    fn run(&mut self, name: &str, task: Task, attempt: u64, now: Instant) {
        let spec = self.specs.get(&task.job).filter(|s| task.index < s.tasks).cloned();
        let Some(m) = self.machines.get_mut(name) else { return };
        m.gangs |= spec.as_ref().is_some_and(|s| s.shape == Shape::Gang);
        let mut used = Resources::default();
        for (t, _) in m.tasks.iter().filter(|(_, h)| !matches!(h.work, Work::Ended { .. })) {
            if let Some(s) = self.specs.get(&t.job) {
                used.add(&s.size());
            }
        }
        let refuse = |cause| Held { attempt, work: Work::Ended { cause, saved: None } };
        let held = match (m.tasks.get(&task), &spec) {
            // again, or busy with another attempt: the listing shows which
            (Some(_), _) => return,
            (None, None) => refuse(ExitCause::UnknownJob),
            (None, Some(s)) => {
                let mut free = m.kind.size();
                free.subtract(&used);
                if free.fits(&s.size()) {
                    Held { attempt, work: Work::Pulling }
                } else {
                    refuse(ExitCause::NoRoom)
                }
            }
        };
        if let (Work::Pulling, Some(s)) = (held.work, &spec) {
            if !m.images.iter().any(|i| i.0 == s.image) {
                let rate = (m.kind.fetch_gb_per_s * (0.67 + 0.66 * self.rng.f64())).max(1e-6);
                m.images.push((s.image.clone(), s.image_gb, now + seconds(s.image_gb / rate)));
                while m.images.len() > 1 && m.images.iter().map(|i| i.1).sum::<f64>() > m.kind.cache_gb {
                    m.images.remove(0);
                }
            }
        }
        self.holders.entry(task.clone()).or_default().push(name.into());
        m.tasks.insert(task, held);
    }

    fn halt(&mut self, name: &str, task: &Task, attempt: u64, grace: f64, now: Instant) {
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let told_by = now + seconds(self.settings.gang_peer_s);
        let Some(m) = self.machines.get_mut(name) else { return };
        let speed = m.speed;
        let Some(held) = m.tasks.get_mut(task).filter(|h| h.attempt == attempt) else { return };
        match held.work {
            Work::Running { since } if spec.checkpoint_s > 0.0 && grace >= spec.save_s => {
                held.work = Work::Flushing { until: now + seconds(spec.save_s), told_by };
                self.keep(task, &spec, now.saturating_duration_since(since).as_secs_f64() * speed, false);
            }
            Work::Flushing { .. } if grace > 0.0 => {}
            Work::Ended { .. } => {}
            Work::Running { since } => {
                held.work = Work::Ended { cause: ExitCause::StoppedByCommand, saved: None };
                self.keep(task, &spec, now.saturating_duration_since(since).as_secs_f64() * speed, true);
            }
            _ => held.work = Work::Ended { cause: ExitCause::StoppedByCommand, saved: None },
        }
    }

    /// Whose progress a task's is: its gang's, or its own.
    fn unit(task: &Task, spec: &JobSpec) -> Task {
        let index = if spec.shape == Shape::Gang { 0 } else { task.index };
        Task { job: task.job.clone(), index }
    }

    /// Progress made since a start, all of it or up to the last checkpoint.
    fn keep(&mut self, task: &Task, spec: &JobSpec, ran: f64, checkpoints_only: bool) {
        if spec.checkpoint_s <= 0.0 {
            return;
        }
        let have = self.saved.entry(Self::unit(task, spec)).or_default();
        let all = *have + ran / self.pace.max(1e-9);
        let kept = if checkpoints_only { (all / spec.checkpoint_s).floor() * spec.checkpoint_s } else { all };
        *have = have.max(kept.min(spec.estimate_s));
    }

    /// Time passes: leases end, images arrive, gangs meet, tasks complete.
    pub fn step(&mut self, now: Instant) {
        self.end_leases(now);
        let mates = self.mates();
        let due = |(name, m): (&Name, &Machine)| (m.gangs || m.due <= now).then(|| name.clone());
        for name in self.machines.iter().filter_map(due).collect::<Vec<_>>() {
            self.step_machine(&name, &mates, now);
        }
    }

    /// Workers whose lease is over kill their tasks and begin a session.
    fn end_leases(&mut self, now: Instant) {
        let lease = seconds(self.settings.lease_s);
        for (name, m) in &mut self.machines {
            if now.saturating_duration_since(m.renewed) <= lease {
                continue;
            }
            self.killed += m.tasks.values().filter(|h| !matches!(h.work, Work::Ended { .. })).count() as u64;
            for task in m.tasks.keys() {
                release(&mut self.holders, task, name);
            }
            m.tasks.clear();
            m.session += 1;
            m.renewed = now;
            m.changed = true;
            self.changed.push(name.clone());
        }
    }

    /// Of each attempt of a gang: how many of its tasks wait for the others, and how many are
    /// past that.
    fn mates(&self) -> HashMap<(Name, u64), (u32, u32)> {
        let mut mates: HashMap<(Name, u64), (u32, u32)> = HashMap::new();
        for (t, h) in self.machines.values().filter(|m| m.gangs).flat_map(|m| &m.tasks) {
            let c = mates.entry((t.job.clone(), h.attempt)).or_default();
            match h.work {
                Work::Gathering { .. } => c.0 += 1,
                Work::Running { .. } | Work::Flushing { .. } => c.1 += 1,
                Work::Ended { cause: ExitCause::Completed, .. } | Work::Ended { saved: Some(true), .. } => c.1 += 1,
                _ => {}
            }
        }
        mates
    }

    fn step_machine(&mut self, name: &Name, mates: &HashMap<(Name, u64), (u32, u32)>, now: Instant) {
        let Some(m) = self.machines.get(name) else { return };
        let tasks: Vec<(Task, Held)> = m.tasks.iter().map(|(t, h)| (t.clone(), h.clone())).collect();
        let mut changed = false;
        for (task, held) in tasks {
            let Some(spec) = self.specs.get(&task.job).cloned() else { continue };
            let gang = spec.shape == Shape::Gang;
            let (gathered, going) = mates.get(&(task.job.clone(), held.attempt)).copied().unwrap_or_default();
            let next = self.next(name, &task, &spec, held.work, gang.then_some((gathered, going)), now);
            if next != held.work {
                if let Some(m) = self.machines.get_mut(name) {
                    changed = true;
                    m.tasks.insert(task, Held { attempt: held.attempt, work: next });
                }
            }
        }
        let (due, gangs) = self.schedule(name, now);
        let Some(m) = self.machines.get_mut(name) else { return };
        (m.due, m.gangs) = (due, gangs);
        if changed {
            m.changed = true;
            self.changed.push(name.clone());
        }
    }

    /// When something on a machine next changes by itself, and whether it has tasks of gangs.
    fn schedule(&self, name: &Name, now: Instant) -> (Instant, bool) {
        let mut due = now + seconds(self.settings.lease_s);
        let mut gangs = false;
        let Some(m) = self.machines.get(name) else { return (due, gangs) };
        for (task, held) in &m.tasks {
            let Some(spec) = self.specs.get(&task.job) else { continue };
            gangs |= spec.shape == Shape::Gang;
            let at = match held.work {
                Work::Pulling => m.images.iter().find(|i| i.0 == spec.image).map(|i| i.2),
                Work::Running { .. } if spec.shape == Shape::Service => None,
                Work::Running { since } => {
                    let left = spec.estimate_s - self.saved.get(&Self::unit(task, spec)).copied().unwrap_or(0.0);
                    Some(since + seconds(left * self.pace / m.speed))
                }
                Work::Alone { until } | Work::Flushing { until, .. } => Some(until),
                Work::Gathering { .. } | Work::Ended { .. } => None,
            };
            due = at.map_or(due, |t| due.min(t));
        }
        (due, gangs)
    }

    fn next(
        &mut self,
        name: &Name,
        task: &Task,
        spec: &JobSpec,
        work: Work,
        gang: Option<(u32, u32)>,
        now: Instant,
    ) -> Work {
        let Some(m) = self.machines.get(name) else { return work };
        let (speed, peer) = (m.speed, seconds(self.settings.gang_peer_s));
        let ended = |cause, saved| Work::Ended { cause, saved };
        match work {
            Work::Pulling => {
                if m.images.iter().any(|i| i.0 == spec.image && i.2 > now) {
                    return work;
                }
                self.check(name, task, spec);
                if let Some(n) = spec.needs.iter().find(|n| !self.completed.contains_key(*n)) {
                    self.broken.push(format!("too_early: {task} starts before {n} is done"));
                }
                if self.done.get(&task.job).is_some_and(|d| d.contains(&task.index)) {
                    ended(ExitCause::Completed, None)
                } else if gang.is_some() {
                    Work::Gathering { since: now }
                } else {
                    self.begins(&task.job, now);
                    Work::Running { since: now }
                }
            }
            Work::Gathering { since } => {
                let (gathered, going) = gang.unwrap_or_default();
                if gathered + going >= spec.tasks {
                    self.begins(&task.job, now);
                    Work::Running { since: now }
                } else if now.saturating_duration_since(since) > seconds(self.settings.gang_wait_s) {
                    ended(ExitCause::GangTimeout, None)
                } else {
                    work
                }
            }
            Work::Running { since } => {
                let ran = now.saturating_duration_since(since).as_secs_f64() * speed;
                let left = spec.estimate_s - self.saved.get(&Self::unit(task, spec)).copied().unwrap_or(0.0);
                if spec.shape != Shape::Service && ran >= left * self.pace {
                    let done = self.done.entry(task.job.clone()).or_default();
                    match gang {
                        Some(_) => done.extend(0..spec.tasks),
                        None => drop(done.insert(task.index)),
                    }
                    if done.len() as u32 >= spec.tasks {
                        self.completed.entry(task.job.clone()).or_insert(now);
                    }
                    ended(ExitCause::Completed, None)
                } else if gang.is_some() && self.done.get(&task.job).is_some_and(|d| d.contains(&task.index)) {
                    ended(ExitCause::Completed, None)
                } else if gang.is_some_and(|(gathered, going)| gathered + going < spec.tasks) {
                    Work::Alone { until: now + peer }
                } else {
                    work
                }
            }
            Work::Alone { until } if until <= now => ended(ExitCause::GangMemberLost, None),
            Work::Flushing { until, told_by } if until <= now => match gang {
                // a gang's save counts once all of it was told in time
                Some((_, going)) if going < spec.tasks => {
                    if told_by <= now {
                        ended(ExitCause::GangMemberLost, None)
                    } else {
                        work
                    }
                }
                _ => ended(ExitCause::StoppedByCommand, Some(true)),
            },
            w => w,
        }
    }

    /// A task of a job begins to run.
    fn begins(&mut self, job: &Name, now: Instant) {
        self.started += 1;
        let Some(left) = self.timed.get_mut(job) else { return };
        *left -= 1;
        if *left == 0 {
            self.timed.remove(job);
            self.begun.push((job.clone(), now));
        }
    }

    /// What the rules say of a start: one machine a task, and where it may be.
    fn check(&mut self, name: &Name, task: &Task, spec: &JobSpec) {
        let Some(m) = self.machines.get(name) else { return };
        let holds = |n: &&Name| {
            let held = self.machines.get(*n).and_then(|o| o.tasks.get(task));
            held.is_some_and(|h| !matches!(h.work, Work::Ended { .. } | Work::Pulling))
        };
        let holders = self.holders.get(task).into_iter().flatten();
        for other in holders.filter(|n| *n != name).filter(holds) {
            self.broken.push(format!("ran_twice: {task} starts on {name} while it is on {other}"));
        }
        let right = spec.types.as_ref().is_none_or(|t| t.contains(&m.kind.name))
            && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
            && (spec.spot || !m.spot);
        if !right {
            self.broken.push(format!("wrong_place: {task} starts on {name}"));
        }
    }
}

#[cfg(test)]
mod tests;
