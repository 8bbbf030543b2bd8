//! Reconciliation of the leader's machines with the responses of the cloud: machine types, the
//! machine list, rentals and deletions.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ListedMachine, Machine, MachinePool, MachineState, Rental};
use crate::model::*;

/// Maximum age of a listed machine, in seconds; a greater age is reduced to this.
const MAX_LISTED_AGE_S: f64 = 1e6;

impl Cluster {
    /// Adds or replaces the machine types that the cloud offers, and updates the sizes of the
    /// machines of these types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            self.machine_types.insert(machine_type.name.clone(), machine_type.clone());
        }
        for machine in self.machines.values_mut() {
            if let Some(machine_type) = self.machine_types.get(&machine.machine_type) {
                machine.size = machine_type.resources();
            }
        }
        self.queue_changed = true;
    }

    /// Applies a complete list of the cloud's machines.  A machine that the list lacks is not
    /// removed, because lists lag and a later response may contain an older list.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        for listed in list {
            let machine_types = &self.machine_types;
            let is_new = !self.machines.contains_key(&listed.name);
            let machine = self.machines.entry(listed.name.clone()).or_insert_with(|| {
                let (name, machine_type, zone) =
                    (listed.name.clone(), listed.machine_type.clone(), listed.zone.clone());
                let mut machine = Machine::new(name, machine_type, zone, listed.spot, now);
                machine.size = machine_types
                    .get(&listed.machine_type)
                    .map(|machine_type| machine_type.resources())
                    .unwrap_or_default();
                machine
            });
            if is_new {
                tracing::info!(
                    machine = %listed.name,
                    kind = %listed.machine_type,
                    zone = %listed.zone,
                    spot = listed.spot,
                    state = ?listed.state,
                    "machine list contains a new machine"
                );
                let age = Duration::from_secs_f64(listed.age_s.clamp(0.0, MAX_LISTED_AGE_S));
                machine.rented_at = now.checked_sub(age).unwrap_or(now);
            }
            machine.last_listed = Some(now);
            if machine.state != Some(MachineState::Failed) {
                machine.state = Some(listed.state);
            }
        }
        self.fleet.last_full_list = Some(now);
    }

    /// Applies the cloud's response to a rental, with the names of the rented machines.  Fewer
    /// machines than requested mean that the pool has no capacity left.
    pub fn apply_rental(&mut self, rental: &Rental, names: &[Name], now: Instant) {
        self.fleet.mark_answered(&rental.request_id, now);
        tracing::info!(
            rented = names.len(),
            requested = rental.count,
            kind = %rental.machine_type,
            zone = %rental.zone,
            spot = rental.spot,
            machines = ?names,
            "cloud rented machines"
        );
        if (names.len() as u32) < rental.count {
            self.mark_pool_exhausted(rental, now);
        }
        for name in names {
            let size = self
                .machine_types
                .get(&rental.machine_type)
                .map(|machine_type| machine_type.resources())
                .unwrap_or_default();
            let machine = self.machines.entry(name.clone()).or_insert_with(|| {
                Machine::new(name.clone(), rental.machine_type.clone(), rental.zone.clone(), rental.spot, now)
            });
            machine.size = size;
        }
    }

    /// Excludes the pool of a rental that the cloud cannot serve from new rentals for the
    /// policy's `capacity_rest`.
    pub fn mark_pool_exhausted(&mut self, rental: &Rental, now: Instant) {
        self.fleet.exhausted_pools.insert(MachinePool::from_rental(rental), now + self.policy.capacity_rest);
    }

    /// Applies a deletion that the cloud has confirmed: marks the machines as removed and
    /// releases all tasks on them.
    pub fn apply_deletion(&mut self, names: &[Name], now: Instant) {
        for name in names {
            self.release_all_assignments(name, now);
            if let Some(machine) = self.machines.get_mut(name) {
                tracing::info!(machine = %name, "cloud confirmed the deletion of a machine");
                machine.removed_at.get_or_insert(now);
                machine.exited.clear();
            }
        }
        self.queue_changed = true;
    }
}
