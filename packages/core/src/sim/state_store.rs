//! Model of the state service: keys with revisions, transactions with preconditions, and
//! leases, one of which the leader key is bound to.

use super::*;

/// A value with the revision at which it was written.
pub(super) struct Versioned {
    pub(super) value: rmpv::Value,
    pub(super) revision: u64,
}

/// The outcome of a job, with the revision at which it was stored.
#[derive(Clone)]
pub(super) struct StoredOutcome {
    pub(super) revision: u64,
    pub(super) id: Name,
    pub(super) outcome: JobOutcome,
}

/// The controller that wrote the stored leader key, and the lease to which the key is bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LeaderKey {
    pub(super) controller: usize,
    pub(super) lease_id: u64,
}

/// A key-value store with compare-and-swap.
#[derive(Default)]
pub(super) struct StateStore {
    pub(super) kv: BTreeMap<String, Versioned>,
    pub(super) last_revision: u64,
    /// Expiry time of each lease, by lease id.
    pub(super) leases: BTreeMap<u64, Ms>,
    /// All outcomes in the order in which they were stored.
    pub(super) outcomes: Vec<StoredOutcome>,
    pub(super) leader: Option<LeaderKey>,
}

impl StateStore {
    /// Removes expired leases, and the leader key together with its lease.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        self.leases.retain(|_, until| *until > now);
        if self.leader.is_some_and(|key| !self.leases.contains_key(&key.lease_id)) {
            self.leader = None;
            self.kv.remove(key::LEADER);
            self.last_revision += 1;
        }
    }

    /// Returns the revision of a key, or 0 if the key does not exist.
    pub(super) fn revision(&self, path: &str) -> u64 {
        self.kv.get(path).map_or(0, |entry| entry.revision)
    }

    /// Applies a transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the keys whose precondition failed; nothing is written in that case.
    pub(super) fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let failed = txn.preconditions.iter().filter(|p| self.revision(&p.key) != p.revision);
        let conflicts: Vec<String> = failed.map(|p| p.key.clone()).collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.last_revision += 1;
        let revision = self.last_revision;
        for write in &txn.writes {
            match write {
                Write::Set { set, data, .. } => {
                    self.record_outcome(set, data);
                    self.kv.insert(set.clone(), Versioned { value: data.clone(), revision });
                }
                Write::Delete { delete } => {
                    self.kv.remove(delete);
                }
            }
        }
        Ok(revision)
    }

    /// Records the outcome that a write at the current revision stores, if the key is that of an
    /// outcome.
    fn record_outcome(&mut self, path: &str, value: &rmpv::Value) {
        let Some(id) = path.strip_prefix(key::OUTCOME) else { return };
        let outcome = decode_value::<OutcomeRecord>(path, value.clone()).expect("a stored outcome is readable").outcome;
        self.outcomes.push(StoredOutcome { revision: self.last_revision, id: id.into(), outcome });
    }

    /// Returns the value of a key with its revision, or `None` if the key does not exist.
    pub(super) fn entry(&self, path: &str) -> Option<KeyValue> {
        let Versioned { value, revision } = self.kv.get(path)?;
        Some(KeyValue { key: path.into(), value: value.clone(), revision: *revision })
    }

    /// Reads the value of a key as a record, or `None` if the key does not exist or its value
    /// cannot be read as a `T`.
    pub(super) fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        decode_value(path, self.kv.get(path)?.value.clone())
    }

    /// Returns the stored outcome of a job, or `None` if there is none.
    pub(super) fn outcome(&self, id: &str) -> Option<JobOutcome> {
        self.read::<OutcomeRecord>(&format!("{}{id}", key::OUTCOME)).map(|record| record.outcome)
    }
}

/// State service for tests of the rental records of machines.
#[derive(Default)]
pub struct RentalStore(StateStore);

impl RentalStore {
    /// Stores the leader key with the given term.
    pub fn set_leader_term(&mut self, term: u64) {
        let mut txn = Txn::default();
        txn.writes.push(Write::set(key::LEADER, &term));
        self.0.apply(&txn).expect("a transaction without preconditions has no conflict");
    }

    /// Returns the revision of the leader key, or 0 if the key does not exist.
    pub fn leader_revision(&self) -> u64 {
        self.0.revision(key::LEADER)
    }

    /// Reports whether a key is stored.
    pub fn contains_key(&self, path: &str) -> bool {
        self.0.kv.contains_key(path)
    }

    /// Applies a transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the keys whose precondition failed; nothing is written in that case.
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        self.0.apply(txn)
    }

    /// Returns all rental records, each with its key.
    pub fn rentals(&self) -> Vec<(String, Vec<crate::cluster::Rental>)> {
        let keys = self.0.kv.keys().filter(|path| path.starts_with(key::RENTAL));
        keys.filter_map(|path| Some((path.clone(), self.0.read(path)?))).collect()
    }
}
