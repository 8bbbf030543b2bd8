//! The load balancer's choice of a controller, by health and open connections.
//!
//! It works at connection level.  What users upload beside their submissions is read off the copied
//! bytes by [`SubmissionReader`].

mod submission_reader;

use std::time::{Duration, Instant};

pub use self::submission_reader::SubmissionReader;

/// First pause of a controller that became unhealthy; each further one is twice as long, up to the
/// longest.
const FIRST_PAUSE: Duration = Duration::from_secs(3);
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// The pause is doubled if the controller became unhealthy within so long of the last time.
const PAUSE_MEMORY: Duration = Duration::from_secs(120);
/// Failed connections in a row after which a controller is skipped, and for how long.
const SKIP_AFTER_FAILURES: u32 = 3;
const SKIP_TIME: Duration = Duration::from_secs(3);
/// Bits of the last two and of the last six probes.
const LAST_TWO: u8 = 0b11;
const LAST_SIX: u8 = 0b11_1111;
/// Failures among the last six probes with which a controller becomes unhealthy.
const MAX_FAILED_PROBES: u32 = 3;

/// A controller as the balancer sees it.
#[derive(Debug, Clone)]
struct Backend {
    /// Open connections.
    open: usize,
    is_healthy: bool,
    was_ever_healthy: bool,
    /// The last six probes, the newest in the lowest bit; 1 for a failure.
    failed_probes: u8,
    unhealthy_since: Option<Instant>,
    /// How long it stays unhealthy at least.
    pause: Duration,
    /// Failed connections in a row.
    failed_connections: u32,
    skip_until: Option<Instant>,
}

impl Backend {
    fn new() -> Backend {
        Backend {
            open: 0,
            is_healthy: false,
            was_ever_healthy: false,
            failed_probes: 0,
            unhealthy_since: None,
            pause: FIRST_PAUSE / 2,
            failed_connections: 0,
            skip_until: None,
        }
    }

    fn record_probe(&mut self, succeeded: bool, now: Instant) {
        self.failed_probes = (self.failed_probes << 1 | u8::from(!succeeded)) & LAST_SIX;
        if self.is_healthy {
            let both_failed = self.failed_probes & LAST_TWO == LAST_TWO;
            if both_failed || self.failed_probes.count_ones() >= MAX_FAILED_PROBES {
                self.mark_unhealthy(now);
            }
        } else if succeeded && self.may_return(now) {
            self.is_healthy = true;
            self.was_ever_healthy = true;
            self.failed_probes = 0;
        }
    }

    fn mark_unhealthy(&mut self, now: Instant) {
        self.is_healthy = false;
        let is_again = self.unhealthy_since.is_some_and(|at| now.saturating_duration_since(at) < PAUSE_MEMORY);
        self.pause = if is_again { (self.pause * 2).min(MAX_PAUSE) } else { FIRST_PAUSE };
        self.unhealthy_since = Some(now);
    }

    /// Whether a successful probe makes it healthy: the first one of all does; later, two in a row
    /// after the pause.
    fn may_return(&self, now: Instant) -> bool {
        let pause_is_over = self.unhealthy_since.is_none_or(|since| now.saturating_duration_since(since) >= self.pause);
        !self.was_ever_healthy || (self.failed_probes & LAST_TWO == 0 && pause_is_over)
    }

    fn record_connection(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            self.open += 1;
            self.failed_connections = 0;
            return;
        }
        self.failed_connections += 1;
        if self.failed_connections >= SKIP_AFTER_FAILURES {
            self.failed_connections = 0;
            self.skip_until = Some(now + SKIP_TIME);
        }
    }

    fn takes_connections(&self, now: Instant) -> bool {
        self.is_healthy && self.skip_until.is_none_or(|until| until <= now)
    }
}

/// What the balancer knows of the controllers.
#[derive(Debug, Clone)]
pub struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    /// Creates a balancer for so many controllers, of which it knows nothing yet.
    pub fn new(controllers: usize) -> Balancer {
        Balancer { backends: (0..controllers).map(|_| Backend::new()).collect() }
    }

    /// Whether a controller is healthy.
    pub fn is_healthy(&self, index: usize) -> bool {
        self.backends.get(index).is_some_and(|backend| backend.is_healthy)
    }

    /// Records the result of a health probe.
    pub fn record_probe(&mut self, index: usize, succeeded: bool, now: Instant) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.record_probe(succeeded, now);
        }
    }

    /// Chooses a controller for a new connection, the one with the fewest open ones among those that
    /// were not tried; `None` if there is none.
    pub fn choose(&self, tried: &[usize], now: Instant) -> Option<usize> {
        let candidates = self.backends.iter().enumerate();
        let candidates = candidates.filter(|(index, backend)| backend.takes_connections(now) && !tried.contains(index));
        candidates.min_by_key(|(_, backend)| backend.open).map(|(index, _)| index)
    }

    /// Records whether a connection to a controller was made.
    pub fn record_connection(&mut self, index: usize, succeeded: bool, now: Instant) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.record_connection(succeeded, now);
        }
    }

    /// Records that a connection ended.
    pub fn record_close(&mut self, index: usize) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.open = backend.open.saturating_sub(1);
        }
    }
}

#[cfg(test)]
mod tests;
