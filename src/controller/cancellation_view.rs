//! How complete a controller's view of cancellations is, and what it may do with that view.

use std::time::Instant;

use coralnotch_core::cancellation::{may_lead, may_renew};

use super::{Controller, ControllerState};

impl Controller {
    /// The time up to which every cancellation that was confirmed to a user is known here.
    pub fn cancellations_complete_as_of(&self, state: &ControllerState) -> Option<Instant> {
        state.cancellation_view.complete_as_of(self.config.peers.iter().map(|peer| peer.name.as_str()))
    }

    /// Whether all controllers confirm cancellations to users only when all know of them.
    ///
    /// A controller that does not know that the feature is enabled has a view that is older than
    /// any on which a cancellation is confirmed that way.
    pub fn notices_required(&self, state: &ControllerState, now: Instant) -> bool {
        state.notices_enabled_at.is_some_and(|at| now.saturating_duration_since(at) >= self.policy.cancel)
    }

    /// Whether the view of cancellations is recent enough to renew workers' leases by it alone.
    pub fn may_renew(&self, state: &ControllerState, now: Instant) -> bool {
        let complete_as_of = self.cancellations_complete_as_of(state);
        may_renew(complete_as_of, self.notices_required(state, now), &self.policy, now)
    }

    /// Whether this controller leads, and its view is recent enough to continue.
    pub fn may_lead(&self, state: &ControllerState, now: Instant) -> bool {
        state.is_leader(now) && may_lead(self.cancellations_complete_as_of(state), &self.policy, now)
    }
}
