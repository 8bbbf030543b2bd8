//! Scale-out: decides which machines are rented for unmet demand.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use super::demand::MAX_TASKS_COUNTED;
use super::headroom::Guarantees;
use super::FleetPlan;
use crate::cluster::{zone_allows, Cluster, MachinePool, Rental, UnmetDemand};
use crate::model::*;

/// Maximum number of machines in one rental.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Number of cores or GPUs by which free capacity may fall short of the headroom without a
/// rental.
const CAPACITY_TOLERANCE: f64 = 1e-6;

/// A machine that is booting or is being rented, with the resources that are not yet set aside
/// for demand.
struct PendingMachine {
    pool: MachinePool,
    free: Resources,
}

/// The state of a scale-out plan while it is computed.
struct ScaleOut {
    /// Machines that are booting or being rented, including those that this plan adds.
    pending: Vec<PendingMachine>,
    /// Number of machines in each zone, including those that this plan adds.
    machines_per_zone: HashMap<Name, usize>,
    /// Number of machines that this plan adds, by pool.
    new_machines: BTreeMap<MachinePool, u32>,
}

impl ScaleOut {
    /// Adds a machine of the pool to the plan, with `free` as its remaining resources.
    fn rent(&mut self, pool: MachinePool, free: Resources) {
        *self.machines_per_zone.entry(pool.zone.clone()).or_default() += 1;
        *self.new_machines.entry(pool.clone()).or_insert(0) += 1;
        self.pending.push(PendingMachine { pool, free });
    }
}

/// The number of running array tasks whose resources are still available to waiting array tasks.
///
/// Waiting array tasks take over the resources of array tasks that end.  More machines are rented
/// only for the work that these slots cannot complete within the horizon.  There is one count for
/// each of the two horizons: that of on-demand machines, and the shorter one of spot machines.
struct ArraySlots {
    on_demand: f64,
    spot: f64,
}

/// The number of tasks of a demand that need new machines.
#[derive(Clone, Copy)]
struct Shortfall {
    /// All tasks that need a new machine, including those in `spot_only`.
    count: u32,
    /// The tasks for which a spot machine may be rented, but no on-demand machine.
    spot_only: u32,
}

/// Takes up to `needed` slots.  Returns the number of slots that were lacking, rounded up and at
/// most `waiting`.
fn take_slots(slots: &mut f64, needed: f64, waiting: u32) -> u32 {
    let served = slots.min(needed);
    *slots -= served;
    ((needed - served).ceil() as u32).min(waiting)
}

/// Returns how many of `count` additional tasks of a job may run in the zone of a pool, given the
/// number of its tasks in each zone.
fn allowed_task_count(spec: &JobSpec, pool: &MachinePool, zones: &BTreeMap<Name, u32>, count: u32) -> u32 {
    if !spec.allows(&pool.machine_type, &pool.zone, pool.spot) || !zone_allows(spec, &pool.zone, zones) {
        return 0;
    }
    let in_zone = zones.get(&pool.zone).copied().unwrap_or(0);
    count.min(spec.max_tasks_per_zone().saturating_sub(in_zone))
}

/// The cheapest pool found so far.
struct PoolCandidate {
    /// Price of a machine per unit that is wanted: per task, core or GPU.
    cost: f64,
    machines_in_zone: usize,
    pool: MachinePool,
    size: Resources,
}

impl Cluster {
    /// Adds rentals to the plan: those that the cloud has not answered yet, and new ones for
    /// demand that neither running nor pending machines can meet.
    pub(super) fn plan_scale_out(
        &mut self,
        unmet_demand: &[UnmetDemand],
        guarantees: &Guarantees,
        plan: &mut FleetPlan,
        now: Instant,
    ) {
        // Pending machines are counted before new ones are requested.  A new leader knows the
        // pending machines of the previous leader from the machine list.  Rentals that the list
        // may not include yet are known from their stored records, which count until the cloud
        // has answered them.
        if self.fleet.last_full_list.is_none() {
            return;
        }
        plan.rentals.extend(self.fleet.open_rentals.iter().cloned());
        let mut scale_out = ScaleOut {
            pending: self.pending_machines(),
            machines_per_zone: self.machines_per_zone(),
            new_machines: BTreeMap::new(),
        };
        let array_slots = self.count_array_slots();
        let mut slots = ArraySlots { on_demand: array_slots, spot: array_slots };
        let mut all_demand = unmet_demand.to_vec();
        for expected in self.expected_demand(now) {
            // Expected demand comes first.  Otherwise arrays would take the pending machines in
            // every plan.
            all_demand.insert(0, expected);
        }
        for demand in &all_demand {
            let shortfall = self.shortfall(demand, &mut slots);
            self.meet_demand(demand, shortfall, &mut scale_out, now);
        }
        self.rent_headroom(guarantees, &mut scale_out, now);
        self.request_rentals(scale_out.new_machines, plan);
    }

    /// Returns the machines that are known but have not sent a heartbeat yet, and those of
    /// rentals that the cloud has not answered yet.
    fn pending_machines(&self) -> Vec<PendingMachine> {
        let booting = self.machines.values().filter(|machine| {
            machine.removed_at.is_none()
                && machine.last_heartbeat.is_none()
                && machine.deletion_sent_at.is_none()
                && machine.tasks.is_empty()
        });
        let mut pending: Vec<PendingMachine> = booting
            .map(|machine| PendingMachine { pool: MachinePool::from_machine(machine), free: machine.size })
            .collect();
        for rental in &self.fleet.open_rentals {
            let Some(machine_type) = self.machine_types.get(&rental.machine_type) else { continue };
            let rented = (0..rental.count)
                .map(|_| PendingMachine { pool: MachinePool::from_rental(rental), free: machine_type.resources() });
            pending.extend(rented);
        }
        pending
    }

    fn machines_per_zone(&self) -> HashMap<Name, usize> {
        let mut machines_per_zone: HashMap<Name, usize> = HashMap::new();
        for machine in self.machines.values().filter(|machine| machine.removed_at.is_none()) {
            *machines_per_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        machines_per_zone
    }

    /// Counts the array tasks that hold resources and have no stop request.
    fn count_array_slots(&self) -> f64 {
        let tasks = self.machines.values().flat_map(|machine| machine.tasks.values());
        tasks
            .filter(|task| task.occupies_resources() && task.spec.shape == Shape::Array && task.stop_grace_s.is_none())
            .count() as f64
    }

    /// Returns how many tasks of a demand need new machines.  For an array beyond its team's
    /// guarantee, this excludes the tasks that can run within the horizon on resources that
    /// running array tasks release.  For any other job, it includes all tasks.
    fn shortfall(&self, demand: &UnmetDemand, slots: &mut ArraySlots) -> Shortfall {
        let (spec, policy) = (&demand.spec, &self.policy);
        if spec.shape != Shape::Array || self.jobs.get(&spec.id).is_some_and(|job| job.is_within_guarantee) {
            return Shortfall { count: demand.count, spot_only: 0 };
        }
        let bias = self.runtime_bias.get(&spec.class).copied().unwrap_or(1.0);
        let runtime_s = (spec.estimated_run_time_s * bias).max(1.0);
        let waiting = f64::from(demand.count);
        let needed = waiting * (runtime_s / policy.horizon_s).min(1.0);
        let count = take_slots(&mut slots.on_demand, needed, demand.count);
        if !spec.spot {
            return Shortfall { count, spot_only: 0 };
        }
        // Spot machines are cheap enough to be rented after a shorter wait, hence the shorter
        // horizon.  The run time is not limited to the horizon, because a slot becomes free
        // only after its current task ends.
        let with_spot = take_slots(&mut slots.spot, waiting * runtime_s / policy.spot_horizon_s, demand.count);
        Shortfall { count: count.max(with_spot), spot_only: with_spot.saturating_sub(count) }
    }

    /// Assigns the tasks of a demand to pending machines first, and then adds new machines for
    /// the remaining ones.
    fn meet_demand(&self, demand: &UnmetDemand, shortfall: Shortfall, scale_out: &mut ScaleOut, now: Instant) {
        let spec = &demand.spec;
        let size = spec.resources_per_task();
        let Shortfall { mut count, spot_only } = shortfall;
        let mut zones = demand.zones.clone();
        for PendingMachine { pool, free } in &mut scale_out.pending {
            if count == 0 {
                break;
            }
            if !free.fits(&size) {
                continue;
            }
            let tasks = free.count_fitting(&size, allowed_task_count(spec, pool, &zones, count) as usize) as u32;
            if tasks > 0 {
                free.subtract(&size.scaled(f64::from(tasks)));
                *zones.entry(pool.zone.clone()).or_insert(0) += tasks;
                count -= tasks;
            }
        }
        // Machine types are compared by their price per task.
        let tasks_per_machine = |machine_type: &MachineType| {
            let whole = machine_type.resources();
            whole.fits(&size).then(|| whole.count_fitting(&size, MAX_TASKS_COUNTED).max(1) as f64)
        };
        while count > 0 {
            let is_allowed = |pool: &MachinePool| {
                allowed_task_count(spec, pool, &zones, 1) > 0
                    && !(pool.spot && spec.shape == Shape::Service)
                    && (pool.spot || count > spot_only)
            };
            let cheapest = self.cheapest_pool(&scale_out.machines_per_zone, now, tasks_per_machine, is_allowed);
            let Some(PoolCandidate { pool, size: mut free, .. }) = cheapest else { break };
            let tasks =
                (free.count_fitting(&size, allowed_task_count(spec, &pool, &zones, count) as usize) as u32).max(1);
            free.subtract(&size.scaled(f64::from(tasks)));
            count = count.saturating_sub(tasks);
            *zones.entry(pool.zone.clone()).or_insert(0) += tasks;
            scale_out.rent(pool, free);
        }
    }

    /// Returns the pool with the lowest cost per unit that machines may be requested from now.
    /// Of pools with equal cost, the one in the zone with the fewest machines is returned.
    /// `units` returns how many tasks, cores or GPUs a machine of a type provides, or `None` to
    /// exclude the type.
    fn cheapest_pool(
        &self,
        machines_per_zone: &HashMap<Name, usize>,
        now: Instant,
        units: impl Fn(&MachineType) -> Option<f64>,
        is_allowed: impl Fn(&MachinePool) -> bool,
    ) -> Option<PoolCandidate> {
        let mut best: Option<PoolCandidate> = None;
        for machine_type in self.machine_types.values() {
            let Some(units) = units(machine_type) else { continue };
            for (zone, spot) in machine_type.zones.iter().flat_map(|zone| [(zone, true), (zone, false)]) {
                let pool = MachinePool { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                // The leader cannot reach a machine that boots in a partitioned zone.
                if self.fleet.exhausted_pools.get(&pool).is_some_and(|until| *until > now)
                    || self.fleet.partitioned_zones.contains(zone)
                    || !is_allowed(&pool)
                {
                    continue;
                }
                let price = if spot { machine_type.spot_price_per_hour } else { machine_type.price_per_hour };
                let cost = price / units;
                let machines_in_zone = machines_per_zone.get(zone).copied().unwrap_or(0);
                if best.as_ref().is_none_or(|best| (cost, machines_in_zone) < (best.cost, best.machines_in_zone)) {
                    best = Some(PoolCandidate { cost, machines_in_zone, pool, size: machine_type.resources() });
                }
            }
        }
        best
    }

    /// Rents machines until the free and pending resources cover the headroom of the guarantees,
    /// so that new tasks within a guarantee need not wait for a machine to boot.
    fn rent_headroom(&self, guarantees: &Guarantees, scale_out: &mut ScaleOut, now: Instant) {
        let Resources { cpus, gpus, .. } = self.headroom(guarantees);
        let mut free = self.free_capacity(now);
        for machine in &scale_out.pending {
            free.add(&machine.free);
        }
        let units = |machine_type: &MachineType| match gpus > 0.0 {
            true => (machine_type.cpus > 0.0 && machine_type.gpus > 0.0).then_some(machine_type.gpus),
            false => (machine_type.cpus > 0.0).then_some(machine_type.cpus),
        };
        while free.cpus + CAPACITY_TOLERANCE < cpus || free.gpus + CAPACITY_TOLERANCE < gpus {
            let cheapest = self.cheapest_pool(&scale_out.machines_per_zone, now, units, |_| true);
            let Some(PoolCandidate { pool, size, .. }) = cheapest else { break };
            free.add(&size);
            scale_out.rent(pool, size);
        }
    }

    /// Groups the new machines into rentals, within the request rate of the cloud and the number
    /// of machines that this leader can serve.
    fn request_rentals(&mut self, new_machines: BTreeMap<MachinePool, u32>, plan: &mut FleetPlan) {
        // The number of requests stays within the rate that the cloud accepts per second.  A
        // later plan covers the rest, when the results of these requests are known.
        let mut requests_left = self.policy.rentals_at_once;
        // If the leader cannot process the heartbeats of all machines, the leases of workers
        // expire and user requests are not answered.  A smaller fleet does more work then.
        let machines = self.machine_count();
        let requested: usize = self.fleet.open_rentals.iter().map(|rental| rental.count as usize).sum();
        let limit = self.fleet.machine_limit(&self.policy);
        let mut machines_left = limit.saturating_sub(machines + requested).min(u32::MAX as usize) as u32;
        for (pool, count) in new_machines {
            let mut count = count.min(machines_left);
            machines_left -= count;
            while count > 0 && requests_left > 0 {
                self.fleet.last_request_number += 1;
                let rental = Rental {
                    request_id: format!("c-{}-{}", self.term, self.fleet.last_request_number).into(),
                    machine_type: pool.machine_type.clone(),
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
