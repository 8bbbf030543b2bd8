//! The load balancer: a plain choice by health and open connections, and the
//! copying of bytes.  It works at connection level; what users upload beside
//! their submissions is read off the copied bytes by [`SubmissionReader`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coralnotch_wire::http;
use coralnotch_wire::model::JobSpec;

/// First pause of a controller that was removed; it doubles up to the last.
const REMOVED_FIRST: Duration = Duration::from_secs(3);
const REMOVED_MOST: Duration = Duration::from_secs(60);
/// Failed connections in a row after which a controller is skipped, and how long.
const SKIPPED_AFTER: u32 = 3;
const SKIPPED_FOR: Duration = Duration::from_secs(3);
/// A removal within so long of the last one doubles the pause.
const MEMORY: Duration = Duration::from_secs(120);

/// A controller as the balancer sees it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Where it listens for users.
    pub addr: SocketAddr,
    /// Connections open through the balancer.
    pub open: usize,
    healthy: bool,
    ever: bool,
    /// The last six probes, the newest in the lowest bit; 1 for a failure.
    failed: u8,
    probes: u32,
    removed: Option<Instant>,
    pause: Duration,
    failures: u32,
    skip_until: Option<Instant>,
}

/// The balancer's picture.
#[derive(Debug, Clone)]
pub struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    /// Nothing is known of these controllers yet.
    pub fn new(addrs: &[SocketAddr]) -> Balancer {
        let one = |addr: &SocketAddr| Backend {
            addr: *addr,
            open: 0,
            healthy: false,
            ever: false,
            failed: 0,
            probes: 0,
            removed: None,
            pause: REMOVED_FIRST / 2,
            failures: 0,
            skip_until: None,
        };
        Balancer { backends: addrs.iter().map(one).collect() }
    }

    /// The controllers, in the order given.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Whether a controller gets connections.
    pub fn healthy(&self, i: usize) -> bool {
        self.backends.get(i).is_some_and(|b| b.healthy)
    }

    /// A probe came to an end.
    pub fn probed(&mut self, i: usize, ok: bool, now: Instant) {
        let Some(b) = self.backends.get_mut(i) else { return };
        b.failed = (b.failed << 1 | u8::from(!ok)) & 0b11_1111;
        b.probes += 1;
        if b.healthy {
            if b.failed & 0b11 == 0b11 || b.failed.count_ones() >= 3 {
                b.healthy = false;
                let again = b.removed.is_some_and(|t| now.saturating_duration_since(t) < MEMORY);
                b.pause = if again { (b.pause * 2).min(REMOVED_MOST) } else { REMOVED_FIRST };
                b.removed = Some(now);
            }
            return;
        }
        let rested = b.removed.is_none_or(|t| now.saturating_duration_since(t) >= b.pause);
        if ok && (!b.ever || (b.failed & 0b11 == 0 && rested)) {
            (b.healthy, b.ever, b.failed) = (true, true, 0);
        }
    }

    /// Where a new connection goes, other than where it failed already.
    pub fn choose(&self, tried: &[usize], now: Instant) -> Option<usize> {
        let ok = |(i, b): &(usize, &Backend)| b.healthy && !tried.contains(i) && b.skip_until.is_none_or(|t| t <= now);
        self.backends.iter().enumerate().filter(ok).min_by_key(|(_, b)| b.open).map(|(i, _)| i)
    }

    /// A connection was made, or not.
    pub fn connected(&mut self, i: usize, ok: bool, now: Instant) {
        let Some(b) = self.backends.get_mut(i) else { return };
        if ok {
            b.open += 1;
            b.failures = 0;
        } else {
            b.failures += 1;
            if b.failures >= SKIPPED_AFTER {
                (b.failures, b.skip_until) = (0, Some(now + SKIPPED_FOR));
            }
        }
    }

    /// A connection ended.
    pub fn closed(&mut self, i: usize) {
        if let Some(b) = self.backends.get_mut(i) {
            b.open = b.open.saturating_sub(1);
        }
    }
}

/// Most bytes kept of a request that is not complete.
const TAP_MOST: usize = 128 * 1024;

/// Reads submissions off the bytes that a user sends: users upload a job's
/// description for the workers, and here that is the submission itself.
#[derive(Debug, Default)]
pub struct SubmissionReader {
    buf: Vec<u8>,
    lost: bool,
    /// Whole requests so far.
    pub requests: u64,
}

impl SubmissionReader {
    /// More bytes of a connection; the submissions that they complete.
    pub fn take(&mut self, bytes: &[u8]) -> Vec<JobSpec> {
        let mut found = Vec::new();
        if self.lost {
            return found;
        }
        self.buf.extend_from_slice(bytes);
        loop {
            match http::parse_request(&self.buf) {
                Ok(Some(head)) => {
                    let end = head.len + head.body;
                    if self.buf.len() < end {
                        break;
                    }
                    self.requests += 1;
                    if head.method == "POST" && head.target == "/v2/runs" {
                        found.extend(http::decode::<JobSpec>(&self.buf[head.len..end]).ok());
                    }
                    self.buf.drain(..end);
                }
                Ok(None) => break,
                Err(_) => self.lost = true,
            }
            if self.lost || self.buf.is_empty() {
                break;
            }
        }
        if self.buf.len() > TAP_MOST {
            self.lost = true;
        }
        if self.lost {
            self.buf = Vec::new();
        }
        found
    }
}

#[cfg(test)]
mod tests;
