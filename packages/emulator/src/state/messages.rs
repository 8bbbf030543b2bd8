//! Bodies of requests and responses, with the field names of the protocol.

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
        KeyValue { path: key, data: decode_value(&value.data), revision: value.revision, lease_id: value.lease_id }
    }
}

/// One page of a list of keys.
#[derive(Serialize)]
pub(super) struct KeyList<'a> {
    #[serde(rename = "rows")]
    pub(super) keys: Vec<KeyValue<'a>>,
    /// Whether more keys follow after this page.
    pub(super) truncated: bool,
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

/// The current revision of the store.
#[derive(Serialize)]
pub(super) struct CurrentRevision {
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

/// The keys whose preconditions did not hold, so that the transaction was not carried out.
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

/// Response to a watch: the changes after the client's revision.
#[derive(Serialize)]
pub(super) struct Changes {
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
    #[serde(rename = "news")]
    pub(super) changes: Vec<BTreeMap<&'static str, Value>>,
}

impl Change {
    /// Returns the change in the form in which a watch returns it.
    pub(super) fn watch_event(&self) -> BTreeMap<&'static str, Value> {
        let mut watch_event = BTreeMap::from([("stamp", Value::from(self.revision))]);
        match &self.data {
            Some(data) => {
                watch_event.insert("set", Value::from(self.key.as_str()));
                watch_event.insert("data", decode_value(data));
            }
            None => {
                watch_event.insert("delete", Value::from(self.key.as_str()));
            }
        }
        watch_event
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

fn decode_value(bytes: &[u8]) -> Value {
    rmpv::decode::read_value(&mut &bytes[..]).unwrap_or(Value::Nil)
}
