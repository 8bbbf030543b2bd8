//! Fleet size: which machines to rent from the cloud and which to return.
//!
//! Each plan is a plain function of the leader's state and `now`; the cloud
//! driver of the daemon carries it out.

mod consolidation;
mod demand;
mod headroom;
mod machine_list;
mod scale_in;
mod scale_out;

use std::time::Instant;

use crate::cluster::{Cluster, Rental, UnmetDemand};
use crate::model::*;

/// Requests to send to the cloud now.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Machines to delete.
    pub deletions: Vec<Name>,
    /// Rentals to ask for.
    pub rentals: Vec<Rental>,
}

impl Cluster {
    /// Plans rentals and deletions for the demand that the last placement pass
    /// could not meet.  Also stops tasks that have to leave their machine.
    pub fn plan_fleet(&mut self, unmet_demand: &[UnmetDemand], now: Instant) -> FleetPlan {
        let mut plan = FleetPlan::default();
        let guarantees = self.sum_guarantees();
        self.plan_scale_in(&guarantees, &mut plan, now);
        if unmet_demand.is_empty() {
            self.consolidate_replicas(&guarantees, now);
        }
        self.plan_scale_out(unmet_demand, &guarantees, &mut plan, now);
        plan
    }
}

#[cfg(test)]
mod tests;
