//! Rentals, and what the leader remembers of its dealings with the cloud.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use coralnotch_wire::cloud::{Listed, Rental, Stage};

use crate::model::*;

/// A kind of machine in a zone.
pub type Pool = (Name, Name, bool);

/// What the leader remembers of its dealings with the cloud.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Number of the last rental asked for.
    pub(crate) next_charter: u64,
    /// Pools without capacity, and until when they are not asked.
    pub resting: HashMap<Pool, Instant>,
    /// Rentals under way or in doubt; in doubt they are asked again under the
    /// same charter.
    pub open: Vec<Rental>,
    /// Records of rentals in the store, each with its charters and when they
    /// were answered.
    pub records: BTreeMap<String, Vec<(Name, Option<Instant>)>>,
    next_record: u64,
    /// When the last whole list arrived.
    pub listed: Option<Instant>,
    /// Zones that seem to be cut off: many of their machines are silent, or
    /// were until lately.
    pub cut: HashSet<Name>,
    /// When a zone, or all of them, last seemed so; at most one entry a zone.
    pub(crate) seemed_cut: HashMap<Option<Name>, Instant>,
}

impl Fleet {
    /// Those of these rentals that are not on record yet.
    pub fn unrecorded(&self, rentals: &[Rental]) -> Vec<Rental> {
        let on = |c: &Name| self.records.values().flatten().any(|r| r.0 == *c);
        rentals.iter().filter(|r| !on(&r.charter)).cloned().collect()
    }

    /// A key for a new record, never used before: one that stayed in doubt may
    /// be written yet, and must not replace another.
    pub fn record_key(&mut self, term: u64) -> String {
        self.next_record += 1;
        format!("{}{term}-{}", crate::key::RENTAL, self.next_record)
    }

    /// These rentals are on record.
    pub fn recorded(&mut self, key: String, rentals: &[Rental]) {
        self.records.insert(key, rentals.iter().map(|r| (r.charter.clone(), None)).collect());
    }

    /// A forerunner's record.  What it asked for is asked for again under the
    /// same charter: that rents nothing twice, and tells what was rented.
    pub fn inherit(&mut self, key: String, rentals: Vec<Rental>) {
        self.recorded(key, &rentals);
        for r in rentals {
            if !self.open.iter().any(|o| o.charter == r.charter) {
                self.open.push(r);
            }
        }
    }

    /// The cloud has answered a rental, one way or the other.
    pub fn answered(&mut self, charter: &Name, now: Instant) {
        self.open.retain(|o| o.charter != *charter);
        for r in self.records.values_mut().flatten().filter(|r| r.0 == *charter) {
            r.1.get_or_insert(now);
        }
    }

    /// Records of which nothing is to be learned any more: all was answered so
    /// long ago that a list has it.
    pub fn outlived(&self, kept: Duration, most: usize, now: Instant) -> Vec<String> {
        let over = |r: &(Name, Option<Instant>)| r.1.is_some_and(|t| now.duration_since(t) > kept);
        self.records.iter().filter(|(_, l)| l.iter().all(over)).map(|(k, _)| k.clone()).take(most).collect()
    }
}
