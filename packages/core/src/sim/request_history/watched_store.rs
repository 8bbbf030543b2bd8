//! The state service with range reads and a watch of bounded history.

use super::*;

/// Changes that the state service keeps.
pub(super) const WATCH_HISTORY: usize = 30;

#[derive(Default)]
pub(super) struct WatchedStore {
    pub(super) store: StateStore,
    pub(super) changes: VecDeque<(u64, WatchEvent)>,
    pub(super) compacted_revision: u64,
}

impl WatchedStore {
    pub(super) fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let revision = self.store.apply(txn)?;
        for w in &txn.writes {
            if let Write::Set { set, data, .. } = w {
                let e = WatchEvent { set: Some(set.clone()), delete: None, value: Some(data.clone()), revision };
                self.changes.push_back((revision, e));
            }
        }
        while self.changes.len() > WATCH_HISTORY {
            self.compacted_revision = self.changes.pop_front().map_or(self.compacted_revision, |c| c.0);
        }
        Ok(revision)
    }

    pub(super) fn page(&self, under: &str, since: &str, most: usize) -> (Vec<KeyValue>, bool) {
        let after = |k: &&String| k.starts_with(under) && k.as_str() > since;
        let rows = self.store.kv.iter().filter(|(k, _)| after(k)).take(most + 1);
        let mut rows: Vec<KeyValue> = rows
            .map(|(k, (data, revision))| KeyValue { key: k.clone(), value: data.clone(), revision: *revision })
            .collect();
        let truncated = rows.len() > most;
        rows.truncate(most);
        (rows, truncated)
    }

    pub(super) fn job(&self, id: &str) -> Option<KeyValue> {
        let path = format!("{}{id}", key::JOB);
        self.store.kv.get(&path).map(|(index, s)| KeyValue { key: path.clone(), value: index.clone(), revision: *s })
    }
}
