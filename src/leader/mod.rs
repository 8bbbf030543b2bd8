//! The leader's control loops.
//!
//! A new leader loads the cluster's state from the state service.  Then it runs one loop each for
//! commits, placement, direct commands, feature gates, outcomes of dependencies, the machine list,
//! the fleet and the contact to workers.  All of them stop at the end of the term.  Heartbeats are
//! handled by the `heartbeats` module.

mod cloud;
mod commit;
mod direct_commands;
mod fleet;
mod load;
mod machine_list;
mod outcome_fetch;
mod placement;
mod rental_records;
mod takeover;
mod worker_contact;

use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::runtime::race::{race, race_future};

impl Controller {
    /// Loads the cluster's state and runs the leader's control loops until one of them ends the
    /// term.  The caller drops this future if the lease ends first.
    pub async fn lead(&self, lease: LeaderLease) -> StepDownReason {
        while let Err(error) = self.load_cluster(lease).await {
            tracing::info!(term = lease.term, %error, "cannot load the state of the cluster, retrying");
            smol::Timer::after(self.policy.renew / 4).await;
        }
        self.placement_wake.wake();
        race(vec![
            race_future(self.run_commits(lease)),
            race_future(self.run_placement()),
            race_future(self.run_direct_commands()),
            race_future(self.run_feature_gate(lease)),
            race_future(self.run_outcome_fetches()),
            race_future(self.run_machine_listing(lease)),
            race_future(self.run_fleet(lease)),
            race_future(self.run_contact_check()),
        ])
        .await
    }
}
