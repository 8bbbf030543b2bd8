//! Heartbeats that reach the leader through another controller.

use super::*;
use crate::cancellation::may_lead;

/// A heartbeat on its way from one controller to the leader.
#[derive(Clone)]
pub(super) struct ForwardedRequest {
    pub(super) by: usize,
    pub(super) to: usize,
    /// The leader's term, as the forwarding controller knows it.
    pub(super) term: u64,
    /// What is sent: the whole heartbeat, or that it is unchanged.
    pub(super) message: ForwardedHeartbeat,
    pub(super) heartbeat: Heartbeat,
    pub(super) request: u64,
}

impl World {
    /// Whether a controller forwards heartbeats to the leader.
    pub(super) fn may_forward(&self, i: usize) -> bool {
        let is_up =
            self.now >= self.faults.controller_down_until[i] && self.now >= self.faults.workers_unreachable_until[i];
        let reaches_peers = self.now >= self.faults.peers_unreachable_until[i];
        self.forwards_heartbeats && is_up && !self.has_lease(i) && reaches_peers
    }

    /// Forwards a heartbeat to a controller that believes that it leads.
    pub(super) fn forward_heartbeat(&mut self, by: usize, heartbeat: Heartbeat, request: u64) {
        let leaders: Vec<usize> = (0..3).filter(|i| *i != by && self.has_lease(*i)).collect();
        if leaders.is_empty() {
            return;
        }
        let to = leaders[self.rng.usize(0..leaders.len())];
        if self.now < self.faults.peers_unreachable_until[to] {
            return;
        }
        let Some(term) = self.controllers[to].as_ref().map(|leader| leader.cluster.term) else { return };
        let message = self.forwarding[by].message(&heartbeat, term);
        self.send(Message::ForwardedHeartbeat(ForwardedRequest { by, to, term, message, heartbeat, request }));
    }

    /// The leader accepts a forwarded heartbeat, or asks for it in full.
    pub(super) fn accept_forwarded_heartbeat(&mut self, forwarded: ForwardedRequest) {
        let ForwardedRequest { by, to, term, message, heartbeat, request } = forwarded;
        let now = self.at(self.now);
        if !self.has_lease(to) || !may_lead(self.cancellations_complete_as_of(to), &self.policy, now) {
            return;
        }
        let Some(leader) = self.controllers[to].as_mut().filter(|leader| leader.cluster.term == term) else { return };
        let is_full = message == ForwardedHeartbeat::Full;
        let answer = match &message {
            ForwardedHeartbeat::Full => leader.accept_heartbeat(&heartbeat, now),
            ForwardedHeartbeat::Unchanged(unchanged) if self.defect == InjectedDefect::AcceptAnyUnchangedHeartbeat => {
                // it counts as new, however late it comes
                let cluster = &mut leader.cluster;
                let last = cluster.machines.get(&unchanged.machine).map_or(0, |machine| machine.sequence);
                let new = Heartbeat { sequence: last + 1, ..heartbeat.clone() };
                let outcome = cluster.apply_heartbeat(&new, HeartbeatSource::Worker, now);
                (outcome != HeartbeatOutcome::Superseded).then(|| cluster.reply_to_heartbeat(&new, now))
            }
            ForwardedHeartbeat::Unchanged(unchanged) => leader.cluster.apply_unchanged(unchanged, now),
        };
        match answer {
            Some(answer) => {
                self.statistics.unchanged_forwarded += u32::from(!is_full);
                self.send_heartbeat_response(&heartbeat, request, answer);
                self.send(Message::ForwardingResponse { by, term, heartbeat, accepted: true });
            }
            // an outdated heartbeat is dropped without a response
            None if is_full => {}
            None => self.send(Message::ForwardingResponse { by, term, heartbeat, accepted: false }),
        }
    }
}
