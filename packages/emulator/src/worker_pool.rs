//! Machines with their workers, as the protocol describes them: incarnations, leases and fencing
//! tokens, image fetches, gangs, checkpoints.  A plain state machine over all machines at once, as
//! gangs span them; it also records each violation of the protocol that can be seen from where
//! tasks run.

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
enum TaskPhase {
    Pulling,
    WaitingForGang {
        since: Instant,
    },
    Running {
        since: Instant,
    },
    /// Another task of the gang is gone: this one exits then.
    GangMemberLost {
        until: Instant,
    },
    /// Saves a checkpoint until then; for a gang it counts if all tasks are stopped by
    /// `gang_deadline`.
    Checkpointing {
        until: Instant,
        gang_deadline: Instant,
    },
    Exited {
        cause: ExitCause,
        saved: Option<bool>,
    },
}

#[derive(Debug, Clone)]
struct TaskRecord {
    attempt: u64,
    phase: TaskPhase,
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
    pub reclaim_at: Option<Instant>,
    /// Something changed that is worth a report.
    has_changed: bool,
    /// Nothing on it changes by itself before this.
    next_change: Instant,
    /// It has tasks of gangs: what these do hangs on other machines.
    has_gang_tasks: bool,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    lease_renewed: Instant,
    /// Relative to its type.
    speed: f64,
    tasks: BTreeMap<Task, TaskRecord>,
    /// Images, with when they are here; the last used last.
    images: Vec<(Name, f64, Instant)>,
}

/// A report on its way: only its answer, in time, counts.
#[derive(Debug, Clone, Copy)]
pub struct SentHeartbeat {
    incarnation: u64,
    sent_at: Instant,
}

/// All machines, and what users uploaded.
#[derive(Debug)]
pub struct WorkerPool {
    settings: Settings,
    machines: BTreeMap<Name, Machine>,
    /// The machines that list a task, in any state.
    machines_by_task: HashMap<Task, Vec<Name>>,
    /// Machines with something to report since this was last asked for.
    changed_machines: Vec<Name>,
    specs: HashMap<Name, Arc<JobSpec>>,
    /// Jobs whose start is timed, with how many of their tasks have yet to start.
    tasks_to_start: HashMap<Name, u32>,
    /// Completed tasks of each job; their results are kept.
    completed_tasks: HashMap<Name, BTreeSet<u32>>,
    /// When the last task of a job completed.
    completed_at: HashMap<Name, Instant>,
    /// Saved progress, in seconds of the estimate; by job for gangs.
    saved_progress: HashMap<Task, f64>,
    rng: Rng,
    /// How long a task runs for each second of its estimate.
    pub pace: f64,
    /// Rules that were seen broken.
    pub violations: Vec<String>,
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks killed by the lease of their worker.
    pub killed: u64,
    /// When all tasks of a timed job had begun to run.
    pub timed_starts: Vec<(Name, Instant)>,
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
            machines_by_task: HashMap::new(),
            changed_machines: Vec::new(),
            specs: HashMap::new(),
            tasks_to_start: HashMap::new(),
            completed_tasks: HashMap::new(),
            completed_at: HashMap::new(),
            saved_progress: HashMap::new(),
            rng,
            pace,
            violations: Vec::new(),
            started: 0,
            killed: 0,
            timed_starts: Vec::new(),
        }
    }

    /// A user uploads a job's description; the first one stays.
    pub fn upload(&mut self, spec: JobSpec) {
        self.specs.entry(spec.id.clone()).or_insert_with(|| Arc::new(spec));
    }

    /// The start of a job that was uploaded is to be timed.
    pub fn time_start(&mut self, job: &Name) {
        if let Some(spec) = self.specs.get(job) {
            self.tasks_to_start.insert(job.clone(), spec.tasks);
        }
    }

    /// How many tasks of a job are done.
    pub fn completed_task_count(&self, job: &str) -> usize {
        self.completed_tasks.get(job).map_or(0, BTreeSet::len)
    }

    /// When the last task of each completed job did.
    pub fn completed_at(&self) -> &HashMap<Name, Instant> {
        &self.completed_at
    }

    /// Tasks that run, and those of services among them.
    pub fn running_tasks(&self) -> (u64, u64) {
        let (mut all, mut replicas) = (0, 0);
        for (task, record) in self.machines.values().flat_map(|machine| &machine.tasks) {
            if !matches!(record.phase, TaskPhase::Running { .. }) {
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
    pub fn schedule_reclaim(&mut self, name: &str, at: Instant) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.reclaim_at = Some(at);
            machine.has_changed = true;
            self.changed_machines.push(name.into());
        }
    }

    /// The machines with something to report since the last call, some of them more than once.
    pub fn take_changed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Whether a machine has something to report.
    pub fn has_changed(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|machine| machine.has_changed)
    }

    /// A machine is up.
    pub fn add_machine(&mut self, name: Name, kind: MachineType, zone: Name, spot: bool, address: Name, now: Instant) {
        let machine = Machine {
            kind,
            zone,
            spot,
            address,
            reclaim_at: None,
            has_changed: true,
            next_change: now,
            has_gang_tasks: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed: now,
            speed: 0.95 + 0.1 * self.rng.f64(),
            tasks: BTreeMap::new(),
            images: Vec::new(),
        };
        self.machines.insert(name, machine);
    }

    /// A machine and all on it is gone.
    pub fn remove_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.remove(name) else { return };
        for task in machine.tasks.keys() {
            release(&mut self.machines_by_task, task, name);
        }
    }

    /// A machine's report; `None` if there is no such machine.
    pub fn heartbeat(&mut self, name: &str, now: Instant) -> Option<(Heartbeat, SentHeartbeat)> {
        let machine = self.machines.get_mut(name)?;
        machine.sequence += 1;
        machine.has_changed = false;
        let one = |(task, record): (&Task, &TaskRecord)| {
            let (state, cause, saved) = match record.phase {
                TaskPhase::Pulling => (TaskState::Pulling, None, None),
                TaskPhase::WaitingForGang { .. } => (TaskState::WaitingForGang, None, None),
                TaskPhase::Running { .. } | TaskPhase::GangMemberLost { .. } => (TaskState::Running, None, None),
                TaskPhase::Checkpointing { .. } => (TaskState::Checkpointing, None, None),
                TaskPhase::Exited { cause, saved } => (TaskState::Exited, Some(cause), saved),
            };
            TaskStatus { task: task.clone(), attempt: record.attempt, state, cause, saved }
        };
        let report = Heartbeat {
            machine: name.into(),
            address: machine.address.clone(),
            kind: machine.kind.name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            incarnation: machine.incarnation,
            sequence: machine.sequence,
            fencing_token: machine.fencing_token,
            reclaim_in_s: machine.reclaim_at.map(|t| t.saturating_duration_since(now).as_secs_f64()),
            tasks: machine.tasks.iter().map(one).collect(),
        };
        Some((report, SentHeartbeat { incarnation: machine.incarnation, sent_at: now }))
    }

    /// Applies the reply to a heartbeat.  One for an earlier incarnation, or with a lower fencing
    /// token, is dropped.
    pub fn apply_reply(&mut self, name: &str, sent: SentHeartbeat, answer: HeartbeatReply, now: Instant) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if sent.incarnation != machine.incarnation || answer.fencing_token < machine.fencing_token {
            return;
        }
        let raised = answer.fencing_token > machine.fencing_token;
        machine.has_changed |= raised;
        machine.fencing_token = answer.fencing_token;
        machine.lease_renewed = sent.sent_at;
        if raised {
            self.changed_machines.push(name.into());
        }
        if !answer.commands.is_empty() {
            self.execute(name, answer.commands, now);
        }
    }

    /// A direct command; whether it was executed.
    pub fn apply_direct_commands(&mut self, name: &str, body: DirectCommandBody, now: Instant) -> bool {
        let Some(machine) = self.machines.get_mut(name) else { return false };
        if body.incarnation != machine.incarnation || body.fencing_token < machine.fencing_token {
            return false;
        }
        machine.fencing_token = body.fencing_token;
        self.execute(name, body.commands, now);
        true
    }

    fn execute(&mut self, name: &str, commands: Vec<Command>, now: Instant) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(name, task, attempt, now),
                Command::Stop { task, attempt, grace } => self.stop_task(name, &task, attempt, grace, now),
                Command::Acknowledge { task, attempt } => {
                    let Some(machine) = self.machines.get_mut(name) else { return };
                    if machine.tasks.get(&task).is_some_and(|record| {
                        record.attempt == attempt && matches!(record.phase, TaskPhase::Exited { .. })
                    }) {
                        machine.tasks.remove(&task);
                        release(&mut self.machines_by_task, &task, name);
                    }
                }
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.has_changed = true;
            machine.next_change = now;
            self.changed_machines.push(name.into());
        }
    }

    fn start_task(&mut self, name: &str, task: Task, attempt: u64, now: Instant) {
        let spec = self.specs.get(&task.job).filter(|s| task.index < s.tasks).cloned();
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.has_gang_tasks |= spec.as_ref().is_some_and(|s| s.shape == Shape::Gang);
        let mut used = Resources::default();
        for (t, _) in machine.tasks.iter().filter(|(_, record)| !matches!(record.phase, TaskPhase::Exited { .. })) {
            if let Some(s) = self.specs.get(&t.job) {
                used.add(&s.size());
            }
        }
        let refuse = |cause| TaskRecord { attempt, phase: TaskPhase::Exited { cause, saved: None } };
        let record = match (machine.tasks.get(&task), &spec) {
            // again, or busy with another attempt: the listing shows which
            (Some(_), _) => return,
            (None, None) => refuse(ExitCause::UnknownJob),
            (None, Some(s)) => {
                let mut free = machine.kind.size();
                free.subtract(&used);
                if free.fits(&s.size()) {
                    TaskRecord { attempt, phase: TaskPhase::Pulling }
                } else {
                    refuse(ExitCause::NoRoom)
                }
            }
        };
        if let (TaskPhase::Pulling, Some(s)) = (record.phase, &spec) {
            if !machine.images.iter().any(|i| i.0 == s.image) {
                let rate = (machine.kind.fetch_gb_per_s * (0.67 + 0.66 * self.rng.f64())).max(1e-6);
                machine.images.push((s.image.clone(), s.image_gb, now + seconds(s.image_gb / rate)));
                while machine.images.len() > 1
                    && machine.images.iter().map(|i| i.1).sum::<f64>() > machine.kind.cache_gb
                {
                    machine.images.remove(0);
                }
            }
        }
        self.machines_by_task.entry(task.clone()).or_default().push(name.into());
        machine.tasks.insert(task, record);
    }

    fn stop_task(&mut self, name: &str, task: &Task, attempt: u64, grace: f64, now: Instant) {
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let gang_deadline = now + seconds(self.settings.gang_peer_s);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let speed = machine.speed;
        let Some(record) = machine.tasks.get_mut(task).filter(|record| record.attempt == attempt) else { return };
        match record.phase {
            TaskPhase::Running { since } if spec.checkpoint_s > 0.0 && grace >= spec.save_s => {
                record.phase = TaskPhase::Checkpointing { until: now + seconds(spec.save_s), gang_deadline };
                self.save_progress(task, &spec, now.saturating_duration_since(since).as_secs_f64() * speed, false);
            }
            TaskPhase::Checkpointing { .. } if grace > 0.0 => {}
            TaskPhase::Exited { .. } => {}
            TaskPhase::Running { since } => {
                record.phase = TaskPhase::Exited { cause: ExitCause::StoppedByCommand, saved: None };
                self.save_progress(task, &spec, now.saturating_duration_since(since).as_secs_f64() * speed, true);
            }
            _ => record.phase = TaskPhase::Exited { cause: ExitCause::StoppedByCommand, saved: None },
        }
    }

    /// Whose progress a task's is: its gang's, or its own.
    fn progress_key(task: &Task, spec: &JobSpec) -> Task {
        let index = if spec.shape == Shape::Gang { 0 } else { task.index };
        Task { job: task.job.clone(), index }
    }

    /// Progress made since a start, all of it or up to the last checkpoint.
    fn save_progress(&mut self, task: &Task, spec: &JobSpec, ran: f64, checkpoints_only: bool) {
        if spec.checkpoint_s <= 0.0 {
            return;
        }
        let have = self.saved_progress.entry(Self::progress_key(task, spec)).or_default();
        let all = *have + ran / self.pace.max(1e-9);
        let kept = if checkpoints_only { (all / spec.checkpoint_s).floor() * spec.checkpoint_s } else { all };
        *have = have.max(kept.min(spec.estimate_s));
    }

    /// Time passes: leases end, images arrive, gangs meet, tasks complete.
    pub fn step(&mut self, now: Instant) {
        self.expire_leases(now);
        let gang_counts = self.gang_counts();
        let due = |(name, machine): (&Name, &Machine)| {
            (machine.has_gang_tasks || machine.next_change <= now).then(|| name.clone())
        };
        for name in self.machines.iter().filter_map(due).collect::<Vec<_>>() {
            self.step_machine(&name, &gang_counts, now);
        }
    }

    /// Workers whose lease expired kill their tasks and begin a new incarnation.
    fn expire_leases(&mut self, now: Instant) {
        let lease = seconds(self.settings.lease_s);
        for (name, machine) in &mut self.machines {
            if now.saturating_duration_since(machine.lease_renewed) <= lease {
                continue;
            }
            self.killed +=
                machine.tasks.values().filter(|record| !matches!(record.phase, TaskPhase::Exited { .. })).count()
                    as u64;
            for task in machine.tasks.keys() {
                release(&mut self.machines_by_task, task, name);
            }
            machine.tasks.clear();
            machine.incarnation += 1;
            machine.lease_renewed = now;
            machine.has_changed = true;
            self.changed_machines.push(name.clone());
        }
    }

    /// Of each attempt of a gang: how many of its tasks wait for the others, and how many are
    /// past that.
    fn gang_counts(&self) -> HashMap<(Name, u64), (u32, u32)> {
        let mut gang_counts: HashMap<(Name, u64), (u32, u32)> = HashMap::new();
        for (t, record) in
            self.machines.values().filter(|machine| machine.has_gang_tasks).flat_map(|machine| &machine.tasks)
        {
            let c = gang_counts.entry((t.job.clone(), record.attempt)).or_default();
            match record.phase {
                TaskPhase::WaitingForGang { .. } => c.0 += 1,
                TaskPhase::Running { .. } | TaskPhase::Checkpointing { .. } => c.1 += 1,
                TaskPhase::Exited { cause: ExitCause::Completed, .. } | TaskPhase::Exited { saved: Some(true), .. } => {
                    c.1 += 1
                }
                _ => {}
            }
        }
        gang_counts
    }

    fn step_machine(&mut self, name: &Name, gang_counts: &HashMap<(Name, u64), (u32, u32)>, now: Instant) {
        let Some(machine) = self.machines.get(name) else { return };
        let tasks: Vec<(Task, TaskRecord)> = machine.tasks.iter().map(|(t, h)| (t.clone(), h.clone())).collect();
        let mut changed = false;
        for (task, record) in tasks {
            let Some(spec) = self.specs.get(&task.job).cloned() else { continue };
            let gang = spec.shape == Shape::Gang;
            let (waiting, past) = gang_counts.get(&(task.job.clone(), record.attempt)).copied().unwrap_or_default();
            let next = self.next_phase(name, &task, &spec, record.phase, gang.then_some((waiting, past)), now);
            if next != record.phase {
                if let Some(machine) = self.machines.get_mut(name) {
                    changed = true;
                    machine.tasks.insert(task, TaskRecord { attempt: record.attempt, phase: next });
                }
            }
        }
        let (due, gangs) = self.next_change(name, now);
        let Some(machine) = self.machines.get_mut(name) else { return };
        (machine.next_change, machine.has_gang_tasks) = (due, gangs);
        if changed {
            machine.has_changed = true;
            self.changed_machines.push(name.clone());
        }
    }

    /// When something on a machine next changes by itself, and whether it has tasks of gangs.
    fn next_change(&self, name: &Name, now: Instant) -> (Instant, bool) {
        let mut due = now + seconds(self.settings.lease_s);
        let mut gangs = false;
        let Some(machine) = self.machines.get(name) else { return (due, gangs) };
        for (task, record) in &machine.tasks {
            let Some(spec) = self.specs.get(&task.job) else { continue };
            gangs |= spec.shape == Shape::Gang;
            let at = match record.phase {
                TaskPhase::Pulling => machine.images.iter().find(|i| i.0 == spec.image).map(|i| i.2),
                TaskPhase::Running { .. } if spec.shape == Shape::Service => None,
                TaskPhase::Running { since } => {
                    let left = spec.estimate_s
                        - self.saved_progress.get(&Self::progress_key(task, spec)).copied().unwrap_or(0.0);
                    Some(since + seconds(left * self.pace / machine.speed))
                }
                TaskPhase::GangMemberLost { until } | TaskPhase::Checkpointing { until, .. } => Some(until),
                TaskPhase::WaitingForGang { .. } | TaskPhase::Exited { .. } => None,
            };
            due = at.map_or(due, |t| due.min(t));
        }
        (due, gangs)
    }

    fn next_phase(
        &mut self,
        name: &Name,
        task: &Task,
        spec: &JobSpec,
        work: TaskPhase,
        gang: Option<(u32, u32)>,
        now: Instant,
    ) -> TaskPhase {
        let Some(machine) = self.machines.get(name) else { return work };
        let (speed, peer) = (machine.speed, seconds(self.settings.gang_peer_s));
        let ended = |cause, saved| TaskPhase::Exited { cause, saved };
        match work {
            TaskPhase::Pulling => {
                if machine.images.iter().any(|i| i.0 == spec.image && i.2 > now) {
                    return work;
                }
                self.check_start(name, task, spec);
                if let Some(n) = spec.needs.iter().find(|n| !self.completed_at.contains_key(*n)) {
                    self.violations.push(format!("too_early: {task} starts before {n} is done"));
                }
                if self.completed_tasks.get(&task.job).is_some_and(|d| d.contains(&task.index)) {
                    ended(ExitCause::Completed, None)
                } else if gang.is_some() {
                    TaskPhase::WaitingForGang { since: now }
                } else {
                    self.record_start(&task.job, now);
                    TaskPhase::Running { since: now }
                }
            }
            TaskPhase::WaitingForGang { since } => {
                let (waiting, past) = gang.unwrap_or_default();
                if waiting + past >= spec.tasks {
                    self.record_start(&task.job, now);
                    TaskPhase::Running { since: now }
                } else if now.saturating_duration_since(since) > seconds(self.settings.gang_wait_s) {
                    ended(ExitCause::GangTimeout, None)
                } else {
                    work
                }
            }
            TaskPhase::Running { since } => {
                let ran = now.saturating_duration_since(since).as_secs_f64() * speed;
                let left =
                    spec.estimate_s - self.saved_progress.get(&Self::progress_key(task, spec)).copied().unwrap_or(0.0);
                if spec.shape != Shape::Service && ran >= left * self.pace {
                    let done = self.completed_tasks.entry(task.job.clone()).or_default();
                    match gang {
                        Some(_) => done.extend(0..spec.tasks),
                        None => drop(done.insert(task.index)),
                    }
                    if done.len() as u32 >= spec.tasks {
                        self.completed_at.entry(task.job.clone()).or_insert(now);
                    }
                    ended(ExitCause::Completed, None)
                } else if gang.is_some() && self.completed_tasks.get(&task.job).is_some_and(|d| d.contains(&task.index))
                {
                    ended(ExitCause::Completed, None)
                } else if gang.is_some_and(|(waiting, past)| waiting + past < spec.tasks) {
                    TaskPhase::GangMemberLost { until: now + peer }
                } else {
                    work
                }
            }
            TaskPhase::GangMemberLost { until } if until <= now => ended(ExitCause::GangMemberLost, None),
            TaskPhase::Checkpointing { until, gang_deadline } if until <= now => match gang {
                // a gang's checkpoint counts once all of its tasks were stopped in time
                Some((_, past)) if past < spec.tasks => {
                    if gang_deadline <= now {
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
    fn record_start(&mut self, job: &Name, now: Instant) {
        self.started += 1;
        let Some(left) = self.tasks_to_start.get_mut(job) else { return };
        *left -= 1;
        if *left == 0 {
            self.tasks_to_start.remove(job);
            self.timed_starts.push((job.clone(), now));
        }
    }

    /// What the rules say of a start: one machine a task, and where it may be.
    fn check_start(&mut self, name: &Name, task: &Task, spec: &JobSpec) {
        let Some(machine) = self.machines.get(name) else { return };
        let holds = |n: &&Name| {
            let record = self.machines.get(*n).and_then(|o| o.tasks.get(task));
            record.is_some_and(|record| !matches!(record.phase, TaskPhase::Exited { .. } | TaskPhase::Pulling))
        };
        let holders = self.machines_by_task.get(task).into_iter().flatten();
        for other in holders.filter(|n| *n != name).filter(holds) {
            self.violations.push(format!("ran_twice: {task} starts on {name} while it is on {other}"));
        }
        let right = spec.types.as_ref().is_none_or(|t| t.contains(&machine.kind.name))
            && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
            && (spec.spot || !machine.spot);
        if !right {
            self.violations.push(format!("wrong_place: {task} starts on {name}"));
        }
    }
}

#[cfg(test)]
mod tests;
