//! Renewal of the leader's lease.
//!
//! The lease is counted from when the last successful renewal was *sent*, and is checked
//! whenever the leader acts, not by a timer.

use std::time::Instant;

use crate::controller::Controller;
use crate::leadership::lease::{lease_valid_until, LeaderLease};
use crate::leadership::step_down::StepDownReason;
use crate::state_store::client::StoreError;

impl Controller {
    /// Renews the lease until it expires, another controller leads, or the watch is stale.
    pub(super) async fn renew_lease(&self, lease: LeaderLease) -> StepDownReason {
        let limit = self.policy.renew * 2;
        // since when the lease is renewed while the watch shows too little to lead by
        let mut stale_since: Option<Instant> = None;
        loop {
            let sent = Instant::now();
            let pause = match self.store.renew(lease.lease_id, limit).await {
                Ok(()) => {
                    let now = Instant::now();
                    let may_lead = self.apply_renewal(sent, now);
                    stale_since = if may_lead { None } else { stale_since.or(Some(now)) };
                    if stale_since.is_some_and(|at| now.saturating_duration_since(at) > self.policy.ttl * 2) {
                        return StepDownReason::WatchStale;
                    }
                    self.policy.renew
                }
                Err(StoreError::NoLease) => return StepDownReason::LeaseExpired,
                // the lease may outlive an outage of the store: keep retrying
                Err(error) => {
                    tracing::debug!(%error, "lease renewal failed");
                    self.policy.renew / 4
                }
            };
            if self.is_superseded(lease) {
                return StepDownReason::Superseded;
            }
            smol::Timer::after(pause).await;
        }
    }

    /// Extends the lease by a renewal sent at `sent`; whether the watch allows leading on.
    fn apply_renewal(&self, sent: Instant, now: Instant) -> bool {
        let mut state = self.lock();
        if let Some(lease) = state.lease.as_mut() {
            lease.valid_until = lease_valid_until(sent, self.policy.ttl, self.policy.drift);
        }
        self.may_lead(&state, now)
    }

    /// Whether the watch shows a leader of a later term.
    fn is_superseded(&self, lease: LeaderLease) -> bool {
        let state = self.lock();
        state.leader.as_ref().is_some_and(|l| l.revision > lease.revision && l.record.term > lease.term)
    }
}
