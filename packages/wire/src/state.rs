//! The state service's types: transactions, keys with their values, changes.

use rmpv::Value;
use serde::{Deserialize, Serialize};

use crate::http;

/// A compare in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Stamp it must have, 0 for absence.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Puts a value.
    Set {
        /// Key.
        set: String,
        /// Value.
        data: Value,
        /// Lease it hangs on.
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
    /// A put without a lease.
    pub fn set<T: Serialize>(path: impl Into<String>, value: &T) -> Write {
        let data = rmpv::decode::read_value(&mut &http::encode(value)[..]).unwrap_or(Value::Nil);
        Write::Set { set: path.into(), data, lease_id: None }
    }
    /// A put on a lease.
    pub fn set_with_lease<T: Serialize>(path: impl Into<String>, value: &T, hold: u64) -> Write {
        match Write::set(path, value) {
            Write::Set { set, data, .. } => Write::Set { set, data, lease_id: Some(hold) },
            w => w,
        }
    }
    /// A delete.
    pub fn delete(path: impl Into<String>) -> Write {
        Write::Delete { delete: path.into() }
    }
}

/// A transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds a condition.
    pub fn require(&mut self, path: impl Into<String>, stamp: u64) {
        let path = path.into();
        if !self.requires(&path) {
            self.preconditions.push(Precondition { key: path, revision: stamp });
        }
    }
    /// Whether there is a condition on this key.
    pub fn requires(&self, path: &str) -> bool {
        // starts come by job: mostly it is the last one
        self.preconditions.iter().rev().any(|g| g.key == path)
    }
}

/// A key with its value.
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

/// A change seen by the watch.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// Key put.
    #[serde(default)]
    pub set: Option<String>,
    /// Key removed.
    #[serde(default)]
    pub delete: Option<String>,
    /// New value.
    #[serde(default)]
    #[serde(rename = "data")]
    pub value: Option<Value>,
    /// Revision.
    #[serde(default)]
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A page of keys with a prefix.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// Keys in their order.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// There are more.
    #[serde(default)]
    pub truncated: bool,
    /// Revision that the page is of.
    #[serde(default)]
    #[serde(rename = "epoch")]
    pub revision: u64,
}
/// Decodes a stored value; a strange one is logged and passed over.
pub fn read_value<T: serde::de::DeserializeOwned>(path: &str, data: Value) -> Option<T> {
    // by way of bytes: the crate's direct way does not know names of variants
    let mut bytes = Vec::new();
    let read = rmpv::encode::write_value(&mut bytes, &data)
        .map_err(|e| e.to_string())
        .and_then(|()| rmp_serde::from_slice(&bytes).map_err(|e| e.to_string()));
    match read {
        Ok(v) => Some(v),
        Err(e) => {
            tracing::error!("stored value at {path} cannot be read: {e}");
            None
        }
    }
}
