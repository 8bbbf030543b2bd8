//! Network isolation of a controller: whether a leader has lost its workers, and whether a
//! controller without answers is cut off alone or together with its zone.  Plain functions of
//! state and `now`.

use std::time::{Duration, Instant};

use crate::policy::Policy;

/// What a leader that receives no heartbeats has found out about the cause.
#[derive(Debug, Default)]
pub struct WorkerContact {
    /// When a peer first received a heartbeat after the last one received here.
    peer_contact_at: Option<Instant>,
}

impl WorkerContact {
    /// Whether the leader has lost contact with its workers and must step down.
    ///
    /// `last` is the time of the last heartbeat received here, `last_at_peer` of the last one
    /// received by a peer; `peers_answer` says whether any peer answers.  A peer redirects a
    /// worker to the leader, where it arrives within half a second: a worker that has not
    /// arrived by then cannot reach this controller.  If no peer can be asked, only a long time
    /// without heartbeats counts.
    pub fn is_lost(
        &mut self,
        last: Instant,
        last_at_peer: Option<Instant>,
        peers_answer: bool,
        policy: &Policy,
        now: Instant,
    ) -> bool {
        let without_heartbeat = now.saturating_duration_since(last);
        if without_heartbeat < policy.deaf {
            return false;
        }
        if !peers_answer {
            return without_heartbeat > policy.deaf_alone;
        }
        // what a peer reported before the last heartbeat says nothing of the time since
        let after_last = |at: &Instant| *at > last;
        self.peer_contact_at = self.peer_contact_at.filter(after_last).or(last_at_peer.filter(after_last));
        self.peer_contact_at.is_some_and(|at| now.saturating_duration_since(at) > policy.deaf / 2)
    }
}

/// What a controller without answers from the state store knows of who still reaches it.
#[derive(Debug, Clone, Copy)]
pub struct PartitionSuspicion {
    /// Time since the state store last carried out a request.
    pub since_store_answer: Duration,
    /// The state store or a peer answers, even if only with a refusal.
    pub any_answer: bool,
    /// Time since the last heartbeat from a worker of another zone, if there was one.
    pub since_remote_zone_heartbeat: Option<Duration>,
    /// Time since the last request from a user or a load balancer's probe, if there was one.
    pub since_user_request: Option<Duration>,
}

impl PartitionSuspicion {
    /// Whether the whole zone is partitioned off rather than this controller alone: nobody
    /// outside the zone has reached it for longer than `after`.
    ///
    /// A controller that is cut off alone must not take the zone for partitioned: it would keep
    /// the zone's workers from a leader that they can reach.
    pub fn includes_own_zone(&self, after: Duration) -> bool {
        let exceeds = |since: Option<Duration>| since.is_none_or(|since| since > after);
        self.since_store_answer >= after
            && !self.any_answer
            && exceeds(self.since_remote_zone_heartbeat)
            && exceeds(self.since_user_request)
    }
}

#[cfg(test)]
mod tests;
