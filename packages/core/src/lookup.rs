//! Looking up ids that a controller does not know: which transactions to send to the store,
//! and what its responses prove.

use coralnotch_wire::model::{JobOutcome, Name};
use coralnotch_wire::state::Txn;

use crate::key;

/// What is known of an id after the store was asked, if it had to be.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupResult {
    /// The job was never accepted.
    NotFound,
    /// The job is unfinished as far as is known here; only the store can confirm it.
    Open,
    /// The job was unfinished a moment ago, as the store has confirmed.
    Confirmed,
    /// The job has ended for good.
    Ended(JobOutcome),
}

/// What the store has of one id, as far as its responses have shown.
#[derive(Debug, Clone)]
struct LookupEntry {
    id: Name,
    has_record: bool,
    has_outcome: bool,
}

/// A lookup of several ids together.
///
/// Each transaction has the preconditions that an id has neither a record nor an outcome.  A
/// key that a conflict names exists.  The remaining ids are asked for again, because a
/// conflict need not name every key.
#[derive(Debug, Clone)]
pub struct Lookup {
    entries: Vec<LookupEntry>,
    /// The last transaction succeeded, so that none of its keys exists.
    settled: bool,
}

impl Lookup {
    /// Creates a lookup of these ids, each once.
    pub fn new<'a>(ids: impl Iterator<Item = &'a Name>) -> Lookup {
        let mut entries: Vec<LookupEntry> = Vec::new();
        for id in ids {
            if !entries.iter().any(|entry| entry.id == *id) {
                entries.push(LookupEntry { id: id.clone(), has_record: false, has_outcome: false });
            }
        }
        Lookup { entries, settled: false }
    }

    /// Returns the next transaction to send; `None` once everything is known.
    pub fn txn(&self) -> Option<Txn> {
        let mut txn = Txn::default();
        for entry in self.entries.iter().filter(|entry| !entry.has_outcome) {
            if !entry.has_record {
                txn.require(format!("{}{}", key::JOB, entry.id), 0);
            }
            txn.require(format!("{}{}", key::OUTCOME, entry.id), 0);
        }
        (!self.settled && !txn.preconditions.is_empty()).then_some(txn)
    }

    /// Notes that the last transaction succeeded.
    pub fn mark_settled(&mut self) {
        self.settled = true;
    }

    /// Notes that these keys exist; returns whether any of that is new.
    pub fn apply_conflict(&mut self, keys: &[String]) -> bool {
        let mut any_new = false;
        for path in keys {
            if let Some(id) = path.strip_prefix(key::JOB) {
                any_new |= self.mark_existing(id, |entry| &mut entry.has_record);
            } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
                any_new |= self.mark_existing(id, |entry| &mut entry.has_outcome);
            }
        }
        any_new
    }

    /// Sets a flag of an id's entry; returns whether it was not set before.
    fn mark_existing(&mut self, id: &str, flag: impl Fn(&mut LookupEntry) -> &mut bool) -> bool {
        let entry = self.entries.iter_mut().find(|entry| *entry.id == *id);
        entry.is_some_and(|entry| !std::mem::replace(flag(entry), true))
    }

    /// Returns the ids that have an outcome.
    pub fn ended(&self) -> Vec<Name> {
        self.entries.iter().filter(|entry| entry.has_outcome).map(|entry| entry.id.clone()).collect()
    }

    /// Returns what is known of an id that has no outcome, once everything is known; `None` for
    /// an id that has one, or that was not looked up.
    pub fn found(&self, id: &str) -> Option<LookupResult> {
        let entry = self.entries.iter().find(|entry| *entry.id == *id && !entry.has_outcome)?;
        Some(if entry.has_record { LookupResult::Confirmed } else { LookupResult::NotFound })
    }
}
