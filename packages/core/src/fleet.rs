//! The cloud: what to rent and what to return, decided as a plain function of
//! what is known; the driver carries it out.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{
    zone_allows, Assignment, Cluster, Job, ListedMachine, Machine, MachinePool, MachineState, Rental, TaskPhase,
    TeamLimit, UnmetDemand,
};
use crate::model::*;

/// Most names in one deletion.
const MOST_DELETES: usize = 100;
/// Most machines in one rental.
const MOST_RENTED: u32 = 50;

/// What to do now.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Machines to delete.
    pub delete: Vec<Name>,
    /// Rentals to ask for.
    pub rent: Vec<Rental>,
}

/// What all teams are guaranteed, and what those teams use or wait for.
#[derive(Debug, Default)]
struct Guarantees {
    all: Resources,
    drawn: Resources,
}

impl Guarantees {
    /// A share of the guarantees, but no more than a multiple of what is drawn
    /// on: a guarantee that nobody draws on keeps no machine.
    fn part(&self, share: f64, multiple: f64) -> Resources {
        let part = |g: f64, u: f64| (g * share).min(u * multiple);
        let (all, drawn) = (&self.all, &self.drawn);
        Resources { cpus: part(all.cpus, drawn.cpus), gpus: part(all.gpus, drawn.gpus), memory: 0.0 }
    }
}

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

    /// What to rent and what to return.  Also stops what has to leave its
    /// machine.
    pub fn plan_fleet(&mut self, wants: &[UnmetDemand], now: Instant) -> FleetPlan {
        let mut plan = FleetPlan::default();
        let g = self.guarantees();
        self.plan_scale_in(&g, &mut plan, now);
        if wants.is_empty() {
            self.consolidate(&g, now);
        }
        self.plan_scale_out(wants, &g, &mut plan, now);
        plan
    }

    /// What the teams are guaranteed and what they draw on.  Reckoned once a
    /// plan, as it looks at every task.
    fn guarantees(&self) -> Guarantees {
        let mut g = Guarantees::default();
        let given = |t: &TeamLimit| t.guarantee.cpus > 0.0 || t.guarantee.gpus > 0.0;
        if !self.teams.values().any(given) {
            return g;
        }
        let mut usage = self.team_usage();
        for j in self.jobs.values().filter(|j| j.outcome.is_none()) {
            let waits = j.spec.size().scaled(f64::from(j.waiting_tasks()));
            usage.entry(j.spec.team.clone()).or_default().add(&waits);
        }
        for (name, t) in self.teams.iter().filter(|(_, t)| given(t)) {
            g.all.add(&t.guarantee);
            g.drawn.add(&usage.get(name).copied().unwrap_or_default());
        }
        g
    }

    fn kept(&self, g: &Guarantees) -> Resources {
        g.part(self.policy.kept_share, self.policy.kept_multiple)
    }

    fn headroom_size(&self, g: &Guarantees) -> Resources {
        g.part(self.policy.headroom_share, self.policy.headroom_multiple)
    }

    /// Room on machines that can be used now.
    fn free_room(&self, now: Instant) -> Resources {
        let mut free = Resources::default();
        for m in self.machines.values().filter(|m| m.is_schedulable(now, &self.policy)) {
            free.add(&m.free_resources());
        }
        free
    }

    /// One job of each class whose tasks should start sooner than a machine
    /// boots: room for the next ones has to be there before they come.
    fn urgent(&self) -> Vec<std::sync::Arc<JobSpec>> {
        let boot = self.types.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        let newest = |class: &Name| {
            let of = self.jobs.values().filter(|j| j.outcome.is_none() && j.spec.class == *class);
            of.max_by_key(|j| j.revision).map(|j| j.spec.clone())
        };
        self.start_objectives.iter().filter(|(_, aim)| **aim < boot).filter_map(|(class, _)| newest(class)).collect()
    }

    /// How many tasks of a job a machine could take at once, counting what
    /// would give way to them.
    fn ready_room(&self, m: &Machine, spec: &JobSpec, now: Instant) -> usize {
        if !m.is_schedulable(now, &self.policy) || !spec.allows(&m.kind, &m.zone, m.spot) {
            return 0;
        }
        let mut room = m.free_resources();
        for p in m.tasks.values().filter(|p| p.occupies_resources() && p.spec.priority > spec.priority) {
            room.add(&p.spec.size());
        }
        room.count_fitting(&spec.size(), 1000)
    }

    /// How many tasks of a job's class are likely to come while a machine boots, by
    /// what has come lately.  What was there when this leader began tells nothing:
    /// it may have come over any time.
    fn likely(&self, spec: &JobSpec, now: Instant) -> f64 {
        let boot = self.types.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        let from = self.term_started_at + self.policy.ttl;
        let since = |t: Instant| now.saturating_duration_since(t).as_secs_f64();
        let window = since(from).min(self.policy.horizon_s);
        if window < boot / 2.0 || !boot.is_finite() {
            return 0.0;
        }
        let lately = |j: &&Job| j.spec.class == spec.class && j.first_seen > from && since(j.first_seen) < window;
        let came: u32 = self.jobs.values().filter(lately).map(|j| j.spec.tasks).sum();
        f64::from(came) * boot / window
    }

    fn all_ready_room(&self, spec: &JobSpec, now: Instant) -> usize {
        self.machines.values().map(|m| self.ready_room(m, spec, now)).sum()
    }

    /// The cheapest pool that may be asked now, of equally cheap ones that in
    /// the zone with fewest machines. `unit` tells how much of what is wanted
    /// a machine of a type gives; none, and the type is passed over.
    fn cheapest(
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

    /// Idle machines without which an urgent class would lack room.
    fn needed_idle(&self, now: Instant) -> HashSet<Name> {
        let mut needed = HashSet::new();
        for spec in self.urgent() {
            let mut room = self.all_ready_room(&spec, now);
            for m in self.machines.values().filter(|m| m.tasks.is_empty()) {
                let here = self.ready_room(m, &spec, now);
                if here > 0 && room < self.policy.urgent_room + here {
                    needed.insert(m.name.clone());
                } else {
                    room -= here;
                }
            }
        }
        needed
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    fn plan_scale_in(&mut self, g: &Guarantees, plan: &mut FleetPlan, now: Instant) {
        let policy = self.policy.clone();
        let mut spare = Resources::default();
        for m in self
            .machines
            .values()
            .filter(|m| m.removed_at.is_none() && m.deletion_sent_at.is_none() && m.cordon_reason.is_none())
        {
            spare.add(&m.size);
        }
        spare.subtract(&self.kept(g));
        // nothing is returned that would have to be rented again at once
        let mut free = self.free_room(now);
        free.subtract(&self.headroom_size(g));
        let bare = |size: &Resources| Resources { memory: 0.0, ..*size };
        let silences: Vec<Duration> = self.machines.values().map(|m| self.time_since_heartbeat(m, now)).collect();
        let up = |m: &&Machine| {
            m.removed_at.is_none()
                && (m.last_heartbeat.is_some() || m.state == Some(MachineState::Running) || !m.tasks.is_empty())
        };
        // many of a zone, or of all, at once: that is the network, and they may
        // well be working
        let mut counts: HashMap<Option<Name>, (usize, usize)> = HashMap::new();
        for (m, silence) in self.machines.values().zip(&silences).filter(|(m, _)| up(m)) {
            let silent = usize::from(*silence > policy.fresh);
            for whole in [None, Some(m.zone.clone())] {
                let c = counts.entry(whole).or_default();
                (c.0, c.1) = (c.0 + silent, c.1 + 1);
            }
        }
        let mass = |silent: usize, of: usize| silent > 2 && silent as f64 > of as f64 * policy.silent_share;
        // as a cut heals, most come back one by one within a report interval:
        // the last third of them is as much alive as the first
        let seemed = &mut self.fleet.last_seen_partitioned;
        seemed.extend(counts.into_iter().filter(|(_, c)| mass(c.0, c.1)).map(|(z, _)| (z, now)));
        seemed.retain(|_, t| now.saturating_duration_since(*t) < policy.missed);
        let everywhere = seemed.contains_key(&None);
        self.fleet.partitioned_zones = seemed.keys().flatten().cloned().collect();
        let cut = self.fleet.partitioned_zones.clone();
        let listed = self.fleet.last_full_list;
        let needed = self.needed_idle(now);
        let mut moves: Vec<(Name, Task)> = Vec::new();
        for (m, silence) in self.machines.values_mut().zip(silences).filter(|(m, _)| m.removed_at.is_none()) {
            // it was listed for long, and the newest list lacks it: a list that
            // is older than others would still have it, so it is gone.  No
            // proof, but reason enough to ask for one, a deletion
            let old = now.duration_since(m.rented_at.min(m.first_seen)) > policy.list_lag * 4;
            let unlisted = m
                .last_listed
                .zip(listed)
                .is_some_and(|(m, l)| l > m && (old || l.duration_since(m) > policy.list_lag * 2))
                || m.last_listed.is_none()
                    && now.duration_since(m.first_seen) > policy.list_lag * 4
                    && listed.is_some();
            let boot_s = self.types.get(&m.kind).map_or(60.0, |t| t.boot_s);
            let boot_limit = Duration::from_secs_f64(boot_s * policy.boot_factor);
            // an empty machine is worth the image that the next task need not
            // wait for
            let rate = self.types.get(&m.kind).map_or(0.0, |t| t.fetch_gb_per_s);
            let image = m.images.iter().map(|i| i.1).sum::<f64>() / m.images.len().max(1) as f64;
            let held = image / rate.max(1e-3) * policy.idle_images;
            let idle = policy.idle.max(Duration::from_secs_f64(held.min(policy.idle_most)));
            let reason = if m.deletion_sent_at.is_some() {
                // a deletion may be carried out at any time now
                Some("is being returned")
            } else if m.state == Some(MachineState::Failed) {
                Some("has failed")
            } else if m.reclaim_at.is_some_and(|t| t <= now) && silence > policy.fresh / 2 {
                Some("was taken back")
            } else if unlisted && silence > policy.missed {
                Some("is silent and not listed")
            } else if m.last_heartbeat.is_none() && m.state != Some(MachineState::Running) && m.tasks.is_empty() {
                (now.duration_since(m.rented_at) > boot_limit && silence > policy.fresh).then_some("does not come up")
            } else if silence > policy.silent && !everywhere && !cut.contains(&m.zone) {
                Some("is silent")
            } else if silence > policy.lease_over
                && !everywhere
                && cut.contains(&m.zone)
                && !self.zones_with_controller.contains(&m.zone)
                && m.tasks.values().any(|p| p.occupies_resources() && p.spec.shape == Shape::Service)
            {
                // nobody inside renews its lease: its replicas are lost by now,
                // and only a deletion proves it
                Some("is cut off, and its lease has run out")
            } else if m.cordon_reason.is_some() && m.tasks.is_empty() {
                m.cordon_reason
            } else if m.idle_since.is_some_and(|t| now.duration_since(t) > idle)
                && m.tasks.is_empty()
                && m.last_heartbeat.is_some()
                && now.duration_since(m.rented_at) > idle
                && spare.fits(&bare(&m.size))
                && !needed.contains(&m.name)
                && bare(&free).fits(&bare(&m.size))
            {
                spare.subtract(&m.size);
                free.subtract(&m.size);
                Some("is idle")
            } else if m.tasks.values().any(|p| {
                // stops of a cancelled job are pursued to the end
                let over = self.jobs.get(&p.spec.id).is_none_or(|j| j.outcome == Some(JobOutcome::Cancelled));
                // at once where no stop arrives
                let late = if silence > policy.missed { Duration::ZERO } else { policy.cancel.mul_f64(0.45) };
                over && p.occupies_resources() && p.stop_requested_at.is_some_and(|t| now.duration_since(t) > late)
            }) {
                Some("keeps tasks of a cancelled job")
            } else {
                None
            };
            if let Some(why) = reason {
                if m.deletion_sent_at.is_none() {
                    tracing::info!("machine {} {why}: returned, with {} tasks", m.name, m.tasks.len());
                }
                if plan.delete.len() < MOST_DELETES {
                    m.deletion_sent_at.get_or_insert(now);
                    plan.delete.push(m.name.clone());
                }
            } else if m.cordon_reason.is_some() || m.reclaim_at.is_some() {
                let stay = |p: &crate::cluster::Assignment| {
                    // without checkpoints a stop only loses: it may finish yet
                    m.cordon_reason.is_none() && p.spec.checkpoint_s == 0.0 && p.spec.shape == Shape::Array
                };
                moves.extend(
                    m.tasks
                        .iter()
                        .filter(|(_, p)| p.occupies_resources() && p.stop_grace_s.is_none() && !stay(p))
                        .map(|(t, _)| (m.name.clone(), t.clone())),
                );
            }
        }
        for (m, t) in moves {
            self.stop_to_move(&m, &t, now);
        }
    }

    /// When short work is through, its replicas sit a few to a machine, and
    /// would keep half-empty ordinary machines for as long as they live.  A few
    /// at a time move to where their image is, in their zone, on machines that
    /// hold no fewer; the machine they leave is drained, and so returned.
    fn consolidate(&mut self, g: &Guarantees, now: Instant) {
        let p = self.policy.clone();
        // a cloud that does not answer takes nothing back: a drained machine
        // would only be lost
        let cloud = self.fleet.last_full_list.is_some_and(|t| now.duration_since(t) < p.fresh);
        if !cloud
            || now.duration_since(self.term_started_at.max(self.resumed_at)) < p.settled
            || !self.fleet.partitioned_zones.is_empty()
        {
            return;
        }
        // replicas that are down for a move, or wait, and those that are not
        let (mut down, mut replicas) = (0, 0);
        for j in self.jobs.values().filter(|j| j.outcome.is_none() && j.waiting_tasks() > 0) {
            if j.spec.shape != Shape::Service {
                return; // there is work for the room
            }
            down += j.waiting_tasks() as usize;
        }
        let service = |p: &Assignment| p.spec.shape == Shape::Service;
        for place in self.machines.values().flat_map(|m| m.tasks.values()).filter(|p| service(p)) {
            replicas += 1;
            down += usize::from(place.stop_grace_s.is_some());
        }
        let most = ((replicas as f64 * p.move_share) as usize).max(1);
        let settled = |t: &Assignment| {
            let since = t.running_since.filter(|_| t.phase == TaskPhase::Running && t.stop_grace_s.is_none());
            since.is_some_and(|s| now.duration_since(s) > p.settled)
        };
        let movable = |m: &&Machine| {
            m.is_schedulable(now, &p)
                && !m.spot
                && !m.tasks.is_empty()
                && m.tasks.values().all(|t| service(t) && settled(t))
        };
        let Some(from) = self.machines.values().filter(movable).min_by_key(|m| m.tasks.len()) else { return };
        let used = from.tasks.len();
        if down + used > most.max(used) || !self.room_without(g, from, now) {
            return;
        }
        let mut others: Vec<(&Machine, Resources)> = self
            .machines
            .values()
            .filter(|m| m.name != from.name && m.zone == from.zone && m.is_schedulable(now, &p))
            .filter(|m| m.tasks.values().filter(|t| service(t)).count() >= used)
            .map(|m| (m, m.free_resources()))
            .collect();
        for t in from.tasks.values() {
            let size = t.spec.size();
            let fits = |o: &&mut (&Machine, Resources)| {
                o.1.fits(&size) && o.0.has_image(&t.spec.image) && t.spec.allows(&o.0.kind, &o.0.zone, o.0.spot)
            };
            let Some(o) = others.iter_mut().find(fits) else { return };
            o.1.subtract(&size);
        }
        let name = from.name.clone();
        tracing::info!("machine {name} is emptied: its {used} replicas fit on others");
        if let Some(m) = self.machines.get_mut(&name) {
            m.cordon_reason = Some("is emptied");
        }
    }

    /// Whether enough room would be left without a machine whose tasks go to
    /// others: for guarantees, and for what is likely to come of classes that
    /// should start sooner than a machine boots.
    fn room_without(&self, g: &Guarantees, m: &Machine, now: Instant) -> bool {
        let bare = |size: &Resources| Resources { memory: 0.0, ..*size };
        let (mut spare, mut free) = (Resources::default(), self.free_room(now));
        for m in self
            .machines
            .values()
            .filter(|m| m.removed_at.is_none() && m.deletion_sent_at.is_none() && m.cordon_reason.is_none())
        {
            spare.add(&m.size);
        }
        spare.subtract(&self.kept(g));
        free.subtract(&self.headroom_size(g));
        let boot = self.types.get(&m.kind).map_or(60.0, |t| t.boot_s);
        let urgent = |spec: std::sync::Arc<JobSpec>| {
            let lately = |j: &&Job| {
                j.spec.class == spec.class && now.duration_since(j.first_seen).as_secs_f64() < self.policy.horizon_s
            };
            let came: u32 = self.jobs.values().filter(lately).map(|j| j.spec.tasks).sum();
            let likely = f64::from(came) * 2.0 * boot / self.policy.horizon_s;
            let room = self.all_ready_room(&spec, now).saturating_sub(m.size.count_fitting(&spec.size(), 1000));
            room as f64 >= likely.max(self.policy.urgent_room as f64)
        };
        spare.fits(&bare(&m.size)) && bare(&free).fits(&bare(&m.size)) && self.urgent().into_iter().all(urgent)
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    fn plan_scale_out(&mut self, wants: &[UnmetDemand], g: &Guarantees, plan: &mut FleetPlan, now: Instant) {
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

    /// Rents ahead where teams have guarantees: what comes next within them
    /// should not have to wait for a boot.
    fn headroom(
        &self,
        g: &Guarantees,
        coming: &mut Vec<(MachinePool, Resources)>,
        new: &mut BTreeMap<MachinePool, u32>,
        per_zone: &mut HashMap<Name, usize>,
        now: Instant,
    ) {
        let Resources { cpus, gpus, .. } = self.headroom_size(g);
        let mut free = self.free_room(now);
        for (_, size) in coming.iter() {
            free.add(size);
        }
        // the cheapest way to what is missing
        while free.cpus + 1e-6 < cpus || free.gpus + 1e-6 < gpus {
            let unit = |t: &MachineType| match gpus > 0.0 {
                true => (t.cpus > 0.0 && t.gpus > 0.0).then_some(t.gpus),
                false => (t.cpus > 0.0).then_some(t.cpus),
            };
            let Some((pool, size)) = self.cheapest(per_zone, now, unit, |_| true) else { break };
            free.add(&size);
            *per_zone.entry(pool.1.clone()).or_default() += 1;
            *new.entry(pool.clone()).or_insert(0) += 1;
            coming.push((pool, size));
        }
    }
}

#[cfg(test)]
mod tests;
