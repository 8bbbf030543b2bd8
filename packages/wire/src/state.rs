//! Types of the state service, a consensus-backed key-value store: transactions, key-value
//! pairs and watch events.

use rmpv::Value;
use serde::{Deserialize, Serialize};

use crate::http;

/// A precondition of a transaction: a key has a certain revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Revision that the key must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a value.
    Set {
        /// Key.
        set: String,
        /// Value.
        data: Value,
        /// Lease with whose expiry the key is removed.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        #[serde(rename = "hold")]
        lease_id: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        delete: String,
    },
}

impl Write {
    /// Creates a write that sets a value without a lease.
    pub fn set<T: Serialize>(path: impl Into<String>, value: &T) -> Write {
        let data = rmpv::decode::read_value(&mut &http::encode(value)[..]).unwrap_or(Value::Nil);
        Write::Set { set: path.into(), data, lease_id: None }
    }
    /// Creates a write that sets a value attached to a lease.
    pub fn set_with_lease<T: Serialize>(path: impl Into<String>, value: &T, lease_id: u64) -> Write {
        match Write::set(path, value) {
            Write::Set { set, data, .. } => Write::Set { set, data, lease_id: Some(lease_id) },
            other => other,
        }
    }
    /// Creates a write that removes a key.
    pub fn delete(path: impl Into<String>) -> Write {
        Write::Delete { delete: path.into() }
    }
}

/// A transaction: its writes are applied only if all its preconditions hold (compare-and-swap).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Preconditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Writes.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the precondition that a key has this revision, unless there is one on the key.
    pub fn require(&mut self, path: impl Into<String>, revision: u64) {
        let path = path.into();
        if !self.requires(&path) {
            self.preconditions.push(Precondition { key: path, revision });
        }
    }
    /// Whether there is a precondition on this key.
    pub fn requires(&self, path: &str) -> bool {
        // starts are added job by job, so the key is usually the last one
        self.preconditions.iter().rev().any(|precondition| precondition.key == path)
    }
}

/// A key-value pair.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change that a watch shows.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// The key that was set, if one was.
    #[serde(default)]
    pub set: Option<String>,
    /// The key that was removed, if one was.
    #[serde(default)]
    pub delete: Option<String>,
    /// The new value of the key that was set.
    #[serde(default)]
    #[serde(rename = "data")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(default)]
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A page of keys with a prefix.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// Pairs in the order of their keys.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// Whether there are more keys after this page.
    #[serde(default)]
    pub truncated: bool,
    /// Revision at which the page was read.
    #[serde(default)]
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Decodes a stored value.  A value that cannot be decoded is logged, and the result is `None`.
pub fn read_value<T: serde::de::DeserializeOwned>(path: &str, data: Value) -> Option<T> {
    // through bytes, because rmpv's own deserializer does not support names of enum variants
    let mut bytes = Vec::new();
    let read = rmpv::encode::write_value(&mut bytes, &data)
        .map_err(|e| e.to_string())
        .and_then(|()| rmp_serde::from_slice(&bytes).map_err(|e| e.to_string()));
    match read {
        Ok(value) => Some(value),
        Err(e) => {
            tracing::error!(key = path, error = %e, "cannot decode a stored value");
            None
        }
    }
}
