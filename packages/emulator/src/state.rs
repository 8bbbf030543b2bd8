//! The emulated state service: a key-value store with revisions, leases, compare-and-swap
//! transactions and watches, as the real service offers on top of consensus.
//!
//! [`State`] is a state machine without I/O that receives the current time with each call.  It
//! enforces the limits of the real service, so that a controller that works with the emulated one
//! also keeps to the limits in production.  Values are kept in their encoded form, so that a long
//! history fits into memory.

mod messages;
mod rate;
mod requests;
mod transaction;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Response};
use serde::Serialize;

pub use self::rate::TokenBucket;

/// Maximum number of changes that are retained for watches.
pub const MAX_RETAINED_CHANGES: usize = 10_000;
/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// The service counts sizes in a text form, which is longer than the encoded form by this factor.
const TEXT_SIZE_RATIO: f64 = 1.25;

/// Rate and size limits of the service.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests per second; also the largest burst of requests.
    pub rps: f64,
    /// Writes (sets and deletes) per second; also the largest burst of writes.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of writes in a transaction, which may have four times as many preconditions.
    pub txn_ops: usize,
}

impl Limits {
    /// No limits except those that the protocol fixes.
    pub const NONE: Limits =
        Limits { rps: f64::INFINITY, write_rps: f64::INFINITY, value_kb: f64::INFINITY, txn_ops: usize::MAX / 4 };
}

#[derive(Debug)]
struct StoredValue {
    data: Vec<u8>,
    revision: u64,
    /// Lease whose end deletes the key; `None` if the key has no lease.
    lease_id: Option<u64>,
}

/// A change of one key, which is returned to the watches of the key.
#[derive(Debug)]
struct Change {
    revision: u64,
    key: String,
    /// The new value; `None` if the key was deleted.
    data: Option<Vec<u8>>,
}

#[derive(Debug)]
struct Lease {
    renewed_at: Instant,
    ttl: Duration,
}

/// A watch request that waits for changes.
#[derive(Debug, Clone)]
pub struct Watch {
    /// Prefix of the watched keys.
    prefix: String,
    /// Last revision that the client knows; the watch returns later changes.
    since_revision: u64,
    /// When the watch is answered even without a change.
    pub until: Instant,
}

/// Result of handling a request.
#[derive(Debug)]
pub enum RequestResult {
    /// The response to the request.
    Response(Response),
    /// A watch without changes yet; the caller calls [`State::poll_watch`] for the response.
    Watch(Watch),
}

/// State of the service: stored keys, retained changes, leases and limits.
#[derive(Debug)]
pub struct State {
    keys: BTreeMap<String, StoredValue>,
    /// The latest changes, the oldest first; at most [`MAX_RETAINED_CHANGES`].
    changes: VecDeque<Change>,
    /// Revision of the latest change.
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    limits: Limits,
    request_rate: TokenBucket,
    write_rate: TokenBucket,
    is_in_outage: bool,
    /// Number of requests so far, including refused ones.
    pub requests: u64,
    /// Number of requests refused because of a rate limit.
    pub rate_limited: u64,
    /// Number of writes (sets and deletes) in successful transactions.
    pub writes_applied: u64,
}

/// Returns the size that the service counts for this number of encoded bytes.
fn counted_size(bytes: usize) -> usize {
    (bytes as f64 * TEXT_SIZE_RATIO) as usize
}

fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(char::is_whitespace)
}

impl State {
    /// Creates a service without keys and leases.
    pub fn new(limits: Limits) -> State {
        State {
            keys: BTreeMap::new(),
            changes: VecDeque::new(),
            revision: 0,
            leases: BTreeMap::new(),
            last_lease_id: 0,
            limits,
            request_rate: TokenBucket::new(limits.rps, limits.rps),
            write_rate: TokenBucket::new(limits.write_rps, limits.write_rps),
            is_in_outage: false,
            requests: 0,
            rate_limited: 0,
            writes_applied: 0,
        }
    }

    /// Replaces the limits for further requests.  Stored values above the new limits stay readable.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.request_rate = TokenBucket::new(limits.rps, limits.rps);
        self.write_rate = TokenBucket::new(limits.write_rps, limits.write_rps);
    }

    /// Stores a value without recording a change for watches, to set up a store that already has a
    /// history.
    pub fn insert_without_event<T: Serialize>(&mut self, path: String, data: &T) {
        self.revision += 1;
        self.keys.insert(path, StoredValue { data: http::encode(data), revision: self.revision, lease_id: None });
    }

    /// Returns the revision of the latest change; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Reports whether the store has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the keys that start with a prefix, in order.
    pub fn keys_under(&self, prefix: &str) -> Vec<String> {
        let from = prefix.to_owned();
        self.keys.range(from..).map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Begins an outage, in which all requests are refused.
    pub fn begin_outage(&mut self) {
        self.is_in_outage = true;
    }

    /// Ends an outage and renews all leases.
    pub fn end_outage(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_in_outage) {
            self.leases.values_mut().for_each(|lease| lease.renewed_at = now);
        }
    }

    /// Revokes the expired leases and deletes their keys.
    fn expire_leases(&mut self, now: Instant) {
        let is_expired = |lease: &Lease| now.saturating_duration_since(lease.renewed_at) > lease.ttl;
        let expired: Vec<u64> = self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Revokes a lease and deletes its keys; returns whether the lease existed.
    fn revoke_lease(&mut self, id: u64) -> bool {
        let has_lease = |value: &StoredValue| value.lease_id == Some(id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, value)| has_lease(value)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.record_change(key, None);
        }
        self.leases.remove(&id).is_some()
    }

    /// Retains a change at the current revision for watches.
    fn record_change(&mut self, key: String, data: Option<Vec<u8>>) {
        self.changes.push_back(Change { revision: self.revision, key, data });
        while self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
