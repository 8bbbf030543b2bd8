//! Commands that are sent to workers directly, without waiting for their next heartbeat.

use std::time::Instant;

use super::replies::MAX_COMMANDS;
use super::{Command, DirectCommandBody, Heartbeat, HeartbeatSource};
use crate::cluster::{Cluster, Machine, TaskPhase};
use crate::model::*;

/// A message with commands that is sent directly to one worker.
#[derive(Debug, Clone)]
pub struct DirectCommand {
    /// Machine of the worker.
    pub machine: Name,
    /// Address at which the worker accepts direct commands.
    pub address: std::net::SocketAddr,
    /// Body of the request.
    pub body: DirectCommandBody,
}

impl Cluster {
    /// Takes the commands that should not wait for the next heartbeat, which are stored starts
    /// and new stops, and marks them as sent.  Returns at most `limit` messages, each for
    /// another machine; further machines are left to the next call.  A machine with a message
    /// in flight gets no other.
    pub fn take_direct_commands(&mut self, limit: usize) -> Vec<DirectCommand> {
        let base_token = self.base_token();
        let mut messages = Vec::new();
        while messages.len() < limit {
            let Some(name) = self.machines_to_command.pop_first() else { break };
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            messages.extend(take_direct_command(machine, base_token));
        }
        messages
    }

    /// Applies the result of a direct command: the response, which is a heartbeat of the worker,
    /// or `None` if no response arrived.
    pub fn apply_direct_result(&mut self, direct: &DirectCommand, response: Option<&Heartbeat>, now: Instant) {
        let Some(machine) = self.machines.get_mut(&direct.machine) else { return };
        machine.command_in_flight = false;
        self.machines_to_command.insert(direct.machine.clone());
        match response {
            Some(heartbeat) => {
                // the commands were carried out or refused, so that none is in flight any more
                if machine.in_doubt_token == Some(direct.body.fencing_token) {
                    machine.in_doubt_token = None;
                }
                self.apply_heartbeat(heartbeat, HeartbeatSource::DirectResponse, now);
            }
            // The commands may still be carried out minutes later.  The next replies carry a
            // higher token; once a heartbeat shows it, the worker refuses these commands.
            None => machine.fence_offset += 1,
        }
    }
}

/// Reports whether a direct command may be sent to a machine now.  If not, the reply to its next
/// heartbeat has the commands.
fn may_send_directly(machine: &Machine) -> bool {
    !machine.command_in_flight
        && !machine.reply_pending
        && machine.removed_at.is_none()
        && machine.deletion_sent_at.is_none()
        && machine.in_doubt_token.is_none()
        && machine.last_heartbeat.is_some()
}

/// Takes the commands for a machine and marks them as sent.  Returns `None` if there are none or
/// none may be sent now.
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

/// Adds the stops that have not been sent yet to `commands`.
fn take_stops(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (task, assignment) in &mut machine.tasks {
        if assignment.stop_sent || assignment.phase == TaskPhase::Assigned {
            continue;
        }
        if let Some(grace_s) = assignment.stop_grace_s {
            assignment.stop_sent = true;
            commands.push(Command::Stop { task: task.clone(), attempt: assignment.attempt, grace_s });
        }
    }
}

/// Adds the starts that have not been sent yet, up to [`MAX_COMMANDS`] commands in total.
fn take_starts(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (task, assignment) in &mut machine.tasks {
        let is_unsent = assignment.start_sent_after.is_none() && assignment.may_start(machine.incarnation);
        if is_unsent && commands.len() < MAX_COMMANDS {
            assignment.start_sent_after = Some((machine.incarnation, machine.sequence));
            commands.push(Command::Start { task: task.clone(), attempt: assignment.attempt });
        }
    }
}
