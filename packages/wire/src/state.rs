//! Message types of the state service, a key-value store backed by consensus: transactions, key-value
//! pairs and watch events.
//!
//! The revision of a key is that of its last change; later changes have higher revisions.  Revision 0
//! stands for a key that does not exist.

use rmpv::Value;
use serde::{Deserialize, Serialize};

use crate::http;

/// A precondition of a transaction: the key has exactly the given revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key to which the precondition applies.
    #[serde(rename = "path")]
    pub key: String,
    /// Revision of the last change of the key; 0 requires that the key does not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets the value of a key, which need not exist.
    Set {
        /// Key to set.
        set: String,
        /// New value.
        data: Value,
        /// Id of the lease to which the key is attached: the key is deleted when the lease expires.
        /// `None` if it is attached to none.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        #[serde(rename = "hold")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        delete: String,
    },
}

impl Write {
    /// Returns a write that sets a key, without a lease, to the encoded `value`.
    ///
    /// A value that cannot be encoded is logged, and an empty map is written in its place.
    pub fn set<T: Serialize>(key: impl Into<String>, value: &T) -> Write {
        let data = rmpv::decode::read_value(&mut &http::encode(value)[..]).unwrap_or(Value::Nil);
        Write::Set { set: key.into(), data, lease_id: None }
    }
    /// Returns a write that sets a key to the encoded `value` and attaches the key to a lease.
    ///
    /// A value that cannot be encoded is logged, and an empty map is written in its place.
    pub fn set_with_lease<T: Serialize>(key: impl Into<String>, value: &T, lease_id: u64) -> Write {
        match Write::set(key, value) {
            Write::Set { set, data, .. } => Write::Set { set, data, lease_id: Some(lease_id) },
            other => other,
        }
    }
    /// Returns a write that deletes a key.
    pub fn delete(key: impl Into<String>) -> Write {
        Write::Delete { delete: key.into() }
    }
}

/// A transaction: all writes are applied atomically if all preconditions hold, and none otherwise
/// (compare-and-swap).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Preconditions, at most one per key if they are added by [`Txn::add_precondition`].
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Writes; a transaction without any only checks its preconditions.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the precondition that a key has the given revision (0 if it must not exist).  Does nothing
    /// if the transaction already has a precondition on this key.
    pub fn add_precondition(&mut self, required_key: impl Into<String>, revision: u64) {
        let required_key = required_key.into();
        if !self.has_precondition(&required_key) {
            self.preconditions.push(Precondition { key: required_key, revision });
        }
    }
    /// Reports whether the transaction has a precondition on this key.
    pub fn has_precondition(&self, key: &str) -> bool {
        // Searches from the end: task starts are added job by job, so the key is usually the last one.
        self.preconditions.iter().rev().any(|precondition| precondition.key == key)
    }
}

/// A key-value pair as the state service returns it.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// Key of the pair.
    #[serde(rename = "path")]
    pub key: String,
    /// Current value of the key; [`decode_value`] decodes it.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of the last change of the key.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change that a watch reports.  Either `set_key` or `deleted_key` names the key.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// Key that was set; `None` if the change is a deletion.
    #[serde(rename = "set", default)]
    pub set_key: Option<String>,
    /// Key that was deleted; `None` if the change is not a deletion.
    #[serde(rename = "delete", default)]
    pub deleted_key: Option<String>,
    /// New value of the key that was set; `None` if the change is a deletion.
    #[serde(default)]
    #[serde(rename = "data")]
    pub value: Option<Value>,
    /// Revision of the change; 0 if the service does not report it.
    #[serde(default)]
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A page of the list of all keys with a common prefix.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// Key-value pairs in ascending order of their keys.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// Whether further keys with the prefix follow the last key of this page.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the store at which the page was read.
    #[serde(default)]
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Decodes a value that the state service has returned.
///
/// A value that cannot be decoded is logged together with its key, and the result is `None`.
pub fn decode_value<T: serde::de::DeserializeOwned>(key: &str, value: Value) -> Option<T> {
    // The value is encoded to bytes and decoded again, because the deserializer of rmpv does not support
    // names of enum variants.
    let mut bytes = Vec::new();
    let decoded = rmpv::encode::write_value(&mut bytes, &value)
        .map_err(|e| e.to_string())
        .and_then(|()| rmp_serde::from_slice(&bytes).map_err(|e| e.to_string()));
    match decoded {
        Ok(value) => Some(value),
        Err(e) => {
            tracing::error!(key = key, error = %e, "cannot decode a stored value");
            None
        }
    }
}
