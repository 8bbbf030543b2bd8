//! Feature gates: a feature that an earlier version would misinterpret is enabled only once
//! every configured controller has advertised that it supports it.  Plain functions of what
//! was advertised and `now`; this module does not know how features are advertised.
//!
//! An enabled feature stays enabled, because what is stored from then on may depend on it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Jobs may depend on other jobs.
pub const JOB_DEPENDENCIES: &str = "chains";

/// A cancellation is confirmed to its user only once every controller that may renew a lease
/// knows of it, or has had the time to stop renewing (see the module `cancellation`).  Also, a
/// controller that is partitioned off raises the fencing tokens of its zone's workers.
pub const CONFIRMED_CANCELLATIONS: &str = "told";

/// Controllers that do not lead forward workers' heartbeats to the leader.
pub const FORWARDED_HEARTBEATS: &str = "reports";

/// The features that this version supports.
pub const SUPPORTED: &[&str] = &[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS, FORWARDED_HEARTBEATS];

/// The stored record of the enabled features.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeatureGates {
    /// The enabled features.
    #[serde(rename = "on")]
    pub enabled: Vec<String>,
    /// The leader term in which the last one was enabled.
    pub term: u64,
}

/// Returns the features to enable, if there is one to add: those that are enabled already, and
/// those that all controllers support.
pub fn next_enabled(is_enabled: impl Fn(&str) -> bool, all_have: impl Fn(&str) -> bool) -> Option<Vec<String>> {
    let has_new = SUPPORTED.iter().any(|feature| !is_enabled(feature) && all_have(feature));
    let enabled = SUPPORTED.iter().filter(|feature| is_enabled(feature) || all_have(feature));
    has_new.then(|| enabled.map(|feature| (*feature).to_owned()).collect())
}

/// The record that a controller keeps in the store, attached to its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The features that it supports.
    #[serde(rename = "knows")]
    pub features: Vec<String>,
    /// Its version.
    pub version: String,
}

/// What one controller has last advertised.
#[derive(Debug, Clone, PartialEq)]
pub struct AdvertisedFeatures {
    /// The features that it supports; empty for a version that has no feature gates.
    pub features: Vec<String>,
    /// Its version; empty if it is not known.
    pub version: String,
    /// When it advertised them.
    pub seen_at: Instant,
}

/// What the other controllers have advertised, by their names.
#[derive(Debug, Default)]
pub struct MemberFeatures(HashMap<String, AdvertisedFeatures>);

impl MemberFeatures {
    /// Records what a controller has advertised, in a message or by its stored record.
    /// Anything older than what is recorded already is ignored.
    pub fn record(&mut self, name: &str, advertised: AdvertisedFeatures) {
        if self.0.get(name).is_none_or(|recorded| recorded.seen_at <= advertised.seen_at) {
            self.0.insert(name.to_owned(), advertised);
        }
    }

    /// Returns what a controller has last advertised.
    pub fn get(&self, name: &str) -> Option<&AdvertisedFeatures> {
        self.0.get(name)
    }

    /// Whether each of these controllers has advertised a feature within the last `max_age`.
    /// A controller that has advertised nothing for longer may run another version by now.
    pub fn all_have<'a>(
        &self,
        mut names: impl Iterator<Item = &'a str>,
        feature: &str,
        max_age: Duration,
        now: Instant,
    ) -> bool {
        names.all(|name| {
            let Some(advertised) = self.0.get(name) else { return false };
            let is_recent = now.saturating_duration_since(advertised.seen_at) <= max_age;
            is_recent && advertised.features.iter().any(|supported| supported == feature)
        })
    }
}

#[cfg(test)]
mod tests;
