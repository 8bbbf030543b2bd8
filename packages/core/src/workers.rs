//! Reports and the commands that answer them.
//!
//! Commands in answers to reports are safe: a worker has one report in flight
//! and drops answers that come late or for an earlier session, so its next
//! report closes the answer before it.  DirectCommand commands are quicker but may be
//! carried out minutes late: an unanswered start leaves its machine in doubt,
//! and until a report shows a higher token, absence proves nothing there and
//! nothing is reaped.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::cluster::{Assignment, Cluster, Machine, Quarantine, TaskPhase, QUARANTINED};
use crate::heartbeat_forwarding::UnchangedHeartbeat;
use crate::model::*;
pub use coralnotch_wire::workers::*;

/// A direct command on its way to a worker.
#[derive(Debug, Clone)]
pub struct DirectCommand {
    /// Machine.
    pub machine: Name,
    /// Its worker.
    pub address: std::net::SocketAddr,
    /// What it says.
    pub body: DirectCommandBody,
}

/// Why a machine that fails the tasks of several jobs is drained.
const FAILS: &str = "fails its tasks";
/// Tasks of a job, and tasks on a machine, below which they say nothing.
const SPEED_PRIOR: u32 = 4;
/// Probes of a broken job after which their distance doubles no more.
const MOST_BACKOFF: u32 = 5;

/// Most commands in one answer; the rest follows with the next report.
const MOST_COMMANDS: usize = 400;

/// An answer that renews the worker's lease, starts nothing, and stops what
/// belongs to jobs that are known to be over: that is right at any time and by
/// whomever.
pub fn lease_renewal_reply(r: &Heartbeat, token: u64, over: impl Fn(&Name) -> bool) -> HeartbeatReply {
    let stops = |t: &&TaskStatus| t.state != TaskState::Exited && over(&t.task.job);
    let halt = |t: &TaskStatus| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace: 0.0 };
    HeartbeatReply {
        fencing_token: token,
        commands: r.tasks.iter().filter(stops).take(MOST_COMMANDS).map(halt).collect(),
    }
}

impl Cluster {
    /// Takes a report in.  `None`: the worker has seen a token above ours, so
    /// this controller has no say any more; else whether the report is news.
    ///
    /// `closing`: it is a report proper, and no answer to an earlier one can
    /// be carried out any more.  The report in the answer to a direct command
    /// says nothing of that.
    pub fn apply_heartbeat(&mut self, r: &Heartbeat, closing: bool, now: Instant) -> Option<bool> {
        let token = self.base_token();
        let mut raised = None;
        if r.fencing_token > token + self.machines.get(&r.machine).map_or(0, |m| m.fence_offset) {
            raised = Some(self.fence_offset_of(r.fencing_token)?);
        }
        let kind_size = self.types.get(&r.kind).map(|t| t.size());
        let new = !self.machines.contains_key(&r.machine);
        let m = self
            .machines
            .entry(r.machine.clone())
            .or_insert_with(|| Machine::new(r.machine.clone(), r.kind.clone(), r.zone.clone(), r.spot, now));
        if new {
            tracing::info!("machine {} reports: {} in {}, spot {}", r.machine, r.kind, r.zone, r.spot);
        }
        if m.removed_at.is_some() || (r.incarnation, r.sequence) <= (m.incarnation, m.sequence) {
            // old news, delivered late; its worker waits for no answer
            return Some(false);
        }
        if m.last_heartbeat.is_none() {
            self.queue_changed = true;
        }
        let session_changed = r.incarnation != m.incarnation;
        (m.incarnation, m.sequence) = (r.incarnation, r.sequence);
        m.highest_fencing_token = m.highest_fencing_token.max(r.fencing_token);
        m.fence_offset = m.fence_offset.max(raised.unwrap_or(0));
        m.last_heartbeat = Some(now);
        m.address = r.address.parse().ok();
        // direct starts of a lower token, or for an earlier session, are dead
        if session_changed || m.in_doubt_token.is_some_and(|t| r.fencing_token > t) {
            m.in_doubt_token = None;
        }
        let settled = closing && m.in_doubt_token.is_none();
        if let Some(size) = kind_size {
            m.size = size;
        }
        match r.reclaim_in_s {
            Some(s) if m.reclaim_at.is_none() => {
                tracing::info!("machine {} is taken back in {s} s", r.machine);
                m.reclaim_at = Some(now + Duration::from_secs_f64(s.clamp(0.0, 3600.0)));
                self.queue_changed = true;
            }
            None => m.reclaim_at = None,
            _ => {}
        }
        // a report under this term's token: no earlier leader's start is on
        // its way to this worker any more
        let fenced = r.fencing_token >= token;

        // 1. what is placed here and not listed
        let gone: Vec<Task> = m
            .tasks
            .iter()
            .filter(|(task, p)| {
                let listed = r.tasks.iter().any(|t| t.task == **task && t.attempt == p.attempt);
                if listed {
                    return false;
                }
                if p.incarnation < r.incarnation {
                    return true; // an earlier session's tasks were killed
                }
                if !p.confirmed {
                    return fenced;
                }
                match p.phase {
                    // not sent yet, or not delivered: it is sent (again),
                    // unless it is to stop, and then it is not there, if no
                    // start can still arrive
                    TaskPhase::Assigned => p.stop_grace_s.is_some() && settled,
                    TaskPhase::Completed => false,
                    _ => true,
                }
            })
            .map(|(t, _)| t.clone())
            .collect();
        m.exited.retain(|task, e| r.tasks.iter().any(|t| t.task == *task && t.attempt == *e));
        for t in gone {
            tracing::debug!("{t} is not on {} any more", r.machine);
            self.release_assignment(&r.machine, &t, now);
        }
        // a start decided for the last session is for this one now
        if session_changed {
            let learned = self.machine_hints.remove(&r.machine);
            if let Some(m) = self.machines.get_mut(&r.machine) {
                m.images.clear();
                if let Some(l) = learned {
                    (m.speed, m.speed_samples, m.images) = (l.speed, l.speed_samples, l.images);
                }
            }
        }

        // 2. what is listed
        for t in &r.tasks {
            self.apply_task_status(r, t, fenced, now);
        }
        Some(true)
    }

    /// A report that repeats the last one, and its answer; `None`: the whole report is needed.
    ///
    /// It is taken only if nothing came of this machine in between and nothing on it is open:
    /// then all of the report would change nothing either.
    pub fn apply_unchanged(&mut self, u: &UnchangedHeartbeat, now: Instant) -> Option<HeartbeatReply> {
        let token = self.fencing_token_for(&u.machine);
        let m = self.machines.get_mut(&u.machine)?;
        let last =
            (m.incarnation, m.sequence) == (u.incarnation, u.repeats_sequence) && u.sequence > u.repeats_sequence;
        if !last || m.last_heartbeat.is_none() || !m.is_settled() {
            return None;
        }
        m.sequence = u.sequence;
        m.last_heartbeat = Some(now);
        Some(HeartbeatReply { fencing_token: token, commands: Vec::new() })
    }

    /// Whether something on this machine is on its way into the store, a
    /// start or a completed task: the answer that waits for it saves the next
    /// task a report interval.
    pub fn has_pending_start(&self, r: &Heartbeat) -> bool {
        let Some(m) = self.machines.get(&r.machine) else { return false };
        let pending = |p: &Assignment| !p.stored && p.stop_grace_s.is_none() || p.phase == TaskPhase::Completed;
        (m.incarnation, m.sequence) == (r.incarnation, r.sequence) && m.tasks.values().any(pending)
    }

    /// The answer to a report that has been taken in.
    pub fn reply_to_heartbeat(&mut self, r: &Heartbeat, now: Instant) -> HeartbeatReply {
        let base = self.base_token();
        let mut orders = Vec::new();
        let Some(m) = self.machines.get_mut(&r.machine).filter(|m| m.removed_at.is_none()) else {
            return HeartbeatReply { fencing_token: base, commands: orders };
        };
        let token = base + m.fence_offset;
        m.reply_pending = false;
        if (m.incarnation, m.sequence) != (r.incarnation, r.sequence) {
            // newer news is in; the next answer has the commands
            return HeartbeatReply { fencing_token: token, commands: orders };
        }
        // a reap must not overtake a start in doubt: the worker would forget
        // the attempt, and the late start would run it again
        for (task, attempt) in m.exited.iter().filter(|_| m.in_doubt_token.is_none()) {
            orders.push(Command::Acknowledge { task: task.clone(), attempt: *attempt });
        }
        // nor may a late copy of one that was answered do that: with the reap
        // comes a token above the one that such a start left under
        if !orders.is_empty() && m.last_direct_fence.is_some_and(|d| d >= m.fence_offset) {
            m.fence_offset += 1;
        }
        let token = base + m.fence_offset;
        for (task, p) in &m.tasks {
            if let (Some(grace), true) = (p.stop_grace_s, p.phase != TaskPhase::Assigned) {
                let grace =
                    if p.phase == TaskPhase::Checkpointing { continue_save(p, grace, now) } else { Some(grace) };
                if let Some(grace) = grace {
                    orders.push(Command::Stop { task: task.clone(), attempt: p.attempt, grace });
                }
            }
        }
        let order = (r.incarnation, r.sequence);
        for (task, p) in m.tasks.iter_mut() {
            if orders.len() >= MOST_COMMANDS {
                break;
            }
            // only a stored start leaves, and only for the session it is for
            if p.phase == TaskPhase::Assigned
                && p.stored
                && !p.inherited
                && p.stop_grace_s.is_none()
                && p.incarnation == r.incarnation
                && m.deletion_sent_at.is_none()
            {
                p.start_sent_in = Some(order);
                orders.push(Command::Start { task: task.clone(), attempt: p.attempt });
            }
        }
        orders.truncate(MOST_COMMANDS);
        HeartbeatReply { fencing_token: token, commands: orders }
    }

    /// The token that answers to a machine carry.
    pub fn fencing_token_for(&self, machine: &Name) -> u64 {
        self.base_token() + self.machines.get(machine).map_or(0, |m| m.fence_offset)
    }

    /// Commands that should not wait for the next report: stored starts and
    /// new stops.  One call a machine at a time.
    /// Those of the first `most` machines; the others' turn comes with the
    /// next call.
    pub fn take_direct_commands(&mut self, most: usize) -> Vec<DirectCommand> {
        let base = self.base_token();
        let mut calls = Vec::new();
        while calls.len() < most {
            let Some(name) = self.machines_to_command.pop_first() else { break };
            let Some(m) = self.machines.get_mut(&name) else { continue };
            let Some(address) = m.address else { continue };
            // what can't be told now, the answer to the next report tells
            if m.command_in_flight
                || m.reply_pending
                || m.removed_at.is_some()
                || m.deletion_sent_at.is_some()
                || m.in_doubt_token.is_some()
                || m.last_heartbeat.is_none()
            {
                continue;
            }
            let token = base + m.fence_offset;
            let (mut orders, mut starts) = (Vec::new(), false);
            for (task, p) in m.tasks.iter_mut().filter(|(_, p)| !p.stop_sent && p.phase != TaskPhase::Assigned) {
                if let Some(grace) = p.stop_grace_s {
                    p.stop_sent = true;
                    orders.push(Command::Stop { task: task.clone(), attempt: p.attempt, grace });
                }
            }
            for (task, p) in m.tasks.iter_mut() {
                let ready = p.phase == TaskPhase::Assigned && p.stored && !p.inherited && p.stop_grace_s.is_none();
                if ready && p.start_sent_in.is_none() && p.incarnation == m.incarnation && orders.len() < MOST_COMMANDS
                {
                    p.start_sent_in = Some((m.incarnation, m.sequence));
                    starts = true;
                    orders.push(Command::Start { task: task.clone(), attempt: p.attempt });
                }
            }
            if !orders.is_empty() {
                m.command_in_flight = true;
                if starts {
                    m.in_doubt_token = Some(token);
                    m.last_direct_fence = Some(m.fence_offset);
                }
                let body = DirectCommandBody { fencing_token: token, incarnation: m.incarnation, commands: orders };
                calls.push(DirectCommand { machine: m.name.clone(), address, body });
            }
        }
        calls
    }

    /// A direct command was answered (with the worker's report), or not.
    pub fn apply_direct_result(&mut self, d: &DirectCommand, answer: Option<&Heartbeat>, now: Instant) {
        let Some(m) = self.machines.get_mut(&d.machine) else { return };
        m.command_in_flight = false;
        self.machines_to_command.insert(d.machine.clone());
        match answer {
            Some(r) => {
                // carried out or refused, but nothing of it is under way
                if m.in_doubt_token == Some(d.body.fencing_token) {
                    m.in_doubt_token = None;
                }
                self.apply_heartbeat(r, false, now);
            }
            // it may be carried out minutes later: the next answers carry a
            // higher token, and a report that shows it ends the doubt
            None => m.fence_offset += 1,
        }
    }

    /// `fenced`: the report is under this term's token.  One that is not may be of any
    /// age, and this leader has nothing to hold it against.
    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    fn apply_task_status(&mut self, r: &Heartbeat, t: &TaskStatus, fenced: bool, now: Instant) {
        if let Some(h) = self.dependency.unblock(&t.task.job) {
            // a command leaves only after its start is stored, and that only
            // after the ends of all that the job needs
            self.release_blocked_job(h);
        }
        let over = self.jobs.get(&t.task.job).is_none_or(|j| j.outcome.is_some() || j.completed.contains(t.task.index));
        let finishing = self.jobs.get(&t.task.job).is_some_and(|j| j.completed_unstored.contains(t.task.index));
        let cache = self.types.get(&r.kind).map_or(f64::INFINITY, |x| x.cache_gb);
        let Some(m) = self.machines.get_mut(&r.machine) else { return };
        let known = m.tasks.get(&t.task).is_some_and(|p| p.attempt == t.attempt);
        if t.state == TaskState::Exited {
            if !known && m.exited.contains_key(&t.task) {
                return;
            }
            let cause = t.cause.unwrap_or(ExitCause::Unknown);
            if cause == ExitCause::Completed && !over {
                // completed under whatever attempt: the result is kept
                if let Some(p) = m.tasks.get_mut(&t.task).filter(|p| p.attempt == t.attempt) {
                    if p.phase != TaskPhase::Completed {
                        p.phase = TaskPhase::Completed;
                        let p = p.clone();
                        self.record_runtime(&r.machine, &p, now);
                    }
                }
                if !finishing {
                    self.mark_completed(&t.task, now);
                }
                self.queue_changed = true;
                return;
            }
            if let Some(p) = m.tasks.get(&t.task).filter(|_| known) {
                // a gang's task may have been started again here under the same attempt
                if !fenced && !p.confirmed && p.spec.shape == Shape::Gang {
                    return;
                }
                let since = p.assigned_at;
                self.release_assignment(&r.machine, &t.task, now);
                self.apply_task_exit(&r.machine, &t.task, cause, over, since, now);
            }
            if let Some(m) = self.machines.get_mut(&r.machine) {
                m.exited.insert(t.task.clone(), t.attempt);
            }
            return;
        }
        let phase = match t.state {
            TaskState::Pulling => TaskPhase::Pulling,
            TaskState::WaitingForGang => TaskPhase::WaitingForGang,
            TaskState::Running => TaskPhase::Running,
            _ => TaskPhase::Checkpointing,
        };
        if !known {
            if !fenced && m.tasks.contains_key(&t.task) {
                // old news of an attempt before the one that is on record here
                return;
            }
            // on the machine without a record of it: it counts as present
            // and, unless it is what the job is waiting for, is stopped
            let Some(job) = self.jobs.get_mut(&t.task.job) else {
                tracing::error!("{} has {}, of an unknown job", r.machine, t.task);
                return;
            };
            tracing::info!("{} has {} attempt {}, which is not recorded", r.machine, t.task, t.attempt);
            let free = !job.assignments.contains_key(&t.task.index) && !over && !finishing;
            job.pending.remove(t.task.index);
            let list = job.assignments.entry(t.task.index).or_default();
            if !list.contains(&r.machine) {
                list.push(r.machine.clone());
            }
            let keep = free && job.spec.shape != Shape::Gang;
            let halt = (!keep).then_some(0.0);
            let mut place = Assignment::new(job.spec.clone(), t.attempt, r.incarnation, now);
            (place.stop_grace_s, place.stop_requested_at) = (halt, halt.map(|_| now));
            m.idle_since = None;
            m.tasks.insert(t.task.clone(), place);
            self.machines_to_command.insert(r.machine.clone());
            self.queue_start_record(&t.task, &r.machine, t.attempt, r.incarnation);
        }
        let Some(m) = self.machines.get_mut(&r.machine) else { return };
        let Some(p) = m.tasks.get_mut(&t.task) else { return };
        p.inherited = false;
        p.confirmed |= fenced;
        if p.phase == TaskPhase::Completed {
            return;
        }
        p.phase = phase;
        if over {
            p.stop_grace_s = Some(0.0);
            p.stop_requested_at.get_or_insert(now);
            self.machines_to_command.insert(r.machine.clone());
        }
        // what fails everywhere does not run for long
        let proof = self.policy.failure_rest;
        if phase == TaskPhase::Running
            && p.stop_grace_s.is_none()
            && p.running_since.is_some_and(|t| now.duration_since(t) > proof)
        {
            if let Some(j) = self.jobs.get_mut(&t.task.job).filter(|j| j.quarantine.is_some()) {
                (j.quarantine, j.not_before) = (None, None);
            }
        }
        if phase == TaskPhase::Running && p.running_since.is_none() {
            p.running_since = Some(now);
            tracing::debug!(
                "{} runs on {}, {:.1} s after it was placed",
                t.task,
                r.machine,
                now.duration_since(p.assigned_at).as_secs_f64()
            );
            let (image, gb) = (p.spec.image.clone(), p.spec.image_gb);
            m.use_image(&image, gb, cache);
        }
    }

    /// A task that was placed at `since` ended without completing.
    fn apply_task_exit(
        &mut self,
        machine: &Name,
        task: &Task,
        cause: ExitCause,
        over: bool,
        since: Instant,
        now: Instant,
    ) {
        let rest = self.policy.failure_rest;
        if !matches!(cause, ExitCause::StoppedByCommand) {
            tracing::debug!("{task} on {machine} ended: {cause:?}");
        }
        if over {
            return;
        }
        if cause == ExitCause::Failed {
            return self.record_failure(machine, &task.job, since, now);
        }
        let (Some(m), Some(job)) = (self.machines.get_mut(machine), self.jobs.get_mut(&task.job)) else { return };
        match cause {
            ExitCause::NoRoom | ExitCause::AttemptConflict => m.cooldown_until = Some(now + rest),
            ExitCause::UnknownJob | ExitCause::Unknown => job.not_before = Some(now + rest),
            ExitCause::Failed
            | ExitCause::Completed
            | ExitCause::StoppedByCommand
            | ExitCause::GangMemberLost
            | ExitCause::GangTimeout => {}
        }
    }

    /// A task failed.  A faulty machine fails the tasks of many jobs, a faulty
    /// job fails on many machines: blame whichever repeats.  A job is taken for
    /// broken while none of its tasks has completed, once it has failed on
    /// several machines that fail nothing else: on more than it runs on, those
    /// that have yet to show counted by a quarter.  Then its machines are
    /// cleared of the blame, what of it still waits for its image is stopped,
    /// and single probes follow further and further apart.
    fn record_failure(&mut self, machine: &Name, id: &Name, since: Instant, now: Instant) {
        let rest = self.policy.failure_rest;
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.failed_on.insert(machine.clone());
        let sound = |n: &&Name| {
            let m = self.machines.get(*n);
            m.is_some_and(|m| m.cordon_reason.is_none() && m.failed_jobs.iter().all(|j| j == id))
        };
        let evidence = job.failed_on.iter().filter(sound).count();
        let place = |(n, t): &(Name, Task)| self.machines.get(n).and_then(|m| m.tasks.get(t));
        let placed = job.placed_tasks();
        let mut others: BTreeMap<&Name, bool> = BTreeMap::new();
        for p in placed.iter().filter(|p| !job.failed_on.contains(&p.0)) {
            *others.entry(&p.0).or_default() |= place(p).is_some_and(|p| p.running_since.is_some());
        }
        let runs = others.values().filter(|r| **r).count();
        let against = runs + (others.len() - runs) / 4;
        let proven = job.has_completed_task();
        match &mut job.quarantine {
            Some(s) if since >= s.since => {
                s.probes += 1;
                s.since = now + rest * 2u32.pow(s.probes.min(MOST_BACKOFF)) / 2;
                job.not_before = Some(s.since);
                tracing::info!("{id} fails again: next probe in {:.0} s", (s.since - now).as_secs_f64());
            }
            Some(_) => {}
            None if !proven && evidence >= 2 && evidence > against => {
                tracing::info!("{id} fails on {evidence} machines: taken for broken, probed one task at a time");
                job.quarantine = Some(Quarantine { since: now, probes: 0 });
                job.pending_reason = QUARANTINED;
                let fetches = |p: &Assignment| matches!(p.phase, TaskPhase::Assigned | TaskPhase::Pulling);
                let wait: Vec<_> = placed.iter().filter(|p| place(p).is_some_and(fetches)).cloned().collect();
                for n in job.failed_on.clone() {
                    self.clear_failure(&n, id);
                }
                for (m, t) in wait {
                    self.request_stop(&m, &t, 0.0, now);
                }
                return;
            }
            None => {
                let Some(m) = self.machines.get_mut(machine) else { return };
                m.failed_jobs.insert(id.clone());
                m.cooldown_until = Some(now + rest * 2);
                if m.failed_jobs.len() >= 2 && m.cordon_reason.is_none() {
                    tracing::info!("machine {machine} fails tasks of {} jobs: drained", m.failed_jobs.len());
                    m.cordon_reason = Some(FAILS);
                }
                return;
            }
        }
        self.clear_failure(machine, id);
    }

    /// A machine is not to blame for a broken job's failures.
    fn clear_failure(&mut self, machine: &Name, id: &Name) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.failed_jobs.remove(id);
        if m.failed_jobs.is_empty() {
            m.cooldown_until = None;
        }
        if m.cordon_reason == Some(FAILS) && m.failed_jobs.len() < 2 {
            m.cordon_reason = None;
        }
        self.queue_changed = true;
    }

    /// A completed task tells of its machine's speed.  Only completed tasks
    /// count, or an instantly failing machine would look fast.
    fn record_runtime(&mut self, machine: &Name, p: &Assignment, now: Instant) {
        let Some(since) = p.running_since else { return };
        let ran = now.duration_since(since).as_secs_f64();
        if let Some(m) = self.machines.get_mut(machine) {
            m.failed_jobs.clear();
        }
        // short runs say little: the report interval blurs them
        if p.spec.estimate_s < 1.0
            || ran < self.policy.fresh.as_secs_f64()
            || p.spec.shape == Shape::Gang && p.spec.tasks > 1
        {
            return;
        }
        let ratio = (ran / p.spec.estimate_s).clamp(0.05, 20.0);
        let bias = self.runtime_bias.entry(p.spec.class.clone()).or_insert(ratio);
        *bias += (ratio - *bias) * 0.1;
        // a machine is held against the tasks of the same job on others: what
        // owners estimate is off by more than machines differ
        let (Some(job), Some(m)) = (self.jobs.get_mut(&p.spec.id), self.machines.get_mut(machine)) else { return };
        let (mean, n) = job.ran;
        job.ran = (mean + (ran - mean) / f64::from(n + 1), n + 1);
        if n >= SPEED_PRIOR {
            // so many tasks at the usual speed are taken for granted, or a
            // machine's first task would say more than all that it is
            let relative = (mean / ran).clamp(0.1, 10.0);
            m.speed_samples += 1;
            m.speed += (relative - m.speed) * (1.0 / f64::from(SPEED_PRIOR + m.speed_samples)).max(0.02);
        }
    }
}

/// A saving task is left alone until its grace is over, then ended.
fn continue_save(p: &Assignment, grace: f64, now: Instant) -> Option<f64> {
    let over =
        p.stop_requested_at.is_some_and(|t| now.duration_since(t).as_secs_f64() > grace.max(p.spec.save_s) * 3.0 + 5.0);
    (grace == 0.0 || over).then_some(0.0)
}

#[cfg(test)]
mod tests;
