//! Rentals, and what the leader remembers of its requests to the cloud.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use coralnotch_wire::cloud::{ListedMachine, MachineState, Rental};

use super::Machine;
use crate::model::*;
use crate::policy::Policy;
use coralnotch_wire::state::{Txn, Write};

/// Machines that the cloud rents alike: of one type, in one zone, spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    /// Machine type.
    pub kind: Name,
    /// Zone.
    pub zone: Name,
    /// Spot or ordinary.
    pub spot: bool,
}

impl MachinePool {
    /// The pool that a rental asks.
    pub fn of_rental(rental: &Rental) -> MachinePool {
        MachinePool { kind: rental.kind.clone(), zone: rental.zone.clone(), spot: rental.spot }
    }

    /// The pool that a machine came from.
    pub fn of_machine(machine: &Machine) -> MachinePool {
        MachinePool { kind: machine.kind.clone(), zone: machine.zone.clone(), spot: machine.spot }
    }
}

/// A part of the cluster that may be cut off from this controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PartitionScope {
    /// All machines.
    Cluster,
    /// The machines of a zone.
    Zone(Name),
}

/// How many times its initial value the heartbeat capacity may reach.  A calm fleet
/// shows nothing of the seconds after a restart, when all workers register at once: a
/// leader whose capacity had grown with its load lost its tasks then.
const MAX_CAPACITY_GROWTH: f64 = 1.15;
/// The heartbeat capacity never falls below its initial value divided by this.
const MIN_CAPACITY_DIVISOR: f64 = 2.0;
/// Part of the heartbeat capacity that must be in use for it to grow.
const CAPACITY_IN_USE: f64 = 0.95;
/// Within how many worker leases the heartbeat capacity may double, or halve.
const LEASES_PER_ADAPTATION: f64 = 4.0;

/// How many machines' heartbeats the leader can process.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatCapacity {
    /// Machines; adapted in small steps, and so no whole number.
    pub machines: f64,
    /// When it was last adapted.
    pub adapted_at: Instant,
}

/// A rental in a stored record.
#[derive(Debug, Clone)]
pub struct RecordedRental {
    /// Its idempotency key.
    pub request_id: Name,
    /// When the cloud answered it; `None` while it is open.
    pub answered_at: Option<Instant>,
}

/// What the leader remembers of its requests to the cloud.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Number of the last rental requested.
    pub(crate) next_request_id: u64,
    /// Pools without capacity, each with the time until which it is not asked.
    pub exhausted_pools: HashMap<MachinePool, Instant>,
    /// Rentals that the cloud has not answered.  They are requested again with the
    /// same request id, and so rent nothing twice.
    pub open_rentals: Vec<Rental>,
    /// Records of rentals in the state store, by key.
    pub records: BTreeMap<String, Vec<RecordedRental>>,
    next_record: u64,
    /// When the last whole list of machines arrived.
    pub last_full_list: Option<Instant>,
    /// Zones that seem to be partitioned: many of their machines miss their
    /// heartbeats, or did until lately.
    pub partitioned_zones: HashSet<Name>,
    /// When a zone, or the whole cluster, last seemed to be partitioned; at most one
    /// entry each.
    pub(crate) last_seen_partitioned: HashMap<PartitionScope, Instant>,
    /// How many machines' heartbeats the leader can process, as measured; `None` before
    /// the first measurement.
    pub heartbeat_capacity: Option<HeartbeatCapacity>,
}

/// Outcome of one attempt to store a record of rentals.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordAttempt {
    /// The transaction was committed.
    Done,
    /// The preconditions on these keys did not hold.
    Conflict(Vec<String>),
    /// No answer: the transaction may have been committed, or may be later.
    Indeterminate,
    /// The transaction was not committed.
    Refused,
}

/// A record of rentals that is being stored, under a key that no other record ever has.
/// The rentals are requested once their record is stored, and not before.
#[derive(Debug)]
pub struct RentalRecording {
    /// Key of the record.
    pub key: String,
    /// Its rentals.
    pub rentals: Vec<Rental>,
    /// An attempt got no answer.
    may_be_stored: bool,
}

/// Whether a record is stored after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordProgress {
    /// It is stored.
    Stored,
    /// It is not stored, and will not be.
    NotStored,
    /// The attempt is to be repeated: its transaction may be committed yet, and a next leader
    /// would find a record of what had been planned anew.
    Repeat,
}

impl RentalRecording {
    /// The transaction, the same at each attempt: one that is carried out late finds the
    /// key present, or another leader, and changes nothing.
    pub fn txn(&self, leader: u64) -> Txn {
        let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(self.key.clone(), &self.rentals)] };
        txn.require(crate::key::LEADER, leader);
        txn.require(self.key.clone(), 0);
        txn
    }

    /// Applies the outcome of an attempt to store the record.
    pub fn apply_attempt(&mut self, outcome: &RecordAttempt) -> RecordProgress {
        match outcome {
            RecordAttempt::Done => RecordProgress::Stored,
            // no other record has this key: an earlier attempt was committed
            RecordAttempt::Conflict(keys) if self.may_be_stored && *keys == [self.key.as_str()] => {
                RecordProgress::Stored
            }
            RecordAttempt::Indeterminate => {
                self.may_be_stored = true;
                RecordProgress::Repeat
            }
            RecordAttempt::Conflict(_) | RecordAttempt::Refused => RecordProgress::NotStored,
        }
    }
}

impl Fleet {
    /// Begins a record of those rentals that no record has yet; `None` if all are recorded.
    pub fn begin_recording(&mut self, rentals: &[Rental], term: u64) -> Option<RentalRecording> {
        let rentals = self.unrecorded(rentals);
        if rentals.is_empty() {
            return None;
        }
        Some(RentalRecording { key: self.new_record_key(term), rentals, may_be_stored: false })
    }

    /// Those of the rentals that no record has yet.
    pub(crate) fn unrecorded(&self, rentals: &[Rental]) -> Vec<Rental> {
        let is_recorded = |id: &Name| self.records.values().flatten().any(|recorded| recorded.request_id == *id);
        rentals.iter().filter(|rental| !is_recorded(&rental.request_id)).cloned().collect()
    }

    /// A key for a new record that was never used before: a record in doubt may be written
    /// yet, and must not replace another.
    pub(crate) fn new_record_key(&mut self, term: u64) -> String {
        self.next_record += 1;
        format!("{}{term}-{}", crate::key::RENTAL, self.next_record)
    }

    /// Notes that a record of these rentals is stored.
    pub fn mark_recorded(&mut self, key: String, rentals: &[Rental]) {
        let open = |rental: &Rental| RecordedRental { request_id: rental.request_id.clone(), answered_at: None };
        self.records.insert(key, rentals.iter().map(open).collect());
    }

    /// Takes over a previous leader's record.  Its rentals are requested again with the
    /// same request ids: that rents nothing twice, and returns what was rented.
    pub fn inherit(&mut self, key: String, rentals: Vec<Rental>) {
        self.mark_recorded(key, &rentals);
        for rental in rentals {
            if !self.open_rentals.iter().any(|open| open.request_id == rental.request_id) {
                self.open_rentals.push(rental);
            }
        }
    }

    /// Notes that the cloud has answered a rental, with machines or without.
    pub fn mark_answered(&mut self, request_id: &Name, now: Instant) {
        self.open_rentals.retain(|open| open.request_id != *request_id);
        for recorded in self.records.values_mut().flatten().filter(|r| r.request_id == *request_id) {
            recorded.answered_at.get_or_insert(now);
        }
    }

    /// Keys of at most `most` records that are of no more use: all of their rentals were
    /// answered more than `kept` ago, so that the list of machines has what they rented.
    pub fn expired_records(&self, kept: Duration, most: usize, now: Instant) -> Vec<String> {
        let is_expired = |rental: &RecordedRental| rental.answered_at.is_some_and(|at| now.duration_since(at) > kept);
        let expired = self.records.iter().filter(|(_, rentals)| rentals.iter().all(is_expired));
        expired.map(|(key, _)| key.clone()).take(most).collect()
    }

    /// Adapts the heartbeat capacity to how long requests wait to be served.  It shrinks,
    /// down to half of its initial value, while they wait for longer than `lag_most`; it
    /// grows, up to `MAX_CAPACITY_GROWTH` times its initial value, while `machines`
    /// nearly use it up and their heartbeats hardly wait.
    pub fn adapt_heartbeat_capacity(&mut self, lag: Duration, machines: usize, policy: &Policy, now: Instant) {
        let initial = policy.most_machines as f64;
        let previous = self.heartbeat_capacity.unwrap_or(HeartbeatCapacity { machines: initial, adapted_at: now });
        let elapsed_s = now.saturating_duration_since(previous.adapted_at).as_secs_f64();
        let step = elapsed_s / (policy.lease_over.as_secs_f64() * LEASES_PER_ADAPTATION);
        let mut capacity = previous.machines;
        if lag > policy.lag_most {
            capacity *= 1.0 - step.min(0.5);
        } else if lag < policy.lag_most / 4 && machines as f64 > capacity * CAPACITY_IN_USE {
            capacity = capacity.max(machines as f64) * (1.0 + step.min(1.0));
        }
        let bounded = capacity.clamp(initial / MIN_CAPACITY_DIVISOR, initial * MAX_CAPACITY_GROWTH);
        self.heartbeat_capacity = Some(HeartbeatCapacity { machines: bounded, adapted_at: now });
    }

    /// The most machines there should be.
    pub fn machine_limit(&self, policy: &Policy) -> usize {
        self.heartbeat_capacity.map_or(policy.most_machines, |capacity| capacity.machines as usize)
    }
}

#[cfg(test)]
mod tests;
