//! Commands that are sent to workers directly, without waiting for their next heartbeat.

use std::time::Instant;

use super::replies::MAX_COMMANDS;
use super::{Command, DirectCommandBody, Heartbeat, HeartbeatSource};
use crate::cluster::{Cluster, Machine, TaskPhase};
use crate::model::*;

/// A message with commands for one worker, sent directly.
#[derive(Debug, Clone)]
pub struct DirectCommand {
    /// The machine.
    pub machine: Name,
    /// The address at which its worker accepts direct commands.
    pub address: std::net::SocketAddr,
    /// The body of the request.
    pub body: DirectCommandBody,
}

impl Cluster {
    /// Commands that should not wait for the next heartbeat: stored starts and new
    /// stops, with at most one message in flight for each machine.  Messages for `most`
    /// machines are taken; those of the others are left to the next call.
    pub fn take_direct_commands(&mut self, most: usize) -> Vec<DirectCommand> {
        let base_token = self.base_token();
        let mut messages = Vec::new();
        while messages.len() < most {
            let Some(name) = self.machines_to_command.pop_first() else { break };
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            messages.extend(take_direct_command(machine, base_token));
        }
        messages
    }

    /// Applies the response to a direct command, which has the worker's heartbeat;
    /// `response` is `None` if there was none.
    pub fn apply_direct_result(&mut self, direct: &DirectCommand, response: Option<&Heartbeat>, now: Instant) {
        let Some(machine) = self.machines.get_mut(&direct.machine) else { return };
        machine.command_in_flight = false;
        self.machines_to_command.insert(direct.machine.clone());
        match response {
            Some(heartbeat) => {
                // carried out or refused: nothing of it is in flight any more
                if machine.in_doubt_token == Some(direct.body.fencing_token) {
                    machine.in_doubt_token = None;
                }
                self.apply_heartbeat(heartbeat, HeartbeatSource::DirectResponse, now);
            }
            // It may be carried out minutes later.  The next replies carry a higher
            // token, and a heartbeat that shows this token ends the doubt.
            None => machine.fence_offset += 1,
        }
    }
}

/// Whether a direct command may be sent to this machine now.  What may not be sent now
/// is in the reply to the next heartbeat.
fn may_send_directly(machine: &Machine) -> bool {
    !machine.command_in_flight
        && !machine.reply_pending
        && machine.removed_at.is_none()
        && machine.deletion_sent_at.is_none()
        && machine.in_doubt_token.is_none()
        && machine.last_heartbeat.is_some()
}

/// The message for a machine, marked as sent; `None` if nothing is to be sent or
/// nothing may be sent now.
fn take_direct_command(machine: &mut Machine, base_token: u64) -> Option<DirectCommand> {
    let address = machine.address?;
    if !may_send_directly(machine) {
        return None;
    }
    let fencing_token = base_token + machine.fence_offset;
    let mut commands = Vec::new();
    take_stops(machine, &mut commands);
    let stops = commands.len();
    take_starts(machine, &mut commands);
    if commands.is_empty() {
        return None;
    }
    machine.command_in_flight = true;
    if commands.len() > stops {
        machine.in_doubt_token = Some(fencing_token);
        machine.last_direct_fence = Some(machine.fence_offset);
    }
    let body = DirectCommandBody { fencing_token, incarnation: machine.incarnation, commands };
    Some(DirectCommand { machine: machine.name.clone(), address, body })
}

/// Adds the stops that have not been sent yet.
fn take_stops(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (task, assignment) in &mut machine.tasks {
        if assignment.stop_sent || assignment.phase == TaskPhase::Assigned {
            continue;
        }
        if let Some(grace) = assignment.stop_grace_s {
            assignment.stop_sent = true;
            commands.push(Command::Stop { task: task.clone(), attempt: assignment.attempt, grace });
        }
    }
}

/// Adds the starts that have not been sent yet, as far as there is room for them.
fn take_starts(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (task, assignment) in &mut machine.tasks {
        let unsent = assignment.start_sent_in.is_none() && assignment.may_start(machine.incarnation);
        if unsent && commands.len() < MAX_COMMANDS {
            assignment.start_sent_in = Some((machine.incarnation, machine.sequence));
            commands.push(Command::Start { task: task.clone(), attempt: assignment.attempt });
        }
    }
}
