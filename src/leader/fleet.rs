//! Scaling the fleet of machines: rentals and deletions.

use std::time::{Duration, Instant};

use coralnotch_core::heartbeat_forwarding::should_forward;
use futures_util::future::{join, join_all};
use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, Rental};
use crate::controller::Controller;
use crate::fleet::FleetPlan;
use crate::http;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::model::*;
use crate::runtime::wake_up::pause;

/// Shortest time between two fleet plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize, Deserialize)]
struct MachineNames {
    #[serde(rename = "polyps")]
    machines: Vec<Name>,
}

impl Controller {
    /// Plans the fleet periodically and applies each plan.
    ///
    /// Never returns, so it never ends the term.
    pub(super) async fn run_fleet(&self, lease: LeaderLease) -> StepDownReason {
        let mut next_plan_at = Instant::now();
        loop {
            pause(next_plan_at.saturating_duration_since(Instant::now())).await;
            let now = Instant::now();
            next_plan_at = now + PLAN_INTERVAL;
            let Some(plan) = self.plan_fleet(now) else { continue };
            // With thousands of machines, planning takes noticeable processor time, so it is
            // throttled as placement passes are.
            next_plan_at = next_plan_at.max(now + self.throttle_delay(now.elapsed(), self.policy.plan_share));
            self.apply_fleet_plan(plan, lease).await;
            self.placement_wake.wake();
            self.delete_expired_records(lease).await;
        }
    }

    /// Returns the next fleet plan, which is empty until the cluster's state is loaded; `None` if
    /// this controller does not lead.
    fn plan_fleet(&self, now: Instant) -> Option<FleetPlan> {
        let mut guard = self.lock();
        let state = &mut *guard;
        self.detect_stall(state, now);
        if !state.is_leader(now) {
            return None;
        }
        let Some(cluster) = state.cluster.as_mut() else { return Some(FleetPlan::default()) };
        let machines = cluster.machine_count();
        cluster.fleet.adapt_heartbeat_capacity(self.scheduling_delay.recent(), machines, &self.policy, now);
        let plan = cluster.plan_fleet(&state.unmet_demand, now);
        state.forwarding_requested = should_forward(machines, self.policy.spread_from, state.forwarding_requested);
        Some(plan)
    }

    /// Deletes and rents machines concurrently.  Rentals are requested only after they are recorded
    /// in the state service.
    async fn apply_fleet_plan(&self, plan: FleetPlan, lease: LeaderLease) {
        let rentals = async {
            if self.record_rentals(&plan.rentals, lease).await {
                join_all(plan.rentals.iter().map(|rental| self.scale_out(rental))).await;
            }
        };
        join(self.scale_in(&plan.deletions), rentals).await;
    }

    /// Asks the cloud to delete machines.
    async fn scale_in(&self, names: &[Name]) {
        if names.is_empty() {
            return;
        }
        let body = http::encode(&MachineNames { machines: names.to_vec() });
        match self.cloud_call("POST", "/rentals/delete", Some(&body)).await {
            Ok((200, _)) => {
                if let Some(cluster) = self.lock().cluster.as_mut() {
                    cluster.apply_deletion(names, Instant::now());
                }
                self.placement_wake.wake();
                self.commit_wake.wake();
            }
            Ok((status, _)) => tracing::debug!(status, "cloud refused to delete machines"),
            Err(error) => tracing::debug!(%error, "request to delete machines failed"),
        }
    }

    /// Requests one rental from the cloud and applies its outcome.
    async fn scale_out(&self, rental: &Rental) {
        if !self.may_act(Instant::now()) {
            return;
        }
        let request_id = &rental.request_id;
        let body = http::encode(rental);
        let response = self.cloud_call("POST", "/rentals", Some(&body)).await;
        let now = Instant::now();
        let mut state = self.lock();
        let Some(cluster) = state.cluster.as_mut() else { return };
        match response {
            Ok((200, body)) => match http::decode::<MachineNames>(&body) {
                Ok(rented) => cluster.apply_rental(rental, &rented.machines, now),
                Err(error) => tracing::error!(%request_id, %error, "cannot decode the response to a rental request"),
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                tracing::info!(
                    machine_type = %rental.machine_type, zone = %rental.zone, spot = rental.spot,
                    "cloud has no capacity for a rental"
                );
                apply_refused_rental(cluster, rental, now);
            }
            Ok((400, _)) => {
                tracing::error!(%request_id, "cloud refused a rental request as malformed");
                apply_refused_rental(cluster, rental, now);
            }
            // The outcome is unknown, so the rental is requested again under the same request ID.
            Ok((status, _)) => tracing::debug!(%request_id, status, "rental outcome unknown, requesting it again"),
            Err(error) => tracing::debug!(%request_id, %error, "rental outcome unknown, requesting it again"),
        }
    }
}

/// Ends a rental that the cloud refuses, and marks its pool as exhausted so that no further rental
/// is planned from it for a while.
fn apply_refused_rental(cluster: &mut Cluster, rental: &Rental, now: Instant) {
    cluster.fleet.mark_answered(&rental.request_id, now);
    cluster.mark_pool_exhausted(rental, now);
}
