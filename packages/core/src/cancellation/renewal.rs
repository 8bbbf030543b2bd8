//! For how long leases may be renewed on what a controller knows of cancellations.

use std::time::{Duration, Instant};

use crate::policy::Policy;

/// For how long leases may be renewed on a picture of ends, from when it was whole:
/// what is withdrawn from then on has to be gone within `cancel` by the users'
/// clocks, and a lease that is renewed last lasts `lease` by the worker's, which may
/// run slow; a worker notices the end of its lease within a `renew`.
///
/// `told`: every controller keeps to [`CancellationNotices`].  A user is told then no sooner than
/// `cancel` after the end was stored, if a controller that renews may not know it.
pub fn renewal_window(p: &Policy, told: bool) -> Duration {
    let needs = p.lease.mul_f64(1.0 + 2.0 * p.drift) + p.renew;
    let from_telling = p.cancel.mul_f64(1.0 - 2.0 * p.drift).saturating_sub(needs);
    match told && !from_telling.is_zero() {
        true => from_telling + p.cancel.mul_f64(1.0 - 2.0 * p.drift),
        false => from_telling,
    }
}

/// The same for a leader whose lease is served: its stops reach the workers, and the
/// watch answers it within two `ttl`.  Where a worker's lease outlasts `cancel` no
/// bound helps, and a leader has to be able to lead.
pub fn leadership_window(p: &Policy) -> Duration {
    renewal_window(p, false).max(p.ttl * 3)
}

/// Whether a picture that is whole since then is young enough to renew leases on,
/// nobody else's word being had.
pub fn may_renew(whole: Option<Instant>, told: bool, p: &Policy, now: Instant) -> bool {
    whole.is_some_and(|t| now.saturating_duration_since(t) < renewal_window(p, told))
}

/// Whether it is young enough for a leader whose lease is served.
pub fn may_lead(whole: Option<Instant>, p: &Policy, now: Instant) -> bool {
    whole.is_some_and(|t| now.saturating_duration_since(t) < leadership_window(p))
}
