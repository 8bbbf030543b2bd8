//! The state service: keys with stamps, one lease.

use std::collections::BTreeMap;

use super::*;

#[derive(Default)]
pub(super) struct Store {
    pub(super) kv: BTreeMap<String, (rmpv::Value, u64)>,
    pub(super) epoch: u64,
    pub(super) lease: Option<(usize, Ms)>,
}

impl Store {
    pub(super) fn stamp(&self, path: &str) -> u64 {
        self.kv.get(path).map_or(0, |v| v.1)
    }
    pub(super) fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let bad: Vec<String> =
            txn.guards.iter().filter(|g| self.stamp(&g.path) != g.stamp).map(|g| g.path.clone()).collect();
        if !bad.is_empty() {
            return Err(bad);
        }
        self.epoch += 1;
        for w in &txn.writes {
            match w {
                Write::Set { set, data, .. } => self.kv.insert(set.clone(), (data.clone(), self.epoch)),
                Write::Delete { delete } => self.kv.remove(delete),
            };
        }
        Ok(self.epoch)
    }
    pub(super) fn fate(&self, id: &str) -> Option<Fate> {
        let path = format!("{}{id}", key::FATE);
        self.kv.get(&path).and_then(|(d, _)| read_value::<FateRecord>(&path, d.clone())).map(|f| f.fate)
    }
}
