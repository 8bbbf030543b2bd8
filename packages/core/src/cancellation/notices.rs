//! When a cancellation may be confirmed to its user, and which peers have to know it first.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;
use std::time::Instant;

use lru::LruCache;

use super::{Cancellation, CancellationLog, MAX_BATCH_LEN};
use crate::model::Name;
use crate::policy::Policy;

/// The cancellations that a peer is to be notified of.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerNotice {
    /// The cancellations, those first that the peer has not acknowledged.
    pub cancellations: Vec<Cancellation>,
    /// Whether there are any that the peer has not acknowledged.
    pub has_unacknowledged: bool,
}

/// Decides when a cancellation may be confirmed to its user.
///
/// That is when no controller that does not know the cancellation can renew a lease for the
/// job's tasks for longer than the time that is left.  It is so in any of these cases:
///
/// - every peer has acknowledged the cancellation;
/// - the leader finds no task of the job on any machine, and none can start any more;
/// - `cancel` has passed since the cancellation was stored, because by then the view of every
///   controller that does not know it is older than that.
///
/// Until then the cancellation is stored and carried out, but its request is answered with a
/// temporary error, upon which the user asks again.
#[derive(Debug)]
pub struct CancellationNotices {
    peer_count: usize,
    /// The peers that have acknowledged each cancellation that somebody waits for.
    pending: BTreeMap<Name, BTreeSet<usize>>,
    settled: LruCache<Name, ()>,
}

impl CancellationNotices {
    /// Creates an instance without pending cancellations that remembers at most
    /// `settled_capacity` settled ones.
    pub fn new(peer_count: usize, settled_capacity: usize) -> CancellationNotices {
        let settled_capacity = NonZeroUsize::new(settled_capacity).unwrap_or(NonZeroUsize::MIN);
        CancellationNotices { peer_count, pending: BTreeMap::new(), settled: LruCache::new(settled_capacity) }
    }

    /// Whether the cancellation of a job may be confirmed to its user.  If not, the cancellation becomes
    /// pending, and the peers are to be notified of it.
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

    /// Returns the pending cancellations that a peer is to be notified of.
    ///
    /// Those that the peer has not acknowledged come first: with more pending cancellations
    /// than one message holds, the acknowledged ones would otherwise keep them out for ever.
    pub fn for_peer(&mut self, peer: usize, log: &CancellationLog, policy: &Policy, now: Instant) -> PeerNotice {
        // after `cancel` the cancellation may be confirmed anyway, and nobody waits for a peer
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

    /// Notes that a peer has acknowledged these cancellations.
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
