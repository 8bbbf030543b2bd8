//! What the cloud says of machines, taken into the leader's state.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ListedMachine, Machine, MachinePool, MachineState, Rental};
use crate::model::*;

impl Cluster {
    /// Types as the cloud gives them.
    pub fn set_types(&mut self, types: &[MachineType]) {
        for t in types {
            self.types.insert(t.name.clone(), t.clone());
        }
        for m in self.machines.values_mut() {
            if let Some(t) = self.types.get(&m.kind) {
                m.size = t.size();
            }
        }
        self.queue_changed = true;
    }

    /// A whole list of the cloud's.  Absence from it proves nothing: lists
    /// lag and go backwards.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        for l in list {
            let types = &self.types;
            let new = !self.machines.contains_key(&l.name);
            let m = self.machines.entry(l.name.clone()).or_insert_with(|| {
                let mut m = Machine::new(l.name.clone(), l.kind.clone(), l.zone.clone(), l.spot, now);
                m.size = types.get(&l.kind).map(|t| t.size()).unwrap_or_default();
                m
            });
            if new {
                tracing::info!(
                    "machine {} is listed: {} in {}, spot {}, {:?}",
                    l.name,
                    l.kind,
                    l.zone,
                    l.spot,
                    l.state
                );
                let held = Duration::from_secs_f64(l.age_s.clamp(0.0, 1e6));
                m.rented_at = now.checked_sub(held).unwrap_or(now);
            }
            m.last_listed = Some(now);
            if m.state != Some(MachineState::Failed) {
                m.state = Some(l.state);
            }
        }
        self.fleet.last_full_list = Some(now);
    }

    /// Names the cloud rented to us.
    pub fn apply_rental(&mut self, r: &Rental, names: &[Name], now: Instant) {
        self.fleet.mark_answered(&r.request_id, now);
        tracing::info!("rented {} of {} {} in {}, spot {}: {names:?}", names.len(), r.count, r.kind, r.zone, r.spot);
        if (names.len() as u32) < r.count {
            self.mark_pool_exhausted(&(r.kind.clone(), r.zone.clone(), r.spot), now);
        }
        for n in names {
            let size = self.types.get(&r.kind).map(|t| t.size()).unwrap_or_default();
            let m = self
                .machines
                .entry(n.clone())
                .or_insert_with(|| Machine::new(n.clone(), r.kind.clone(), r.zone.clone(), r.spot, now));
            m.size = size;
        }
    }

    /// The cloud has none of these.
    pub fn mark_pool_exhausted(&mut self, pool: &MachinePool, now: Instant) {
        self.fleet.exhausted_pools.insert(pool.clone(), now + self.policy.capacity_rest);
    }

    /// The cloud's 200 to a deletion: the machines and all on them are gone.
    pub fn apply_deletion(&mut self, names: &[Name], now: Instant) {
        for n in names {
            self.release_all_assignments(n, now);
            if let Some(m) = self.machines.get_mut(n) {
                tracing::info!("machine {n} is gone");
                m.removed_at.get_or_insert(now);
                m.exited.clear();
            }
        }
        self.queue_changed = true;
    }
}
