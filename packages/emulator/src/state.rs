//! The state service: a consensus-backed key-value store with revisions, leases, compare-and-swap
//! transactions and watches.
//!
//! A plain state machine; every step takes the current time.  It enforces the service's limits, so
//! that a controller that works with it keeps to them elsewhere too.  Values are kept in their
//! encoded form, so that a long history fits into memory.

mod messages;
mod rate;
mod requests;
mod transaction;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Response};
use serde::Serialize;

pub use self::rate::Rate;

/// Changes that are kept for watches.
pub const CHANGES_KEPT: usize = 10_000;
/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// The service counts sizes in a text form, which is longer than the encoded form by this factor.
const TEXT_RATIO: f64 = 1.25;

/// What the service allows.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests a second; as many may come at once.
    pub rps: f64,
    /// Puts and deletes a second; as many may come at once.
    pub write_rps: f64,
    /// KiB a value.
    pub value_kb: f64,
    /// Puts and deletes a transaction; it may have four times as many preconditions.
    pub txn_ops: usize,
}

impl Limits {
    /// No limits but those that the protocol fixes.
    pub const NONE: Limits =
        Limits { rps: f64::INFINITY, write_rps: f64::INFINITY, value_kb: f64::INFINITY, txn_ops: usize::MAX / 4 };
}

#[derive(Debug)]
struct StoredValue {
    data: Vec<u8>,
    revision: u64,
    /// Lease with which the key ends.
    lease_id: Option<u64>,
}

/// A change of one key, as watches see it.
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

/// A watch that waits for changes.
#[derive(Debug, Clone)]
pub struct Watch {
    /// Prefix of the watched keys.
    under: String,
    /// Revision that the watcher knows.
    since: u64,
    /// When it is answered without a change.
    pub until: Instant,
}

/// What a request results in.
#[derive(Debug)]
pub enum Step {
    /// A response.
    Answer(Response),
    /// A watch, to be answered when [`State::news`] has a response for it.
    Watch(Watch),
}

/// The service.
#[derive(Debug)]
pub struct State {
    keys: BTreeMap<String, StoredValue>,
    /// The last changes, the oldest first; at most [`CHANGES_KEPT`].
    changes: VecDeque<Change>,
    /// Revision of the last change.
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    limits: Limits,
    request_rate: Rate,
    write_rate: Rate,
    is_out: bool,
    /// Requests so far.
    pub requests: u64,
    /// Requests refused for their rate.
    pub refused: u64,
    /// Puts and deletes that were carried out.
    pub changes_made: u64,
}

/// Size of an encoded value as the service counts it.
fn counted_size(bytes: usize) -> usize {
    (bytes as f64 * TEXT_RATIO) as usize
}

fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(char::is_whitespace)
}

impl State {
    /// Creates an empty service with these limits.
    pub fn new(limits: Limits) -> State {
        State {
            keys: BTreeMap::new(),
            changes: VecDeque::new(),
            revision: 0,
            leases: BTreeMap::new(),
            last_lease_id: 0,
            limits,
            request_rate: Rate::new(limits.rps, limits.rps),
            write_rate: Rate::new(limits.write_rps, limits.write_rps),
            is_out: false,
            requests: 0,
            refused: 0,
            changes_made: 0,
        }
    }

    /// Changes the limits from now on, without notice; what is stored stays readable.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.request_rate = Rate::new(limits.rps, limits.rps);
        self.write_rate = Rate::new(limits.write_rps, limits.write_rps);
    }

    /// Puts a value without a change that a watch would show: as part of a history from before.
    pub fn fill<T: Serialize>(&mut self, path: String, data: &T) {
        self.revision += 1;
        self.keys.insert(path, StoredValue { data: http::encode(data), revision: self.revision, lease_id: None });
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The keys under a prefix.
    pub fn keys_under(&self, prefix: &str) -> Vec<String> {
        let from = prefix.to_owned();
        self.keys.range(from..).map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Begins an outage: everything is refused.
    pub fn begin_outage(&mut self) {
        self.is_out = true;
    }

    /// Ends an outage; every lease has its full time again.
    pub fn end_outage(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_out) {
            self.leases.values_mut().for_each(|lease| lease.renewed_at = now);
        }
    }

    /// Ends the leases that have expired, with their keys.
    fn expire_leases(&mut self, now: Instant) {
        let is_expired = |lease: &Lease| now.saturating_duration_since(lease.renewed_at) > lease.ttl;
        let expired: Vec<u64> = self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Ends a lease with its keys; returns whether there was one.
    fn end_lease(&mut self, id: u64) -> bool {
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

    /// Keeps a change of the present revision for watches.
    fn record_change(&mut self, key: String, data: Option<Vec<u8>>) {
        self.changes.push_back(Change { revision: self.revision, key, data });
        while self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
