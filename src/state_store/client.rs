//! Client of the consensus-backed key-value store: requests within the shared rate limits,
//! transactions, leases and the watch.
//!
//! A transaction without an answer may still be applied later.  So every write is conditional
//! on the revision of the leader key and of the key itself: a late one finds other revisions and
//! does nothing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use coralnotch_core::commit::TxnLimits;
pub use coralnotch_core::key;
pub use coralnotch_wire::state::{read_value, KeyPage, KeyValue, Precondition, Txn, WatchEvent, Write};

use crate::config::State as Limits;
use crate::http;
use crate::runtime::rate_limiter::RateLimiter;
use crate::runtime::wake_up::pause;

mod health;

use health::StoreHealth;

/// Keys whose revisions did not match.
#[derive(Deserialize)]
struct ConflictAnswer {
    #[serde(default, rename = "failed")]
    keys: Vec<String>,
}

/// Revision at which a transaction was applied.
#[derive(Deserialize)]
struct TxnAnswer {
    #[serde(default, rename = "epoch")]
    revision: u64,
}

/// Changes after a revision.
#[derive(Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which all changes are included.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes.
    #[serde(default, rename = "news")]
    pub events: Vec<WatchEvent>,
}

#[derive(Deserialize, Serialize)]
struct LeaseAnswer {
    #[serde(rename = "hold")]
    lease_id: u64,
}

#[derive(Serialize)]
struct LeaseRequest {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Why the state store did not serve a request.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No answer: the request may have been, or may still be, carried out.
    #[error("outcome unknown: {0}")]
    Indeterminate(#[from] http::Error),
    /// Refused with this HTTP status: not carried out.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The lease does not exist any more.
    #[error("no such lease")]
    NoLease,
    /// The store no longer keeps the changes after the requested revision.
    #[error("the watch is too old")]
    WatchExpired,
    /// The answer holds a record that this version cannot read.
    #[error("a record cannot be read")]
    Unreadable,
}

/// The outcome of a transaction that was answered.
#[derive(Debug)]
pub enum TxnOutcome {
    /// Applied at this revision.
    Done(u64),
    /// Not applied: these keys had other revisions.
    Conflict(Vec<String>),
}

/// The client.
pub struct StateStore {
    addr: SocketAddr,
    http: http::Client,
    calls: RateLimiter,
    writes: RateLimiter,
    page_reads: RateLimiter,
    /// Size limits of a transaction.
    pub txn_limits: TxnLimits,
    health: StoreHealth,
}

/// Largest shard, in bytes.  Each change of a shard rewrites it, and a few more are examined:
/// larger ones would cost more time than they save transactions.
const MAX_SHARD_BYTES: usize = 6 * 1024;

/// Most keys that the store puts into one page.
const MAX_PAGE_KEYS: usize = 1000;

/// Time limit of an ordinary request.
const REQUEST_LIMIT: Duration = Duration::from_millis(1500);

/// The body of a request without parameters: an empty MessagePack map.
const EMPTY_MAP: &[u8] = &[0x80];

impl StateStore {
    /// A client that keeps to this controller's share of the limits.
    ///
    /// Reads of many pages keep to `read_rate` requests a second: however long they take, they
    /// leave capacity for renewals and transactions, here and at other controllers.
    pub fn new(addr: SocketAddr, limits: &Limits, read_rate: f64, now: Instant) -> StateStore {
        // the leader writes most, and only one controller leads: each may use a bit over half,
        // and the store's 429 settles the rest
        let (calls, writes) = (limits.rps * 0.5, limits.write_rps * 0.55);
        let max_writes = limits.txn_ops.min((writes as usize).max(1));
        let value_bytes = (limits.value_kb * 1024.0 * 0.95) as usize;
        StateStore {
            addr,
            http: http::Client::default(),
            calls: RateLimiter::new(calls, calls, now),
            writes: RateLimiter::new(writes, writes, now),
            page_reads: RateLimiter::new(read_rate, read_rate, now),
            txn_limits: TxnLimits {
                writes: max_writes,
                preconditions: limits.txn_ops * 4,
                shard_bytes: value_bytes.min(MAX_SHARD_BYTES),
                value_bytes,
            },
            health: StoreHealth::new(now),
        }
    }

    /// Whether the last request was refused or got no answer.
    pub fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    /// Whether the last request got no answer at all, not even a refusal.
    pub fn is_unresponsive(&self) -> bool {
        self.health.is_unresponsive()
    }

    /// Discards what failures say about the store, after a stall of this controller.
    pub fn reset_after_stall(&self, now: Instant) {
        self.health.reset(now);
    }

    /// When the state store last carried out a request of this controller.
    pub fn last_served(&self) -> Instant {
        self.health.last_served()
    }

    /// Waits until the rate limits allow a request with this many writes.
    async fn await_rate_limit(&self, writes: usize) {
        let now = Instant::now();
        let mut wait = self.calls.reserve(1.0, now);
        if writes > 0 {
            wait = wait.max(self.writes.reserve(writes as f64, now));
        }
        pause(wait).await;
    }

    /// Sends one request; refusals for load (429, 5xx) are errors.
    async fn call(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let started_at = Instant::now();
        let answer = self.http.send(self.addr, method, target, body, limit).await;
        self.health.record_answer(&answer, started_at, limit);
        let (status, body) = answer?;
        match status {
            429 | 500.. => Err(StoreError::Refused(status)),
            _ => {
                self.health.mark_served(Instant::now());
                Ok((status, body))
            }
        }
    }

    /// Sends a transaction, once.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let writes = txn.writes.len();
        self.await_rate_limit(writes).await;
        let (status, body) = self.call("POST", "/txn", Some(&http::encode(txn)), REQUEST_LIMIT).await?;
        match status {
            200 => Ok(TxnOutcome::Done(http::decode::<TxnAnswer>(&body)?.revision)),
            409 => Ok(TxnOutcome::Conflict(http::decode::<ConflictAnswer>(&body)?.keys)),
            400 if String::from_utf8_lossy(&body).contains("no such lease") => Err(StoreError::NoLease),
            status => {
                tracing::error!(status, writes, "state store refused a transaction");
                Err(StoreError::Refused(status))
            }
        }
    }

    /// Reads one key.
    pub async fn get(&self, path: &str) -> Result<Option<KeyValue>, StoreError> {
        self.await_rate_limit(0).await;
        match self.call("GET", &format!("/kv/{path}"), None, REQUEST_LIMIT).await? {
            (200, body) => Ok(Some(http::decode(&body)?)),
            (404, _) => Ok(None),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Whether there are keys with a prefix.
    pub async fn has_keys(&self, prefix: &str) -> Result<bool, StoreError> {
        self.await_rate_limit(0).await;
        match self.call("GET", &format!("/kv?under={prefix}&page=1"), None, REQUEST_LIMIT).await? {
            (200, body) => Ok(!http::decode::<KeyPage>(&body)?.items.is_empty()),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Reads a page of the keys with a prefix that follow the key `since`, or the first page if
    /// that is empty; within the rate for reads of many pages.
    pub async fn list_page(&self, prefix: &str, since: &str) -> Result<KeyPage, StoreError> {
        self.page_reads.acquire(1.0).await;
        self.await_rate_limit(0).await;
        let since = if since.is_empty() { String::new() } else { format!("&since={since}") };
        let target = format!("/kv?under={prefix}{since}&page={MAX_PAGE_KEYS}");
        match self.call("GET", &target, None, REQUEST_LIMIT * 2).await? {
            (200, body) => Ok(http::decode(&body)?),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Reads all keys with a prefix; only for prefixes whose number of keys is bounded by the
    /// work at hand.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let (mut items, mut since) = (Vec::new(), String::new());
        loop {
            let page = self.list_page(prefix, &since).await?;
            let last = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            match last {
                Some(last) if page.truncated => since = last,
                _ => return Ok(items),
            }
        }
    }

    /// Waits up to `block` for changes after a revision of the keys with a prefix.
    pub async fn watch(&self, prefix: &str, since: u64, block: Duration) -> Result<WatchAnswer, StoreError> {
        self.await_rate_limit(0).await;
        let target = format!("/changes?under={prefix}&since={since}&blockMs={}", block.as_millis());
        // a watch that hangs must not keep a cancellation from the leader: it is soon opened
        // again, from the same revision
        match self.call("GET", &target, None, block + REQUEST_LIMIT * 2).await? {
            (200, body) => Ok(http::decode(&body)?),
            (410, _) => Err(StoreError::WatchExpired),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Creates a lease; returns its id.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.await_rate_limit(0).await;
        let body = http::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
        match self.call("POST", "/leases", Some(&body), REQUEST_LIMIT).await? {
            (200, body) => Ok(http::decode::<LeaseAnswer>(&body)?.lease_id),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Renews a lease, within `limit`.  Exempt from the rate limits, as everything else depends
    /// on it.
    pub async fn renew(&self, lease_id: u64, limit: Duration) -> Result<(), StoreError> {
        match self.call("POST", &format!("/leases/{lease_id}/renew"), Some(EMPTY_MAP), limit).await? {
            (200..=299, _) => Ok(()),
            (404, _) => Err(StoreError::NoLease),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Ends a lease.
    pub async fn revoke(&self, lease_id: u64) -> Result<(), StoreError> {
        self.call("DELETE", &format!("/leases/{lease_id}"), None, REQUEST_LIMIT).await.map(|_| ())
    }
}
