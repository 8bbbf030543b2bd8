//! Commands that do not wait for the next report.

use std::time::Instant;

use super::replies::MOST_COMMANDS;
use super::{Command, DirectCommandBody, Heartbeat};
use crate::cluster::{Cluster, TaskPhase};
use crate::model::*;

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

impl Cluster {
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
}
