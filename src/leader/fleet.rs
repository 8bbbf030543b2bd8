//! Scaling the fleet out and in.

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

/// Shortest time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize, Deserialize)]
struct MachineNames {
    #[serde(rename = "polyps")]
    machines: Vec<Name>,
}

impl Controller {
    /// Plans the fleet regularly and carries the plans out.  Never ends the term.
    pub(super) async fn run_fleet(&self, lease: LeaderLease) -> StepDownReason {
        let mut due = Instant::now();
        loop {
            pause(due.saturating_duration_since(Instant::now())).await;
            let now = Instant::now();
            due = now + PLAN_INTERVAL;
            let Some(plan) = self.plan_fleet(now) else { continue };
            // with thousands of machines planning takes its time as well
            due = due.max(now + self.rest_time(now.elapsed(), self.policy.plan_share));
            self.apply_fleet_plan(plan, lease).await;
            self.placement_wake.wake();
            self.delete_expired_records(lease).await;
        }
    }

    /// The next plan; `None` if this controller does not lead.
    fn plan_fleet(&self, now: Instant) -> Option<FleetPlan> {
        let mut guard = self.lock();
        let state = &mut *guard;
        self.detect_stall(state, now);
        if !state.is_leader(now) {
            return None;
        }
        let Some(cluster) = state.cluster.as_mut() else { return Some(FleetPlan::default()) };
        let machines = cluster.machine_count();
        cluster.fleet.adapt_heartbeat_capacity(self.scheduling_delay.now(), machines, &self.policy, now);
        let plan = cluster.plan_fleet(&state.unmet_demand, now);
        state.forwarding_requested = should_forward(machines, self.policy.spread_from, state.forwarding_requested);
        Some(plan)
    }

    /// Scales in and out at the same time; a rental is requested only once it is recorded.
    async fn apply_fleet_plan(&self, plan: FleetPlan, lease: LeaderLease) {
        let rentals = async {
            if self.record_rentals(&plan.rentals, lease).await {
                join_all(plan.rentals.iter().map(|rental| self.scale_out(rental))).await;
            }
        };
        join(self.scale_in(&plan.deletions), rentals).await;
    }

    /// Deletes machines.
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
            Ok((status, _)) => tracing::debug!(status, "machine deletion refused"),
            Err(error) => tracing::debug!(%error, "machine deletion failed"),
        }
    }

    /// Requests one rental.
    async fn scale_out(&self, rental: &Rental) {
        if !self.may_act(Instant::now()) {
            return;
        }
        let request_id = &rental.request_id;
        let body = http::encode(rental);
        let answer = self.cloud_call("POST", "/rentals", Some(&body)).await;
        let now = Instant::now();
        let mut state = self.lock();
        let Some(cluster) = state.cluster.as_mut() else { return };
        match answer {
            Ok((200, body)) => match http::decode::<MachineNames>(&body) {
                Ok(answer) => cluster.apply_rental(rental, &answer.machines, now),
                Err(error) => tracing::error!(%request_id, %error, "answer to a rental cannot be read"),
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                tracing::info!(machine_type = %rental.kind, zone = %rental.zone, spot = rental.spot, "no capacity");
                apply_refused_rental(cluster, rental, now);
            }
            Ok((400, _)) => {
                tracing::error!(%request_id, "rental refused as malformed");
                apply_refused_rental(cluster, rental, now);
            }
            // the outcome is unknown: requested again under the same request id
            Ok((status, _)) => tracing::debug!(%request_id, status, "rental without an outcome"),
            Err(error) => tracing::debug!(%request_id, %error, "rental without an outcome"),
        }
    }
}

/// The cloud will not serve the rental: its pool is not asked for a while.
fn apply_refused_rental(cluster: &mut Cluster, rental: &Rental, now: Instant) {
    cluster.fleet.mark_answered(&rental.request_id, now);
    cluster.mark_pool_exhausted(rental, now);
}
