//! Detection of network isolation: whether a leader has lost contact with its workers, and whether
//! a controller that gets no responses is isolated alone or partitioned together with its zone.
//! The results depend only on the given state and `now`.

use std::time::{Duration, Instant};

use crate::policy::Policy;

/// Decides whether a leader that receives no heartbeats has lost contact with its workers.
#[derive(Debug, Default)]
pub struct WorkerContact {
    /// When a peer first received a heartbeat after the last one that this leader received.
    peer_contact_at: Option<Instant>,
}

impl WorkerContact {
    /// Reports whether the leader has lost contact with its workers and must step down.
    ///
    /// `last_heartbeat` is when the leader last received a heartbeat, `last_at_peer` when a peer
    /// last did, and `peers_reachable` says whether any peer responds.  A peer redirects a worker
    /// to the leader, which the worker reaches within half a second.  A worker that has not reached
    /// the leader within half of `deaf` cannot reach it.  If no peer responds, the leader steps
    /// down after `deaf_alone` without heartbeats.
    pub fn is_lost(
        &mut self,
        last_heartbeat: Instant,
        last_at_peer: Option<Instant>,
        peers_reachable: bool,
        policy: &Policy,
        now: Instant,
    ) -> bool {
        let since_heartbeat = now.saturating_duration_since(last_heartbeat);
        if since_heartbeat < policy.deaf {
            return false;
        }
        if !peers_reachable {
            return since_heartbeat > policy.deaf_alone;
        }
        // A heartbeat that a peer received before the leader's last one does not indicate a loss of
        // contact since.
        let is_after_last = |at: &Instant| *at > last_heartbeat;
        self.peer_contact_at = self.peer_contact_at.filter(is_after_last).or(last_at_peer.filter(is_after_last));
        self.peer_contact_at.is_some_and(|at| now.saturating_duration_since(at) > policy.deaf / 2)
    }
}

/// What a controller that gets no responses from the state service knows about who still reaches
/// it.
#[derive(Debug, Clone, Copy)]
pub struct PartitionSuspicion {
    /// Time since the state service last served a request of this controller.
    pub since_store_response: Duration,
    /// Whether the state service or a peer responds, even if only with an error status.
    pub any_response: bool,
    /// Time since the last heartbeat from a worker in another zone; `None` if there was none.
    pub since_remote_zone_heartbeat: Option<Duration>,
    /// Time since the last request from a user or the last probe from a load balancer; `None` if
    /// there was none.
    pub since_user_request: Option<Duration>,
}

impl PartitionSuspicion {
    /// Reports whether the whole zone, rather than this controller alone, is partitioned from the
    /// others: for longer than `after`, the state service has served nothing, nothing outside the
    /// zone has reached this controller, and no peer responds.
    ///
    /// A controller that is isolated alone must not assume a partition of its zone, or it would
    /// keep the zone's workers from a leader that they can reach.
    pub fn includes_own_zone(&self, after: Duration) -> bool {
        let exceeds = |since: Option<Duration>| since.is_none_or(|since| since > after);
        self.since_store_response >= after
            && !self.any_response
            && exceeds(self.since_remote_zone_heartbeat)
            && exceeds(self.since_user_request)
    }
}

#[cfg(test)]
mod tests;
