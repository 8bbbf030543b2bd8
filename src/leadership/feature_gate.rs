//! Feature gates, which enable a feature only after all controllers support it.
//!
//! Each controller advertises the features that it supports to its peers, and in a member record in
//! the state service.  The leader enables a feature once all controllers support it; that decision
//! is made in `coralnotch_core`.  This module advertises and collects the supported features, and
//! stores and applies the feature gates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coralnotch_core::feature_gate::{
    features_to_enable, AdvertisedFeatures, FeatureGates, MemberRecord, CONFIRMED_CANCELLATIONS, FORWARDED_HEARTBEATS,
    JOB_DEPENDENCIES, SUPPORTED,
};

use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::peers::links::lock;
use crate::state_store::client::{decode_value, key, StoreError, Txn, TxnOutcome, Write};

/// The longest time to live that the state service grants a lease.
const MAX_LEASE_TTL: Duration = Duration::from_secs(600);

/// The version of this program, which is shown to operators and peers.
pub(crate) const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Shown in `/v2/status` as the version of a peer whose program is too old to advertise features.
const VERSION_BEFORE_FEATURES: &str = "earlier";

/// Shown in `/v2/status` as the version of a peer that has advertised features but not its version
/// yet.
const VERSION_UNKNOWN: &str = "not told yet";

/// Returns the features that this version supports, as they are sent and stored.
pub(crate) fn supported_features() -> Vec<String> {
    SUPPORTED.iter().map(|feature| (*feature).to_owned()).collect()
}

/// Returns a peer's version as shown in `/v2/status`.
fn displayed_version(peer: &AdvertisedFeatures) -> String {
    match (peer.features.is_empty(), peer.version.is_empty()) {
        (true, _) => VERSION_BEFORE_FEATURES.to_owned(),
        (false, true) => VERSION_UNKNOWN.to_owned(),
        (false, false) => peer.version.clone(),
    }
}

/// Reports whether stored gates enable a feature that is not enabled here yet, and logs that if so.
fn is_newly_enabled(gates: &FeatureGates, feature: &str, enabled: bool) -> bool {
    let is_new = !enabled && gates.enabled.iter().any(|f| f == feature);
    if is_new {
        tracing::info!(feature, term = gates.term, "feature enabled");
    }
    is_new
}

impl Controller {
    /// Records the features and the version that a peer has advertised in a message of its own,
    /// received at `at`.
    pub(crate) fn record_peer_features(&self, name: &str, features: Vec<String>, version: String, at: Instant) {
        let mut member_features = lock(&self.peers.member_features);
        // A peer's requests do not carry its version, only its responses do.
        let version = match member_features.get(name) {
            Some(known) if version.is_empty() && !features.is_empty() => known.version.clone(),
            _ => version,
        };
        member_features.record(name, AdvertisedFeatures { features, version, seen_at: at });
    }

    /// Returns the versions of the peers of which any message or member record is known, by peer
    /// name.
    pub(crate) fn peer_versions(&self) -> BTreeMap<String, String> {
        let member_features = lock(&self.peers.member_features);
        let names = self.config.peers.iter().map(|peer| &peer.name);
        names.filter_map(|name| Some((name.clone(), displayed_version(member_features.get(name)?)))).collect()
    }

    /// Applies the feature gates stored at `revision`.  A feature that is enabled here stays
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

    /// Keeps this controller's member record in the state service until all features are enabled.
    ///
    /// The record is attached to a lease of its own that outlives a network partition, because a
    /// controller that is partitioned or briefly down still runs the same version.
    pub async fn publish_features(&self) {
        let mut lease_id = None;
        // Which features are enabled is known only after the initial read of the store.
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

    /// Renews the member record's lease, or writes the record with a new lease; returns the ID of
    /// the lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoLease`] if the lease has expired, so that the record has to be
    /// written with a new one.
    async fn publish_member_record(&self, lease_id: Option<u64>) -> Result<u64, StoreError> {
        if let Some(id) = lease_id {
            return self.store.renew(id, self.policy.ttl / 2).await.map(|()| id);
        }
        let id = self.store.grant(self.policy.cut_keep.min(MAX_LEASE_TTL)).await?;
        let member = MemberRecord { features: supported_features(), version: VERSION.to_owned() };
        let path = format!("{}{}", key::MEMBER, self.config.name);
        let txn = Txn { preconditions: vec![], writes: vec![Write::set_with_lease(path, &member, id)] };
        self.store.txn(&txn).await.map(|_| id)
    }

    /// Enables each feature, as the leader, once every configured controller is known to support it
    /// from its messages or its member record.
    ///
    /// Never returns, so it never ends the term.
    pub(crate) async fn run_feature_gate(&self, lease: LeaderLease) -> StepDownReason {
        while !self.lock().all_features_enabled() {
            self.read_member_records().await;
            self.enable_supported_features(lease).await;
            smol::Timer::after(self.policy.renew / 2).await;
        }
        std::future::pending().await
    }

    /// Lists the member records and records the features that they advertise.
    async fn read_member_records(&self) {
        let members = match self.store.list(key::MEMBER).await {
            Ok(members) => members,
            Err(error) => {
                tracing::debug!(%error, "cannot list the member records in the state service");
                return;
            }
        };
        // A listed record was valid at the time of the listing, so that is when its features were
        // last seen.  For a message of a controller, the time of the message counts instead.
        let now = Instant::now();
        for item in members {
            let name = item.key.strip_prefix(key::MEMBER).unwrap_or_default().to_owned();
            if let Some(record) = decode_value::<MemberRecord>(&item.key, item.value) {
                self.record_member(&name, record, now);
            }
        }
    }

    /// Records the features of a member record, unless the controller contradicts it: a recent
    /// message of that controller has come from a version that does not advertise features.
    fn record_member(&self, name: &str, member: MemberRecord, now: Instant) {
        let mut member_features = lock(&self.peers.member_features);
        let contradicts_record = |known: &AdvertisedFeatures| {
            known.features.is_empty() && now.saturating_duration_since(known.seen_at) <= self.policy.ttl * 2
        };
        if !member_features.get(name).is_some_and(contradicts_record) {
            let features = AdvertisedFeatures { features: member.features, version: member.version, seen_at: now };
            member_features.record(name, features);
        }
    }

    /// Stores and applies new feature gates if a further feature can be enabled.
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
        let mut txn = Txn { preconditions: vec![], writes: vec![Write::set(key::FEATURE_GATES, &gates)] };
        txn.add_precondition(key::LEADER, lease.revision);
        txn.add_precondition(key::FEATURE_GATES, revision);
        match self.store.txn(&txn).await {
            Ok(TxnOutcome::Done(revision)) => self.apply_feature_gates(&gates, revision, Instant::now()),
            Ok(TxnOutcome::Conflict(keys)) => tracing::info!(?keys, "feature gate transaction conflict, retrying"),
            Err(error) => tracing::debug!(%error, "feature gate transaction failed, retrying"),
        }
    }

    /// Returns the gates with every feature that is enabled already or that all controllers
    /// support; `None` if that enables no further feature.  `enabled` lists each feature and
    /// whether it is enabled.
    fn next_feature_gates(&self, enabled: &[(&str, bool)], term: u64) -> Option<FeatureGates> {
        let is_enabled = |feature: &str| enabled.contains(&(feature, true));
        let names = self.config.peers.iter().map(|peer| peer.name.as_str());
        let (now, member_features) = (Instant::now(), lock(&self.peers.member_features));
        let all_support =
            |feature: &str| member_features.all_support(names.clone(), feature, self.policy.cut_keep, now);
        Some(FeatureGates { enabled: features_to_enable(is_enabled, all_support)?, term })
    }
}
