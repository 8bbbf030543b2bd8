//! The right to act, and when a leader gives it up: plain functions of state
//! and `now`.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::policy::Policy;

/// The value of the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Controller.
    pub name: String,
    /// Term.
    pub term: u64,
}

/// The right to act.
#[derive(Debug, Clone, Copy)]
pub struct LeaderLease {
    /// Term.
    pub term: u64,
    /// Stamp of the leader key.
    pub revision: u64,
    /// Lease.
    pub lease_id: u64,
    /// Until when it lasts.
    pub valid_until: Instant,
    /// Until when not to hand over for deafness again.
    pub started_at: Instant,
}

/// Until when a lease that was asked for at `sent` can be relied on.
pub fn lease_valid_until(sent: Instant, ttl: Duration, drift: f64) -> Instant {
    // our clock may run slow against the service's by the drift of both
    sent + ttl.mul_f64(1.0 - 2.0 * drift)
}

/// What a leader that hears no worker has learned of why.
#[derive(Debug, Default)]
pub struct WorkerContact {
    /// When a sibling first heard a worker after the last one came here.
    peer_contact_at: Option<Instant>,
}

impl WorkerContact {
    /// Whether to hand over.  `last`: a worker was last heard here; `elsewhere`:
    /// at a sibling; `answered`: siblings answer at all.  A sibling sends a
    /// worker here, and it comes within half a second: one that has not come
    /// cannot.  Where nobody can be asked, only a long silence tells.
    pub fn is_lost(
        &mut self,
        last: Instant,
        elsewhere: Option<Instant>,
        answered: bool,
        p: &Policy,
        now: Instant,
    ) -> bool {
        let silence = now.saturating_duration_since(last);
        if silence < p.deaf {
            return false;
        }
        if !answered {
            return silence > p.deaf_alone;
        }
        // what was told of an earlier silence says nothing of this one
        self.peer_contact_at = self.peer_contact_at.filter(|t| *t > last).or(elsewhere.filter(|t| *t > last));
        self.peer_contact_at.is_some_and(|t| now.saturating_duration_since(t) > p.deaf / 2)
    }
}

/// What a controller that nobody seems to answer knows of who reaches it: how long
/// ago each was last heard, if ever.
#[derive(Debug, Clone, Copy)]
pub struct PartitionSuspicion {
    /// Since the state service last carried out anything.
    pub since_store_answer: Duration,
    /// The state service or a sibling answers, be it with a refusal.
    pub any_answer: bool,
    /// Since a worker of another zone came.
    pub since_remote_zone_heartbeat: Option<Duration>,
    /// Since a user came, or a probe for them.
    pub since_user_request: Option<Duration>,
}

impl PartitionSuspicion {
    /// Whether it is its zone that is cut off, not it alone: nobody from outside
    /// has come for so long.  PartitionSuspicion off alone, it would keep its zone's workers from
    /// a leader whom they reach.
    pub fn includes_own_zone(&self, after: Duration) -> bool {
        let quiet = |t: Option<Duration>| t.is_none_or(|t| t > after);
        self.since_store_answer >= after
            && !self.any_answer
            && quiet(self.since_remote_zone_heartbeat)
            && quiet(self.since_user_request)
    }
}

/// Why a leader that no worker reaches hands over.
pub const NO_WORKERS: &str = "hears no worker";

#[cfg(test)]
mod tests;
