//! Capacity that is reserved for the teams' guarantees.

use std::time::Instant;

use crate::cluster::{Cluster, TeamLimit};
use crate::model::*;

/// The sum of the teams' guarantees, and the resources that these teams use or wait for.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
    guaranteed: Resources,
    demanded: Resources,
}

impl Guarantees {
    /// Returns a share of the guarantees, limited to a multiple of what the teams demand, so
    /// that unused guarantees keep no machine rented.
    fn scaled(&self, share: f64, multiple: f64) -> Resources {
        let part = |guaranteed: f64, demanded: f64| (guaranteed * share).min(demanded * multiple);
        let (guaranteed, demanded) = (&self.guaranteed, &self.demanded);
        Resources {
            cpus: part(guaranteed.cpus, demanded.cpus),
            gpus: part(guaranteed.gpus, demanded.gpus),
            memory_gb: 0.0,
        }
    }
}

/// Returns a size with its memory set to 0: guarantees cover only cores and GPUs.
pub(super) fn without_memory(size: &Resources) -> Resources {
    Resources { memory_gb: 0.0, ..*size }
}

impl Cluster {
    /// Sums up the guarantees and the demand of the teams that have one.  This iterates over
    /// every task, so a plan calls it only once.
    pub(super) fn sum_guarantees(&self) -> Guarantees {
        let mut sum = Guarantees::default();
        let has_guarantee = |team: &TeamLimit| team.guarantee.cpus > 0.0 || team.guarantee.gpus > 0.0;
        if !self.teams.values().any(has_guarantee) {
            return sum;
        }
        let mut demand = self.team_usage();
        for job in self.jobs.values().filter(|job| job.outcome.is_none()) {
            let waiting = job.spec.resources_per_task().scaled(f64::from(job.waiting_tasks()));
            demand.entry(job.spec.team.clone()).or_default().add(&waiting);
        }
        for (name, team) in self.teams.iter().filter(|(_, team)| has_guarantee(team)) {
            sum.guaranteed.add(&team.guarantee);
            sum.demanded.add(&demand.get(name).copied().unwrap_or_default());
        }
        sum
    }

    /// Returns the resources to keep free at any time, so that new tasks within a guarantee need
    /// not wait for a machine to boot.
    pub(super) fn headroom(&self, guarantees: &Guarantees) -> Resources {
        guarantees.scaled(self.policy.headroom_share, self.policy.headroom_multiple)
    }

    /// Returns the free resources on all schedulable machines.
    pub(super) fn free_capacity(&self, now: Instant) -> Resources {
        let mut free = Resources::default();
        for machine in self.machines.values().filter(|machine| machine.is_schedulable(now, &self.policy)) {
            free.add(&machine.free_resources());
        }
        free
    }

    /// Returns the free capacity beyond the headroom.  Returning more than this to the cloud
    /// would cause new rentals immediately.
    pub(super) fn free_beyond_headroom(&self, guarantees: &Guarantees, now: Instant) -> Resources {
        let mut free = self.free_capacity(now);
        free.subtract(&self.headroom(guarantees));
        free
    }

    /// Returns the total size of all machines that are not removed, being deleted or cordoned,
    /// beyond the share of the guarantees that is always kept.
    pub(super) fn capacity_beyond_guarantees(&self, guarantees: &Guarantees) -> Resources {
        let mut spare = Resources::default();
        let remaining = self.machines.values().filter(|machine| {
            machine.removed_at.is_none() && machine.deletion_sent_at.is_none() && machine.cordon_reason.is_none()
        });
        for machine in remaining {
            spare.add(&machine.size);
        }
        spare.subtract(&guarantees.scaled(self.policy.kept_share, self.policy.kept_multiple));
        spare
    }
}
