//! The state service with range reads and a watch of bounded history.

use super::*;

/// Changes that the state service keeps for watches.
pub(super) const WATCH_HISTORY: usize = 30;

/// One page of a range read.
pub(super) struct RangePage {
    pub(super) entries: Vec<KeyValue>,
    /// Whether more entries follow.
    pub(super) is_truncated: bool,
}

/// The state service.
#[derive(Default)]
pub(super) struct WatchedStore {
    pub(super) store: StateStore,
    /// The last changes, oldest first.
    changes: VecDeque<WatchEvent>,
    /// The last revision whose change is not kept any more.
    pub(super) compacted_revision: u64,
}

impl WatchedStore {
    /// Applies a transaction; an error names the keys whose precondition failed.
    pub(super) fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let revision = self.store.apply(txn)?;
        for write in &txn.writes {
            if let Write::Set { set, data, .. } = write {
                let (set, value) = (Some(set.clone()), Some(data.clone()));
                self.changes.push_back(WatchEvent { set, delete: None, value, revision });
            }
        }
        while self.changes.len() > WATCH_HISTORY {
            self.compacted_revision = self.changes.pop_front().map_or(self.compacted_revision, |e| e.revision);
        }
        Ok(revision)
    }

    /// The kept changes after a revision, by revision.
    pub(super) fn changes_since(&self, revision: u64) -> Vec<&WatchEvent> {
        let mut events: Vec<&WatchEvent> = self.changes.iter().filter(|e| e.revision > revision).collect();
        // a job and its outcome may be written by one transaction
        events.sort_by_key(|e| (e.revision, e.set.as_ref().is_some_and(|path| path.starts_with(key::OUTCOME))));
        events
    }

    /// Reads at most `limit` entries of a prefix, after the key `since`.
    pub(super) fn read_range(&self, prefix: &str, since: &str, limit: usize) -> RangePage {
        let in_range = |k: &&String| k.starts_with(prefix) && k.as_str() > since;
        let keys = self.store.kv.keys().filter(in_range).take(limit + 1);
        let mut entries: Vec<KeyValue> = keys.filter_map(|k| self.store.entry(k)).collect();
        let is_truncated = entries.len() > limit;
        entries.truncate(limit);
        RangePage { entries, is_truncated }
    }

    /// The record of a job.
    pub(super) fn job(&self, id: &str) -> Option<KeyValue> {
        self.store.entry(&format!("{}{id}", key::JOB))
    }
}
