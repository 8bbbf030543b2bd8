//! Client of the consensus-backed key-value store: reads, transactions, leases and the watch,
//! within the shared rate limits.
//!
//! A transaction without a response may still be applied later.  So the preconditions of a write
//! name the revisions of the leader key and of the written key: a transaction that is applied late
//! finds other revisions and has no effect.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use coralnotch_core::commit::TxnLimits;
pub use coralnotch_core::key;
pub use coralnotch_wire::state::{decode_value, KeyPage, KeyValue, Precondition, Txn, WatchEvent, Write};

use crate::config::State as Limits;
use crate::http;
use crate::runtime::rate_limiter::RateLimiter;
use crate::runtime::wake_up::pause;

mod health;

use health::StoreHealth;

/// The body of a response to a transaction with a failed precondition: the keys whose revisions did
/// not match.
#[derive(Deserialize)]
struct ConflictResponse {
    #[serde(default, rename = "failed")]
    keys: Vec<String>,
}

/// The body of a response to a transaction that was applied: its revision.
#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default, rename = "epoch")]
    revision: u64,
}

/// The body of a response to a watch request: the changes after the requested revision.
#[derive(Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the response includes all changes of the watched keys.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes of the watched keys.
    #[serde(default, rename = "news")]
    pub events: Vec<WatchEvent>,
}

#[derive(Deserialize, Serialize)]
struct LeaseResponse {
    #[serde(rename = "hold")]
    lease_id: u64,
}

#[derive(Serialize)]
struct LeaseRequest {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Why a request to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There was no response that can be decoded.  The request may have been served, or may still
    /// be.
    #[error("no usable response from the state service, the request may have been served: {0}")]
    Indeterminate(#[from] http::Error),
    /// The state service refused the request with this HTTP status, and did not serve it.
    #[error("state service refused the request with HTTP status {0}")]
    Refused(u16),
    /// The lease of the request has expired, was revoked or never existed.
    #[error("the lease does not exist in the state service")]
    NoLease,
    /// The state service no longer has the changes after the requested revision.
    #[error("the state service no longer has the changes after the requested revision")]
    WatchExpired,
    /// The response holds a record that this version cannot decode.
    #[error("cannot decode a record of the state service")]
    Unreadable,
}

/// The outcome of a transaction, as the state service reported it.
#[derive(Debug)]
pub enum TxnOutcome {
    /// The transaction was applied at this revision.
    Done(u64),
    /// The transaction was not applied, because these keys did not have the required revisions.
    Conflict(Vec<String>),
}

/// Client of the state service for one controller.
pub struct StateStore {
    addr: SocketAddr,
    http: http::Client,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    page_read_limiter: RateLimiter,
    /// Limits on the size of a transaction and of its values.
    pub txn_limits: TxnLimits,
    health: StoreHealth,
}

/// Largest size of a shard, in bytes.  Each change rewrites a whole shard and examines a few more,
/// so that larger shards would cost more processor time than they save by needing fewer
/// transactions.
const MAX_SHARD_BYTES: usize = 6 * 1024;

/// Most keys that the state service returns in one page.
const MAX_PAGE_KEYS: usize = 1000;

/// Timeout of a request.  Reading a page of keys may take twice as long, and a watch request may
/// take twice as long on top of the time for which it blocks.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// The body of a request without parameters: an empty MessagePack map.
const EMPTY_MAP: &[u8] = &[0x80];

impl StateStore {
    /// Creates a client that keeps to this controller's share of the rate limits of the state
    /// service.
    ///
    /// Reads of many pages are limited to `read_rate` requests a second, so that they leave
    /// capacity for lease renewals and transactions of this and other controllers, however long
    /// they take.
    pub fn new(addr: SocketAddr, limits: &Limits, read_rate: f64, now: Instant) -> StateStore {
        // The leader sends most writes, and only one controller leads.  So each controller may use
        // half of the request limit and slightly more than half of the write limit.  If several
        // controllers together exceed a limit, the store responds with status 429.
        let (request_rate, write_rate) = (limits.rps * 0.5, limits.write_rps * 0.55);
        let max_writes = limits.txn_ops.min((write_rate as usize).max(1));
        let value_bytes = (limits.value_kb * 1024.0 * 0.95) as usize;
        StateStore {
            addr,
            http: http::Client::default(),
            request_limiter: RateLimiter::new(request_rate, request_rate, now),
            write_limiter: RateLimiter::new(write_rate, write_rate, now),
            page_read_limiter: RateLimiter::new(read_rate, read_rate, now),
            txn_limits: TxnLimits {
                writes: max_writes,
                preconditions: limits.txn_ops * 4,
                shard_bytes: value_bytes.min(MAX_SHARD_BYTES),
                value_bytes,
            },
            health: StoreHealth::new(now),
        }
    }

    /// Reports whether the last request got no response or a server error; status 429 is not a
    /// failure.
    pub fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    /// Reports whether the last request got no response at all, not even an error status.
    pub fn is_unresponsive(&self) -> bool {
        self.health.is_unresponsive()
    }

    /// Discards the recorded failures after a stall of this controller, because the stall may have
    /// caused them.
    pub fn reset_after_stall(&self, now: Instant) {
        self.health.reset(now);
    }

    /// Returns when the state service last served a request of this controller.
    pub fn last_served(&self) -> Instant {
        self.health.last_served()
    }

    /// Waits until the rate limits allow a request with this number of writes.
    async fn await_rate_limit(&self, writes: usize) {
        let now = Instant::now();
        let mut wait = self.request_limiter.reserve(1.0, now);
        if writes > 0 {
            wait = wait.max(self.write_limiter.reserve(writes as f64, now));
        }
        pause(wait).await;
    }

    /// Sends one request; returns the HTTP status and body.
    ///
    /// # Errors
    ///
    /// Fails if there is no response, and on status 429 (rate limit) and 5xx, with which the store
    /// did not serve the request.
    async fn call(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let started_at = Instant::now();
        let response = self.http.send(self.addr, method, target, body, timeout).await;
        self.health.record_response(&response, started_at, timeout);
        let (status, body) = response?;
        match status {
            429 | 500.. => Err(StoreError::Refused(status)),
            _ => {
                self.health.mark_served(Instant::now());
                Ok((status, body))
            }
        }
    }

    /// Sends a transaction once, without a retry.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoLease`] if a write is attached to a lease that does not exist, and
    /// [`StoreError::Indeterminate`] if the transaction may have been applied.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let writes = txn.writes.len();
        self.await_rate_limit(writes).await;
        let (status, body) = self.call("POST", "/txn", Some(&http::encode(txn)), REQUEST_TIMEOUT).await?;
        match status {
            200 => Ok(TxnOutcome::Done(http::decode::<TxnResponse>(&body)?.revision)),
            409 => Ok(TxnOutcome::Conflict(http::decode::<ConflictResponse>(&body)?.keys)),
            400 if String::from_utf8_lossy(&body).contains("no such lease") => Err(StoreError::NoLease),
            status => {
                tracing::error!(status, writes, "state service refused a transaction");
                Err(StoreError::Refused(status))
            }
        }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response, or on any status but 200 and 404.
    pub async fn get(&self, path: &str) -> Result<Option<KeyValue>, StoreError> {
        self.await_rate_limit(0).await;
        match self.call("GET", &format!("/kv/{path}"), None, REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Some(http::decode(&body)?)),
            (404, _) => Ok(None),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Reports whether there are keys with a prefix.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response, or on any status but 200.
    pub async fn has_keys(&self, prefix: &str) -> Result<bool, StoreError> {
        self.await_rate_limit(0).await;
        match self.call("GET", &format!("/kv?under={prefix}&page=1"), None, REQUEST_TIMEOUT).await? {
            (200, body) => Ok(!http::decode::<KeyPage>(&body)?.items.is_empty()),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Reads the page of keys with a prefix that follows the key `since`, or the first page if
    /// `since` is empty.  The request also counts towards the rate limit for reads of many pages.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response, or on any status but 200.
    pub async fn list_page(&self, prefix: &str, since: &str) -> Result<KeyPage, StoreError> {
        self.page_read_limiter.acquire(1.0).await;
        self.await_rate_limit(0).await;
        let since = if since.is_empty() { String::new() } else { format!("&since={since}") };
        let target = format!("/kv?under={prefix}{since}&page={MAX_PAGE_KEYS}");
        match self.call("GET", &target, None, REQUEST_TIMEOUT * 2).await? {
            (200, body) => Ok(http::decode(&body)?),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Reads all keys with a prefix into memory.  To be used only for prefixes whose number of keys
    /// does not grow with the history of ended jobs.
    ///
    /// # Errors
    ///
    /// Fails if the read of a page fails.
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

    /// Waits up to `block` for changes of the keys with a prefix after the revision `since`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::WatchExpired`] if the store no longer has all of these changes.
    pub async fn watch(&self, prefix: &str, since: u64, block: Duration) -> Result<WatchResponse, StoreError> {
        self.await_rate_limit(0).await;
        let target = format!("/changes?under={prefix}&since={since}&blockMs={}", block.as_millis());
        // The timeout is short, because the leader misses cancellations while a watch request
        // hangs.  The caller sends the next request from the same revision.
        match self.call("GET", &target, None, block + REQUEST_TIMEOUT * 2).await? {
            (200, body) => Ok(http::decode(&body)?),
            (410, _) => Err(StoreError::WatchExpired),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Creates a lease with a time to live of `ttl`; returns the lease's ID.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable response, or on any status but 200.  In the first case a lease
    /// may exist, which expires unused.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.await_rate_limit(0).await;
        let body = http::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
        match self.call("POST", "/leases", Some(&body), REQUEST_TIMEOUT).await? {
            (200, body) => Ok(http::decode::<LeaseResponse>(&body)?.lease_id),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Renews a lease; `timeout` limits how long the request may take.  The request is exempt from
    /// the rate limits, because a leader that loses its lease cannot do anything else.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoLease`] if the lease no longer exists.
    pub async fn renew(&self, lease_id: u64, timeout: Duration) -> Result<(), StoreError> {
        match self.call("POST", &format!("/leases/{lease_id}/renew"), Some(EMPTY_MAP), timeout).await? {
            (200..=299, _) => Ok(()),
            (404, _) => Err(StoreError::NoLease),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Revokes a lease, which deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Fails if there is no response, or on status 429 and 5xx.
    pub async fn revoke(&self, lease_id: u64) -> Result<(), StoreError> {
        self.call("DELETE", &format!("/leases/{lease_id}"), None, REQUEST_TIMEOUT).await.map(|_| ())
    }
}
