//! For how long a controller may renew leases, or lead, after its knowledge of cancellations
//! was last complete.

use std::time::{Duration, Instant};

use crate::policy::Policy;

/// Returns for how long leases may be renewed after the view of cancellations was complete.
///
/// A job that is cancelled after that moment must have stopped within `cancel` by the user's
/// clock.  A lease that is renewed last lasts `lease` by the worker's clock, which may run
/// slow, and the worker notices its expiry within one `renew`.
///
/// With `notices_required`, every controller confirms cancellations through
/// [`CancellationNotices`](super::CancellationNotices).  As long as a controller that renews
/// leases may not know a cancellation, it is then confirmed no sooner than `cancel`
/// after it was stored, and the window is longer by that time.
pub fn renewal_window(policy: &Policy, notices_required: bool) -> Duration {
    let lease_expiry = policy.lease.mul_f64(1.0 + 2.0 * policy.drift) + policy.renew;
    let cancel_limit = policy.cancel.mul_f64(1.0 - 2.0 * policy.drift);
    let window = cancel_limit.saturating_sub(lease_expiry);
    if notices_required && !window.is_zero() {
        window + cancel_limit
    } else {
        window
    }
}

/// Returns for how long a leader with a valid leadership lease may lead after its view of
/// cancellations was complete.
///
/// Its stop commands reach the workers, and the watch responds to it within two `ttl`.  Where
/// a worker's lease lasts longer than `cancel`, no window is short enough, and yet a leader
/// has to be able to lead: hence the minimum of three `ttl`.
pub fn leadership_window(policy: &Policy) -> Duration {
    renewal_window(policy, false).max(policy.ttl * 3)
}

/// Whether a controller may renew leases whose view of cancellations was last complete at
/// `complete_as_of`.
pub fn may_renew(complete_as_of: Option<Instant>, notices_required: bool, policy: &Policy, now: Instant) -> bool {
    is_within(complete_as_of, renewal_window(policy, notices_required), now)
}

/// Whether a leader with a valid leadership lease may lead whose view of cancellations was
/// last complete at `complete_as_of`.
pub fn may_lead(complete_as_of: Option<Instant>, policy: &Policy, now: Instant) -> bool {
    is_within(complete_as_of, leadership_window(policy), now)
}

fn is_within(complete_as_of: Option<Instant>, window: Duration, now: Instant) -> bool {
    complete_as_of.is_some_and(|at| now.saturating_duration_since(at) < window)
}
