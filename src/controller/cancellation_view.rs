//! Decisions that depend on how recent a controller's view of cancellations is.

use std::time::Instant;

use coralnotch_core::cancellation::{may_lead, may_renew};

use super::{Controller, ControllerState};

impl Controller {
    /// Returns the time up to which this controller knows every cancellation that was confirmed to
    /// a user; `None` if there is no such time yet.
    pub fn cancellations_complete_as_of(&self, state: &ControllerState) -> Option<Instant> {
        state.cancellation_view.complete_as_of(self.config.peers.iter().map(|peer| peer.name.as_str()))
    }

    /// Reports whether every controller confirms a cancellation to its user only when all
    /// controllers know it.  That holds once this controller has known for `cancel` that the
    /// feature is enabled.
    ///
    /// A controller that does not know yet that the feature is enabled has an older view than any
    /// on which such a confirmation relies.
    pub fn notices_required(&self, state: &ControllerState, now: Instant) -> bool {
        state.notices_enabled_at.is_some_and(|at| now.saturating_duration_since(at) >= self.policy.cancel)
    }

    /// Reports whether the view of cancellations is recent enough to renew workers' leases without
    /// leading.
    pub fn may_renew(&self, state: &ControllerState, now: Instant) -> bool {
        let complete_as_of = self.cancellations_complete_as_of(state);
        may_renew(complete_as_of, self.notices_required(state, now), &self.policy, now)
    }

    /// Reports whether this controller leads and its view of cancellations is recent enough to
    /// continue.
    pub fn may_lead(&self, state: &ControllerState, now: Instant) -> bool {
        state.is_leader(now) && may_lead(self.cancellations_complete_as_of(state), &self.policy, now)
    }
}
