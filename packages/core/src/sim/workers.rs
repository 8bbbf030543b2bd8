//! Machines with their workers, as the protocol describes them.

use super::*;

/// How long a worker runs without a renewal of its lease.
pub(super) const WORKER_LEASE: Ms = 30_000;
/// The time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Ms = 3000;
/// How long a worker waits for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Ms = 4000;
/// How soon a worker sends a heartbeat after a task has changed.
const CHANGED_TASK_DELAY: Ms = 500;

/// The zone of a worker, by the worker's index.
pub(super) fn zone_of(i: usize) -> usize {
    i % 3
}

/// How far a task has come on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskProgress {
    /// Its image is being pulled.
    Pulling {
        until: Ms,
    },
    /// It waits for the other tasks of its gang.
    WaitingForGang {
        since: Ms,
    },
    Running {
        until: Ms,
    },
    /// It has ended, and waits for the acknowledgement.
    Ended(ExitCause),
}

impl TaskProgress {
    /// Whether the task is on its machine: its image is pulled, and it has not ended.
    pub(super) fn is_active(self) -> bool {
        matches!(self, TaskProgress::WaitingForGang { .. } | TaskProgress::Running { .. })
    }

    /// Whether the task has ended, for whatever cause.
    pub(super) fn has_ended(self) -> bool {
        matches!(self, TaskProgress::Ended(_))
    }
}

/// An attempt of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerTask {
    pub(super) attempt: u64,
    pub(super) progress: TaskProgress,
}

/// A heartbeat without a response so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingHeartbeat {
    sequence: u64,
    sent_at: Ms,
}

/// A machine with its worker.
pub(super) struct Worker {
    pub(super) name: Name,
    pub(super) zone: Name,
    pub(super) spot: bool,
    /// Whether the machine exists.
    pub(super) alive: bool,
    /// Until when nothing runs on the machine.
    pub(super) hung_until: Ms,
    /// Until when what is sent to it is lost, though its heartbeats arrive.
    pub(super) inbound_lost_until: Ms,
    /// Until when its heartbeats are lost, though what is sent to it arrives.
    pub(super) outbound_lost_until: Ms,
    /// Whether all tasks fail here.
    pub(super) tasks_fail: bool,
    /// Incremented when its lease has expired.
    pub(super) incarnation: u64,
    /// The sequence number of its last heartbeat.
    pub(super) sequence: u64,
    /// The greatest fencing token it has seen.
    pub(super) fencing_token: u64,
    /// When its lease was renewed: the time at which it sent the heartbeat.
    pub(super) renewed_at: Ms,
    pub(super) next_heartbeat_at: Ms,
    pending_heartbeat: Option<PendingHeartbeat>,
    pub(super) tasks: BTreeMap<Task, WorkerTask>,
}

impl Worker {
    /// The machine of an index, whose lease was renewed at a given time.
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

    /// Whether its lease has expired.
    pub(super) fn has_lost_lease(&self, now: Ms) -> bool {
        now.saturating_sub(self.renewed_at) > WORKER_LEASE
    }

    /// The next heartbeat, with the status of all tasks.
    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: "127.0.0.1:9".into(),
            kind: "t".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: self.tasks.iter().map(|(task, current)| task_status(task, current)).collect(),
        }
    }

    /// Sends the next heartbeat soon, as a task has changed.
    pub(super) fn hasten_heartbeat(&mut self, now: Ms) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + CHANGED_TASK_DELAY);
    }

    fn stop_task(&mut self, task: &Task, attempt: u64, now: Ms) {
        let Some(current) = self.tasks.get_mut(task) else { return };
        if current.attempt == attempt && !current.progress.has_ended() {
            current.progress = TaskProgress::Ended(ExitCause::StoppedByCommand);
            self.hasten_heartbeat(now);
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
    /// A worker carries out the commands of its leader.
    pub(super) fn execute_commands(&mut self, i: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    // of a task that is there already, the heartbeat shows the attempt
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

    /// A step of each machine that is up.
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

    /// The controller in a zone that is cut off renews a worker's lease, and stops tasks of
    /// jobs that it knows to be over.
    fn renew_in_partition(&mut self, i: usize) {
        let over = &self.snapshots[zone_of(i)].over;
        let worker = &mut self.workers[i];
        worker.renewed_at = self.now;
        worker.pending_heartbeat = None;
        if self.peer_notices_required && self.now.is_multiple_of(3000) {
            worker.fencing_token = crate::cluster::raise_token(worker.fencing_token);
        }
        for (_, current) in worker.tasks.iter_mut().filter(|(task, _)| over.contains(&task.job)) {
            if !current.progress.has_ended() {
                current.progress = TaskProgress::Ended(ExitCause::StoppedByCommand);
            }
        }
    }

    /// A worker whose lease has expired ends all tasks, and begins anew.
    fn expire_worker_lease(&mut self, i: usize) {
        let worker = &mut self.workers[i];
        worker.tasks.clear();
        worker.incarnation += 1;
        worker.renewed_at = self.now;
        worker.pending_heartbeat = None;
    }

    /// Sends a heartbeat to a controller that believes that it leads, or to any.
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
        // where heartbeats are forwarded a worker mostly keeps to one controller; elsewhere
        // several may believe that they lead, and any of them may be asked
        let keeps_to_one = self.forwards_heartbeats && self.rng.u32(0..8) > 0;
        let to = match self.rng.u32(0..8) {
            _ if keeps_to_one => i / 3 % 3,
            0 => self.rng.usize(0..3),
            _ => leader,
        };
        self.send(Message::Heartbeat { to, request: heartbeat.sequence, heartbeat });
    }

    /// A worker gets the response to a heartbeat, unless it is late or fenced off.
    pub(super) fn receive_heartbeat_response(
        &mut self,
        i: usize,
        request: u64,
        incarnation: u64,
        answer: &HeartbeatReply,
    ) {
        let worker = &mut self.workers[i];
        let Some(pending) = worker.pending_heartbeat.filter(|heartbeat| heartbeat.sequence == request) else { return };
        let is_up = worker.alive && self.now >= worker.hung_until.max(worker.inbound_lost_until);
        let is_current = worker.incarnation == incarnation && answer.fencing_token >= worker.fencing_token;
        if !is_up || !is_current || self.now - pending.sent_at > HEARTBEAT_TIMEOUT {
            return;
        }
        worker.pending_heartbeat = None;
        worker.fencing_token = answer.fencing_token;
        worker.renewed_at = worker.renewed_at.max(pending.sent_at);
        self.execute_commands(i, &answer.commands);
    }
}
