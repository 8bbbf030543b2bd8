//! Rentals, and what the leader remembers of its dealings with the cloud.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use coralnotch_wire::cloud::{ListedMachine, MachineState, Rental};

use crate::model::*;
use crate::policy::Policy;
use coralnotch_wire::state::{Txn, Write};

/// A kind of machine in a zone.
pub type MachinePool = (Name, Name, bool);

/// How many times what it begins with a leader may learn to hear.  A calm fleet
/// tells nothing of the seconds after a restart, when all workers come at once: a
/// leader that had grown to all that it heard lost its tasks then.
const MOST_LEARNED: f64 = 1.15;

/// What the leader remembers of its dealings with the cloud.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Number of the last rental asked for.
    pub(crate) next_request_id: u64,
    /// Pools without capacity, and until when they are not asked.
    pub exhausted_pools: HashMap<MachinePool, Instant>,
    /// Rentals under way or in doubt; in doubt they are asked again under the
    /// same charter.
    pub open_rentals: Vec<Rental>,
    /// Records of rentals in the store, each with its charters and when they
    /// were answered.
    pub records: BTreeMap<String, Vec<(Name, Option<Instant>)>>,
    next_record: u64,
    /// When the last whole list arrived.
    pub last_full_list: Option<Instant>,
    /// Zones that seem to be cut off: many of their machines are silent, or
    /// were until lately.
    pub partitioned_zones: HashSet<Name>,
    /// When a zone, or all of them, last seemed so; at most one entry a zone.
    pub(crate) last_seen_partitioned: HashMap<Option<Name>, Instant>,
    /// How many machines the leader can listen to, as it has learned, and when
    /// it last did.
    pub heartbeat_capacity: Option<(f64, Instant)>,
}

/// What became of a try to put rentals on record.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordAttempt {
    /// It was carried out.
    Done,
    /// These keys were not as expected.
    Conflict(Vec<String>),
    /// No answer: it may have been carried out, or may be later.
    Doubt,
    /// It was not carried out.
    Refused,
}

/// Rentals on their way onto the record, under one key that no other record ever has.
/// They are asked for once they are on record, and not before.
#[derive(Debug)]
pub struct RentalRecording {
    /// The key.
    pub key: String,
    /// What is to be on record.
    pub rentals: Vec<Rental>,
    /// A try got no answer.
    doubted: bool,
}

impl RentalRecording {
    /// The transaction, the same at each try: whatever of it comes late finds the key
    /// there, or another leader.
    pub fn txn(&self, leader: u64) -> Txn {
        let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(self.key.clone(), &self.rentals)] };
        txn.require(crate::key::LEADER, leader);
        txn.require(self.key.clone(), 0);
        txn
    }

    /// Whether they are on record after a try, or `None` if it is to be tried again: what
    /// stays in doubt may be carried out yet, and a next leader would find a record of what
    /// was planned anew.
    pub fn apply_attempt(&mut self, outcome: &RecordAttempt) -> Option<bool> {
        match outcome {
            RecordAttempt::Done => Some(true),
            // its key is this record's alone
            RecordAttempt::Conflict(keys) if self.doubted && *keys == [self.key.as_str()] => Some(true),
            RecordAttempt::Doubt => {
                self.doubted = true;
                None
            }
            RecordAttempt::Conflict(_) | RecordAttempt::Refused => Some(false),
        }
    }
}

impl Fleet {
    /// What of these rentals has to be put on record in this term; nothing if all are.
    pub fn begin_recording(&mut self, rentals: &[Rental], term: u64) -> Option<RentalRecording> {
        let rentals = self.unrecorded(rentals);
        (!rentals.is_empty()).then(|| RentalRecording { key: self.record_key(term), rentals, doubted: false })
    }

    /// Those of these rentals that are not on record yet.
    pub(crate) fn unrecorded(&self, rentals: &[Rental]) -> Vec<Rental> {
        let on = |c: &Name| self.records.values().flatten().any(|r| r.0 == *c);
        rentals.iter().filter(|r| !on(&r.request_id)).cloned().collect()
    }

    /// A key for a new record, never used before: one that stayed in doubt may
    /// be written yet, and must not replace another.
    pub(crate) fn record_key(&mut self, term: u64) -> String {
        self.next_record += 1;
        format!("{}{term}-{}", crate::key::RENTAL, self.next_record)
    }

    /// These rentals are on record.
    pub fn mark_recorded(&mut self, key: String, rentals: &[Rental]) {
        self.records.insert(key, rentals.iter().map(|r| (r.request_id.clone(), None)).collect());
    }

    /// A previous leader's record.  What it asked for is asked for again under the
    /// same charter: that rents nothing twice, and tells what was rented.
    pub fn inherit(&mut self, key: String, rentals: Vec<Rental>) {
        self.mark_recorded(key, &rentals);
        for r in rentals {
            if !self.open_rentals.iter().any(|o| o.request_id == r.request_id) {
                self.open_rentals.push(r);
            }
        }
    }

    /// The cloud has answered a rental, one way or the other.
    pub fn mark_answered(&mut self, charter: &Name, now: Instant) {
        self.open_rentals.retain(|o| o.request_id != *charter);
        for r in self.records.values_mut().flatten().filter(|r| r.0 == *charter) {
            r.1.get_or_insert(now);
        }
    }

    /// Records of which nothing is to be learned any more: all was answered so
    /// long ago that a list has it.
    pub fn expired_records(&self, kept: Duration, most: usize, now: Instant) -> Vec<String> {
        let over = |r: &(Name, Option<Instant>)| r.1.is_some_and(|t| now.duration_since(t) > kept);
        self.records.iter().filter(|(_, l)| l.iter().all(over)).map(|(k, _)| k.clone()).take(most).collect()
    }

    /// Learns how many machines the leader can listen to, from how long requests
    /// wait for their turn: fewer, down to half of what the policy begins with,
    /// while they wait for longer than `lag_most`; more, while a fleet of that size
    /// is heard without a wait, up to [`MOST_LEARNED`] of it.  Within four leases
    /// it may double, or halve.
    pub fn adapt_heartbeat_capacity(&mut self, lag: Duration, here: usize, policy: &Policy, now: Instant) {
        let begin = policy.most_machines as f64;
        let (mut hears, last) = self.heartbeat_capacity.unwrap_or((begin, now));
        let step = now.saturating_duration_since(last).as_secs_f64() / (policy.lease_over.as_secs_f64() * 4.0);
        if lag > policy.lag_most {
            hears *= 1.0 - step.min(0.5);
        } else if lag < policy.lag_most / 4 && here as f64 > hears * 0.95 {
            hears = hears.max(here as f64) * (1.0 + step.min(1.0));
        }
        self.heartbeat_capacity = Some((hears.clamp(begin / 2.0, begin * MOST_LEARNED), now));
    }

    /// The most machines there should be.
    pub fn machine_limit(&self, policy: &Policy) -> usize {
        self.heartbeat_capacity.map_or(policy.most_machines, |h| h.0 as usize)
    }
}

#[cfg(test)]
mod tests;
