//! Feature gates: which features all controllers support, and which are enabled.
//!
//! Each controller advertises its features to its peers and in a member record; the leader
//! enables a feature.  Whether all controllers support one is decided in core; this module
//! advertises, collects and stores.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coralnotch_core::feature_gate::{
    next_enabled, AdvertisedFeatures, FeatureGates, MemberRecord, CONFIRMED_CANCELLATIONS, FORWARDED_HEARTBEATS,
    JOB_DEPENDENCIES, SUPPORTED,
};

use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::peers::links::lock;
use crate::state_store::client::{key, read_value, StoreError, Txn, TxnOutcome, Write};

/// The state store grants no longer lease.
const LONGEST_LEASE: Duration = Duration::from_secs(600);

/// This program's version.
pub(crate) const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Shown in `/v2/status` as the version of a peer from before features were advertised.
const VERSION_BEFORE_FEATURES: &str = "earlier";

/// Shown in `/v2/status` as the version of a peer that has not sent it yet.
const VERSION_UNKNOWN: &str = "not told yet";

/// The features of this version, in the form that is sent and stored.
pub(crate) fn supported_features() -> Vec<String> {
    SUPPORTED.iter().map(|feature| (*feature).to_owned()).collect()
}

/// A peer's version as shown in `/v2/status`.
fn displayed_version(peer: &AdvertisedFeatures) -> String {
    match (peer.features.is_empty(), peer.version.is_empty()) {
        (true, _) => VERSION_BEFORE_FEATURES.to_owned(),
        (false, true) => VERSION_UNKNOWN.to_owned(),
        (false, false) => peer.version.clone(),
    }
}

/// Whether stored gates enable a feature that is not enabled here yet; logs it if so.
fn is_newly_enabled(gates: &FeatureGates, feature: &str, enabled: bool) -> bool {
    let is_new = !enabled && gates.enabled.iter().any(|f| f == feature);
    if is_new {
        tracing::info!(feature, term = gates.term, "feature enabled");
    }
    is_new
}

impl Controller {
    /// Records the features that a peer has advertised itself.
    pub(crate) fn record_peer_features(&self, name: &str, features: Vec<String>, version: String, at: Instant) {
        let mut roster = lock(&self.peers.member_features);
        // a peer's requests do not carry its version, its answers do
        let version = match roster.get(name) {
            Some(known) if version.is_empty() && !features.is_empty() => known.version.clone(),
            _ => version,
        };
        roster.record(name, AdvertisedFeatures { features, version, seen_at: at });
    }

    /// The versions of the peers that have advertised their features, by name.
    pub(crate) fn peer_versions(&self) -> BTreeMap<String, String> {
        let roster = lock(&self.peers.member_features);
        let names = self.config.peers.iter().map(|peer| &peer.name);
        names.filter_map(|name| Some((name.clone(), displayed_version(roster.get(name)?)))).collect()
    }

    /// Applies the stored feature gates, as read at this revision.  An enabled feature stays
    /// enabled.
    pub(crate) fn apply_feature_gates(&self, gates: &FeatureGates, revision: u64, now: Instant) {
        let mut state = self.lock();
        state.features_revision = state.features_revision.max(revision);
        if is_newly_enabled(gates, CONFIRMED_CANCELLATIONS, state.notices_enabled_at.is_some()) {
            state.notices_enabled_at = Some(now);
        }
        if is_newly_enabled(gates, FORWARDED_HEARTBEATS, state.forwarding_enabled) {
            state.forwarding_enabled = true;
        }
        if is_newly_enabled(gates, JOB_DEPENDENCIES, state.dependencies_enabled) {
            state.dependencies_enabled = true;
        }
    }

    /// Keeps this controller's member record in the store until all features are enabled.
    ///
    /// The record is on a lease of its own that outlives a network partition: a controller that
    /// is cut off, or down for a moment, still has the version that it had.
    pub async fn publish_features(&self) {
        let mut lease_id = None;
        // which features are enabled is known only once the store has been read
        while !self.lock().synced {
            smol::Timer::after(self.policy.renew / 8).await;
        }
        while !self.lock().all_features_enabled() {
            lease_id = match self.publish_member_record(lease_id).await {
                Ok(id) => Some(id),
                Err(StoreError::NoLease) => None,
                Err(_) => lease_id,
            };
            smol::Timer::after(self.policy.ttl / 2).await;
        }
    }

    /// Renews the member record's lease, or writes the record on a new one; the lease's id.
    async fn publish_member_record(&self, lease_id: Option<u64>) -> Result<u64, StoreError> {
        if let Some(id) = lease_id {
            return self.store.renew(id, self.policy.ttl / 2).await.map(|()| id);
        }
        let id = self.store.grant(self.policy.cut_keep.min(LONGEST_LEASE)).await?;
        let member = MemberRecord { features: supported_features(), version: VERSION.to_owned() };
        let path = format!("{}{}", key::MEMBER, self.config.name);
        let txn = Txn { preconditions: vec![], writes: vec![Write::set_with_lease(path, &member, id)] };
        self.store.txn(&txn).await.map(|_| id)
    }

    /// Enables each feature, as leader, once every configured controller is known to support it,
    /// from its own messages or from its member record.  Never ends the term.
    pub(crate) async fn run_feature_gate(&self, lease: LeaderLease) -> StepDownReason {
        while !self.lock().all_features_enabled() {
            self.read_member_records().await;
            self.enable_supported_features(lease).await;
            smol::Timer::after(self.policy.renew / 2).await;
        }
        std::future::pending().await
    }

    async fn read_member_records(&self) {
        let members = match self.store.list(key::MEMBER).await {
            Ok(members) => members,
            Err(error) => {
                tracing::debug!(%error, "cannot list member records");
                return;
            }
        };
        // a listed record existed at the time of the listing; how old the controller's own
        // message is, only that message says
        let now = Instant::now();
        for item in members {
            let name = item.key.strip_prefix(key::MEMBER).unwrap_or_default().to_owned();
            if let Some(record) = read_value::<MemberRecord>(&item.key, item.value) {
                self.record_member(&name, record, now);
            }
        }
    }

    /// Records what a member record says, unless the controller contradicts it: it has answered
    /// lately as a version from before features were advertised.
    fn record_member(&self, name: &str, member: MemberRecord, now: Instant) {
        let mut roster = lock(&self.peers.member_features);
        let contradicts = |known: &AdvertisedFeatures| {
            known.features.is_empty() && now.saturating_duration_since(known.seen_at) <= self.policy.ttl * 2
        };
        if !roster.get(name).is_some_and(contradicts) {
            let features = AdvertisedFeatures { features: member.features, version: member.version, seen_at: now };
            roster.record(name, features);
        }
    }

    /// Stores and applies the next feature gates, if another feature can be enabled.
    async fn enable_supported_features(&self, lease: LeaderLease) {
        let (enabled, revision) = {
            let state = self.lock();
            let enabled = [
                (JOB_DEPENDENCIES, state.dependencies_enabled),
                (CONFIRMED_CANCELLATIONS, state.notices_enabled_at.is_some()),
                (FORWARDED_HEARTBEATS, state.forwarding_enabled),
            ];
            (enabled, state.features_revision)
        };
        let Some(gates) = self.next_feature_gates(&enabled, lease.term) else { return };
        let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(key::GATES, &gates)] };
        txn.require(key::LEADER, lease.revision);
        txn.require(key::GATES, revision);
        match self.store.txn(&txn).await {
            Ok(TxnOutcome::Done(revision)) => self.apply_feature_gates(&gates, revision, Instant::now()),
            Ok(TxnOutcome::Conflict(keys)) => tracing::info!(?keys, "feature gate transaction in conflict"),
            Err(error) => tracing::debug!(%error, "feature gate transaction failed"),
        }
    }

    /// The gates with every feature that is enabled or that all controllers support, if that
    /// enables more than today.  `enabled` says of each feature whether it is enabled.
    fn next_feature_gates(&self, enabled: &[(&str, bool)], term: u64) -> Option<FeatureGates> {
        let is_enabled = |feature: &str| enabled.contains(&(feature, true));
        let names = self.config.peers.iter().map(|peer| peer.name.as_str());
        let (now, roster) = (Instant::now(), lock(&self.peers.member_features));
        let all_have = |feature: &str| roster.all_have(names.clone(), feature, self.policy.cut_keep, now);
        Some(FeatureGates { enabled: next_enabled(is_enabled, all_have)?, term })
    }
}
