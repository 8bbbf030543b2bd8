//! Feature gates: a feature that an earlier version would misinterpret is enabled only once
//! every configured controller has advertised that it supports the feature.  The functions
//! depend only on what was advertised and on `now`; how features are advertised is up to the
//! caller.
//!
//! An enabled feature stays enabled, because what is stored from then on may depend on it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The feature that lets jobs depend on other jobs.
pub const JOB_DEPENDENCIES: &str = "chains";

/// The feature by which a cancellation is confirmed to its user only once every controller that may
/// renew a lease knows of the cancellation or has had the time to stop renewing (see the module
/// `cancellation`).  Also, a controller that is partitioned off raises the fencing tokens of its
/// zone's workers.
pub const CONFIRMED_CANCELLATIONS: &str = "told";

/// The feature by which controllers other than the leader forward workers' heartbeats to it.
pub const FORWARDED_HEARTBEATS: &str = "reports";

/// The features that this version supports.
pub const SUPPORTED: &[&str] = &[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS, FORWARDED_HEARTBEATS];

/// The stored record of the enabled features.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeatureGates {
    /// Names of the enabled features.
    #[serde(rename = "on")]
    pub enabled: Vec<String>,
    /// Leader term in which the last one was enabled.
    pub term: u64,
}

/// Returns the features to enable: those that are enabled already and those that all controllers
/// support.  Returns `None` if that adds no feature.
pub fn features_to_enable(
    is_enabled: impl Fn(&str) -> bool,
    all_support: impl Fn(&str) -> bool,
) -> Option<Vec<String>> {
    let has_new = SUPPORTED.iter().any(|feature| !is_enabled(feature) && all_support(feature));
    let enabled = SUPPORTED.iter().filter(|feature| is_enabled(feature) || all_support(feature));
    has_new.then(|| enabled.map(|feature| (*feature).to_owned()).collect())
}

/// The record that a controller keeps in the store, attached to its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Features that the controller supports.
    #[serde(rename = "knows")]
    pub features: Vec<String>,
    /// Version of the controller.
    pub version: String,
}

/// The features that one controller has last advertised.
#[derive(Debug, Clone, PartialEq)]
pub struct AdvertisedFeatures {
    /// Features that the controller supports; empty for a version that has no feature gates.
    pub features: Vec<String>,
    /// Version of the controller; empty if it is not known.
    pub version: String,
    /// When the controller advertised them.
    pub seen_at: Instant,
}

/// The features that the other controllers have advertised, by controller name.
#[derive(Debug, Default)]
pub struct MemberFeatures(HashMap<String, AdvertisedFeatures>);

impl MemberFeatures {
    /// Records what a controller has advertised in a message or in its stored record.  An
    /// advertisement older than the recorded one is ignored.
    pub fn record(&mut self, name: &str, advertised: AdvertisedFeatures) {
        if self.0.get(name).is_none_or(|recorded| recorded.seen_at <= advertised.seen_at) {
            self.0.insert(name.to_owned(), advertised);
        }
    }

    /// Returns what a controller has last advertised; `None` if it has advertised nothing.
    pub fn get(&self, name: &str) -> Option<&AdvertisedFeatures> {
        self.0.get(name)
    }

    /// Reports whether each of these controllers has advertised a feature within the last
    /// `max_age`.  A controller that has advertised nothing for longer may run another version
    /// by now.
    pub fn all_support<'a>(
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
