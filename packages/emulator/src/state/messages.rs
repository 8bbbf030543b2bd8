//! Bodies of requests and responses, with the names that the protocol gives their fields.

use std::collections::BTreeMap;

use coralnotch_wire::state::{Precondition, Write};
use rmpv::Value;
use serde::{Deserialize, Serialize};

use super::{Change, StoredValue};

/// A key with its value.
#[derive(Serialize)]
pub(super) struct KeyValue<'a> {
    path: &'a str,
    data: Value,
    #[serde(rename = "stamp")]
    revision: u64,
    #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
    lease_id: Option<u64>,
}

impl<'a> KeyValue<'a> {
    pub(super) fn new(key: &'a str, value: &StoredValue) -> KeyValue<'a> {
        KeyValue { path: key, data: decoded(&value.data), revision: value.revision, lease_id: value.lease_id }
    }
}

/// A part of a list of keys.
#[derive(Serialize)]
pub(super) struct KeyList<'a> {
    #[serde(rename = "rows")]
    pub(super) keys: Vec<KeyValue<'a>>,
    /// More keys follow.
    pub(super) truncated: bool,
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

/// The service's revision.
#[derive(Serialize)]
pub(super) struct CurrentRevision {
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

/// The keys whose preconditions a transaction failed on.
#[derive(Serialize)]
pub(super) struct FailedPreconditions {
    #[serde(rename = "failed")]
    pub(super) keys: Vec<String>,
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

#[derive(Serialize)]
pub(super) struct LeaseId {
    #[serde(rename = "hold")]
    pub(super) id: u64,
}

/// Changes that a watch found.
#[derive(Serialize)]
pub(super) struct Changes {
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
    #[serde(rename = "news")]
    pub(super) changes: Vec<BTreeMap<&'static str, Value>>,
}

impl Change {
    /// The change as a watch shows it.
    pub(super) fn event(&self) -> BTreeMap<&'static str, Value> {
        let mut event = BTreeMap::from([("stamp", Value::from(self.revision))]);
        match &self.data {
            Some(data) => {
                event.insert("set", Value::from(self.key.as_str()));
                event.insert("data", decoded(data));
            }
            None => {
                event.insert("delete", Value::from(self.key.as_str()));
            }
        }
        event
    }
}

/// A compare-and-swap transaction.
#[derive(Deserialize)]
pub(super) struct Transaction {
    #[serde(rename = "guards", default)]
    pub(super) preconditions: Vec<Precondition>,
    #[serde(default)]
    pub(super) writes: Vec<Write>,
}

#[derive(Deserialize)]
pub(super) struct NewLease {
    #[serde(rename = "ttlMs")]
    pub(super) ttl_ms: u64,
}

fn decoded(bytes: &[u8]) -> Value {
    rmpv::decode::read_value(&mut &bytes[..]).unwrap_or(Value::Nil)
}
