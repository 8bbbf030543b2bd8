//! The leader's record and lease, and the calculation of how long a lease is valid.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The value stored under the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading controller.
    pub name: String,
    /// Term of this leader.  Each election increases the term by one.
    pub term: u64,
}

/// The lease by which a controller may act as the leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderLease {
    /// Term for which the controller was elected.
    pub term: u64,
    /// Revision of the leader key; every write of the term has this revision as a precondition.
    pub revision: u64,
    /// ID of the lease in the state service to which the leader key is attached.
    pub lease_id: u64,
    /// From this time on the controller must not act as the leader.
    pub valid_until: Instant,
}

/// Returns until when a lease is certainly valid whose grant or renewal was sent at `sent_at`.
///
/// `drift` is the largest relative error of one clock, for example 0.001 for one millisecond a
/// second.
pub fn lease_valid_until(sent_at: Instant, ttl: Duration, drift: f64) -> Instant {
    // The controller's clock may run slow while the state service's runs fast, so the errors
    // add up.
    sent_at + ttl.mul_f64(1.0 - 2.0 * drift)
}

#[cfg(test)]
mod tests;
