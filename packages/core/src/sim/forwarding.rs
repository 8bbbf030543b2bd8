//! Heartbeats that reach the leader through another controller.

use super::*;
use crate::cancellation::may_lead;

impl World {
    /// Whether a heartbeat that comes to a controller goes on to the leader.
    pub(super) fn may_forward(&self, i: usize) -> bool {
        let leads = self.controllers[i].as_ref().is_some_and(|c| self.now < c.until);
        let up = self.now >= self.down_until[i] && self.now >= self.workers_unreachable_until[i];
        self.forwards_heartbeats && up && !leads && self.now >= self.peers_unreachable_until[i]
    }

    /// Sends a heartbeat on to whoever leads by what is known there, which may be old.
    pub(super) fn forward_heartbeat(&mut self, by: usize, heartbeat: Heartbeat, number: u64) {
        let believes = |c: &Option<Controller>| c.as_ref().is_some_and(|c| self.now < c.until);
        let leaders: Vec<usize> = (0..3).filter(|i| *i != by && believes(&self.controllers[*i])).collect();
        if leaders.is_empty() {
            return;
        }
        let to = leaders[self.rng.usize(0..leaders.len())];
        if self.now < self.peers_unreachable_until[to] {
            return;
        }
        let Some(term) = self.controllers[to].as_ref().map(|c| c.cluster.term) else { return };
        let message = self.forwarding[by].message(&heartbeat, term);
        self.send(Message::ForwardedHeartbeat { by, term, to, message, heartbeat, number });
    }

    /// The leader takes a forwarded heartbeat, in full or as a sign of incarnation.
    pub(super) fn accept_forwarded_heartbeat(
        &mut self,
        by: usize,
        term: u64,
        to: usize,
        message: ForwardedHeartbeat,
        heartbeat: Heartbeat,
        number: u64,
    ) {
        let now = self.at(self.now);
        let cancellations_complete_as_of = self.cancellations_complete_as_of(to);
        let leads = may_lead(cancellations_complete_as_of, &self.policy, now);
        let careless = self.defect == InjectedDefect::AcceptAnyUnchangedHeartbeat;
        let acts = |c: &&mut Controller| self.now < c.until && c.cluster.term == term;
        let Some(c) = self.controllers[to].as_mut().filter(acts).filter(|_| leads) else { return };
        let answer = match &message {
            ForwardedHeartbeat::Full => {
                if c.cluster.apply_heartbeat(&heartbeat, true, now).is_none() {
                    return;
                }
                if c.cluster.queue_changed {
                    c.unmet_demand = c.cluster.run_placement_pass(now);
                }
                Some(c.cluster.reply_to_heartbeat(&heartbeat, now))
            }
            // taken for news, however late it comes
            ForwardedHeartbeat::UnchangedHeartbeat(u) if careless => {
                let last = c.cluster.machines.get(&u.machine).map_or(0, |m| m.sequence);
                let news = Heartbeat { sequence: last + 1, ..heartbeat.clone() };
                c.cluster.apply_heartbeat(&news, true, now).map(|_| c.cluster.reply_to_heartbeat(&news, now))
            }
            ForwardedHeartbeat::UnchangedHeartbeat(u) => c.cluster.apply_unchanged(u, now),
        };
        let Some(answer) = answer else {
            return self.send(Message::ForwardingResponse { by, term, heartbeat, cancellations_complete_as_of: false });
        };
        self.unchanged_forwarded += u32::from(message != ForwardedHeartbeat::Full);
        self.send_heartbeat_response(&heartbeat, number, answer);
        self.send(Message::ForwardingResponse { by, term, heartbeat, cancellations_complete_as_of: true });
    }
}
