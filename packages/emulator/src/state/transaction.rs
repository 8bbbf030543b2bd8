//! Compare-and-swap transactions.

use std::time::Instant;

use coralnotch_wire::http::{self, Response};
use coralnotch_wire::state::{Precondition, Write};

use super::messages::{CurrentRevision, FailedPreconditions, Transaction};
use super::{counted_size, is_valid_key, State, StoredValue};

/// Maximum size of a transaction in bytes, as the service counts it.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Number of preconditions that a transaction may have for each write that the limits allow.
const PRECONDITIONS_PER_WRITE: usize = 4;

/// A checked write.  Sets have passed the checks of key, size and lease; deletes need no check.
enum CheckedWrite {
    Set { key: String, data: Vec<u8>, lease_id: Option<u64> },
    Delete { key: String },
}

impl State {
    /// Carries out all writes of a transaction if all of its preconditions hold, and none otherwise.
    /// Sizes and leases are checked first, then the rate of writes, then the preconditions.
    pub(super) fn execute_transaction(&mut self, body: &[u8], now: Instant) -> Response {
        let Ok(transaction) = http::decode::<Transaction>(body) else { return Response::error(400, "malformed") };
        let max_writes = self.limits.txn_ops;
        if counted_size(body.len()) > MAX_TRANSACTION_BYTES
            || transaction.writes.len() > max_writes
            || transaction.preconditions.len() > max_writes * PRECONDITIONS_PER_WRITE
        {
            return Response::error(400, "transaction too large");
        }
        let writes: Vec<CheckedWrite> =
            match transaction.writes.into_iter().map(|write| self.check_write(write)).collect() {
                Ok(writes) => writes,
                Err(reason) => return Response::error(400, reason),
            };
        if !self.write_rate.try_take(writes.len() as f64, now) {
            self.rate_limited += 1;
            return Response::error(429, "too many changes");
        }
        let failed = self.failed_preconditions(&transaction.preconditions);
        if !failed.is_empty() {
            return Response::new(409, &FailedPreconditions { keys: failed, revision: self.revision });
        }
        self.revision += u64::from(!writes.is_empty());
        self.writes_applied += writes.len() as u64;
        writes.into_iter().for_each(|write| self.apply(write));
        Response::new(200, &CurrentRevision { revision: self.revision })
    }

    /// Checks a write against the limits.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal if the key is invalid, the value is too large or the lease
    /// does not exist.
    fn check_write(&self, write: Write) -> Result<CheckedWrite, &'static str> {
        let (key, data, lease_id) = match write {
            Write::Delete { delete } => return Ok(CheckedWrite::Delete { key: delete }),
            Write::Set { set, data, lease_id } => (set, http::encode(&data), lease_id),
        };
        if !is_valid_key(&key) || counted_size(data.len()) as f64 > self.limits.value_kb * 1024.0 {
            return Err("bad key, or value too large");
        }
        if lease_id.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err("no such lease");
        }
        Ok(CheckedWrite::Set { key, data, lease_id })
    }

    /// Returns the keys whose revision differs from the one that their precondition requires; a key
    /// that does not exist has revision 0.
    fn failed_preconditions(&self, preconditions: &[Precondition]) -> Vec<String> {
        let revision = |key: &str| self.keys.get(key).map_or(0, |value| value.revision);
        let failed = preconditions.iter().filter(|condition| revision(&condition.key) != condition.revision);
        failed.map(|condition| condition.key.clone()).collect()
    }

    fn apply(&mut self, write: CheckedWrite) {
        match write {
            CheckedWrite::Set { key, data, lease_id } => {
                let value = StoredValue { data: data.clone(), revision: self.revision, lease_id };
                self.keys.insert(key.clone(), value);
                self.record_change(key, Some(data));
            }
            CheckedWrite::Delete { key } => {
                if self.keys.remove(&key).is_some() {
                    self.record_change(key, None);
                }
            }
        }
    }
}
