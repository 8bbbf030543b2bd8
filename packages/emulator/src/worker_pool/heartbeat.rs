//! Heartbeats, their replies and direct commands, with the checks of incarnation and fencing token.

use std::time::Instant;

use coralnotch_wire::workers::{DirectCommandBody, Heartbeat, HeartbeatReply};

use super::WorkerPool;

/// A heartbeat that was sent and may be answered.  A reply renews the lease from the time at which
/// the heartbeat was sent, and only if the worker's incarnation is still the same.
#[derive(Debug, Clone, Copy)]
pub struct SentHeartbeat {
    incarnation: u64,
    sent_at: Instant,
}

impl WorkerPool {
    /// Creates the next heartbeat of a machine; returns `None` if the machine does not exist.
    pub fn heartbeat(&mut self, name: &str, now: Instant) -> Option<(Heartbeat, SentHeartbeat)> {
        let machine = self.machines.get_mut(name)?;
        machine.sequence += 1;
        machine.has_changed = false;
        let heartbeat = Heartbeat {
            machine: name.into(),
            address: machine.address.clone(),
            machine_type: machine.kind.name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            incarnation: machine.incarnation,
            sequence: machine.sequence,
            fencing_token: machine.fencing_token,
            reclaim_in_s: machine.reclaim_at.map(|at| at.saturating_duration_since(now).as_secs_f64()),
            tasks: machine.tasks.iter().map(|(task, record)| record.status(task)).collect(),
        };
        Some((heartbeat, SentHeartbeat { incarnation: machine.incarnation, sent_at: now }))
    }

    /// Applies the reply to a heartbeat.  A reply to an earlier incarnation, or with a fencing token
    /// lower than the highest one seen, is dropped.
    pub fn apply_reply(&mut self, name: &str, sent: SentHeartbeat, reply: HeartbeatReply, now: Instant) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if sent.incarnation != machine.incarnation || reply.fencing_token < machine.fencing_token {
            return;
        }
        let has_new_leader = reply.fencing_token > machine.fencing_token;
        machine.fencing_token = reply.fencing_token;
        machine.lease_renewed_at = sent.sent_at;
        if has_new_leader {
            self.mark_changed(name);
        }
        if !reply.commands.is_empty() {
            self.execute_commands(name, reply.commands, now);
        }
    }

    /// Executes commands that a leader sent directly to the worker.  Returns `false`, and executes
    /// none, if the machine does not exist, the commands are for another incarnation, or their fencing
    /// token is lower than the highest one seen.
    pub fn apply_direct_commands(&mut self, name: &str, body: DirectCommandBody, now: Instant) -> bool {
        let Some(machine) = self.machines.get_mut(name) else { return false };
        if body.incarnation != machine.incarnation || body.fencing_token < machine.fencing_token {
            return false;
        }
        machine.fencing_token = body.fencing_token;
        self.execute_commands(name, body.commands, now);
        true
    }
}
