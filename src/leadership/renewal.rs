//! Renewal of the leader's lease.
//!
//! The validity of the lease counts from when the last successful renewal was *sent*.  The leader
//! checks the validity before each action, not by a timer.

use std::time::Instant;

use crate::controller::Controller;
use crate::leadership::lease::{lease_valid_until, LeaderLease};
use crate::leadership::step_down::StepDownReason;
use crate::state_store::client::StoreError;

impl Controller {
    /// Renews the lease until it expires, another controller leads, or the watch has been stale for
    /// too long; returns the reason.
    pub(super) async fn renew_lease(&self, lease: LeaderLease) -> StepDownReason {
        let timeout = self.policy.renew * 2;
        // When the lease was first renewed while the view from the watch was too old to lead.
        let mut stale_since: Option<Instant> = None;
        loop {
            let sent_at = Instant::now();
            let delay = match self.store.renew(lease.lease_id, timeout).await {
                Ok(()) => {
                    let now = Instant::now();
                    let may_lead = self.apply_renewal(sent_at, now);
                    stale_since = if may_lead { None } else { stale_since.or(Some(now)) };
                    if stale_since.is_some_and(|at| now.saturating_duration_since(at) > self.policy.ttl * 2) {
                        return StepDownReason::WatchStale;
                    }
                    self.policy.renew
                }
                Err(StoreError::NoLease) => return StepDownReason::LeaseExpired,
                // The lease may outlive an outage of the store, so the renewal is retried.
                Err(error) => {
                    tracing::debug!(%error, "lease renewal failed, retrying");
                    self.policy.renew / 4
                }
            };
            if self.is_superseded(lease) {
                return StepDownReason::Superseded;
            }
            smol::Timer::after(delay).await;
        }
    }

    /// Extends the lease by a renewal sent at `sent_at`; reports whether the view from the watch is
    /// recent enough to continue as leader.
    fn apply_renewal(&self, sent_at: Instant, now: Instant) -> bool {
        let mut state = self.lock();
        if let Some(lease) = state.lease.as_mut() {
            lease.valid_until = lease_valid_until(sent_at, self.policy.ttl, self.policy.drift);
        }
        self.may_lead(&state, now)
    }

    /// Reports whether the watch has shown a leader of a later term.
    fn is_superseded(&self, lease: LeaderLease) -> bool {
        let state = self.lock();
        state.leader.as_ref().is_some_and(|l| l.revision > lease.revision && l.record.term > lease.term)
    }
}
