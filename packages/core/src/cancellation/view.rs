//! As of when a controller knows every cancellation that was confirmed to a user.

use std::collections::HashMap;
use std::time::Instant;

use super::{BatchCursor, CancellationBatch};

/// How far a peer's log has been read.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerProgress {
    cursor: BatchCursor,
    /// When the request was sent whose response last reached the end of the log.
    pub(super) complete_as_of: Option<Instant>,
}

/// As of when a controller's knowledge of cancellations is complete.
#[derive(Debug, Default)]
pub struct CancellationView {
    /// When the last watch request that was answered had been sent.
    pub(super) watch_complete_as_of: Option<Instant>,
    pub(super) peers: HashMap<String, PeerProgress>,
}

impl CancellationView {
    /// Notes that the watch has responded to a request that was sent at `sent`.
    pub fn watch_answered(&mut self, sent: Instant) {
        self.watch_complete_as_of = self.watch_complete_as_of.max(Some(sent));
    }

    /// Returns the cursor at which the next batch of a peer's log begins.
    pub fn next_cursor(&self, peer: &str) -> BatchCursor {
        self.peers.get(peer).map(|progress| progress.cursor).unwrap_or_default()
    }

    /// Notes a peer's response to a request that was sent at `sent`.  The caller has recorded
    /// the cancellations of the batch before.
    pub fn peer_answered(&mut self, peer: &str, sent: Instant, batch: &CancellationBatch) {
        let progress = self.peers.entry(peer.to_owned()).or_default();
        progress.cursor = BatchCursor { incarnation: batch.incarnation, next: batch.next };
        if batch.complete {
            progress.complete_as_of = progress.complete_as_of.max(Some(sent));
        }
    }

    /// Returns the latest time for which this holds: no cancellation that was confirmed to a
    /// user before it can be missing here.  `None` if there is no such time.
    ///
    /// `peers` are the names of all other controllers.  Without any, only the watch counts.
    pub fn complete_as_of<'a>(&self, peers: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let peers_complete_as_of =
            peers.into_iter().map(|peer| self.peers.get(peer).and_then(|progress| progress.complete_as_of)).min();
        self.watch_complete_as_of.max(peers_complete_as_of.flatten())
    }
}
