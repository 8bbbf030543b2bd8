//! A leader's calls to the cloud: types, lists, rentals and deletions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::heartbeat_forwarding::should_forward;
use serde::{Deserialize, Serialize};

use crate::cluster::{ListedMachine, RecordAttempt, Rental};
use crate::controller::Controller;
use crate::fleet::FleetPlan;
use crate::http;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::model::*;
use crate::state_store::client::{key, StoreError, Txn, TxnOutcome, Write};

#[derive(Deserialize)]
struct Types {
    #[serde(rename = "hulls")]
    types: Vec<MachineType>,
}
#[derive(Deserialize)]
struct ListPage {
    #[serde(rename = "polyps")]
    machines: Vec<ListedMachine>,
    #[serde(default)]
    truncated: bool,
}
#[derive(Serialize, Deserialize)]
struct Machines {
    #[serde(rename = "polyps")]
    machines: Vec<Name>,
}

/// How often a record in doubt is written.
const RECORD_TRIES: usize = 3;

/// How long the cloud may take to answer.
const CLOUD_LIMIT: Duration = Duration::from_secs(4);

impl Controller {
    /// One call to the cloud, within its limit; retries are the caller's.
    async fn cloud_call(&self, method: &str, target: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), http::Error> {
        self.cloud_calls.acquire(1.0).await;
        // the lease may have run out while this waited, or stood still: a
        // deletion decided then would hit what the next leader has placed
        if method == "POST" && !self.may_act(Instant::now()) {
            return Err(http::Error::Bad("leads no more"));
        }
        self.cloud_client.send(self.config.services.cloud, method, target, body, CLOUD_LIMIT).await
    }

    async fn cloud_get<T: serde::de::DeserializeOwned>(&self, target: &str) -> Result<T, String> {
        match self.cloud_call("GET", target, None).await {
            Ok((200, body)) => http::decode(&body).map_err(|e| e.to_string()),
            Ok((s, _)) => Err(format!("status {s}")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Machine types, from the cloud; every controller needs them to judge
    /// submissions.
    pub async fn fetch_machine_types(&self) -> bool {
        match self.cloud_get::<Types>("/flavors").await {
            Ok(t) if !t.types.is_empty() => {
                let mut i = self.lock();
                if let Some(c) = i.cluster.as_mut() {
                    c.set_types(&t.types);
                }
                i.machine_types = t.types;
                true
            }
            Ok(_) => false,
            Err(e) => {
                tracing::debug!("machine types: {e}");
                false
            }
        }
    }

    /// Lists machines, and types now and then.
    pub(super) async fn run_machine_listing(&self, a: LeaderLease) -> StepDownReason {
        let mut types_at: Option<Instant> = None;
        let mut stored: Option<Vec<MachineType>> = None;
        loop {
            if types_at.is_none_or(|t| t.elapsed() > self.policy.list_every * 10) && self.fetch_machine_types().await {
                types_at = Some(Instant::now());
                // kept for a start during an outage of the cloud
                let mut types = self.lock().machine_types.clone();
                for t in &mut types {
                    // prices move all the time; a start needs the sizes
                    (t.price, t.spot_price) = (t.price.ceil(), t.spot_price.ceil());
                }
                let sizes = |l: &[MachineType]| l.iter().map(|t| (t.name.clone(), t.size())).collect::<Vec<_>>();
                // a list that a value can't hold is not kept: a part of it would
                // have jobs refused for good
                let fits = http::encode(&types).len() * 2 <= self.store.most.value_bytes;
                if fits && stored.as_deref().map(sizes) != Some(sizes(&types)) {
                    let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(key::TYPES, &types)] };
                    txn.require(key::LEADER, a.revision);
                    if self.store.txn(&txn).await.is_ok() {
                        stored = Some(types);
                    }
                }
            }
            match self.list_all_machines().await {
                Ok(list) => {
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.apply_machine_list(&list, Instant::now());
                    }
                }
                Err(e) => tracing::debug!("list of machines: {e}"),
            }
            smol::Timer::after(self.policy.list_every).await;
        }
    }

    async fn list_all_machines(&self) -> Result<Vec<ListedMachine>, String> {
        let (mut all, mut after) = (Vec::new(), String::new());
        loop {
            let target = match after.as_str() {
                "" => "/rentals?page=500".to_owned(),
                a => format!("/rentals?since={a}&page=500"),
            };
            let page: ListPage = self.cloud_get(&target).await?;
            let last = page.machines.last().map(|m| m.name.to_string());
            all.extend(page.machines);
            match last {
                Some(l) if page.truncated => after = l,
                _ => return Ok(all),
            }
        }
    }

    /// Rents and returns.
    pub(super) async fn run_fleet(&self, a: LeaderLease) -> StepDownReason {
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            if now < due {
                smol::Timer::after(due - now).await;
            }
            due = Instant::now() + Duration::from_millis(500);
            let now = Instant::now();
            let plan = {
                let mut i = self.lock();
                self.detect_stall(&mut i, now);
                if !i.is_leader(now) {
                    continue;
                }
                let wants = std::mem::take(&mut i.unmet_demand);
                let plan = i.cluster.as_mut().map(|c| {
                    let here = c.machine_count();
                    c.fleet.adapt_heartbeat_capacity(self.scheduling_delay.now(), here, &self.policy, now);
                    (c.plan_fleet(&wants, now), here)
                });
                if let Some((_, here)) = &plan {
                    i.forwarding_requested = should_forward(*here, self.policy.spread_from, i.forwarding_requested);
                }
                let plan = plan.map(|p| p.0).unwrap_or_default();
                i.unmet_demand = wants;
                plan
            };
            // with thousands of machines a plan takes its time too
            due = due.max(now + self.rest_time(now.elapsed(), self.policy.plan_share));
            self.apply_fleet_plan(plan, a).await;
            self.placement_wake.wake();
            self.delete_expired_records(a).await;
        }
    }

    /// Puts rentals on record before they are asked for: should this term end
    /// before the answer, the next leader learns of them.  One key for all that
    /// are new.  Without a record they are planned again.
    async fn record_rentals(&self, rentals: &[Rental], a: LeaderLease) -> bool {
        let new = match self.lock().cluster.as_mut() {
            Some(c) => c.fleet.begin_recording(rentals, a.term),
            None => return false,
        };
        let Some(mut new) = new else { return true };
        for _ in 0..RECORD_TRIES {
            let tried = match self.store.txn(&new.txn(a.revision)).await {
                Ok(TxnOutcome::Done(_)) => RecordAttempt::Done,
                Ok(TxnOutcome::Conflict(keys)) => RecordAttempt::Conflict(keys),
                Err(StoreError::Indeterminate(e)) => {
                    tracing::debug!("a record of rentals is in doubt: {e}");
                    RecordAttempt::Doubt
                }
                Err(_) => RecordAttempt::Refused,
            };
            match new.apply_attempt(&tried) {
                None => {}
                Some(true) => {
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.fleet.mark_recorded(new.key, &new.rentals);
                    }
                    return true;
                }
                Some(false) => {
                    tracing::debug!("rentals are not on record: {tried:?}");
                    return false;
                }
            }
        }
        false
    }

    /// Removes records of which nothing is to be learned any more.
    async fn delete_expired_records(&self, a: LeaderLease) {
        let most = self.store.most.writes / 2;
        let gone = {
            let i = self.lock();
            let Some(c) = i.cluster.as_ref() else { return };
            c.fleet.expired_records(self.policy.rental_kept, most, Instant::now())
        };
        if gone.is_empty() {
            return;
        }
        let mut txn = Txn { preconditions: vec![], writes: gone.iter().map(Write::delete).collect() };
        txn.require(key::LEADER, a.revision);
        if let Ok(TxnOutcome::Done(_)) = self.store.txn(&txn).await {
            if let Some(c) = self.lock().cluster.as_mut() {
                c.fleet.records.retain(|k, _| !gone.contains(k));
            }
        }
    }

    async fn apply_fleet_plan(&self, plan: FleetPlan, a: LeaderLease) {
        let rentals = async {
            if self.record_rentals(&plan.rent, a).await {
                futures_util::future::join_all(plan.rent.iter().map(|r| self.scale_out(r))).await;
            }
        };
        futures_util::future::join(self.scale_in(&plan.delete), rentals).await;
    }

    async fn scale_in(&self, names: &[Name]) {
        if names.is_empty() {
            return;
        }
        let body = http::encode(&Machines { machines: names.to_vec() });
        match self.cloud_call("POST", "/rentals/delete", Some(&body)).await {
            Ok((200, _)) => {
                if let Some(c) = self.lock().cluster.as_mut() {
                    c.apply_deletion(names, Instant::now());
                }
                self.placement_wake.wake();
                self.commit_wake.wake();
            }
            Ok((s, _)) => tracing::debug!("deletion: status {s}"),
            Err(e) => tracing::debug!("deletion: {e}"),
        }
    }

    async fn scale_out(&self, r: &Rental) {
        if !self.may_act(Instant::now()) {
            return;
        }
        let body = http::encode(r);
        let answer = self.cloud_call("POST", "/rentals", Some(&body)).await;
        let now = Instant::now();
        let mut i = self.lock();
        let Some(c) = i.cluster.as_mut() else { return };
        match answer {
            Ok((200, body)) => match http::decode::<Machines>(&body) {
                Ok(m) => c.apply_rental(r, &m.machines, now),
                Err(e) => tracing::error!("rental {}: {e}", r.request_id),
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                tracing::info!("no capacity: {} in {}, spot {}", r.kind, r.zone, r.spot);
                c.fleet.mark_answered(&r.request_id, now);
                c.mark_pool_exhausted(&(r.kind.clone(), r.zone.clone(), r.spot), now);
            }
            Ok((400, _)) => {
                tracing::error!("rental {} is malformed to the cloud", r.request_id);
                c.fleet.mark_answered(&r.request_id, now);
                c.mark_pool_exhausted(&(r.kind.clone(), r.zone.clone(), r.spot), now);
            }
            // in doubt: asked again under the same charter
            Ok((s, _)) => tracing::debug!("rental {}: status {s}", r.request_id),
            Err(e) => tracing::debug!("rental {}: {e}", r.request_id),
        }
    }

    /// Learns the types at the start, whoever leads.
    pub async fn run_initial_type_fetch(self: Arc<Self>) {
        while self.lock().machine_types.is_empty() && !self.fetch_machine_types().await {
            smol::Timer::after(self.policy.renew).await;
        }
    }
}
