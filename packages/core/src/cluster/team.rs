//! Quotas of teams: guarantees and limits of resources.

use super::Cluster;
use crate::model::*;

/// The quota of a team: the guarantee and the limit of its resources.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Resources that the team is guaranteed.
    pub guarantee: Resources,
    /// Maximum resources that the team may use at any time; an amount of 0 means no limit.
    pub limit: Resources,
}

/// Excess over a limit that is tolerated, as sums of decimal amounts have rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl TeamLimit {
    /// Reports whether the usage stays within the limit when `size` is added to `used`.
    pub fn allows(&self, used: &Resources, size: &Resources) -> bool {
        let fits = |limit: f64, used: f64, added: f64| limit <= 0.0 || used + added <= limit + ROUNDING_TOLERANCE;
        fits(self.limit.cpus, used.cpus, size.cpus) && fits(self.limit.gpus, used.gpus, size.gpus)
    }
}

impl Cluster {
    /// Reports whether any team has a limit or a guarantee.
    pub fn has_limits(&self) -> bool {
        let is_set = |size: &Resources| size.cpus > 0.0 || size.gpus > 0.0;
        self.teams.values().any(|team| is_set(&team.guarantee) || is_set(&team.limit))
    }

    /// Returns the resources that each team uses, counting every task that may be present.
    pub fn team_usage(&self) -> NameMap<Resources> {
        let mut usage: NameMap<Resources> = NameMap::default();
        let assignments = self.machines.values().flat_map(|machine| machine.tasks.values());
        for assignment in assignments.filter(|assignment| assignment.occupies_resources()) {
            let size = assignment.spec.resources_per_task();
            match usage.get_mut(&assignment.spec.team) {
                Some(used) => used.add(&size),
                None => drop(usage.insert(assignment.spec.team.clone(), size)),
            }
        }
        usage
    }
}
