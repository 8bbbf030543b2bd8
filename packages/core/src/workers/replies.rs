//! Replies to heartbeats, with the commands that are due.

use std::time::Instant;

use super::{Command, Heartbeat, HeartbeatReply, TaskState, TaskStatus};
use crate::cluster::{Assignment, Cluster, Machine, TaskPhase};
use crate::model::*;

/// Maximum number of commands in one message; the others are sent after the next heartbeat.
pub(super) const MAX_COMMANDS: usize = 400;

/// Time that a checkpointing task may take before it is stopped at once, as a multiple of its
/// grace or its checkpoint time, whichever is longer.
const CHECKPOINT_TIME_FACTOR: f64 = 3.0;
/// Time that a checkpointing task may take in addition, in seconds.
const CHECKPOINT_MARGIN_S: f64 = 5.0;

/// Returns a reply that renews the worker's lease, starts nothing, and stops the tasks of jobs
/// that have ended according to `has_ended`.  Such a reply is correct at any time, whichever
/// controller sends it.
pub fn lease_renewal_reply(heartbeat: &Heartbeat, token: u64, has_ended: impl Fn(&Name) -> bool) -> HeartbeatReply {
    let must_stop = |status: &&TaskStatus| status.state != TaskState::Exited && has_ended(&status.task.job);
    let stop = |status: &TaskStatus| Command::Stop { task: status.task.clone(), attempt: status.attempt, grace_s: 0.0 };
    HeartbeatReply {
        fencing_token: token,
        commands: heartbeat.tasks.iter().filter(must_stop).take(MAX_COMMANDS).map(stop).collect(),
    }
}

impl Cluster {
    /// Reports whether a start or a completion on the machine of a heartbeat is still to be stored.
    /// If the reply waits until it is, the next task starts a heartbeat interval earlier.  Returns
    /// false if a newer heartbeat of the machine was applied.
    pub fn has_pending_write(&self, heartbeat: &Heartbeat) -> bool {
        let Some(machine) = self.machines.get(&heartbeat.machine) else { return false };
        let is_pending = |assignment: &Assignment| {
            !assignment.stored && assignment.stop_grace_s.is_none() || assignment.phase == TaskPhase::Completed
        };
        is_last_heartbeat(heartbeat, machine) && machine.tasks.values().any(is_pending)
    }

    /// Returns the reply to a heartbeat that was applied.  The reply has commands only if no newer
    /// heartbeat of the machine was applied since.
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
        // otherwise a newer heartbeat was applied, and its reply has the commands
        HeartbeatReply { fencing_token: base_token + machine.fence_offset, commands }
    }

    /// Returns the fencing token of replies to a machine.
    pub fn fencing_token_for(&self, machine: &Name) -> u64 {
        self.base_token() + self.machines.get(machine).map_or(0, |machine| machine.fence_offset)
    }
}

/// Reports whether a heartbeat is the last one that was applied for its machine.
fn is_last_heartbeat(heartbeat: &Heartbeat, machine: &Machine) -> bool {
    (machine.incarnation, machine.sequence) == (heartbeat.incarnation, heartbeat.sequence)
}

/// Adds acknowledgements of the tasks that have exited to `commands`.
fn acknowledge_exited_tasks(machine: &mut Machine, commands: &mut Vec<Command>) {
    // An acknowledgement must not overtake a start in doubt: the worker would forget the
    // attempt, and the delayed start would run it again.
    if machine.in_doubt_token.is_some() {
        return;
    }
    for (task, attempt) in &machine.exited {
        commands.push(Command::Acknowledge { task: task.clone(), attempt: *attempt });
    }
    // A delayed copy of a start that had a response must not run the attempt again either, so
    // the acknowledgement carries a token above the one under which that start was sent.
    let direct_fence = machine.last_direct_fence;
    if !commands.is_empty() && direct_fence.is_some_and(|fence| fence >= machine.fence_offset) {
        machine.fence_offset += 1;
    }
}

/// Adds the stops of all tasks that are on the machine and are to stop.
fn repeat_stops(machine: &Machine, commands: &mut Vec<Command>, now: Instant) {
    for (task, assignment) in &machine.tasks {
        if let Some(grace_s) = stop_grace(assignment, now) {
            commands.push(Command::Stop { task: task.clone(), attempt: assignment.attempt, grace_s });
        }
    }
}

/// Returns the grace in seconds of the stop that a reply has for a task; `None` if no stop is due.
fn stop_grace(assignment: &Assignment, now: Instant) -> Option<f64> {
    let grace_s = assignment.stop_grace_s?;
    match assignment.phase {
        TaskPhase::Assigned => None,
        TaskPhase::Checkpointing => (grace_s == 0.0 || is_checkpoint_overdue(assignment, grace_s, now)).then_some(0.0),
        _ => Some(grace_s),
    }
}

/// Reports whether a task has been checkpointing for longer than its stop allows.
fn is_checkpoint_overdue(assignment: &Assignment, grace_s: f64, now: Instant) -> bool {
    let allowed = grace_s.max(assignment.spec.checkpoint_duration_s) * CHECKPOINT_TIME_FACTOR + CHECKPOINT_MARGIN_S;
    assignment.stop_requested_at.is_some_and(|since| now.duration_since(since).as_secs_f64() > allowed)
}

/// Adds the starts that may be sent, up to [`MAX_COMMANDS`] commands in total.
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
            assignment.start_sent_after = Some(heartbeat_order);
            commands.push(Command::Start { task: task.clone(), attempt: assignment.attempt });
        }
    }
}
