//! Decides when a cancellation may be confirmed to its user, and which peers must acknowledge
//! it first.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;
use std::time::Instant;

use lru::LruCache;

use super::{Cancellation, CancellationLog, MAX_BATCH_LEN};
use crate::model::Name;
use crate::policy::Policy;

/// The cancellations to send to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerNotice {
    /// The pending cancellations.  Those that the peer has not acknowledged come first.
    pub cancellations: Vec<Cancellation>,
    /// Whether there are pending cancellations that the peer has not acknowledged.
    pub has_unacknowledged: bool,
}

/// Decides when a cancellation may be confirmed to its user.
///
/// A cancellation may be confirmed once no controller that does not know it can keep the job's
/// tasks running beyond the time allowed by `cancel`.  Any of these conditions suffices:
///
/// - every peer has acknowledged the cancellation;
/// - the leader finds no task of the job on any machine, and none can start any more;
/// - `cancel` has passed since the cancellation was stored.  By then, the view of every
///   controller that does not know the cancellation is older than `cancel`.
///
/// Until then the cancellation is already stored and in effect, but the user's request is
/// answered with a temporary error, so that the user retries it.
#[derive(Debug)]
pub struct CancellationNotices {
    peer_count: usize,
    /// Jobs whose cancellations wait for their confirmation, each with the indexes of the peers
    /// that have acknowledged it.
    pending: BTreeMap<Name, BTreeSet<usize>>,
    /// Jobs whose cancellations may be confirmed without further checks.
    settled: LruCache<Name, ()>,
}

impl CancellationNotices {
    /// Creates an instance without pending cancellations, for `peer_count` other controllers.
    /// It remembers at most `settled_capacity` settled cancellations.
    pub fn new(peer_count: usize, settled_capacity: usize) -> CancellationNotices {
        let settled_capacity = NonZeroUsize::new(settled_capacity).unwrap_or(NonZeroUsize::MIN);
        CancellationNotices { peer_count, pending: BTreeMap::new(), settled: LruCache::new(settled_capacity) }
    }

    /// Reports whether the cancellation of a job may be confirmed to its user.  If not, the
    /// cancellation becomes pending, and the caller has to notify the peers of it.
    pub fn may_confirm(&mut self, id: &Name, log: &CancellationLog, policy: &Policy, now: Instant) -> bool {
        if self.peer_count == 0 || self.settled.contains(id) {
            return true;
        }
        if log.min_age(id, now).is_some_and(|age| age >= policy.cancel) {
            self.pending.remove(id);
            return true;
        }
        self.pending.entry(id.clone()).or_default();
        false
    }

    /// Returns the pending cancellations to send to the peer with index `peer`.
    ///
    /// Cancellations that the peer has not acknowledged come first.  If more are pending than
    /// one message holds, acknowledged ones could otherwise fill every message, and the others
    /// would never be sent.
    pub fn pending_for_peer(
        &mut self,
        peer: usize,
        log: &CancellationLog,
        policy: &Policy,
        now: Instant,
    ) -> PeerNotice {
        // after `cancel` a cancellation may be confirmed without the peers' acknowledgements
        self.pending.retain(|id, _| log.min_age(id, now).is_some_and(|age| age < policy.cancel));
        let (unacknowledged, acknowledged): (Vec<_>, Vec<_>) =
            self.pending.iter().partition(|(_, acknowledged_by)| !acknowledged_by.contains(&peer));
        let has_unacknowledged = !unacknowledged.is_empty();
        let to_send = unacknowledged.into_iter().chain(acknowledged).take(MAX_BATCH_LEN);
        let cancellations = to_send
            .map(|(id, _)| Cancellation { revision: log.revision_of(id).unwrap_or(0), id: id.clone() })
            .collect();
        PeerNotice { cancellations, has_unacknowledged }
    }

    /// Records that the peer with index `peer` has acknowledged these cancellations.
    pub fn mark_acknowledged(&mut self, peer: usize, cancellations: &[Cancellation]) {
        for cancellation in cancellations {
            let Some(acknowledged_by) = self.pending.get_mut(&cancellation.id) else { continue };
            acknowledged_by.insert(peer);
            if acknowledged_by.len() >= self.peer_count {
                self.settle(&cancellation.id);
            }
        }
    }

    /// Marks a cancellation as safe to confirm, for example because the leader has found no
    /// task of the job on any machine.
    pub fn settle(&mut self, id: &Name) {
        self.pending.remove(id);
        self.settled.put(id.clone(), ());
    }
}
