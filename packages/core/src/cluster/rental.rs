//! Rentals of machines, and the state of the leader's requests to the cloud.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use coralnotch_wire::cloud::{ListedMachine, MachineState, Rental};

use super::Machine;
use crate::model::*;
use crate::policy::Policy;
use coralnotch_wire::state::{Txn, Write};

/// A pool of equivalent machines: of one type, in one zone, and either spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    /// Type of the machines.
    pub machine_type: Name,
    /// Zone of the machines.
    pub zone: Name,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

impl MachinePool {
    /// Returns the pool from which a rental requests machines.
    pub fn from_rental(rental: &Rental) -> MachinePool {
        MachinePool { machine_type: rental.machine_type.clone(), zone: rental.zone.clone(), spot: rental.spot }
    }

    /// Returns the pool to which a machine belongs.
    pub fn from_machine(machine: &Machine) -> MachinePool {
        MachinePool { machine_type: machine.machine_type.clone(), zone: machine.zone.clone(), spot: machine.spot }
    }
}

/// A part of the cluster that may be partitioned from this controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PartitionScope {
    /// All machines.
    Cluster,
    /// The machines of a zone.
    Zone(Name),
}

/// Upper bound of the heartbeat capacity, as a multiple of its initial value.  Steady operation
/// does not show the load in the seconds after a restart, when all workers register at once: a
/// leader whose capacity had grown with its load lost its tasks then.
const MAX_CAPACITY_GROWTH: f64 = 1.15;
/// Lower bound of the heartbeat capacity, as a divisor of its initial value.
const MIN_CAPACITY_DIVISOR: f64 = 2.0;
/// Share of the heartbeat capacity that must be in use for the capacity to grow.
const MIN_UTILIZATION_TO_GROW: f64 = 0.95;
/// Time constant of the adaptation of the heartbeat capacity, in worker leases.
const LEASES_PER_ADAPTATION: f64 = 4.0;

/// The number of machines whose heartbeats the leader can process.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatCapacity {
    /// Number of machines; not an integer, because a step of the adaptation can be smaller than
    /// one machine.
    pub machines: f64,
    /// When the number was last adapted.
    pub adapted_at: Instant,
}

/// A rental in a stored record, with the state of its request.
#[derive(Debug, Clone)]
pub struct RecordedRental {
    /// Id of the request, which makes the request idempotent.
    pub request_id: Name,
    /// When the cloud answered the request; `None` while the request is open.
    pub answered_at: Option<Instant>,
}

/// State of the leader's requests to the cloud.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Number of the last rental that was requested; the next one gets the number after it.
    pub(crate) last_request_number: u64,
    /// Pools without capacity, each with the time until which no rental is requested from it.
    pub exhausted_pools: HashMap<MachinePool, Instant>,
    /// Rentals that the cloud has not answered.  They are requested again with the same request
    /// ids, so that nothing is rented twice.
    pub open_rentals: Vec<Rental>,
    /// Stored records of rentals, by key.
    pub records: BTreeMap<String, Vec<RecordedRental>>,
    last_record: u64,
    /// When the last complete list of machines arrived; `None` before the first.
    pub last_full_list: Option<Instant>,
    /// Zones that seem to be partitioned: many of their machines miss their heartbeats, or did
    /// a short time ago.
    pub partitioned_zones: HashSet<Name>,
    /// When each zone, and the cluster as a whole, last seemed to be partitioned.
    pub(crate) last_seen_partitioned: HashMap<PartitionScope, Instant>,
    /// Estimated number of machines whose heartbeats the leader can process; `None` before the
    /// first estimate.
    pub heartbeat_capacity: Option<HeartbeatCapacity>,
}

/// The result of one attempt to store a record of rentals.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordAttempt {
    /// The transaction was committed.
    Committed,
    /// The preconditions on these keys did not hold.
    Conflict(Vec<String>),
    /// There was no response: the transaction may have been committed, or may be committed
    /// later.
    Indeterminate,
    /// The transaction was not committed.
    Refused,
}

/// A record of rentals that is being stored under a key that no other record ever has.  The
/// rentals are requested only after their record is stored.
#[derive(Debug)]
pub struct RentalRecording {
    /// Key under which the record is stored.
    pub key: String,
    /// Rentals in the record.
    pub rentals: Vec<Rental>,
    /// Whether an attempt got no response, so that the record may be stored.
    may_be_stored: bool,
}

/// The state of a record after an attempt to store it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordProgress {
    /// The record is stored.
    Stored,
    /// The record is not stored and will not be.
    NotStored,
    /// The attempt must be repeated.  The transaction may still be committed, and if the rentals
    /// were planned anew instead, the next leader would find both records.
    Repeat,
}

impl RentalRecording {
    /// Returns the transaction that stores the record; `leader` is the revision of the leader
    /// key.  The transaction is the same at each attempt, so that one that is carried out late
    /// finds the key present, or another leader, and changes nothing.
    pub fn txn(&self, leader: u64) -> Txn {
        let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(self.key.clone(), &self.rentals)] };
        txn.add_precondition(crate::key::LEADER, leader);
        txn.add_precondition(self.key.clone(), 0);
        txn
    }

    /// Applies the result of an attempt to store the record.
    pub fn apply_attempt(&mut self, outcome: &RecordAttempt) -> RecordProgress {
        match outcome {
            RecordAttempt::Committed => RecordProgress::Stored,
            // no other record has this key, so an earlier attempt was committed
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
    /// Begins a record of those of the rentals that are in no record yet.  Returns `None` if all
    /// are recorded.
    pub fn begin_recording(&mut self, rentals: &[Rental], term: u64) -> Option<RentalRecording> {
        let rentals = self.unrecorded(rentals);
        if rentals.is_empty() {
            return None;
        }
        Some(RentalRecording { key: self.new_record_key(term), rentals, may_be_stored: false })
    }

    /// Returns those of the rentals that are in no record yet.
    pub(crate) fn unrecorded(&self, rentals: &[Rental]) -> Vec<Rental> {
        let is_recorded = |id: &Name| self.records.values().flatten().any(|recorded| recorded.request_id == *id);
        rentals.iter().filter(|rental| !is_recorded(&rental.request_id)).cloned().collect()
    }

    /// Returns a key for a new record that was never used before.  Reuse would be unsafe, because a
    /// record whose attempt got no response may still be written under its key.
    pub(crate) fn new_record_key(&mut self, term: u64) -> String {
        self.last_record += 1;
        format!("{}{term}-{}", crate::key::RENTAL, self.last_record)
    }

    /// Notes that a record of these rentals is stored under `key`.
    pub fn mark_recorded(&mut self, key: String, rentals: &[Rental]) {
        let open = |rental: &Rental| RecordedRental { request_id: rental.request_id.clone(), answered_at: None };
        self.records.insert(key, rentals.iter().map(open).collect());
    }

    /// Takes over the record of a previous leader.  Its rentals are requested again with the
    /// same request ids, which rents nothing twice and returns the machines that were rented.
    pub fn add_inherited_record(&mut self, key: String, rentals: Vec<Rental>) {
        self.mark_recorded(key, &rentals);
        for rental in rentals {
            if !self.open_rentals.iter().any(|open| open.request_id == rental.request_id) {
                self.open_rentals.push(rental);
            }
        }
    }

    /// Notes that the cloud has answered a rental, with or without machines.
    pub fn mark_answered(&mut self, request_id: &Name, now: Instant) {
        self.open_rentals.retain(|open| open.request_id != *request_id);
        for recorded in self.records.values_mut().flatten().filter(|r| r.request_id == *request_id) {
            recorded.answered_at.get_or_insert(now);
        }
    }

    /// Returns the keys of at most `limit` records that are no longer needed: all of their
    /// rentals were answered longer than `retention` ago, so that the list of machines has what
    /// they rented.
    pub fn expired_records(&self, retention: Duration, limit: usize, now: Instant) -> Vec<String> {
        let is_expired =
            |rental: &RecordedRental| rental.answered_at.is_some_and(|at| now.duration_since(at) > retention);
        let expired = self.records.iter().filter(|(_, rentals)| rentals.iter().all(is_expired));
        expired.map(|(key, _)| key.clone()).take(limit).collect()
    }

    /// Adapts the heartbeat capacity to `lag`, the time for which requests wait to be served.
    /// The capacity shrinks, down to half of its initial value, while `lag` exceeds `lag_most`.
    /// It grows, up to `MAX_CAPACITY_GROWTH` times its initial value, while the number of
    /// `machines` nearly reaches it and `lag` is below a quarter of `lag_most`.
    pub fn adapt_heartbeat_capacity(&mut self, lag: Duration, machines: usize, policy: &Policy, now: Instant) {
        let initial = policy.most_machines as f64;
        let previous = self.heartbeat_capacity.unwrap_or(HeartbeatCapacity { machines: initial, adapted_at: now });
        let elapsed_s = now.saturating_duration_since(previous.adapted_at).as_secs_f64();
        let step = elapsed_s / (policy.lease_over.as_secs_f64() * LEASES_PER_ADAPTATION);
        let mut capacity = previous.machines;
        if lag > policy.lag_most {
            capacity *= 1.0 - step.min(0.5);
        } else if lag < policy.lag_most / 4 && machines as f64 > capacity * MIN_UTILIZATION_TO_GROW {
            capacity = capacity.max(machines as f64) * (1.0 + step.min(1.0));
        }
        let bounded = capacity.clamp(initial / MIN_CAPACITY_DIVISOR, initial * MAX_CAPACITY_GROWTH);
        self.heartbeat_capacity = Some(HeartbeatCapacity { machines: bounded, adapted_at: now });
    }

    /// Returns the maximum number of machines that the fleet may have.
    pub fn machine_limit(&self, policy: &Policy) -> usize {
        self.heartbeat_capacity.map_or(policy.most_machines, |capacity| capacity.machines as usize)
    }
}

#[cfg(test)]
mod tests;
