//! The leader's record and its lease: plain values, and until when a lease can be relied on.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The value of the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading controller.
    pub name: String,
    /// Its term.
    pub term: u64,
}

/// A controller's own right to act as leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderLease {
    /// Term.
    pub term: u64,
    /// Revision of the leader key; every write of the term is conditional on it.
    pub revision: u64,
    /// Lease on which the leader key depends.
    pub lease_id: u64,
    /// The controller must not act from this time on.
    pub valid_until: Instant,
}

/// Until when a lease can be relied on whose grant or renewal was sent at `sent`.
///
/// `drift` is the largest relative error of one clock.
pub fn lease_valid_until(sent: Instant, ttl: Duration, drift: f64) -> Instant {
    // this clock may run slow and the store's fast: both errors add up
    sent + ttl.mul_f64(1.0 - 2.0 * drift)
}

#[cfg(test)]
mod tests;
