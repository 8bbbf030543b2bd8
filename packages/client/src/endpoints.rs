//! Selects the endpoint for each request.
//!
//! The client stays with one endpoint and moves to the next one when a request to
//! it fails.  Endpoints whose circuit breakers are open are skipped.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of consecutive failures that opens an endpoint's circuit breaker.
const FAILURE_THRESHOLD: u32 = 3;

#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    consecutive_failures: u32,
    /// When the open circuit breaker becomes half-open; the endpoint is not used
    /// before.  `None` if the circuit breaker is closed.
    open_until: Option<Instant>,
}

/// The endpoints of a client, each with a circuit breaker.
#[derive(Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    /// Index of the endpoint in use.
    current: usize,
    cooldown: Duration,
}

impl Endpoints {
    /// Returns endpoints with closed circuit breakers.
    ///
    /// The endpoint at index `first`, modulo the number of endpoints, is used first.
    /// An open circuit breaker stays open for `cooldown`.
    pub fn new(addresses: &[SocketAddr], first: usize, cooldown: Duration) -> Endpoints {
        let endpoints: Vec<Endpoint> = addresses
            .iter()
            .map(|address| Endpoint { address: *address, consecutive_failures: 0, open_until: None })
            .collect();
        let current = first % endpoints.len().max(1);
        Endpoints { endpoints, current, cooldown }
    }

    /// Returns the endpoint to use now.
    ///
    /// # Errors
    ///
    /// If all circuit breakers are open, returns the time until the first one
    /// becomes half-open.
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
        let earliest_half_open_at = self.endpoints.iter().filter_map(|endpoint| endpoint.open_until).min();
        Err(earliest_half_open_at.map_or(self.cooldown, |until| until.saturating_duration_since(now)))
    }

    /// Records a usable response of an endpoint and closes its circuit breaker.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.address == address) {
            (endpoint.consecutive_failures, endpoint.open_until) = (0, None);
        }
    }

    /// Records that an endpoint gave no usable response or refused a request
    /// temporarily.
    ///
    /// After [`FAILURE_THRESHOLD`] consecutive failures, the endpoint's circuit
    /// breaker opens.  If the endpoint is the current one, the next one becomes
    /// current.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        let Some(index) = self.endpoints.iter().position(|endpoint| endpoint.address == address) else { return };
        let endpoint = &mut self.endpoints[index];
        endpoint.consecutive_failures += 1;
        if endpoint.consecutive_failures >= FAILURE_THRESHOLD {
            // After the cooldown, the circuit breaker is half-open: one more
            // failure opens it again.
            (endpoint.consecutive_failures, endpoint.open_until) = (FAILURE_THRESHOLD - 1, Some(now + self.cooldown));
        }
        if self.current == index {
            self.current = (index + 1) % self.endpoints.len();
        }
    }
}

#[cfg(test)]
mod tests;
