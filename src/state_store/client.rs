//! The state service: requests within the shared rate, transactions that are
//! harmless when they arrive late, the watch, and the stored layout.
//!
//! No answer to a transaction means that it may yet be applied.  So every
//! write is guarded, on the leader key and on the stamp of the key itself:
//! a late one finds other stamps and does nothing.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use coralnotch_core::commit::TxnLimits;
pub use coralnotch_core::key;
pub use coralnotch_wire::state::{read_value, KeyPage, KeyValue, Precondition, Txn, WatchEvent, Write};

use crate::config::State as Limits;
use crate::http;

#[derive(Deserialize)]
struct Failed {
    #[serde(default)]
    failed: Vec<String>,
}
#[derive(Deserialize)]
struct Epoch {
    #[serde(default)]
    epoch: u64,
}
#[derive(Deserialize)]
struct Changes {
    epoch: u64,
    #[serde(default)]
    news: Vec<WatchEvent>,
}
#[derive(Deserialize, Serialize)]
struct Lease {
    #[serde(rename = "hold")]
    lease_id: u64,
}
#[derive(Serialize)]
struct Ttl {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Why the state service did not do it.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No answer: it may have been, or may still be, carried out.
    #[error("in doubt: {0}")]
    Doubt(#[from] http::Error),
    /// Refused: not carried out.
    #[error("refused with {0}")]
    Refused(u16),
    /// A lease is gone.
    #[error("no such lease")]
    NoLease,
    /// The watch is too old.
    #[error("the watch is too old")]
    WatchExpired,
    /// The answer came, and a record in it is not what this version writes.
    #[error("a record cannot be read")]
    Unreadable,
}

/// What a transaction came to.
#[derive(Debug)]
pub enum TxnOutcome {
    /// Carried out at this revision.
    Done(u64),
    /// Some keys had other stamps.
    Conflict(Vec<String>),
}

/// A budget of calls a second, with a burst.
#[derive(Debug)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    have: f64,
    at: Instant,
}

impl RateLimiter {
    /// A full budget.
    pub fn new(rate: f64, burst: f64, now: Instant) -> RateLimiter {
        RateLimiter { rate, burst, have: burst, at: now }
    }
    /// Takes `n`, going into debt if need be; how long to wait first.
    pub fn take(&mut self, n: f64, now: Instant) -> Duration {
        self.have = (self.have + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.burst);
        self.at = now;
        self.have -= n;
        if self.have >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.have / self.rate)
        }
    }
}

/// The client.
pub struct StateStore {
    addr: SocketAddr,
    http: http::Client,
    calls: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    reads: Mutex<RateLimiter>,
    /// What one transaction may hold.
    pub most: TxnLimits,
    last_served: Mutex<Instant>,
    failing: AtomicBool,
    unresponsive: AtomicBool,
}

/// A page is gone through with every change of it, and a few more are looked at:
/// larger ones would cost more time than they save changes.
const MOST_PAGE: usize = 6 * 1024;

/// Most keys that the service puts into one page.
const MOST_ROWS: usize = 1000;

/// How long an ordinary request may take.
const LIMIT: Duration = Duration::from_millis(1500);

impl StateStore {
    /// A client that keeps to this controller's share of the limits.  Reads of
    /// many pages keep to `read_rate` requests a second: however long they are,
    /// they leave room for renewals and transactions, here and elsewhere.
    pub fn new(addr: SocketAddr, limits: &Limits, read_rate: f64, now: Instant) -> StateStore {
        // the leader writes most, and only one controller leads: each may use
        // a bit over half, and the service's 429 settles the rest
        let (calls, writes) = (limits.rps * 0.5, limits.write_rps * 0.55);
        let most_writes = limits.txn_ops.min((writes as usize).max(1));
        StateStore {
            addr,
            http: http::Client::default(),
            calls: Mutex::new(RateLimiter::new(calls, calls, now)),
            writes: Mutex::new(RateLimiter::new(writes, writes, now)),
            reads: Mutex::new(RateLimiter::new(read_rate, read_rate, now)),
            most: TxnLimits {
                writes: most_writes,
                preconditions: limits.txn_ops * 4,
                shard_bytes: ((limits.value_kb * 1024.0 * 0.95) as usize).min(MOST_PAGE),
                value_bytes: (limits.value_kb * 1024.0 * 0.95) as usize,
            },
            last_served: Mutex::new(now),
            failing: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
        }
    }

    async fn pace(&self, writes: usize) {
        let now = Instant::now();
        let mut wait = self.calls.lock().unwrap_or_else(|e| e.into_inner()).take(1.0, now);
        if writes > 0 {
            wait = wait.max(self.writes.lock().unwrap_or_else(|e| e.into_inner()).take(writes as f64, now));
        }
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
    }

    /// Whether the last request was refused or got no answer.
    pub fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed)
    }

    /// Whether the last request got no answer at all, not even a refusal.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive.load(Ordering::Relaxed)
    }

    /// This controller stood still: that nothing was carried out meanwhile says
    /// nothing of the service.
    pub fn reset_after_stall(&self, now: Instant) {
        *self.last_served.lock().unwrap_or_else(|e| e.into_inner()) = now;
        self.failing.store(false, Ordering::Relaxed);
        self.unresponsive.store(false, Ordering::Relaxed);
    }

    /// When the state service last carried out something for us.
    pub fn last_served(&self) -> Instant {
        *self.last_served.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn call(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let began = Instant::now();
        let sent = self.http.send(self.addr, method, target, body, limit).await;
        // a deadline that passed long ago passed while this controller stood
        // still: no failure of the service
        if sent.is_ok() || began.elapsed() < limit * 2 {
            // 429 is a matter of pace: the service is there
            self.failing.store(!matches!(sent, Ok((..500, _))), Ordering::Relaxed);
            self.unresponsive.store(sent.is_err(), Ordering::Relaxed);
        }
        let (status, body) = sent?;
        match status {
            429 | 500.. => Err(StoreError::Refused(status)),
            _ => {
                *self.last_served.lock().unwrap_or_else(|e| e.into_inner()) = Instant::now();
                Ok((status, body))
            }
        }
    }

    /// One transaction, once.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        self.pace(txn.writes.len()).await;
        let (status, body) = self.call("POST", "/txn", Some(&http::encode(txn)), LIMIT).await?;
        match status {
            200 => Ok(TxnOutcome::Done(http::decode::<Epoch>(&body)?.epoch)),
            409 => Ok(TxnOutcome::Conflict(http::decode::<Failed>(&body)?.failed)),
            400 if String::from_utf8_lossy(&body).contains("no such lease") => Err(StoreError::NoLease),
            s => {
                tracing::error!("state service answers {s} to a transaction of {} writes", txn.writes.len());
                Err(StoreError::Refused(s))
            }
        }
    }

    /// One key.
    pub async fn get(&self, path: &str) -> Result<Option<KeyValue>, StoreError> {
        self.pace(0).await;
        match self.call("GET", &format!("/kv/{path}"), None, LIMIT).await? {
            (200, body) => Ok(Some(http::decode(&body)?)),
            (404, _) => Ok(None),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Whether there are keys with a prefix.
    pub async fn has_keys(&self, prefix: &str) -> Result<bool, StoreError> {
        self.pace(0).await;
        match self.call("GET", &format!("/kv?under={prefix}&page=1"), None, LIMIT).await? {
            (200, body) => Ok(!http::decode::<KeyPage>(&body)?.items.is_empty()),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Some keys with a prefix, after one of them or from the first, within the
    /// rate for reads of many pages.
    pub async fn list_page(&self, prefix: &str, since: &str) -> Result<KeyPage, StoreError> {
        let wait = self.reads.lock().unwrap_or_else(|e| e.into_inner()).take(1.0, Instant::now());
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        self.pace(0).await;
        let since = if since.is_empty() { String::new() } else { format!("&since={since}") };
        let target = format!("/kv?under={prefix}{since}&page={MOST_ROWS}");
        match self.call("GET", &target, None, LIMIT * 2).await? {
            (200, body) => Ok(http::decode(&body)?),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// All keys with a prefix; for what is bounded by the work at hand.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let (mut all, mut after) = (Vec::new(), String::new());
        loop {
            let page = self.list_page(prefix, &after).await?;
            let last = page.items.last().map(|r| r.key.clone());
            all.extend(page.items);
            match last {
                Some(l) if page.truncated => after = l,
                _ => return Ok(all),
            }
        }
    }

    /// Waits for changes after a revision.
    pub async fn watch(&self, prefix: &str, since: u64, block: Duration) -> Result<(Vec<WatchEvent>, u64), StoreError> {
        self.pace(0).await;
        let target = format!("/changes?under={prefix}&since={since}&blockMs={}", block.as_millis());
        // a watch that hangs must not keep a withdrawal from the leader: it is
        // opened anew soon, from where it was
        match self.call("GET", &target, None, block + LIMIT * 2).await? {
            (200, body) => {
                let c: Changes = http::decode(&body)?;
                Ok((c.news, c.epoch))
            }
            (410, _) => Err(StoreError::WatchExpired),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// A new lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.pace(0).await;
        let body = http::encode(&Ttl { ttl_ms: ttl.as_millis() as u64 });
        match self.call("POST", "/leases", Some(&body), LIMIT).await? {
            (200, body) => Ok(http::decode::<Lease>(&body)?.lease_id),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Renews a lease; not held back by the budget, for all else hangs on it.
    pub async fn renew(&self, hold: u64, limit: Duration) -> Result<(), StoreError> {
        match self.call("POST", &format!("/leases/{hold}/renew"), Some(&[0x80]), limit).await? {
            (200..=299, _) => Ok(()),
            (404, _) => Err(StoreError::NoLease),
            (s, _) => Err(StoreError::Refused(s)),
        }
    }

    /// Ends a lease.
    pub async fn revoke(&self, hold: u64) -> Result<(), StoreError> {
        self.call("DELETE", &format!("/leases/{hold}"), None, LIMIT).await.map(|_| ())
    }
}

#[cfg(test)]
mod tests;
