//! Tracks the time as of which a controller knows every cancellation that was confirmed to a
//! user.

use std::collections::HashMap;
use std::time::Instant;

use super::{BatchCursor, CancellationBatch};

/// How far this controller has read a peer's log.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerProgress {
    cursor: BatchCursor,
    /// When the last request was sent whose response reached the end of the log; `None` if no
    /// response has.
    pub(super) complete_as_of: Option<Instant>,
}

/// The time as of which a controller's knowledge of cancellations is complete, as shown by the
/// store's watch and by each peer.
#[derive(Debug, Default)]
pub struct CancellationView {
    /// When the last watch request that was answered was sent; `None` if none was answered.
    pub(super) watch_complete_as_of: Option<Instant>,
    pub(super) peers: HashMap<String, PeerProgress>,
}

impl CancellationView {
    /// Records a response of the watch to a request that was sent at `sent_at`.
    pub fn record_watch_response(&mut self, sent_at: Instant) {
        self.watch_complete_as_of = self.watch_complete_as_of.max(Some(sent_at));
    }

    /// Returns the cursor from which to request the next batch of a peer's log.
    pub fn next_cursor(&self, peer: &str) -> BatchCursor {
        self.peers.get(peer).map(|progress| progress.cursor).unwrap_or_default()
    }

    /// Records a peer's response to a request that was sent at `sent_at`.  The caller must have
    /// recorded the cancellations of `batch` first.
    pub fn record_peer_response(&mut self, peer: &str, sent_at: Instant, batch: &CancellationBatch) {
        let progress = self.peers.entry(peer.to_owned()).or_default();
        progress.cursor = BatchCursor { incarnation: batch.incarnation, next: batch.next };
        if batch.complete {
            progress.complete_as_of = progress.complete_as_of.max(Some(sent_at));
        }
    }

    /// Returns the latest time such that this controller knows every cancellation that was
    /// confirmed to a user before it; `None` if neither the watch nor every peer has responded.
    ///
    /// `peers` are the names of all other controllers.  If there are none, only the watch counts.
    pub fn complete_as_of<'a>(&self, peers: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let peers_complete_as_of =
            peers.into_iter().map(|peer| self.peers.get(peer).and_then(|progress| progress.complete_as_of)).min();
        self.watch_complete_as_of.max(peers_complete_as_of.flatten())
    }
}
