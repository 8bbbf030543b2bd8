//! Heartbeats that another controller forwards to the leader.

use super::*;
use crate::cancellation::may_lead;

/// A heartbeat that one controller forwards to the leader.
#[derive(Clone)]
pub(super) struct ForwardedRequest {
    pub(super) forwarder: usize,
    pub(super) to: usize,
    /// Term of the leader, as the forwarding controller knows it.
    pub(super) term: u64,
    /// The form that is sent: the full heartbeat, or a note that it is unchanged.
    pub(super) message: ForwardedHeartbeat,
    pub(super) heartbeat: Heartbeat,
    pub(super) request: u64,
}

impl World {
    /// Reports whether a controller forwards heartbeats to the leader at the moment.
    pub(super) fn may_forward(&self, i: usize) -> bool {
        let is_up =
            self.now >= self.faults.controller_down_until[i] && self.now >= self.faults.workers_unreachable_until[i];
        let reaches_peers = self.now >= self.faults.peers_unreachable_until[i];
        self.forwards_heartbeats && is_up && !self.has_lease(i) && reaches_peers
    }

    /// Forwards a heartbeat to a random other controller that has a leader lease, as far as that
    /// controller knows.
    pub(super) fn forward_heartbeat(&mut self, forwarder: usize, heartbeat: Heartbeat, request: u64) {
        let leaders: Vec<usize> = (0..3).filter(|i| *i != forwarder && self.has_lease(*i)).collect();
        if leaders.is_empty() {
            return;
        }
        let to = leaders[self.rng.usize(0..leaders.len())];
        if self.now < self.faults.peers_unreachable_until[to] {
            return;
        }
        let Some(term) = self.controllers[to].as_ref().map(|leader| leader.cluster.term) else { return };
        let message = self.forwarding[forwarder].forwarded_form(&heartbeat, term);
        self.send(Message::ForwardedHeartbeat(ForwardedRequest { forwarder, to, term, message, heartbeat, request }));
    }

    /// Handles a forwarded heartbeat at the leader, which accepts the heartbeat or requests it in
    /// full.
    pub(super) fn accept_forwarded_heartbeat(&mut self, forwarded: ForwardedRequest) {
        let ForwardedRequest { forwarder, to, term, message, heartbeat, request } = forwarded;
        let now = self.instant_at(self.now);
        if !self.has_lease(to) || !may_lead(self.cancellations_complete_as_of(to), &self.policy, now) {
            return;
        }
        let Some(leader) = self.controllers[to].as_mut().filter(|leader| leader.cluster.term == term) else { return };
        let is_full = message == ForwardedHeartbeat::Full;
        let reply = match &message {
            ForwardedHeartbeat::Full => leader.accept_heartbeat(&heartbeat, now),
            ForwardedHeartbeat::Unchanged(unchanged) if self.defect == InjectedDefect::AcceptAnyUnchangedHeartbeat => {
                // the heartbeat counts as new, however late it arrives
                let cluster = &mut leader.cluster;
                let last = cluster.machines.get(&unchanged.machine).map_or(0, |machine| machine.sequence);
                let new = Heartbeat { sequence: last + 1, ..heartbeat.clone() };
                let outcome = cluster.apply_heartbeat(&new, HeartbeatSource::Worker, now);
                (outcome != HeartbeatOutcome::Superseded).then(|| cluster.reply_to_heartbeat(&new, now))
            }
            ForwardedHeartbeat::Unchanged(unchanged) => leader.cluster.apply_unchanged(unchanged, now),
        };
        match reply {
            Some(reply) => {
                self.statistics.unchanged_forwarded += u32::from(!is_full);
                self.send_heartbeat_response(&heartbeat, request, reply);
                self.send(Message::ForwardingResponse { forwarder, term, heartbeat, accepted: true });
            }
            // a heartbeat that a newer one supersedes is dropped without a response
            None if is_full => {}
            None => self.send(Message::ForwardingResponse { forwarder, term, heartbeat, accepted: false }),
        }
    }
}
