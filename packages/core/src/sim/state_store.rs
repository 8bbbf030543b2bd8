//! Model of the state service: keys with revisions, transactions with preconditions,
//! and the leader's lease.

use super::*;

/// A value and the revision that wrote it.
pub(super) struct Versioned {
    pub(super) value: rmpv::Value,
    pub(super) revision: u64,
}

/// A stored outcome of a job.
#[derive(Clone)]
pub(super) struct StoredOutcome {
    pub(super) revision: u64,
    pub(super) id: Name,
    pub(super) outcome: JobOutcome,
}

/// Whose leader key is stored, and the lease that it is bound to.
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
    /// When each lease expires.
    pub(super) leases: BTreeMap<u64, Ms>,
    /// Outcomes in the order in which they were stored.
    pub(super) outcomes: Vec<StoredOutcome>,
    pub(super) leader: Option<LeaderKey>,
}

impl StateStore {
    /// Removes leases that have expired; the leader key goes with its lease.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        self.leases.retain(|_, until| *until > now);
        if self.leader.is_some_and(|key| !self.leases.contains_key(&key.lease_id)) {
            self.leader = None;
            self.kv.remove(key::LEADER);
            self.last_revision += 1;
        }
    }

    /// The revision of a key; 0 if there is none.
    pub(super) fn revision(&self, path: &str) -> u64 {
        self.kv.get(path).map_or(0, |entry| entry.revision)
    }

    /// Applies a transaction and gives its revision; an error names the keys whose
    /// precondition failed.
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

    /// Notes an outcome that the present revision writes.
    fn record_outcome(&mut self, path: &str, value: &rmpv::Value) {
        let Some(id) = path.strip_prefix(key::OUTCOME) else { return };
        let outcome = read_value::<OutcomeRecord>(path, value.clone()).expect("an outcome").outcome;
        self.outcomes.push(StoredOutcome { revision: self.last_revision, id: id.into(), outcome });
    }

    /// The value of a key, with its revision.
    pub(super) fn entry(&self, path: &str) -> Option<KeyValue> {
        let Versioned { value, revision } = self.kv.get(path)?;
        Some(KeyValue { key: path.into(), value: value.clone(), revision: *revision })
    }

    /// The value of a key, as a record.
    pub(super) fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        read_value(path, self.kv.get(path)?.value.clone())
    }

    /// The stored outcome of a job.
    pub(super) fn outcome(&self, id: &str) -> Option<JobOutcome> {
        self.read::<OutcomeRecord>(&format!("{}{id}", key::OUTCOME)).map(|record| record.outcome)
    }
}

/// The state service as far as records of rentals need it.
#[derive(Default)]
pub struct Records(StateStore);

impl Records {
    /// Stores the leader key of a term.
    pub fn leads(&mut self, term: u64) {
        let mut txn = Txn::default();
        txn.writes.push(Write::set(key::LEADER, &term));
        self.0.apply(&txn).expect("there are no preconditions");
    }

    /// The revision of the leader key.
    pub fn leader(&self) -> u64 {
        self.0.revision(key::LEADER)
    }

    /// Whether a key is stored.
    pub fn has(&self, path: &str) -> bool {
        self.0.kv.contains_key(path)
    }

    /// Applies a transaction; see [`StateStore::apply`].
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        self.0.apply(txn)
    }

    /// All records of rentals, with their keys.
    pub fn rentals(&self) -> Vec<(String, Vec<crate::cluster::Rental>)> {
        let keys = self.0.kv.keys().filter(|path| path.starts_with(key::RENTAL));
        keys.filter_map(|path| Some((path.clone(), self.0.read(path)?))).collect()
    }
}
