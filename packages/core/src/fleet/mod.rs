//! The cloud: what to rent and what to return, decided as a plain function of
//! what is known; the driver carries it out.

mod consolidation;
mod demand;
mod headroom;
mod machine_list;
mod scale_in;
mod scale_out;

use std::time::Instant;

use crate::cluster::{Cluster, Rental, UnmetDemand};
use crate::model::*;
use headroom::Guarantees;

/// What to do now.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Machines to delete.
    pub delete: Vec<Name>,
    /// Rentals to ask for.
    pub rent: Vec<Rental>,
}

impl Cluster {
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
}

#[cfg(test)]
mod tests;
