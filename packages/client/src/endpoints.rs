//! Chooses among endpoints: the same one while it works, the next when it fails,
//! and none whose circuit breaker is open.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Consecutive failures that open an endpoint's circuit breaker.
const FAILURES_TO_OPEN: u32 = 3;

#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    /// Consecutive failures.
    failures: u32,
    /// Until when the circuit breaker is open and the endpoint is not used.
    open_until: Option<Instant>,
}

/// The endpoints, each with a circuit breaker.
#[derive(Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    /// Index of the endpoint in use.
    current: usize,
    cooldown: Duration,
}

impl Endpoints {
    /// Endpoints of which the one at index `first` is used first; one that keeps
    /// failing is not used for `cooldown`.
    pub fn new(addresses: &[SocketAddr], first: usize, cooldown: Duration) -> Endpoints {
        let endpoints: Vec<Endpoint> =
            addresses.iter().map(|address| Endpoint { address: *address, failures: 0, open_until: None }).collect();
        let current = first % endpoints.len().max(1);
        Endpoints { endpoints, current, cooldown }
    }

    /// The endpoint to use now; if all circuit breakers are open, the error is
    /// how long the first one still is.
    pub fn choose(&mut self, now: Instant) -> Result<SocketAddr, Duration> {
        let count = self.endpoints.len();
        for offset in 0..count {
            let index = (self.current + offset) % count;
            let endpoint = &self.endpoints[index];
            if endpoint.open_until.is_none_or(|until| until <= now) {
                self.current = index;
                return Ok(endpoint.address);
            }
        }
        let first_closed_at = self.endpoints.iter().filter_map(|endpoint| endpoint.open_until).min();
        Err(first_closed_at.map_or(self.cooldown, |until| until.saturating_duration_since(now)))
    }

    /// An endpoint gave a usable response.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.address == address) {
            (endpoint.failures, endpoint.open_until) = (0, None);
        }
    }

    /// An endpoint did not answer, or refused for now: the next one is used.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        let Some(index) = self.endpoints.iter().position(|endpoint| endpoint.address == address) else { return };
        let endpoint = &mut self.endpoints[index];
        endpoint.failures += 1;
        if endpoint.failures >= FAILURES_TO_OPEN {
            // half open after the cooldown: one more failure opens it again
            (endpoint.failures, endpoint.open_until) = (FAILURES_TO_OPEN - 1, Some(now + self.cooldown));
        }
        if self.current == index {
            self.current = (index + 1) % self.endpoints.len();
        }
    }
}

#[cfg(test)]
mod tests;
