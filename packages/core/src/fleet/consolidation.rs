//! Replicas are packed on fewer machines.

use std::time::Instant;

use super::Guarantees;
use crate::cluster::{Assignment, Cluster, Job, Machine, TaskPhase};
use crate::model::*;

impl Cluster {
    /// When short work is through, its replicas sit a few to a machine, and
    /// would keep half-empty ordinary machines for as long as they live.  A few
    /// at a time move to where their image is, in their zone, on machines that
    /// hold no fewer; the machine they leave is drained, and so returned.
    pub(super) fn consolidate(&mut self, g: &Guarantees, now: Instant) {
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
    pub(super) fn room_without(&self, g: &Guarantees, m: &Machine, now: Instant) -> bool {
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
}
