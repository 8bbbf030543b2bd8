//! The state service: keys with stamps, and the leader's lease.

use std::collections::BTreeMap;

use super::*;

#[derive(Default)]
pub(super) struct StateStore {
    pub(super) kv: BTreeMap<String, (rmpv::Value, u64)>,
    pub(super) last_revision: u64,
    /// Leases, by when they end.
    pub(super) leases: BTreeMap<u64, Ms>,
    /// Ends in their order, with their revisions.
    pub(super) outcomes: Vec<(u64, Name, JobOutcome)>,
    /// Whose lease the leader key hangs on.
    pub(super) leader: Option<(usize, u64)>,
}

impl StateStore {
    /// Ends what has run out; the leader key goes with its lease.
    pub(super) fn expire(&mut self, now: Ms) {
        self.leases.retain(|_, until| *until > now);
        if self.leader.is_some_and(|(_, lease_id)| !self.leases.contains_key(&lease_id)) {
            self.leader = None;
            self.kv.remove(key::LEADER);
            self.last_revision += 1;
        }
    }
    pub(super) fn revision(&self, path: &str) -> u64 {
        self.kv.get(path).map_or(0, |v| v.1)
    }
    pub(super) fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let bad: Vec<String> =
            txn.preconditions.iter().filter(|g| self.revision(&g.key) != g.revision).map(|g| g.key.clone()).collect();
        if !bad.is_empty() {
            return Err(bad);
        }
        self.last_revision += 1;
        for w in &txn.writes {
            if let Write::Set { set, data, .. } = w {
                if let Some(id) = set.strip_prefix(key::OUTCOME) {
                    let outcome = read_value::<OutcomeRecord>(set, data.clone()).expect("an end").outcome;
                    self.outcomes.push((self.last_revision, id.into(), outcome));
                }
            }
            match w {
                Write::Set { set, data, .. } => self.kv.insert(set.clone(), (data.clone(), self.last_revision)),
                Write::Delete { delete } => self.kv.remove(delete),
            };
        }
        Ok(self.last_revision)
    }
    /// The value of a key, with its revision.
    pub(super) fn entry(&self, path: &str) -> Option<KeyValue> {
        let (value, revision) = self.kv.get(path)?;
        Some(KeyValue { key: path.into(), value: value.clone(), revision: *revision })
    }
    pub(super) fn outcome(&self, id: &str) -> Option<JobOutcome> {
        let path = format!("{}{id}", key::OUTCOME);
        self.kv.get(&path).and_then(|(d, _)| read_value::<OutcomeRecord>(&path, d.clone())).map(|f| f.outcome)
    }
}

/// The state service as far as records of rentals need it.
#[derive(Default)]
pub struct Records(StateStore);

impl Records {
    /// A leader of this term holds the key.
    pub fn leads(&mut self, term: u64) {
        let mut txn = Txn::default();
        txn.writes.push(Write::set(key::LEADER, &term));
        self.0.apply(&txn).expect("nothing is guarded");
    }

    pub fn leader(&self) -> u64 {
        self.0.revision(key::LEADER)
    }

    pub fn has(&self, path: &str) -> bool {
        self.0.kv.contains_key(path)
    }

    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        self.0.apply(txn)
    }

    /// All records, with their keys.
    pub fn rentals(&self) -> Vec<(String, Vec<crate::cluster::Rental>)> {
        let of = |(k, (data, _)): (&String, &(rmpv::Value, u64))| Some((k.clone(), read_value(k, data.clone())?));
        self.0.kv.iter().filter(|(k, _)| k.starts_with(key::RENTAL)).filter_map(of).collect()
    }
}
