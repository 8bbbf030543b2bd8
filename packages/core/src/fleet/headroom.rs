//! Room that is kept for what teams are guaranteed.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::cluster::{Cluster, MachinePool, TeamLimit};
use crate::model::*;

/// What all teams are guaranteed, and what those teams use or wait for.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
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
    /// What the teams are guaranteed and what they draw on.  Reckoned once a
    /// plan, as it looks at every task.
    pub(super) fn guarantees(&self) -> Guarantees {
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

    pub(super) fn kept(&self, g: &Guarantees) -> Resources {
        g.part(self.policy.kept_share, self.policy.kept_multiple)
    }

    pub(super) fn headroom_size(&self, g: &Guarantees) -> Resources {
        g.part(self.policy.headroom_share, self.policy.headroom_multiple)
    }

    /// Room on machines that can be used now.
    pub(super) fn free_room(&self, now: Instant) -> Resources {
        let mut free = Resources::default();
        for m in self.machines.values().filter(|m| m.is_schedulable(now, &self.policy)) {
            free.add(&m.free_resources());
        }
        free
    }

    /// Rents ahead where teams have guarantees: what comes next within them
    /// should not have to wait for a boot.
    pub(super) fn headroom(
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
