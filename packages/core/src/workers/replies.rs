//! Replies to heartbeats.

use std::time::Instant;

use super::{Command, Heartbeat, HeartbeatReply, TaskState, TaskStatus};
use crate::cluster::{Assignment, Cluster, Machine, TaskPhase};
use crate::model::*;

/// Most commands in one message; the rest follows with the next heartbeat.
pub(super) const MAX_COMMANDS: usize = 400;

/// How many times its grace or its checkpoint time, whichever is longer, a
/// checkpointing task may take before it is stopped at once.
const CHECKPOINT_TIME_FACTOR: f64 = 3.0;
/// What a checkpointing task may take in addition, in seconds.
const CHECKPOINT_MARGIN_S: f64 = 5.0;

/// A reply that renews the worker's lease, starts nothing, and stops the tasks of jobs
/// that are known to be over: that is correct at any time, whoever sends it.
pub fn lease_renewal_reply(heartbeat: &Heartbeat, token: u64, is_over: impl Fn(&Name) -> bool) -> HeartbeatReply {
    let must_stop = |status: &&TaskStatus| status.state != TaskState::Exited && is_over(&status.task.job);
    let stop = |status: &TaskStatus| Command::Stop { task: status.task.clone(), attempt: status.attempt, grace: 0.0 };
    HeartbeatReply {
        fencing_token: token,
        commands: heartbeat.tasks.iter().filter(must_stop).take(MAX_COMMANDS).map(stop).collect(),
    }
}

impl Cluster {
    /// Whether a start or a completion on this machine is being stored: a reply that
    /// waits for it saves the next task a heartbeat interval.
    pub fn has_pending_write(&self, heartbeat: &Heartbeat) -> bool {
        let Some(machine) = self.machines.get(&heartbeat.machine) else { return false };
        let is_pending = |assignment: &Assignment| {
            !assignment.stored && assignment.stop_grace_s.is_none() || assignment.phase == TaskPhase::Completed
        };
        is_last_heartbeat(heartbeat, machine) && machine.tasks.values().any(is_pending)
    }

    /// The reply to a heartbeat that was applied.
    pub fn reply_to_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatReply {
        let base_token = self.base_token();
        let mut commands = Vec::new();
        let machine = self.machines.get_mut(&heartbeat.machine).filter(|machine| machine.removed_at.is_none());
        let Some(machine) = machine else {
            return HeartbeatReply { fencing_token: base_token, commands };
        };
        machine.reply_pending = false;
        if is_last_heartbeat(heartbeat, machine) {
            acknowledge_exited_tasks(machine, &mut commands);
            repeat_stops(machine, &mut commands, now);
            send_starts(machine, &mut commands);
            commands.truncate(MAX_COMMANDS);
        }
        // a newer heartbeat has arrived otherwise: its reply has the commands
        HeartbeatReply { fencing_token: base_token + machine.fence_offset, commands }
    }

    /// The token that replies to a machine carry.
    pub fn fencing_token_for(&self, machine: &Name) -> u64 {
        self.base_token() + self.machines.get(machine).map_or(0, |machine| machine.fence_offset)
    }
}

/// Whether this heartbeat is the last one that was applied for its machine.
fn is_last_heartbeat(heartbeat: &Heartbeat, machine: &Machine) -> bool {
    (machine.incarnation, machine.sequence) == (heartbeat.incarnation, heartbeat.sequence)
}

/// Acknowledges tasks that have exited.
fn acknowledge_exited_tasks(machine: &mut Machine, commands: &mut Vec<Command>) {
    // An acknowledgement must not overtake a start in doubt: the worker would forget
    // the attempt, and the late start would run it again.
    if machine.in_doubt_token.is_some() {
        return;
    }
    for (task, attempt) in &machine.exited {
        commands.push(Command::Acknowledge { task: task.clone(), attempt: *attempt });
    }
    // Nor may a late copy of a start that was answered do that: the acknowledgement
    // comes with a token above the one under which that start was sent.
    let direct_fence = machine.last_direct_fence;
    if !commands.is_empty() && direct_fence.is_some_and(|fence| fence >= machine.fence_offset) {
        machine.fence_offset += 1;
    }
}

/// Repeats the stops of all tasks that are to stop and whose start was sent.
fn repeat_stops(machine: &Machine, commands: &mut Vec<Command>, now: Instant) {
    for (task, assignment) in &machine.tasks {
        if let Some(grace) = stop_grace(assignment, now) {
            commands.push(Command::Stop { task: task.clone(), attempt: assignment.attempt, grace });
        }
    }
}

/// The grace in seconds of a stop that is due in a reply; `None` if none is due.
fn stop_grace(assignment: &Assignment, now: Instant) -> Option<f64> {
    let grace = assignment.stop_grace_s?;
    match assignment.phase {
        TaskPhase::Assigned => None,
        TaskPhase::Checkpointing => (grace == 0.0 || is_checkpoint_overdue(assignment, grace, now)).then_some(0.0),
        _ => Some(grace),
    }
}

/// Whether a task has been checkpointing for longer than its stop allows.
fn is_checkpoint_overdue(assignment: &Assignment, grace: f64, now: Instant) -> bool {
    let allowed = grace.max(assignment.spec.save_s) * CHECKPOINT_TIME_FACTOR + CHECKPOINT_MARGIN_S;
    assignment.stop_requested_at.is_some_and(|since| now.duration_since(since).as_secs_f64() > allowed)
}

/// Adds the starts that may be sent, as far as there is room for them.
fn send_starts(machine: &mut Machine, commands: &mut Vec<Command>) {
    if machine.deletion_sent_at.is_some() {
        return;
    }
    let heartbeat_order = (machine.incarnation, machine.sequence);
    for (task, assignment) in &mut machine.tasks {
        if commands.len() >= MAX_COMMANDS {
            break;
        }
        if assignment.may_start(machine.incarnation) {
            assignment.start_sent_in = Some(heartbeat_order);
            commands.push(Command::Start { task: task.clone(), attempt: assignment.attempt });
        }
    }
}
