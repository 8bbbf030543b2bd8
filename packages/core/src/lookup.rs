//! Lookup of job ids that a controller does not know: determines which transactions to send to the
//! state service, and what the responses prove.

use coralnotch_wire::model::{JobOutcome, Name};
use coralnotch_wire::state::Txn;

use crate::key;

/// What is known of a job id, after a query to the store if one was needed.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupResult {
    /// The job was never accepted.
    NotFound,
    /// The job is unfinished according to this controller; only the store can confirm this.
    Unfinished,
    /// The store has confirmed that the job was unfinished when the store answered.
    Confirmed,
    /// The job has ended, with this final outcome.
    Ended(JobOutcome),
}

/// Which keys of one job id exist in the store, as far as the responses have shown.
#[derive(Debug, Clone)]
struct LookupEntry {
    id: Name,
    has_record: bool,
    has_outcome: bool,
}

/// A lookup of several job ids together.
///
/// Each transaction has the preconditions that the ids have neither a record nor an outcome.  Every
/// key that a conflict names exists.  The next transaction repeats the preconditions on all other
/// keys, because a conflict need not name every existing key.
#[derive(Debug, Clone)]
pub struct Lookup {
    entries: Vec<LookupEntry>,
    /// Whether the last transaction succeeded, so that none of the keys in it exists.
    complete: bool,
}

impl Lookup {
    /// Creates a lookup of these ids.  Repeated ids are looked up once.
    pub fn new<'a>(ids: impl Iterator<Item = &'a Name>) -> Lookup {
        let mut entries: Vec<LookupEntry> = Vec::new();
        for id in ids {
            if !entries.iter().any(|entry| entry.id == *id) {
                entries.push(LookupEntry { id: id.clone(), has_record: false, has_outcome: false });
            }
        }
        Lookup { entries, complete: false }
    }

    /// Returns the next transaction to send; `None` once the lookup is complete.
    pub fn txn(&self) -> Option<Txn> {
        let mut txn = Txn::default();
        for entry in self.entries.iter().filter(|entry| !entry.has_outcome) {
            if !entry.has_record {
                txn.add_precondition(format!("{}{}", key::JOB, entry.id), 0);
            }
            txn.add_precondition(format!("{}{}", key::OUTCOME, entry.id), 0);
        }
        (!self.complete && !txn.preconditions.is_empty()).then_some(txn)
    }

    /// Records that the last transaction succeeded, which completes the lookup.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Records that these keys exist, as named in a conflict.  Returns whether any of them was not
    /// known to exist before.
    pub fn apply_conflict(&mut self, keys: &[String]) -> bool {
        let mut any_changed = false;
        for path in keys {
            if let Some(id) = path.strip_prefix(key::JOB) {
                any_changed |= self.mark_existing(id, |entry| &mut entry.has_record);
            } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
                any_changed |= self.mark_existing(id, |entry| &mut entry.has_outcome);
            }
        }
        any_changed
    }

    /// Sets a flag in the entry of an id.  Returns whether the entry exists and the flag was not
    /// set before.
    fn mark_existing(&mut self, id: &str, flag: impl Fn(&mut LookupEntry) -> &mut bool) -> bool {
        let entry = self.entries.iter_mut().find(|entry| *entry.id == *id);
        entry.is_some_and(|entry| !std::mem::replace(flag(entry), true))
    }

    /// Returns the ids that are known to have an outcome.
    pub fn ended(&self) -> Vec<Name> {
        self.entries.iter().filter(|entry| entry.has_outcome).map(|entry| entry.id.clone()).collect()
    }

    /// Returns the result for an id without an outcome, `Confirmed` or `NotFound`; `None` for an id
    /// that has an outcome or was not looked up.  The result is valid only once [`Lookup::txn`]
    /// returns `None`.
    pub fn found(&self, id: &str) -> Option<LookupResult> {
        let entry = self.entries.iter().find(|entry| *entry.id == *id && !entry.has_outcome)?;
        Some(if entry.has_record { LookupResult::Confirmed } else { LookupResult::NotFound })
    }
}
