//! What a report changes in the leader's state.

use std::time::{Duration, Instant};

use super::{Heartbeat, HeartbeatReply};
use crate::cluster::{Cluster, Machine, TaskPhase};
use crate::heartbeat_forwarding::UnchangedHeartbeat;
use crate::model::*;

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
}
