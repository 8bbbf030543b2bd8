//! Model of the state service with range reads and a watch whose history is bounded.

use super::*;

/// Maximum number of changes that the state service keeps for watches.
pub(super) const WATCH_HISTORY: usize = 30;

/// One page of the result of a range read.
pub(super) struct RangePage {
    pub(super) entries: Vec<KeyValue>,
    /// Whether the range has more entries after this page.
    pub(super) is_truncated: bool,
}

/// A simulated state service that also keeps its recent changes for watches.
#[derive(Default)]
pub(super) struct WatchedStore {
    pub(super) store: StateStore,
    /// The most recent changes, oldest first.
    changes: VecDeque<WatchEvent>,
    /// Greatest revision of which a change was dropped from the history.
    pub(super) compacted_revision: u64,
}

impl WatchedStore {
    /// Applies a transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the keys whose precondition failed; nothing is written in that case.
    pub(super) fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let revision = self.store.apply(txn)?;
        for write in &txn.writes {
            if let Write::Set { set, data, .. } = write {
                let (set_key, value) = (Some(set.clone()), Some(data.clone()));
                self.changes.push_back(WatchEvent { set_key, deleted_key: None, value, revision });
            }
        }
        while self.changes.len() > WATCH_HISTORY {
            self.compacted_revision = self.changes.pop_front().map_or(self.compacted_revision, |e| e.revision);
        }
        Ok(revision)
    }

    /// Returns the kept changes after a revision, ordered by revision.
    pub(super) fn changes_since(&self, revision: u64) -> Vec<&WatchEvent> {
        let mut events: Vec<&WatchEvent> = self.changes.iter().filter(|e| e.revision > revision).collect();
        // one transaction may write both a job and its outcome; the job comes first
        events.sort_by_key(|e| (e.revision, e.set_key.as_ref().is_some_and(|path| path.starts_with(key::OUTCOME))));
        events
    }

    /// Reads at most `limit` entries whose keys have the given prefix and come after the key
    /// `since`.
    pub(super) fn read_range(&self, prefix: &str, since: &str, limit: usize) -> RangePage {
        let in_range = |k: &&String| k.starts_with(prefix) && k.as_str() > since;
        let keys = self.store.kv.keys().filter(in_range).take(limit + 1);
        let mut entries: Vec<KeyValue> = keys.filter_map(|k| self.store.entry(k)).collect();
        let is_truncated = entries.len() > limit;
        entries.truncate(limit);
        RangePage { entries, is_truncated }
    }

    /// Returns the stored record of a job, or `None` if there is none.
    pub(super) fn job(&self, id: &str) -> Option<KeyValue> {
        self.store.entry(&format!("{}{id}", key::JOB))
    }
}
