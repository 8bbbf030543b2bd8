//! Which of several endpoints to ask: the same one while it works, another
//! when it fails, and one that keeps failing not for a while.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Failures in a row after which an endpoint is left alone.
const FAILURES_TO_OPEN: u32 = 3;

#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    failures: u32,
    open_until: Option<Instant>,
}

/// The endpoints, with a breaker each.
#[derive(Debug)]
pub struct Endpoints {
    all: Vec<Endpoint>,
    current: usize,
    cooldown: Duration,
}

impl Endpoints {
    /// Endpoints to begin with `first`; one that keeps failing rests so long.
    pub fn new(addrs: &[SocketAddr], first: usize, rest: Duration) -> Endpoints {
        let one = |a: &SocketAddr| Endpoint { address: *a, failures: 0, open_until: None };
        Endpoints { all: addrs.iter().map(one).collect(), current: first % addrs.len().max(1), cooldown: rest }
    }

    /// Where to send now; `None` while all rest, with how long the first does.
    pub fn choose(&mut self, now: Instant) -> Result<SocketAddr, Duration> {
        let n = self.all.len();
        for k in 0..n {
            let i = (self.current + k) % n;
            if self.all[i].open_until.is_none_or(|t| t <= now) {
                self.current = i;
                return Ok(self.all[i].address);
            }
        }
        let soonest = self.all.iter().filter_map(|e| e.open_until).min();
        Err(soonest.map_or(self.cooldown, |t| t.saturating_duration_since(now)))
    }

    /// An endpoint answered as it should.
    pub fn record_success(&mut self, addr: SocketAddr) {
        if let Some(e) = self.all.iter_mut().find(|e| e.address == addr) {
            (e.failures, e.open_until) = (0, None);
        }
    }

    /// An endpoint did not answer, or refused for now: the next one's turn.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Instant) {
        let Some(i) = self.all.iter().position(|e| e.address == addr) else { return };
        let e = &mut self.all[i];
        e.failures += 1;
        if e.failures >= FAILURES_TO_OPEN {
            // half open after the rest: one more failure shuts it again
            (e.failures, e.open_until) = (FAILURES_TO_OPEN - 1, Some(now + self.cooldown));
        }
        if self.current == i {
            self.current = (i + 1) % self.all.len();
        }
    }
}

#[cfg(test)]
mod tests;
