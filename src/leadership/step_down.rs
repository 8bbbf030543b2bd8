//! Reasons for which a leader steps down, and the backoff before it campaigns again.

use std::time::{Duration, Instant};

/// Why a leader's term ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StepDownReason {
    /// The state service no longer has the leader's lease.
    #[error("the leader's lease expired in the state service")]
    LeaseExpired,
    /// The lease is renewed, but the view from the watch is too old to lead.
    #[error("the watch of the state service is stale although the lease is renewed")]
    WatchStale,
    /// The watch has shown another leader of a later term.
    #[error("another controller leads a later term")]
    Superseded,
    /// A transaction failed because the leader key has another revision.
    #[error("the leader key has changed in the state service")]
    LeaderKeyChanged,
    /// No heartbeat reaches this controller, while heartbeats reach peers or no peer responds.
    #[error("no heartbeats of workers reach this controller")]
    NoWorkerContact,
}

/// The time in which a controller does not campaign for leadership, after it stepped down because
/// no heartbeats reached it.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepDownBackoff {
    started_at: Instant,
    expires_at: Instant,
}

impl StepDownBackoff {
    /// Creates a backoff that starts at `now` and lasts at most `max_duration`.
    pub(super) fn new(now: Instant, max_duration: Duration) -> StepDownBackoff {
        StepDownBackoff { started_at: now, expires_at: now + max_duration }
    }

    /// Reports whether the controller must not campaign for leadership yet.
    ///
    /// The controller waits until it receives a heartbeat, because otherwise two isolated
    /// controllers would alternate as leaders.  If no other controller is elected until the backoff
    /// expires, it campaigns again anyway.
    pub(super) fn is_active(&self, last_heartbeat: Option<Instant>, now: Instant) -> bool {
        now < self.expires_at && last_heartbeat.is_none_or(|at| at < self.started_at)
    }
}

#[cfg(test)]
mod tests;
