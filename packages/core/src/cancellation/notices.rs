//! When a user may be told that a job is cancelled, and which other controllers have to know first.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;
use std::time::Instant;

use lru::LruCache;

use super::{Cancellation, CancellationLog, MOST_TOLD};
use crate::model::Name;
use crate::policy::Policy;

/// When a user may be told that a job is cancelled: when no lease can be renewed for
/// its tasks by a controller that does not know it, for longer than is left.  That is
/// so once every sibling has taken the word of it; or the leader finds nothing of the
/// job on any machine, and nothing starts any more; or `cancel` after its end was
/// stored, for by then whoever does not know it has a picture older than that.
///
/// Until then the end stands, and is carried out, but nobody is told: the user, who
/// is refused for now, asks again.
#[derive(Debug)]
pub struct CancellationNotices {
    peers: usize,
    open: BTreeMap<Name, BTreeSet<usize>>,
    settled: LruCache<Name, ()>,
}

impl CancellationNotices {
    /// Nothing is to be told; as many siblings, and so many settled ones kept.
    pub fn new(siblings: usize, most: usize) -> CancellationNotices {
        let most = NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN);
        CancellationNotices { peers: siblings, open: BTreeMap::new(), settled: LruCache::new(most) }
    }

    /// Whether a user may be told; if not, the siblings are to hear of it.
    pub fn may_confirm(&mut self, id: &Name, known: &CancellationLog, p: &Policy, now: Instant) -> bool {
        if self.peers == 0 || self.settled.contains(id) {
            return true;
        }
        if known.age(id, now).is_some_and(|t| t >= p.cancel) {
            self.open.remove(id);
            return true;
        }
        self.open.entry(id.clone()).or_default();
        false
    }

    /// What a sibling is to be told, and whether some of it is new to it: that comes
    /// first, or in a crowd those that it knows would stand in the way for ever.
    pub fn for_peer(
        &mut self,
        n: usize,
        known: &CancellationLog,
        p: &Policy,
        now: Instant,
    ) -> (Vec<Cancellation>, bool) {
        // nobody asks any more
        self.open.retain(|id, _| known.age(id, now).is_some_and(|t| t < p.cancel));
        let new = self.open.values().any(|by| !by.contains(&n));
        let of = |id: &Name| Cancellation { revision: known.learned(id).map_or(0, |l| l.1), id: id.clone() };
        let (news, rest): (Vec<_>, Vec<_>) = self.open.iter().partition(|(_, by)| !by.contains(&n));
        (news.into_iter().chain(rest).take(MOST_TOLD).map(|(id, _)| of(id)).collect(), new)
    }

    /// A sibling has taken the word of these.
    pub fn mark_acknowledged(&mut self, n: usize, told: &[Cancellation]) {
        for w in told {
            let Some(by) = self.open.get_mut(&w.id) else { continue };
            by.insert(n);
            if by.len() >= self.peers {
                self.settle(&w.id);
            }
        }
    }

    /// The leader has found nothing of a job on any machine.
    pub fn settle(&mut self, id: &Name) {
        self.open.remove(id);
        self.settled.put(id.clone(), ());
    }
}
