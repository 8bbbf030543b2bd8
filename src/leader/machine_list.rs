//! Machine types and the list of machines, as reported by the cloud.

use std::sync::Arc;
use std::time::Instant;

use serde::Deserialize;

use crate::cluster::ListedMachine;
use crate::controller::Controller;
use crate::http;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::model::*;
use crate::state_store::client::{key, Txn, Write};

use super::cloud::CloudError;

#[derive(Deserialize)]
struct MachineTypes {
    #[serde(rename = "hulls")]
    types: Vec<MachineType>,
}

#[derive(Deserialize)]
struct MachinePage {
    #[serde(rename = "polyps")]
    machines: Vec<ListedMachine>,
    #[serde(default)]
    truncated: bool,
}

/// Number of listing intervals (`list_every`) between two fetches of the machine types.
const LISTINGS_PER_TYPE_FETCH: u32 = 10;

/// Returns the name and size of each machine type, without its prices.
fn machine_sizes(types: &[MachineType]) -> Vec<(Name, Resources)> {
    types.iter().map(|machine_type| (machine_type.name.clone(), machine_type.resources())).collect()
}

impl Controller {
    /// Fetches the machine types at startup, retrying until there are any.  Every controller needs
    /// them to validate submissions.
    pub async fn run_initial_type_fetch(self: Arc<Self>) {
        while self.lock().machine_types.is_empty() && !self.fetch_machine_types().await {
            smol::Timer::after(self.policy.renew).await;
        }
    }

    /// Fetches the machine types from the cloud; reports whether it returned any.
    async fn fetch_machine_types(&self) -> bool {
        match self.cloud_get::<MachineTypes>("/flavors").await {
            Ok(response) if !response.types.is_empty() => {
                let mut state = self.lock();
                if let Some(cluster) = state.cluster.as_mut() {
                    cluster.set_types(&response.types);
                }
                state.machine_types = response.types;
                true
            }
            Ok(_) => false,
            Err(error) => {
                tracing::debug!(%error, "cannot fetch machine types from the cloud");
                false
            }
        }
    }

    /// Lists the machines periodically, and fetches the machine types less often.
    ///
    /// Never returns, so it never ends the term.
    pub(super) async fn run_machine_listing(&self, lease: LeaderLease) -> StepDownReason {
        let mut types_fetched_at: Option<Instant> = None;
        let mut stored_types: Option<Vec<MachineType>> = None;
        loop {
            let type_interval = self.policy.list_every * LISTINGS_PER_TYPE_FETCH;
            let types_due = types_fetched_at.is_none_or(|at| at.elapsed() > type_interval);
            if types_due && self.fetch_machine_types().await {
                types_fetched_at = Some(Instant::now());
                self.store_machine_types(&mut stored_types, lease).await;
            }
            match self.list_all_machines().await {
                Ok(machines) => {
                    if let Some(cluster) = self.lock().cluster.as_mut() {
                        cluster.apply_machine_list(&machines, Instant::now());
                    }
                }
                Err(error) => tracing::debug!(%error, "cannot list the machines of the cloud"),
            }
            smol::Timer::after(self.policy.list_every).await;
        }
    }

    /// Writes the machine types to the state service, unless `stored`, the list last written, has
    /// the same sizes.  A controller that starts during an outage of the cloud uses the stored
    /// types.
    async fn store_machine_types(&self, stored: &mut Option<Vec<MachineType>>, lease: LeaderLease) {
        let mut types = self.lock().machine_types.clone();
        for machine_type in &mut types {
            // Prices change frequently, and a controller that starts needs only the sizes.
            machine_type.price_per_hour = machine_type.price_per_hour.ceil();
            machine_type.spot_price_per_hour = machine_type.spot_price_per_hour.ceil();
        }
        // A list that does not fit into one value is not stored: with only a part of the types,
        // jobs would be refused permanently.
        let fits = http::encode(&types).len() * 2 <= self.store.txn_limits.value_bytes;
        if !fits || stored.as_deref().map(machine_sizes) == Some(machine_sizes(&types)) {
            return;
        }
        let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(key::TYPES, &types)] };
        txn.add_precondition(key::LEADER, lease.revision);
        if self.store.txn(&txn).await.is_ok() {
            *stored = Some(types);
        }
    }

    /// Reads all pages of the cloud's list of machines.
    async fn list_all_machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let (mut machines, mut since) = (Vec::new(), String::new());
        loop {
            let target = match since.as_str() {
                "" => "/rentals?page=500".to_owned(),
                since => format!("/rentals?since={since}&page=500"),
            };
            let page: MachinePage = self.cloud_get(&target).await?;
            let last = page.machines.last().map(|machine| machine.name.to_string());
            machines.extend(page.machines);
            match last {
                Some(last) if page.truncated => since = last,
                _ => return Ok(machines),
            }
        }
    }
}
