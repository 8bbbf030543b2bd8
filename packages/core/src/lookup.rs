//! Looking up ids that a controller does not know: what to ask the store, and
//! what its answers say.

use coralnotch_wire::model::{JobOutcome, Name};
use coralnotch_wire::state::Txn;

use crate::key;

/// What is known of an id once the store was asked, if it had to be.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupResult {
    /// Never accepted.
    NotFound,
    /// Unfinished as far as is known here; only the store confirms it.
    Open,
    /// Unfinished a moment ago, by the store's word.
    Confirmed,
    /// Over for good.
    Ended(JobOutcome),
}

/// Ids that are looked up together: each is guarded on having neither a record
/// nor an end.  What a conflict names exists; the rest is asked again, for
/// nothing says that a conflict names every key.
#[derive(Debug, Clone)]
pub struct Lookup {
    /// Ids, whether they have a record, and whether they have an end.
    ids: Vec<(Name, bool, bool)>,
    /// The last transaction confirmed the rest.
    settled: bool,
}

impl Lookup {
    /// Nothing is known of these yet.
    pub fn new<'a>(ids: impl Iterator<Item = &'a Name>) -> Lookup {
        let mut l = Lookup { ids: Vec::new(), settled: false };
        for id in ids {
            if !l.ids.iter().any(|i| i.0 == *id) {
                l.ids.push((id.clone(), false, false));
            }
        }
        l
    }

    /// What to ask next; `None` once all is known.
    pub fn txn(&self) -> Option<Txn> {
        let mut txn = Txn::default();
        for (id, exists, _) in self.ids.iter().filter(|i| !i.2) {
            if !exists {
                txn.require(format!("{}{id}", key::JOB), 0);
            }
            txn.require(format!("{}{id}", key::OUTCOME), 0);
        }
        (!self.settled && !txn.preconditions.is_empty()).then_some(txn)
    }

    /// The last transaction went through.
    pub fn mark_settled(&mut self) {
        self.settled = true;
    }

    /// These keys exist; false if that is nothing new.
    pub fn apply_conflict(&mut self, keys: &[String]) -> bool {
        let mut news = false;
        for k in keys {
            let job = k.strip_prefix(key::JOB);
            let Some(id) = job.or_else(|| k.strip_prefix(key::OUTCOME)) else { continue };
            for i in self.ids.iter_mut().filter(|i| *i.0 == *id) {
                let known = if job.is_some() { &mut i.1 } else { &mut i.2 };
                news |= !std::mem::replace(known, true);
            }
        }
        news
    }

    /// Those that have an end.
    pub fn ended(&self) -> Vec<Name> {
        self.ids.iter().filter(|i| i.2).map(|i| i.0.clone()).collect()
    }

    /// What is known of an id that has no end, once all is known.
    pub fn found(&self, id: &str) -> Option<LookupResult> {
        let i = self.ids.iter().find(|i| *i.0 == *id && !i.2)?;
        Some(if i.1 { LookupResult::Confirmed } else { LookupResult::NotFound })
    }
}
