//! As of when a controller knows every cancellation that a user was told of.

use std::collections::HashMap;
use std::time::Instant;

use super::CancellationBatch;

/// What a sibling has told.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerProgress {
    life: u64,
    next: u64,
    /// The last account to its end was asked for then.
    pub(super) at: Option<Instant>,
}

/// Since when a controller's picture of withdrawals is whole.
#[derive(Debug, Default)]
pub struct CancellationView {
    pub(super) shown: Option<Instant>,
    pub(super) told: HashMap<String, PeerProgress>,
}

impl CancellationView {
    /// The watch has answered a request that was sent then.
    pub fn watch_answered(&mut self, sent: Instant) {
        self.shown = self.shown.max(Some(sent));
    }

    /// What to ask a sibling for: the rest of which life's list.
    pub fn next_request(&self, sibling: &str) -> (u64, u64) {
        self.told.get(sibling).map_or((0, 0), |t| (t.life, t.next))
    }

    /// A sibling has answered a request that was sent then; what it told is known
    /// here by now.
    pub fn peer_answered(&mut self, sibling: &str, sent: Instant, a: &CancellationBatch) {
        let t = self.told.entry(sibling.to_owned()).or_default();
        (t.life, t.next) = (a.incarnation, a.next);
        if a.complete {
            t.at = t.at.max(Some(sent));
        }
    }

    /// Since when no withdrawal can be missing that a user was told of before:
    /// by the watch, or by the word of each of these, which are all siblings.
    pub fn complete_as_of<'a>(&self, siblings: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let mut of = siblings.into_iter().map(|s| self.told.get(s).and_then(|t| t.at)).peekable();
        let word = if of.peek().is_some() { of.min().flatten() } else { None };
        self.shown.max(word)
    }
}
