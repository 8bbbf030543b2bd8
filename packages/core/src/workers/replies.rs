//! The answers to reports.

use std::time::Instant;

use super::{Command, Heartbeat, HeartbeatReply, TaskState, TaskStatus};
use crate::cluster::{Assignment, Cluster, TaskPhase};
use crate::model::*;

/// Most commands in one answer; the rest follows with the next report.
pub(super) const MOST_COMMANDS: usize = 400;

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
}

/// A saving task is left alone until its grace is over, then ended.
fn continue_save(p: &Assignment, grace: f64, now: Instant) -> Option<f64> {
    let over =
        p.stop_requested_at.is_some_and(|t| now.duration_since(t).as_secs_f64() > grace.max(p.spec.save_s) * 3.0 + 5.0);
    (grace == 0.0 || over).then_some(0.0)
}
