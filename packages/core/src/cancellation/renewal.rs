//! Computes for how long a controller may renew leases, or lead, after its view of
//! cancellations was last complete.

use std::time::{Duration, Instant};

use crate::policy::Policy;

/// Returns for how long a controller may renew leases after its view of cancellations was last
/// complete; zero if it may not renew any.
///
/// A job that is cancelled after the view was complete must stop within `cancel`, measured by
/// the user's clock.  The last lease that the controller renews lasts `lease`, measured by the
/// worker's clock, which may run slow.  The worker notices the expiry within one `renew`.
///
/// With `notices_required`, every controller confirms cancellations through
/// [`CancellationNotices`](super::CancellationNotices).  While a controller that renews leases
/// may not know a cancellation, the cancellation is then confirmed no sooner than `cancel` after
/// it was stored.  The window is therefore extended by `cancel`, reduced by the possible clock
/// drift.
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
/// cancellations was last complete.
///
/// A leader does not rely on the expiry of leases alone: its stop commands reach the workers, and
/// its watch responds within two `ttl`.  If a worker's lease lasts longer than `cancel`, the
/// renewal window is zero, but a leader must still be able to lead.  The window is therefore at
/// least three `ttl`.
pub fn leadership_window(policy: &Policy) -> Duration {
    renewal_window(policy, false).max(policy.ttl * 3)
}

/// Reports whether a controller may renew leases if its view of cancellations was last complete
/// at `complete_as_of`; `None` means that the view never was complete.
pub fn may_renew(complete_as_of: Option<Instant>, notices_required: bool, policy: &Policy, now: Instant) -> bool {
    is_within(complete_as_of, renewal_window(policy, notices_required), now)
}

/// Reports whether a leader with a valid leadership lease may lead if its view of cancellations
/// was last complete at `complete_as_of`; `None` means that the view never was complete.
pub fn may_lead(complete_as_of: Option<Instant>, policy: &Policy, now: Instant) -> bool {
    is_within(complete_as_of, leadership_window(policy), now)
}

fn is_within(complete_as_of: Option<Instant>, window: Duration, now: Instant) -> bool {
    complete_as_of.is_some_and(|at| now.saturating_duration_since(at) < window)
}
