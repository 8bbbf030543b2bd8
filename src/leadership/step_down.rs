//! Why a leader steps down, and when a controller may campaign for leadership again.

use std::time::{Duration, Instant};

/// Why a term ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StepDownReason {
    /// The state store no longer knows the leader's lease.
    #[error("lease expired")]
    LeaseExpired,
    /// The lease is renewed, but the watch shows too little to lead by.
    #[error("watch is stale although the lease is renewed")]
    WatchStale,
    /// The watch shows another leader of a later term.
    #[error("another controller leads")]
    Superseded,
    /// A transaction found another revision of the leader key.
    #[error("leader key changed")]
    LeaderKeyChanged,
    /// Heartbeats reach peers, but not this controller.
    #[error("no worker reaches this controller")]
    NoWorkerContact,
}

/// The time in which a controller that stepped down without worker contact does not campaign for
/// leadership.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepDownBackoff {
    started_at: Instant,
    expires_at: Instant,
}

impl StepDownBackoff {
    /// A backoff that starts now and lasts at most `limit`.
    pub(super) fn new(now: Instant, limit: Duration) -> StepDownBackoff {
        StepDownBackoff { started_at: now, expires_at: now + limit }
    }

    /// Whether the controller must not campaign for leadership yet.
    ///
    /// It waits for a heartbeat received here, or two isolated controllers would pass the lease
    /// to and fro; if no other controller is elected before the limit, it tries again anyway.
    pub(super) fn is_active(&self, last_heartbeat: Option<Instant>, now: Instant) -> bool {
        now < self.expires_at && last_heartbeat.is_none_or(|at| at < self.started_at)
    }
}

#[cfg(test)]
mod tests;
