//! Which of several endpoints to ask: the same one while it works, another
//! when it fails, and one that keeps failing not for a while.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Failures in a row after which an endpoint is left alone.
const OPENS_AFTER: u32 = 3;

#[derive(Debug)]
struct Endpoint {
    addr: SocketAddr,
    failures: u32,
    shut_until: Option<Instant>,
}

/// The endpoints, with a breaker each.
#[derive(Debug)]
pub struct Endpoints {
    all: Vec<Endpoint>,
    current: usize,
    rest: Duration,
}

impl Endpoints {
    /// Endpoints to begin with `first`; one that keeps failing rests so long.
    pub fn new(addrs: &[SocketAddr], first: usize, rest: Duration) -> Endpoints {
        let one = |a: &SocketAddr| Endpoint { addr: *a, failures: 0, shut_until: None };
        Endpoints { all: addrs.iter().map(one).collect(), current: first % addrs.len().max(1), rest }
    }

    /// Where to send now; `None` while all rest, with how long the first does.
    pub fn choose(&mut self, now: Instant) -> Result<SocketAddr, Duration> {
        let n = self.all.len();
        for k in 0..n {
            let i = (self.current + k) % n;
            if self.all[i].shut_until.is_none_or(|t| t <= now) {
                self.current = i;
                return Ok(self.all[i].addr);
            }
        }
        let soonest = self.all.iter().filter_map(|e| e.shut_until).min();
        Err(soonest.map_or(self.rest, |t| t.saturating_duration_since(now)))
    }

    /// An endpoint answered as it should.
    pub fn worked(&mut self, addr: SocketAddr) {
        if let Some(e) = self.all.iter_mut().find(|e| e.addr == addr) {
            (e.failures, e.shut_until) = (0, None);
        }
    }

    /// An endpoint did not answer, or refused for now: the next one's turn.
    pub fn failed(&mut self, addr: SocketAddr, now: Instant) {
        let Some(i) = self.all.iter().position(|e| e.addr == addr) else { return };
        let e = &mut self.all[i];
        e.failures += 1;
        if e.failures >= OPENS_AFTER {
            // half open after the rest: one more failure shuts it again
            (e.failures, e.shut_until) = (OPENS_AFTER - 1, Some(now + self.rest));
        }
        if self.current == i {
            self.current = (i + 1) % self.all.len();
        }
    }
}

#[cfg(test)]
mod tests;
