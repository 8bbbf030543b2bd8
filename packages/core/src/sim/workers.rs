//! Model of the machines and their workers, which follow the worker protocol.

use super::*;

/// Time after which a worker's lease expires unless it is renewed.
pub(super) const WORKER_LEASE: Ms = 30_000;
/// Time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Ms = 3000;
/// Time for which a worker waits for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Ms = 4000;
/// Maximum time from a change of a task to the worker's next heartbeat.
const CHANGED_TASK_DELAY: Ms = 500;

/// Returns the zone of the worker with the given index.
pub(super) fn zone_of(i: usize) -> usize {
    i % 3
}

/// Progress of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskProgress {
    /// The machine pulls the task's image until the given time.
    Pulling {
        until: Ms,
    },
    /// The task has waited for the other tasks of its gang since the given time.
    WaitingForGang {
        since: Ms,
    },
    Running {
        until: Ms,
    },
    /// The task has ended, and the leader has not acknowledged this yet.
    Ended(ExitCause),
}

impl TaskProgress {
    /// Reports whether the task occupies its machine: its image is pulled and it has not ended.
    pub(super) fn is_active(self) -> bool {
        matches!(self, TaskProgress::WaitingForGang { .. } | TaskProgress::Running { .. })
    }

    /// Reports whether the task has ended, whatever the cause.
    pub(super) fn has_ended(self) -> bool {
        matches!(self, TaskProgress::Ended(_))
    }
}

/// One attempt to run a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerTask {
    pub(super) attempt: u64,
    pub(super) progress: TaskProgress,
}

/// A heartbeat whose response has not arrived yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingHeartbeat {
    sequence: u64,
    sent_at: Ms,
}

/// A machine with its worker process.
pub(super) struct Worker {
    pub(super) name: Name,
    pub(super) zone: Name,
    pub(super) spot: bool,
    /// Whether the machine exists in the cloud.
    pub(super) alive: bool,
    /// Time until which the machine hangs: nothing on it makes progress.
    pub(super) hung_until: Ms,
    /// Time until which messages to the machine are lost, while its heartbeats arrive.
    pub(super) inbound_lost_until: Ms,
    /// Time until which the machine's heartbeats are lost, while messages to it arrive.
    pub(super) outbound_lost_until: Ms,
    /// Whether every task that starts on the machine fails.
    pub(super) tasks_fail: bool,
    /// Incarnation of the worker, incremented each time the worker's lease expires.
    pub(super) incarnation: u64,
    /// Sequence number of the worker's last heartbeat.
    pub(super) sequence: u64,
    /// Greatest fencing token that the worker has received.
    pub(super) fencing_token: u64,
    /// Start of the current lease: the time at which the worker sent the heartbeat that
    /// renewed the lease.
    pub(super) renewed_at: Ms,
    pub(super) next_heartbeat_at: Ms,
    pending_heartbeat: Option<PendingHeartbeat>,
    pub(super) tasks: BTreeMap<Task, WorkerTask>,
}

impl Worker {
    /// Creates the machine with index `i`, whose lease starts at `renewed_at`.
    pub(super) fn new(i: usize, renewed_at: Ms, next_heartbeat_at: Ms) -> Worker {
        Worker {
            name: format!("i-{i:06}").into(),
            zone: format!("z{}", zone_of(i)).into(),
            spot: i % 4 == 3,
            alive: true,
            hung_until: 0,
            inbound_lost_until: 0,
            outbound_lost_until: 0,
            tasks_fail: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            renewed_at,
            next_heartbeat_at,
            pending_heartbeat: None,
            tasks: BTreeMap::new(),
        }
    }

    /// Reports whether the worker's lease has expired.
    pub(super) fn has_lost_lease(&self, now: Ms) -> bool {
        now.saturating_sub(self.renewed_at) > WORKER_LEASE
    }

    /// Returns the next heartbeat, with the status of all tasks.
    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: "127.0.0.1:9".into(),
            machine_type: "t".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: self.tasks.iter().map(|(task, current)| task_status(task, current)).collect(),
        }
    }

    /// Moves the next heartbeat forward after a task has changed.
    pub(super) fn schedule_early_heartbeat(&mut self, now: Ms) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + CHANGED_TASK_DELAY);
    }

    fn stop_task(&mut self, task: &Task, attempt: u64, now: Ms) {
        let Some(current) = self.tasks.get_mut(task) else { return };
        if current.attempt == attempt && !current.progress.has_ended() {
            current.progress = TaskProgress::Ended(ExitCause::StoppedByCommand);
            self.schedule_early_heartbeat(now);
        }
    }

    fn acknowledge_task(&mut self, task: &Task, attempt: u64) {
        let is_due = |current: &WorkerTask| current.attempt == attempt && current.progress.has_ended();
        if self.tasks.get(task).is_some_and(is_due) {
            self.tasks.remove(task);
        }
    }
}

fn task_status(task: &Task, current: &WorkerTask) -> TaskStatus {
    let (state, cause) = match current.progress {
        TaskProgress::Pulling { .. } => (TaskState::Pulling, None),
        TaskProgress::WaitingForGang { .. } => (TaskState::WaitingForGang, None),
        TaskProgress::Running { .. } => (TaskState::Running, None),
        TaskProgress::Ended(cause) => (TaskState::Exited, Some(cause)),
    };
    TaskStatus { task: task.clone(), attempt: current.attempt, state, cause, saved: None }
}

impl World {
    /// Executes the commands of a leader on a worker.
    pub(super) fn execute_commands(&mut self, i: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    // a task that is already present is kept; the heartbeat reports its attempt
                    if !self.workers[i].tasks.contains_key(task) {
                        let progress = TaskProgress::Pulling { until: self.now + self.rng.u64(0..30) * STEP };
                        self.workers[i].tasks.insert(task.clone(), WorkerTask { attempt: *attempt, progress });
                    }
                }
                Command::Stop { task, attempt, .. } => self.workers[i].stop_task(task, *attempt, self.now),
                Command::Acknowledge { task, attempt } => self.workers[i].acknowledge_task(task, *attempt),
            }
        }
    }

    /// Runs one step of each machine that exists and does not hang.
    pub(super) fn step_workers(&mut self) {
        for i in 0..self.workers.len() {
            if self.workers[i].alive && self.now >= self.workers[i].hung_until {
                self.step_worker(i);
            }
        }
    }

    fn step_worker(&mut self, i: usize) {
        let zone = zone_of(i);
        if self.is_partitioned(zone) && self.may_renew_zone(zone) {
            self.renew_in_partition(i);
        }
        if self.workers[i].has_lost_lease(self.now) {
            self.expire_worker_lease(i);
        }
        self.advance_tasks(i);
        let now = self.now;
        let worker = &mut self.workers[i];
        worker.pending_heartbeat.take_if(|heartbeat| now - heartbeat.sent_at > HEARTBEAT_TIMEOUT);
        let is_due = worker.pending_heartbeat.is_none() && worker.next_heartbeat_at <= now;
        if is_due && now >= self.faults.zone_partitioned_until[zone] {
            self.send_heartbeat(i);
        }
    }

    /// Renews a worker's lease through the controller inside the worker's partitioned zone.  The
    /// controller also stops tasks of jobs that it knows to have an outcome.
    fn renew_in_partition(&mut self, i: usize) {
        let ended_jobs = &self.snapshots[zone_of(i)].ended_jobs;
        let worker = &mut self.workers[i];
        worker.renewed_at = self.now;
        worker.pending_heartbeat = None;
        if self.peer_notices_required && self.now.is_multiple_of(3000) {
            worker.fencing_token = crate::cluster::raise_token(worker.fencing_token);
        }
        for (_, current) in worker.tasks.iter_mut().filter(|(task, _)| ended_jobs.contains(&task.job)) {
            if !current.progress.has_ended() {
                current.progress = TaskProgress::Ended(ExitCause::StoppedByCommand);
            }
        }
    }

    /// Restarts a worker whose lease has expired: all its tasks end and its incarnation changes.
    fn expire_worker_lease(&mut self, i: usize) {
        let worker = &mut self.workers[i];
        worker.tasks.clear();
        worker.incarnation += 1;
        worker.renewed_at = self.now;
        worker.pending_heartbeat = None;
    }

    /// Sends a worker's heartbeat, mostly to a controller that has a leader lease as far as it
    /// knows.
    fn send_heartbeat(&mut self, i: usize) {
        let any = self.rng.usize(0..3);
        let leader = (0..3).find(|controller| self.has_lease(*controller)).unwrap_or(any);
        let worker = &mut self.workers[i];
        worker.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
        let heartbeat = worker.heartbeat();
        worker.pending_heartbeat = Some(PendingHeartbeat { sequence: heartbeat.sequence, sent_at: self.now });
        if self.now < worker.outbound_lost_until {
            return;
        }
        // with forwarding, a worker mostly sends to one fixed controller; otherwise it mostly sends
        // to the leader and one time in eight to any controller, since several may act as the leader
        let uses_fixed_controller = self.forwards_heartbeats && self.rng.u32(0..8) > 0;
        let to = match self.rng.u32(0..8) {
            _ if uses_fixed_controller => i / 3 % 3,
            0 => self.rng.usize(0..3),
            _ => leader,
        };
        self.send(Message::Heartbeat { to, request: heartbeat.sequence, heartbeat });
    }

    /// Applies the response to a worker's heartbeat, unless it is late or has an outdated
    /// fencing token or incarnation.
    pub(super) fn receive_heartbeat_response(
        &mut self,
        i: usize,
        request: u64,
        incarnation: u64,
        reply: &HeartbeatReply,
    ) {
        let worker = &mut self.workers[i];
        let Some(pending) = worker.pending_heartbeat.filter(|heartbeat| heartbeat.sequence == request) else { return };
        let is_up = worker.alive && self.now >= worker.hung_until.max(worker.inbound_lost_until);
        let is_current = worker.incarnation == incarnation && reply.fencing_token >= worker.fencing_token;
        if !is_up || !is_current || self.now - pending.sent_at > HEARTBEAT_TIMEOUT {
            return;
        }
        worker.pending_heartbeat = None;
        worker.fencing_token = reply.fencing_token;
        worker.renewed_at = worker.renewed_at.max(pending.sent_at);
        self.execute_commands(i, &reply.commands);
    }
}
