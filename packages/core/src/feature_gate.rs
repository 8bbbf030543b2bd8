//! What is on: a feature that an earlier version would misread is used only once
//! every controller of the settings has shown that it has it.  Plain functions of
//! what was shown and `now`; how it is shown is not known in here.
//!
//! Once on, a feature stays on: what is stored from then on needs it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Jobs that wait for others.
pub const JOB_DEPENDENCIES: &str = "chains";

/// A withdrawal is told to its user once every controller that may renew a lease
/// knows of it, or had its time (see `knowledge`); and a controller that is cut off
/// raises the tokens of its zone's workers.
pub const CONFIRMED_CANCELLATIONS: &str = "told";

/// Controllers that do not lead forward workers' reports.
pub const FORWARDED_HEARTBEATS: &str = "reports";

/// The features that this version has.
pub const SUPPORTED: &[&str] = &[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS, FORWARDED_HEARTBEATS];

/// The stored record of what is on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeatureGates {
    /// Features.
    #[serde(rename = "on")]
    pub enabled: Vec<String>,
    /// The term in which the last one came on.
    pub term: u64,
}

/// The next record of what is on, if there is more to come: what is on stays on, and
/// what all have comes on.
pub fn next_enabled(is_on: impl Fn(&str) -> bool, all_have: impl Fn(&str) -> bool) -> Option<Vec<String>> {
    let more = SUPPORTED.iter().any(|f| !is_on(f) && all_have(f));
    let on = SUPPORTED.iter().filter(|f| is_on(f) || all_have(f)).map(|f| (*f).to_owned());
    more.then(|| on.collect())
}

/// What a controller leaves in the store, on its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The features that it has.
    #[serde(rename = "knows")]
    pub features: Vec<String>,
    /// Its version.
    pub version: String,
}

/// What was last shown of one controller.
#[derive(Debug, Clone, PartialEq)]
pub struct AdvertisedFeatures {
    /// Its features; none of a version before the gates.
    pub features: Vec<String>,
    /// Its version, if it said so.
    pub version: String,
    /// When.
    pub seen_at: Instant,
}

/// What the others have shown, by name.
#[derive(Debug, Default)]
pub struct MemberFeatures(HashMap<String, AdvertisedFeatures>);

impl MemberFeatures {
    /// A controller has told what it has, itself or by its record.  What an
    /// older word says does not count against a newer one.
    pub fn record(&mut self, name: &str, s: AdvertisedFeatures) {
        if self.0.get(name).is_none_or(|o| o.seen_at <= s.seen_at) {
            self.0.insert(name.to_owned(), s);
        }
    }

    /// What was last shown of a controller.
    pub fn get(&self, name: &str) -> Option<&AdvertisedFeatures> {
        self.0.get(name)
    }

    /// Whether each of these showed lately that it has a feature.  Who was not
    /// heard of for longer may be another version by now.
    pub fn all_have<'a>(
        &self,
        mut names: impl Iterator<Item = &'a str>,
        feature: &str,
        lately: Duration,
        now: Instant,
    ) -> bool {
        names.all(|n| {
            let of = self.0.get(n).filter(|s| now.saturating_duration_since(s.seen_at) <= lately);
            of.is_some_and(|s| s.features.iter().any(|k| k == feature))
        })
    }
}

#[cfg(test)]
mod tests;
