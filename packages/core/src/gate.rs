//! What is on: a feature that an earlier version would misread is used only once
//! every controller of the settings has shown that it has it.  Plain functions of
//! what was shown and `now`; how it is shown is not known in here.
//!
//! Once on, a feature stays on: what is stored from then on needs it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Jobs that wait for others.
pub const CHAINS: &str = "chains";

/// A withdrawal is told to its user once every controller that may renew a lease
/// knows of it, or had its time (see `knowledge`); and a controller that is cut off
/// raises the tokens of its zone's workers.
pub const TOLD: &str = "told";

/// The features that this version has.
pub const KNOWN: &[&str] = &[CHAINS, TOLD];

/// The stored record of what is on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gates {
    /// Features.
    pub on: Vec<String>,
    /// The term in which the last one came on.
    pub term: u64,
}

/// The next record of what is on, if there is more to come: what is on stays on, and
/// what all have comes on.
pub fn raised(is_on: impl Fn(&str) -> bool, all_have: impl Fn(&str) -> bool) -> Option<Vec<String>> {
    let more = KNOWN.iter().any(|f| !is_on(f) && all_have(f));
    let on = KNOWN.iter().filter(|f| is_on(f) || all_have(f)).map(|f| (*f).to_owned());
    more.then(|| on.collect())
}

/// What a controller leaves in the store, on its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The features that it has.
    pub knows: Vec<String>,
    /// Its version.
    pub version: String,
}

/// What was last shown of one controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Shown {
    /// Its features; none of a version before the gates.
    pub knows: Vec<String>,
    /// Its version, if it said so.
    pub version: String,
    /// When.
    pub at: Instant,
}

/// What the others have shown, by name.
#[derive(Debug, Default)]
pub struct Roster(HashMap<String, Shown>);

impl Roster {
    /// A controller has told what it has, itself or by its record.  What an
    /// older word says does not count against a newer one.
    pub fn shown(&mut self, name: &str, s: Shown) {
        if self.0.get(name).is_none_or(|o| o.at <= s.at) {
            self.0.insert(name.to_owned(), s);
        }
    }

    /// What was last shown of a controller.
    pub fn of(&self, name: &str) -> Option<&Shown> {
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
            let of = self.0.get(n).filter(|s| now.saturating_duration_since(s.at) <= lately);
            of.is_some_and(|s| s.knows.iter().any(|k| k == feature))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A record of the version before this one has its one feature on: that stays, the
    /// next comes when all have it, and nothing is written without need.
    #[test]
    fn features_come_on_one_by_one_and_stay() {
        let names = |l: &[&str]| Some(l.iter().map(|f| (*f).to_owned()).collect::<Vec<_>>());
        assert_eq!(raised(|_| false, |_| false), None);
        assert_eq!(raised(|_| false, |f| f == CHAINS), names(&[CHAINS]));
        assert_eq!(raised(|f| f == CHAINS, |_| false), None, "who comes back old takes nothing away");
        assert_eq!(raised(|f| f == CHAINS, |f| f == TOLD), names(&[CHAINS, TOLD]));
        assert_eq!(raised(|f| f == TOLD, |f| f == CHAINS), names(&[CHAINS, TOLD]));
        assert_eq!(raised(|_| true, |_| true), None);
    }

    /// An old controller that comes back, one that is silent and one that was
    /// never heard of each keep a feature off.
    #[test]
    fn a_feature_needs_every_controller() {
        let (t0, lately) = (Instant::now(), Duration::from_secs(4));
        let s = |n| t0 + Duration::from_secs(n);
        let shown = |knows: &[&str], at| Shown {
            knows: knows.iter().map(|k| (*k).to_owned()).collect(),
            version: String::new(),
            at,
        };
        let mut r = Roster::default();
        let all = |r: &Roster, at| r.all_have(["a", "b"].into_iter(), CHAINS, lately, at);
        assert!(!all(&r, s(0)));
        r.shown("a", shown(&[CHAINS, "other"], s(1)));
        assert!(!all(&r, s(1)), "b was never heard of");
        r.shown("b", shown(&[], s(2)));
        assert!(!all(&r, s(2)), "b is of a version before the gates");
        r.shown("b", shown(&[CHAINS], s(4)));
        assert!(all(&r, s(4)));
        assert!(!all(&r, s(6)), "a was silent for too long");
        r.shown("a", shown(&[CHAINS], s(6)));
        assert!(all(&r, s(6)));
        // its record in the store is older than its own word
        r.shown("b", shown(&[], s(7)));
        r.shown("b", shown(&[CHAINS], s(5)));
        assert!(!all(&r, s(7)), "b came back as it was before");
        assert!(r.all_have([].into_iter(), CHAINS, lately, s(0)), "one alone needs nobody");
    }
}
