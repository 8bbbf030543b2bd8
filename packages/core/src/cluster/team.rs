//! Quotas of teams.

use super::Cluster;
use crate::model::*;

/// Guarantee and limit of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Resources that the team is guaranteed.
    pub guarantee: Resources,
    /// Most that it may use at any time, 0 for no limit.
    pub limit: Resources,
}

/// Rounding in sums of decimal amounts must not exceed a limit.
const ROUNDING: f64 = 1e-6;

impl TeamLimit {
    /// Whether `size` in addition to what is `used` stays within the limit.
    pub fn allows(&self, used: &Resources, size: &Resources) -> bool {
        let fits = |limit: f64, used: f64, added: f64| limit <= 0.0 || used + added <= limit + ROUNDING;
        fits(self.limit.cpus, used.cpus, size.cpus) && fits(self.limit.gpus, used.gpus, size.gpus)
    }
}

impl Cluster {
    /// Whether any team has a limit or a guarantee.
    pub fn has_limits(&self) -> bool {
        let is_set = |size: &Resources| size.cpus > 0.0 || size.gpus > 0.0;
        self.teams.values().any(|team| is_set(&team.guarantee) || is_set(&team.limit))
    }

    /// What each team uses now, with all that is uncertain counted.
    pub fn team_usage(&self) -> NameMap<Resources> {
        let mut usage: NameMap<Resources> = NameMap::default();
        let assignments = self.machines.values().flat_map(|machine| machine.tasks.values());
        for assignment in assignments.filter(|assignment| assignment.occupies_resources()) {
            let size = assignment.spec.size();
            match usage.get_mut(&assignment.spec.team) {
                Some(used) => used.add(&size),
                None => drop(usage.insert(assignment.spec.team.clone(), size)),
            }
        }
        usage
    }
}
