//! Guarantees and limits of teams.

use super::Cluster;
use crate::model::*;

/// Guarantee and limit of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Guaranteed.
    pub guarantee: Resources,
    /// Most at any time, 0 for no limit.
    pub limit: Resources,
}

impl TeamLimit {
    /// Whether `used` more `size` stays within the limit.
    pub fn allows(&self, used: &Resources, size: &Resources) -> bool {
        let ok = |most: f64, used: f64, add: f64| most <= 0.0 || used + add <= most + 1e-6;
        ok(self.limit.cpus, used.cpus, size.cpus) && ok(self.limit.gpus, used.gpus, size.gpus)
    }
}

impl Cluster {
    /// Whether any team has a limit or a guarantee.
    pub fn has_limits(&self) -> bool {
        let any = |s: &Resources| s.cpus > 0.0 || s.gpus > 0.0;
        self.teams.values().any(|t| any(&t.guarantee) || any(&t.limit))
    }

    /// What each team may be using now.
    pub fn team_usage(&self) -> NameMap<Resources> {
        let mut used: NameMap<Resources> = NameMap::default();
        for p in self.machines.values().flat_map(|m| m.tasks.values()).filter(|p| p.occupies_resources()) {
            match used.get_mut(&p.spec.team) {
                Some(u) => u.add(&p.spec.size()),
                None => drop(used.insert(p.spec.team.clone(), p.spec.size())),
            }
        }
        used
    }
}
