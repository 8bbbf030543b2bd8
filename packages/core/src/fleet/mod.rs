//! Fleet autoscaling: decides which machines to rent from the cloud and which to return.
//!
//! A plan depends only on the leader's state and `now`, and planning does no I/O.  The leader's
//! fleet task sends the planned requests to the cloud.

mod consolidation;
mod demand;
mod headroom;
mod machine_list;
mod scale_in;
mod scale_out;

use std::time::Instant;

use crate::cluster::{Cluster, Rental, UnmetDemand};
use crate::model::*;

/// The requests that the leader sends to the cloud after one planning round.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Names of the machines to delete, few enough for one request.
    pub deletions: Vec<Name>,
    /// Rentals to request: those that the cloud has not answered yet, then new ones.
    pub rentals: Vec<Rental>,
}

impl Cluster {
    /// Plans rentals and deletions, given the demand that the last placement pass could not
    /// meet.  Also stops tasks on machines that are cordoned or that the cloud reclaims, and
    /// cordons a machine whose replicas fit on other machines.
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
