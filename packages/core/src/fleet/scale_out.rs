//! Scale-out: which machines are rented for the demand that found no room.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use super::demand::MAX_TASKS_COUNTED;
use super::headroom::Guarantees;
use super::FleetPlan;
use crate::cluster::{zone_allows, Cluster, MachinePool, Rental, UnmetDemand};
use crate::model::*;

/// Most machines in one rental.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Difference in cores or GPUs that counts as none.
const CAPACITY_TOLERANCE: f64 = 1e-6;

/// A machine that is booting, or is to be rented, with what is free on it.
struct ArrivingMachine {
    pool: MachinePool,
    free: Resources,
}

/// What is to be rented, as the plan takes shape.
struct ScaleOut {
    arriving: Vec<ArrivingMachine>,
    machines_per_zone: HashMap<Name, usize>,
    new_machines: BTreeMap<MachinePool, u32>,
}

impl ScaleOut {
    /// One more machine of a pool is rented; `free` is left on it.
    fn rent(&mut self, pool: MachinePool, free: Resources) {
        *self.machines_per_zone.entry(pool.zone.clone()).or_default() += 1;
        *self.new_machines.entry(pool.clone()).or_insert(0) += 1;
        self.arriving.push(ArrivingMachine { pool, free });
    }
}

/// Running array tasks whose resources waiting tasks of arrays will get in time.
///
/// Arrays share what already runs arrays: only the work that these slots cannot get
/// through in time asks for more machines.  There is one count for each of the two
/// horizons, that of ordinary machines and the shorter one of spot machines.
struct ArraySlots {
    ordinary: f64,
    spot: f64,
}

/// How many tasks of a demand need new machines.
#[derive(Clone, Copy)]
struct Shortfall {
    /// All of them.
    count: u32,
    /// Those that are worth a spot machine only.
    spot_only: u32,
}

/// Takes what is needed from the slots.  Returns how many tasks they do not serve, at
/// most `waiting`.
fn take_slots(slots: &mut f64, needed: f64, waiting: u32) -> u32 {
    let served = slots.min(needed);
    *slots -= served;
    ((needed - served).ceil() as u32).min(waiting)
}

/// How many of `count` more tasks a job may have in the zone of a pool.
fn count_allowed(spec: &JobSpec, pool: &MachinePool, zones: &BTreeMap<Name, u32>, count: u32) -> u32 {
    if !spec.allows(&pool.kind, &pool.zone, pool.spot) || !zone_allows(spec, &pool.zone, zones) {
        return 0;
    }
    let here = zones.get(&pool.zone).copied().unwrap_or(0);
    count.min(spec.zone_cap().saturating_sub(here))
}

/// The best pool found so far.
struct PoolOffer {
    cost: f64,
    machines_in_zone: usize,
    pool: MachinePool,
    size: Resources,
}

impl Cluster {
    /// Adds rentals to the plan: those that are still open, and new ones for demand
    /// that neither running nor arriving machines can meet.
    pub(super) fn plan_scale_out(
        &mut self,
        unmet_demand: &[UnmetDemand],
        guarantees: &Guarantees,
        plan: &mut FleetPlan,
        now: Instant,
    ) {
        // machines on their way count before new ones are asked for.  A new leader
        // knows those of its previous leader from the list, and what the list may
        // lack from the records, which count until they are answered
        if self.fleet.last_full_list.is_none() {
            return;
        }
        plan.rentals.extend(self.fleet.open_rentals.iter().cloned());
        let mut scale_out = ScaleOut {
            arriving: self.arriving_machines(),
            machines_per_zone: self.machines_per_zone(),
            new_machines: BTreeMap::new(),
        };
        let array_slots = self.count_array_slots();
        let mut slots = ArraySlots { ordinary: array_slots, spot: array_slots };
        let mut all_demand = unmet_demand.to_vec();
        for expected in self.expected_demand(now) {
            // first, or arrays would fill what is on its way in every pass
            all_demand.insert(0, expected);
        }
        for demand in &all_demand {
            let shortfall = self.shortfall(demand, &mut slots);
            self.meet_demand(demand, shortfall, &mut scale_out, now);
        }
        self.rent_headroom(guarantees, &mut scale_out, now);
        self.request_rentals(scale_out.new_machines, plan);
    }

    /// Machines that have not sent a heartbeat yet, listed or asked for.
    fn arriving_machines(&self) -> Vec<ArrivingMachine> {
        let booting = self.machines.values().filter(|machine| {
            machine.removed_at.is_none()
                && machine.last_heartbeat.is_none()
                && machine.deletion_sent_at.is_none()
                && machine.tasks.is_empty()
        });
        let mut arriving: Vec<ArrivingMachine> = booting
            .map(|machine| ArrivingMachine { pool: MachinePool::of_machine(machine), free: machine.size })
            .collect();
        for rental in &self.fleet.open_rentals {
            let Some(machine_type) = self.types.get(&rental.kind) else { continue };
            let rented = (0..rental.count)
                .map(|_| ArrivingMachine { pool: MachinePool::of_rental(rental), free: machine_type.size() });
            arriving.extend(rented);
        }
        arriving
    }

    fn machines_per_zone(&self) -> HashMap<Name, usize> {
        let mut machines_per_zone: HashMap<Name, usize> = HashMap::new();
        for machine in self.machines.values().filter(|machine| machine.removed_at.is_none()) {
            *machines_per_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        machines_per_zone
    }

    /// Running tasks of arrays without a stop request.
    fn count_array_slots(&self) -> f64 {
        let tasks = self.machines.values().flat_map(|machine| machine.tasks.values());
        tasks
            .filter(|task| task.occupies_resources() && task.spec.shape == Shape::Array && task.stop_grace_s.is_none())
            .count() as f64
    }

    /// How many tasks of a demand need new machines.  All of them, but for arrays
    /// beyond their guarantee: these wait for what running arrays leave in time.
    fn shortfall(&self, demand: &UnmetDemand, slots: &mut ArraySlots) -> Shortfall {
        let (spec, policy) = (&demand.spec, &self.policy);
        if spec.shape != Shape::Array || self.jobs.get(&spec.id).is_some_and(|job| job.guaranteed) {
            return Shortfall { count: demand.count, spot_only: 0 };
        }
        let bias = self.runtime_bias.get(&spec.class).copied().unwrap_or(1.0);
        let runtime_s = (spec.estimate_s * bias).max(1.0);
        let waiting = f64::from(demand.count);
        let needed = waiting * (runtime_s / policy.horizon_s).min(1.0);
        let count = take_slots(&mut slots.ordinary, needed, demand.count);
        if !spec.spot {
            return Shortfall { count, spot_only: 0 };
        }
        // spot machines cost so little that waiting for less is worth one: a slot is
        // free again only after what runs there now
        let with_spot = take_slots(&mut slots.spot, waiting * runtime_s / policy.spot_horizon_s, demand.count);
        Shortfall { count: count.max(with_spot), spot_only: with_spot.saturating_sub(count) }
    }

    /// Meets a demand from arriving machines first, then from new ones.
    fn meet_demand(&self, demand: &UnmetDemand, shortfall: Shortfall, scale_out: &mut ScaleOut, now: Instant) {
        let spec = &demand.spec;
        let size = spec.size();
        let Shortfall { mut count, spot_only } = shortfall;
        let mut zones = demand.zones.clone();
        for ArrivingMachine { pool, free } in &mut scale_out.arriving {
            if count == 0 {
                break;
            }
            if !free.fits(&size) {
                continue;
            }
            let tasks = free.count_fitting(&size, count_allowed(spec, pool, &zones, count) as usize) as u32;
            if tasks > 0 {
                free.subtract(&size.scaled(f64::from(tasks)));
                *zones.entry(pool.zone.clone()).or_insert(0) += tasks;
                count -= tasks;
            }
        }
        // machines are compared by the price of the share that one task takes
        let tasks_per_machine = |machine_type: &MachineType| {
            let whole = machine_type.size();
            whole.fits(&size).then(|| whole.count_fitting(&size, MAX_TASKS_COUNTED).max(1) as f64)
        };
        while count > 0 {
            let is_allowed = |pool: &MachinePool| {
                count_allowed(spec, pool, &zones, 1) > 0
                    && !(pool.spot && spec.shape == Shape::Service)
                    && (pool.spot || count > spot_only)
            };
            let cheapest = self.cheapest_pool(&scale_out.machines_per_zone, now, tasks_per_machine, is_allowed);
            let Some(PoolOffer { pool, size: mut free, .. }) = cheapest else { break };
            let tasks = (free.count_fitting(&size, count_allowed(spec, &pool, &zones, count) as usize) as u32).max(1);
            free.subtract(&size.scaled(f64::from(tasks)));
            count = count.saturating_sub(tasks);
            *zones.entry(pool.zone.clone()).or_insert(0) += tasks;
            scale_out.rent(pool, free);
        }
    }

    /// The cheapest pool that may be asked now, of equally cheap ones that in the zone
    /// with fewest machines.  `units` tells how much of what is wanted a machine of a
    /// type gives; a type that gives none is passed over.
    fn cheapest_pool(
        &self,
        machines_per_zone: &HashMap<Name, usize>,
        now: Instant,
        units: impl Fn(&MachineType) -> Option<f64>,
        is_allowed: impl Fn(&MachinePool) -> bool,
    ) -> Option<PoolOffer> {
        let mut best: Option<PoolOffer> = None;
        for machine_type in self.types.values() {
            let Some(units) = units(machine_type) else { continue };
            for (zone, spot) in machine_type.zones.iter().flat_map(|zone| [(zone, true), (zone, false)]) {
                let pool = MachinePool { kind: machine_type.name.clone(), zone: zone.clone(), spot };
                // what boots in a partitioned zone is of no use
                if self.fleet.exhausted_pools.get(&pool).is_some_and(|until| *until > now)
                    || self.fleet.partitioned_zones.contains(zone)
                    || !is_allowed(&pool)
                {
                    continue;
                }
                let price = if spot { machine_type.spot_price } else { machine_type.price };
                let cost = price / units;
                let machines_in_zone = machines_per_zone.get(zone).copied().unwrap_or(0);
                if best.as_ref().is_none_or(|best| (cost, machines_in_zone) < (best.cost, best.machines_in_zone)) {
                    best = Some(PoolOffer { cost, machines_in_zone, pool, size: machine_type.size() });
                }
            }
        }
        best
    }

    /// Rents ahead where teams have guarantees: what comes next within them should
    /// not have to wait for a machine to boot.
    fn rent_headroom(&self, guarantees: &Guarantees, scale_out: &mut ScaleOut, now: Instant) {
        let Resources { cpus, gpus, .. } = self.headroom(guarantees);
        let mut free = self.free_capacity(now);
        for machine in &scale_out.arriving {
            free.add(&machine.free);
        }
        let units = |machine_type: &MachineType| match gpus > 0.0 {
            true => (machine_type.cpus > 0.0 && machine_type.gpus > 0.0).then_some(machine_type.gpus),
            false => (machine_type.cpus > 0.0).then_some(machine_type.cpus),
        };
        while free.cpus + CAPACITY_TOLERANCE < cpus || free.gpus + CAPACITY_TOLERANCE < gpus {
            let cheapest = self.cheapest_pool(&scale_out.machines_per_zone, now, units, |_| true);
            let Some(PoolOffer { pool, size, .. }) = cheapest else { break };
            free.add(&size);
            scale_out.rent(pool, size);
        }
    }

    /// Turns new machines into rentals, within the cloud's request rate and the number
    /// of machines that this leader can serve.
    fn request_rentals(&mut self, new_machines: BTreeMap<MachinePool, u32>, plan: &mut FleetPlan) {
        // no more requests than the cloud takes in a second: the rest is planned anew
        // with what came of these
        let mut requests_left = self.policy.rentals_at_once;
        // a fleet whose heartbeats this controller cannot process is worth less than a
        // smaller one: its workers' leases run out, and users get no answer
        let machines = self.machine_count();
        let requested: usize = self.fleet.open_rentals.iter().map(|rental| rental.count as usize).sum();
        let limit = self.fleet.machine_limit(&self.policy);
        let mut machines_left = limit.saturating_sub(machines + requested).min(u32::MAX as usize) as u32;
        for (pool, count) in new_machines {
            let mut count = count.min(machines_left);
            machines_left -= count;
            while count > 0 && requests_left > 0 {
                self.fleet.next_request_id += 1;
                let rental = Rental {
                    request_id: format!("c-{}-{}", self.term, self.fleet.next_request_id).into(),
                    kind: pool.kind.clone(),
                    zone: pool.zone.clone(),
                    spot: pool.spot,
                    count: count.min(MAX_MACHINES_PER_RENTAL),
                };
                count -= rental.count;
                requests_left -= 1;
                self.fleet.open_rentals.push(rental.clone());
                plan.rentals.push(rental);
            }
        }
    }
}
