//! What all controllers have, and what is on: each leaves a record and tells its
//! siblings, and the leader opens the gate.  Whether all have it is decided in
//! core; here it is only shown, heard and stored.

use std::time::{Duration, Instant};

use coralnotch_core::feature_gate::{
    next_enabled, AdvertisedFeatures, FeatureGates, MemberRecord, CONFIRMED_CANCELLATIONS, FORWARDED_HEARTBEATS,
    JOB_DEPENDENCIES, SUPPORTED,
};

use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::peers::links::lock;
use crate::state_store::client::{key, read_value, StoreError, Txn, TxnOutcome, Write};

/// The state service gives no longer lease.
const LONGEST_LEASE: Duration = Duration::from_secs(600);

/// This program's version.
pub(crate) const VERSION: &str = env!("CARGO_PKG_VERSION");

/// The features of this version, for the wire.
pub(crate) fn supported_features() -> Vec<String> {
    SUPPORTED.iter().map(|k| (*k).to_owned()).collect()
}

impl Controller {
    /// A sibling has told what it has.
    pub(crate) fn record_peer_features(&self, name: &str, knows: Vec<String>, version: String, at: Instant) {
        let mut roster = lock(&self.peers.roster);
        // who asks does not say its version; its answers do
        let version = match roster.get(name) {
            Some(s) if version.is_empty() && !knows.is_empty() => s.version.clone(),
            _ => version,
        };
        roster.record(name, AdvertisedFeatures { features: knows, version, seen_at: at });
    }

    /// The siblings' versions, as far as they have told.
    pub(crate) fn peer_versions(&self) -> std::collections::BTreeMap<String, String> {
        let roster = lock(&self.peers.roster);
        let of = |s: &AdvertisedFeatures| match (s.features.is_empty(), s.version.is_empty()) {
            (true, _) => "earlier".to_owned(),
            (false, true) => "not told yet".to_owned(),
            (false, false) => s.version.clone(),
        };
        let names = self.config.peers.iter().map(|s| &s.name);
        names.filter_map(|n| Some((n.clone(), of(roster.get(n)?)))).collect()
    }

    /// The stored record of what is on, as the store shows it.
    pub(crate) fn apply_feature_gates(&self, g: &FeatureGates, stamp: u64, now: Instant) {
        let mut i = self.lock();
        i.features_revision = i.features_revision.max(stamp);
        if i.notices_enabled_at.is_none() && g.enabled.iter().any(|f| f == CONFIRMED_CANCELLATIONS) {
            tracing::info!("all controllers have {CONFIRMED_CANCELLATIONS}: on since term {}", g.term);
            i.notices_enabled_at = Some(now);
        }
        if !i.forwarding_enabled && g.enabled.iter().any(|f| f == FORWARDED_HEARTBEATS) {
            tracing::info!("all controllers have {FORWARDED_HEARTBEATS}: on since term {}", g.term);
            i.forwarding_enabled = true;
        }
        if !i.dependencies_enabled && g.enabled.iter().any(|f| f == JOB_DEPENDENCIES) {
            tracing::info!("all controllers have {JOB_DEPENDENCIES}: on since term {}", g.term);
            i.dependencies_enabled = true;
        }
    }

    /// Leaves a record of what this controller has, until all is on.  It hangs on a
    /// lease of its own, which outlasts a cut: a controller that is cut off, or down
    /// for a moment, is still the version that it was.
    pub async fn publish_features(&self) {
        let mut hold = None;
        // what is on is known only once the store has been read
        while !self.lock().synced {
            smol::Timer::after(self.policy.renew / 8).await;
        }
        while !self.lock().all_features_enabled() {
            let done = async {
                match hold {
                    Some(h) => self.store.renew(h, self.policy.ttl / 2).await.map(|()| h),
                    None => {
                        let h = self.store.grant(self.policy.cut_keep.min(LONGEST_LEASE)).await?;
                        let member = MemberRecord { features: supported_features(), version: VERSION.to_owned() };
                        let path = format!("{}{}", key::MEMBER, self.config.name);
                        let txn = Txn { preconditions: vec![], writes: vec![Write::set_with_lease(path, &member, h)] };
                        self.store.txn(&txn).await.map(|_| h)
                    }
                }
            };
            let done: Result<u64, StoreError> = done.await;
            hold = match done {
                Ok(h) => Some(h),
                Err(StoreError::NoLease) => None,
                Err(_) => hold,
            };
            smol::Timer::after(self.policy.ttl / 2).await;
        }
    }

    /// Opens the gate once every controller of the settings is known to have
    /// what is behind it, by its own word or by its record.
    pub(crate) async fn run_feature_gate(&self, a: LeaderLease) -> &'static str {
        while !self.lock().all_features_enabled() {
            match self.store.list(key::MEMBER).await {
                Ok(members) => {
                    // it was there when the list was made; how old its own word
                    // is, only that says
                    let now = Instant::now();
                    for m in members {
                        let name = m.key.strip_prefix(key::MEMBER).unwrap_or_default().to_owned();
                        if let Some(r) = read_value::<MemberRecord>(&m.key, m.value) {
                            self.record_member(&name, r, now);
                        }
                    }
                }
                Err(e) => tracing::debug!("records of members: {e}"),
            }
            let names = self.config.peers.iter().map(|s| s.name.as_str());
            let (already, stamp) = {
                let i = self.lock();
                // what is on stays on
                (
                    [
                        (JOB_DEPENDENCIES, i.dependencies_enabled),
                        (CONFIRMED_CANCELLATIONS, i.notices_enabled_at.is_some()),
                        (FORWARDED_HEARTBEATS, i.forwarding_enabled),
                    ],
                    i.features_revision,
                )
            };
            let is_on = |f: &str| already.contains(&(f, true));
            let on = {
                let (now, roster) = (Instant::now(), lock(&self.peers.roster));
                next_enabled(is_on, |f| roster.all_have(names.clone(), f, self.policy.cut_keep, now))
            };
            if let Some(on) = on {
                let gates = FeatureGates { enabled: on, term: a.term };
                let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(key::GATES, &gates)] };
                txn.require(key::LEADER, a.revision);
                txn.require(key::GATES, stamp);
                match self.store.txn(&txn).await {
                    Ok(TxnOutcome::Done(stamp)) => self.apply_feature_gates(&gates, stamp, Instant::now()),
                    Ok(TxnOutcome::Conflict(keys)) => tracing::info!("the gate is in conflict over {keys:?}"),
                    Err(e) => tracing::debug!("the gate: {e}"),
                }
            }
            smol::Timer::after(self.policy.renew / 2).await;
        }
        std::future::pending().await
    }

    /// A record of a controller was found.  It is no word of its own: one that
    /// has answered as an earlier version since the record was made is one.
    fn record_member(&self, name: &str, m: MemberRecord, now: Instant) {
        let mut roster = lock(&self.peers.roster);
        let contradicts = |s: &AdvertisedFeatures| {
            s.features.is_empty() && now.saturating_duration_since(s.seen_at) <= self.policy.ttl * 2
        };
        if !roster.get(name).is_some_and(contradicts) {
            roster.record(name, AdvertisedFeatures { features: m.features, version: m.version, seen_at: now });
        }
    }
}
