//! What a controller knows of withdrawals, up to when that is whole, and how long
//! it may renew workers' leases on it.  It reads nothing and asks nobody; it must
//! not know how the store or a sibling is reached.
//!
//! A task runs on for as long as somebody renews its machine's lease.  Whoever
//! renews must therefore know of every withdrawal that a user was told of, or stop
//! early enough that the last lease is over within `cancel` of the first that it
//! may have missed.  CancellationView has an age: it is whole as of the hour at which the
//! request that showed it was *sent*, for that is all that its answer proves.
//!
//! Two ways make it whole.  The store's watch, when it answers.  And the word of
//! the siblings: a withdrawal is told to a user by a controller only, so if every
//! controller of the settings has accounted for all withdrawals that it knows, none
//! told before the first of these accounts was asked for is missing.  An account
//! counts without a gap only: from a revision up to which the asker knows them all.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;

use crate::model::Name;
use crate::policy::Policy;

/// For how long leases may be renewed on a picture of ends, from when it was whole:
/// what is withdrawn from then on has to be gone within `cancel` by the users'
/// clocks, and a lease that is renewed last lasts `lease` by the worker's, which may
/// run slow; a worker notices the end of its lease within a `renew`.
///
/// `told`: every controller keeps to [`CancellationNotices`].  A user is told then no sooner than
/// `cancel` after the end was stored, if a controller that renews may not know it.
pub fn renewal_window(p: &Policy, told: bool) -> Duration {
    let needs = p.lease.mul_f64(1.0 + 2.0 * p.drift) + p.renew;
    let from_telling = p.cancel.mul_f64(1.0 - 2.0 * p.drift).saturating_sub(needs);
    match told && !from_telling.is_zero() {
        true => from_telling + p.cancel.mul_f64(1.0 - 2.0 * p.drift),
        false => from_telling,
    }
}

/// The same for a leader whose lease is served: its stops reach the workers, and the
/// watch answers it within two `ttl`.  Where a worker's lease outlasts `cancel` no
/// bound helps, and a leader has to be able to lead.
pub fn leadership_window(p: &Policy) -> Duration {
    renewal_window(p, false).max(p.ttl * 3)
}

/// Whether a picture that is whole since then is young enough to renew leases on,
/// nobody else's word being had.
pub fn may_renew(whole: Option<Instant>, told: bool, p: &Policy, now: Instant) -> bool {
    whole.is_some_and(|t| now.saturating_duration_since(t) < renewal_window(p, told))
}

/// Whether it is young enough for a leader whose lease is served.
pub fn may_lead(whole: Option<Instant>, p: &Policy, now: Instant) -> bool {
    whole.is_some_and(|t| now.saturating_duration_since(t) < leadership_window(p))
}

/// Most withdrawals in one answer; the rest follows with the next.
const MOST_TOLD: usize = 512;

/// A withdrawal that is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Cancellation {
    /// Revision of its end.
    pub revision: u64,
    /// Job.
    pub id: Name,
}

/// What a controller tells a sibling: a part of the withdrawals that it knows.
#[derive(Debug, Clone, PartialEq)]
pub struct CancellationBatch {
    /// The life of the controller that tells it.
    pub incarnation: u64,
    /// In the order in which it learned of them.
    pub cancellations: Vec<Cancellation>,
    /// Where the next answer begins.
    pub next: u64,
    /// There is no more.
    pub complete: bool,
}

/// The withdrawals that a controller knows: by the watch, by what it stored and by
/// what it read.  It keeps the last of them; what it let go raises the floor.
#[derive(Debug)]
pub struct CancellationLog {
    life: u64,
    /// All with a higher stamp that were shown or told here are in the list;
    /// `None` before this life has begun to watch.
    floor: Option<u64>,
    /// Number of the first in the list.
    first: u64,
    list: VecDeque<Cancellation>,
    /// When each was learned, and its stamp.
    listed: HashMap<Name, (Instant, u64)>,
    /// What is not in the list was learned by then: when this life began to watch, or
    /// when the last one was learned that the list let go.
    unlisted: Option<Instant>,
    most: usize,
}

impl CancellationLog {
    /// None, in a new life that keeps so many.
    pub fn new(life: u64, most: usize) -> CancellationLog {
        let (list, listed) = Default::default();
        CancellationLog { life, floor: None, first: 0, list, listed, unlisted: None, most: most.max(1) }
    }

    /// A watch begins at this revision: what came before it and after the last one's
    /// end was not shown here.
    pub fn begin_watch(&mut self, revision: u64, now: Instant) {
        self.unlisted.get_or_insert(now);
        self.floor = self.floor.max(Some(revision));
    }

    /// One that is stored, however it became known.
    pub fn record(&mut self, stamp: u64, id: &str, now: Instant) {
        if self.listed.contains_key(id) {
            return;
        }
        self.listed.insert(id.into(), (now, stamp));
        self.list.push_back(Cancellation { revision: stamp, id: id.into() });
        if self.list.len() > self.most {
            if let Some(w) = self.list.pop_front() {
                // an id that left may be one that was learned a moment ago: it must not
                // look as old as this life
                let learned = self.listed.remove(&w.id).map(|l| l.0);
                self.unlisted = self.unlisted.max(learned);
                self.first += 1;
                self.floor = self.floor.map(|f| f.max(w.revision));
            }
        }
    }

    /// Whether a job is known to be withdrawn.
    pub fn contains(&self, id: &str) -> bool {
        self.listed.contains_key(id)
    }

    /// When an end was learned, or by when at the latest if it is not in the list any
    /// more or came before it; with its stamp.
    fn learned(&self, id: &str) -> Option<(Instant, u64)> {
        self.listed.get(id).copied().or(self.unlisted.map(|t| (t, 0)))
    }

    /// How long an end has been known, at least.
    fn age(&self, id: &str, now: Instant) -> Option<Duration> {
        self.learned(id).map(|(t, _)| now.saturating_duration_since(t))
    }

    /// For a sibling that knows all up to a revision and has had the first `next` of
    /// the list of a life.  `None`: a gap, nothing can be accounted for.
    pub fn batch_since(&self, since: u64, life: u64, next: u64) -> Option<CancellationBatch> {
        self.floor.filter(|f| *f <= since)?;
        let had = if life == self.life { next.saturating_sub(self.first) as usize } else { 0 };
        let rest = self.list.iter().skip(had);
        let end = self.list.len().min(had.saturating_add(MOST_TOLD));
        let known = rest.take(MOST_TOLD).filter(|w| w.revision > since).cloned().collect();
        let next = self.first + end as u64;
        Some(CancellationBatch { incarnation: self.life, cancellations: known, next, complete: end == self.list.len() })
    }
}

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

/// What a sibling has told.
#[derive(Debug, Clone, Copy, Default)]
struct PeerProgress {
    life: u64,
    next: u64,
    /// The last account to its end was asked for then.
    at: Option<Instant>,
}

/// Since when a controller's picture of withdrawals is whole.
#[derive(Debug, Default)]
pub struct CancellationView {
    shown: Option<Instant>,
    told: HashMap<String, PeerProgress>,
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

#[cfg(test)]
mod tests;
