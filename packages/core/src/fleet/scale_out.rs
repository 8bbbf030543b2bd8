//! Which machines are asked for.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use super::{FleetPlan, Guarantees};
use crate::cluster::{zone_allows, Cluster, MachinePool, Rental, UnmetDemand};
use crate::model::*;

/// Most machines in one rental.
const MOST_RENTED: u32 = 50;

impl Cluster {
    /// The cheapest pool that may be asked now, of equally cheap ones that in
    /// the zone with fewest machines. `unit` tells how much of what is wanted
    /// a machine of a type gives; none, and the type is passed over.
    pub(super) fn cheapest(
        &self,
        per_zone: &HashMap<Name, usize>,
        now: Instant,
        unit: impl Fn(&MachineType) -> Option<f64>,
        allowed: impl Fn(&MachinePool) -> bool,
    ) -> Option<(MachinePool, Resources)> {
        let mut best: Option<(f64, usize, MachinePool, Resources)> = None;
        for t in self.types.values() {
            let Some(unit) = unit(t) else { continue };
            for (zone, spot) in t.zones.iter().flat_map(|z| [(z, true), (z, false)]) {
                let pool = (t.name.clone(), zone.clone(), spot);
                // what boots in a zone that is cut off is of no use
                if self.fleet.exhausted_pools.get(&pool).is_some_and(|r| *r > now)
                    || self.fleet.partitioned_zones.contains(zone)
                    || !allowed(&pool)
                {
                    continue;
                }
                let cost = if spot { t.spot_price } else { t.price } / unit;
                let here = per_zone.get(zone).copied().unwrap_or(0);
                if best.as_ref().is_none_or(|b| (cost, here) < (b.0, b.1)) {
                    best = Some((cost, here, pool, t.size()));
                }
            }
        }
        best.map(|(_, _, pool, size)| (pool, size))
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn plan_scale_out(&mut self, wants: &[UnmetDemand], g: &Guarantees, plan: &mut FleetPlan, now: Instant) {
        let policy = self.policy.clone();
        // machines on their way count before new ones are asked for.  A new
        // leader knows those of its previous leader from the list, and what the list
        // may lack from the records, which count until they are answered
        let Some(_) = self.fleet.last_full_list else { return };
        plan.rent.extend(self.fleet.open_rentals.iter().cloned());
        let mut coming: Vec<(MachinePool, Resources)> = self
            .machines
            .values()
            .filter(|m| {
                m.removed_at.is_none()
                    && m.last_heartbeat.is_none()
                    && m.deletion_sent_at.is_none()
                    && m.tasks.is_empty()
            })
            .map(|m| ((m.kind.clone(), m.zone.clone(), m.spot), m.size))
            .collect();
        for r in &self.fleet.open_rentals {
            let Some(t) = self.types.get(&r.kind) else { continue };
            coming.extend((0..r.count).map(|_| ((r.kind.clone(), r.zone.clone(), r.spot), t.size())));
        }
        let mut per_zone: HashMap<Name, usize> = HashMap::new();
        for m in self.machines.values().filter(|m| m.removed_at.is_none()) {
            *per_zone.entry(m.zone.clone()).or_default() += 1;
        }
        // arrays share what already runs arrays: only the work that these
        // places cannot get through in time asks for more
        let array_places = self
            .machines
            .values()
            .flat_map(|m| m.tasks.values())
            .filter(|p| p.occupies_resources() && p.spec.shape == Shape::Array && p.stop_grace_s.is_none())
            .count() as f64;
        let (mut places, mut spot_places) = (array_places, array_places);
        let mut new: BTreeMap<MachinePool, u32> = BTreeMap::new();
        let mut wants = wants.to_vec();
        for spec in self.urgent() {
            let room = self.all_ready_room(&spec, now);
            let likely = self.likely(&spec, now).ceil() as usize;
            let count = likely.max(self.policy.urgent_room).saturating_sub(room).min(u32::MAX as usize) as u32;
            // it stands for several jobs: its own share of a zone is not theirs
            let spec = std::sync::Arc::new(JobSpec { tasks: count.max(spec.tasks), ..(*spec).clone() });
            // first, or arrays would fill what is on its way in every pass
            wants.insert(0, UnmetDemand { spec, count, zones: BTreeMap::new() });
        }
        for w in &wants {
            let spec = &w.spec;
            let size = spec.size();
            let (mut count, mut spot_only) = (w.count, 0);
            if spec.shape == Shape::Array && !self.jobs.get(&spec.id).is_some_and(|j| j.guaranteed) {
                let bias = self.runtime_bias.get(&spec.class).copied().unwrap_or(1.0);
                let each = (spec.estimate_s * bias).max(1.0);
                let lacks = |places: &mut f64, slots: f64| {
                    let served = places.min(slots);
                    *places -= served;
                    ((slots - served).ceil() as u32).min(w.count)
                };
                let waiting = f64::from(w.count);
                count = lacks(&mut places, waiting * (each / policy.horizon_s).min(1.0));
                if spec.spot {
                    // spot machines cost so little that waiting for less is worth
                    // one: a place is free again only after what runs there now
                    let most = lacks(&mut spot_places, waiting * each / policy.spot_horizon_s);
                    spot_only = most.saturating_sub(count);
                    count = count.max(most);
                }
            }
            let mut zones = w.zones.clone();
            // how many more the job may have in the zone of a pool
            let most = |p: &MachinePool, zones: &BTreeMap<Name, u32>, left: u32| {
                let fits = spec.allows(&p.0, &p.1, p.2) && zone_allows(spec, &p.1, zones);
                let here = zones.get(&p.1).copied().unwrap_or(0);
                if fits {
                    left.min(spec.zone_cap().saturating_sub(here))
                } else {
                    0
                }
            };
            for (p, free) in &mut coming {
                if count == 0 {
                    break;
                }
                if !free.fits(&size) {
                    continue;
                }
                let n = free.count_fitting(&size, most(p, &zones, count) as usize) as u32;
                if n > 0 {
                    free.subtract(&size.scaled(f64::from(n)));
                    *zones.entry(p.1.clone()).or_insert(0) += n;
                    count -= n;
                }
            }
            while count > 0 {
                // by the share of a machine that the task takes
                let unit =
                    |t: &MachineType| t.size().fits(&size).then(|| t.size().count_fitting(&size, 1000).max(1) as f64);
                let allowed = |p: &MachinePool| {
                    most(p, &zones, 1) > 0 && !(p.2 && spec.shape == Shape::Service) && (p.2 || count > spot_only)
                };
                let Some((pool, mut free)) = self.cheapest(&per_zone, now, unit, allowed) else { break };
                let n = (free.count_fitting(&size, most(&pool, &zones, count) as usize) as u32).max(1);
                free.subtract(&size.scaled(f64::from(n)));
                count = count.saturating_sub(n);
                *zones.entry(pool.1.clone()).or_insert(0) += n;
                *per_zone.entry(pool.1.clone()).or_default() += 1;
                *new.entry(pool.clone()).or_insert(0) += 1;
                coming.push((pool, free));
            }
        }
        self.headroom(g, &mut coming, &mut new, &mut per_zone, now);
        // no more requests than the cloud takes in a second: the rest is
        // reckoned anew with what came of these
        let mut left = policy.rentals_at_once;
        // a fleet that this controller cannot listen to is worth less than a
        // smaller one: its workers run into their leases, and users find nobody
        let here = self.machine_count();
        let asked: usize = self.fleet.open_rentals.iter().map(|r| r.count as usize).sum();
        let mut room = self.fleet.machine_limit(&policy).saturating_sub(here + asked).min(u32::MAX as usize) as u32;
        for ((kind, zone, spot), count) in new {
            let mut count = count.min(room);
            room -= count;
            while count > 0 && left > 0 {
                self.fleet.next_request_id += 1;
                let charter = format!("c-{}-{}", self.term, self.fleet.next_request_id).into();
                let (kind, zone) = (kind.clone(), zone.clone());
                let r = Rental { request_id: charter, kind, zone, spot, count: count.min(MOST_RENTED) };
                count -= r.count;
                left -= 1;
                self.fleet.open_rentals.push(r.clone());
                plan.rent.push(r);
            }
        }
    }
}
