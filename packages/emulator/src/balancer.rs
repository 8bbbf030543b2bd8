//! The load balancer's choice of a controller by health and number of open connections.
//!
//! The balancer works at connection level.  Users also upload the specs of their jobs for the
//! workers; [`SubmissionReader`] extracts these from the forwarded bytes.

mod submission_reader;

use std::time::{Duration, Instant};

pub use self::submission_reader::SubmissionReader;

/// Minimum time for which a controller stays unhealthy, unless that time is doubled.
const INITIAL_EJECTION_TIME: Duration = Duration::from_secs(3);
/// Upper bound of the doubled ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// The ejection time doubles if a controller becomes unhealthy again within this time after it last
/// became unhealthy, and returns to its initial value otherwise.
const EJECTION_TIME_RESET: Duration = Duration::from_secs(120);
/// Number of consecutive failed connections after which a controller is skipped.
const MAX_FAILED_CONNECTIONS: u32 = 3;
/// Time for which a controller is skipped after failed connections.
const SKIP_DURATION: Duration = Duration::from_secs(3);
/// Mask of the last two probes in [`Backend::failed_probes`].
const LAST_TWO_PROBES: u8 = 0b11;
/// Mask of the last six probes in [`Backend::failed_probes`].
const LAST_SIX_PROBES: u8 = 0b11_1111;
/// Number of failures among the last six probes that makes a controller unhealthy.
const MAX_FAILED_PROBES: u32 = 3;

/// Health and connections of one controller.
#[derive(Debug, Clone)]
struct Backend {
    /// Number of open connections.
    open_connections: usize,
    is_healthy: bool,
    was_ever_healthy: bool,
    /// Results of the last six probes, the newest in the lowest bit; a set bit is a failure.
    failed_probes: u8,
    unhealthy_since: Option<Instant>,
    /// Minimum time for which the controller stays unhealthy after it became so.
    ejection_time: Duration,
    /// Number of consecutive failed connections.
    failed_connections: u32,
    skip_until: Option<Instant>,
}

impl Backend {
    fn new() -> Backend {
        Backend {
            open_connections: 0,
            is_healthy: false,
            was_ever_healthy: false,
            failed_probes: 0,
            unhealthy_since: None,
            ejection_time: INITIAL_EJECTION_TIME / 2,
            failed_connections: 0,
            skip_until: None,
        }
    }

    fn record_probe(&mut self, succeeded: bool, now: Instant) {
        self.failed_probes = (self.failed_probes << 1 | u8::from(!succeeded)) & LAST_SIX_PROBES;
        if self.is_healthy {
            let both_failed = self.failed_probes & LAST_TWO_PROBES == LAST_TWO_PROBES;
            if both_failed || self.failed_probes.count_ones() >= MAX_FAILED_PROBES {
                self.mark_unhealthy(now);
            }
        } else if succeeded && self.may_become_healthy(now) {
            self.is_healthy = true;
            self.was_ever_healthy = true;
            self.failed_probes = 0;
        }
    }

    fn mark_unhealthy(&mut self, now: Instant) {
        self.is_healthy = false;
        let is_repeated =
            self.unhealthy_since.is_some_and(|at| now.saturating_duration_since(at) < EJECTION_TIME_RESET);
        self.ejection_time =
            if is_repeated { (self.ejection_time * 2).min(MAX_EJECTION_TIME) } else { INITIAL_EJECTION_TIME };
        self.unhealthy_since = Some(now);
    }

    /// Reports whether a successful probe makes the controller healthy.  The very first success does;
    /// later on, the ejection time must have passed and the last two probes must have succeeded.
    fn may_become_healthy(&self, now: Instant) -> bool {
        let ejection_is_over =
            self.unhealthy_since.is_none_or(|since| now.saturating_duration_since(since) >= self.ejection_time);
        !self.was_ever_healthy || (self.failed_probes & LAST_TWO_PROBES == 0 && ejection_is_over)
    }

    fn record_connection(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            self.open_connections += 1;
            self.failed_connections = 0;
            return;
        }
        self.failed_connections += 1;
        if self.failed_connections >= MAX_FAILED_CONNECTIONS {
            self.failed_connections = 0;
            self.skip_until = Some(now + SKIP_DURATION);
        }
    }

    fn accepts_connections(&self, now: Instant) -> bool {
        self.is_healthy && self.skip_until.is_none_or(|until| until <= now)
    }
}

/// Health and open connections of all controllers, by index.
#[derive(Debug, Clone)]
pub struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    /// Creates a balancer for this number of controllers, all unhealthy until their first successful
    /// probe.
    pub fn new(controllers: usize) -> Balancer {
        Balancer { backends: (0..controllers).map(|_| Backend::new()).collect() }
    }

    /// Reports whether a controller is healthy.
    pub fn is_healthy(&self, index: usize) -> bool {
        self.backends.get(index).is_some_and(|backend| backend.is_healthy)
    }

    /// Records the result of a health probe.
    pub fn record_probe(&mut self, index: usize, succeeded: bool, now: Instant) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.record_probe(succeeded, now);
        }
    }

    /// Chooses the controller with the fewest open connections among those that accept connections
    /// and are not in `tried`; returns `None` if there is no such controller.
    pub fn choose(&self, tried: &[usize], now: Instant) -> Option<usize> {
        let candidates = self.backends.iter().enumerate();
        let candidates =
            candidates.filter(|(index, backend)| backend.accepts_connections(now) && !tried.contains(index));
        candidates.min_by_key(|(_, backend)| backend.open_connections).map(|(index, _)| index)
    }

    /// Records whether an attempt to connect to a controller succeeded.
    pub fn record_connection(&mut self, index: usize, succeeded: bool, now: Instant) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.record_connection(succeeded, now);
        }
    }

    /// Records that a connection to a controller was closed.
    pub fn record_close(&mut self, index: usize) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.open_connections = backend.open_connections.saturating_sub(1);
        }
    }
}

#[cfg(test)]
mod tests;
