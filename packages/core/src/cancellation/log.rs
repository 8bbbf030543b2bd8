//! The cancellations that a controller knows.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::{Cancellation, CancellationBatch, MOST_TOLD};
use crate::model::Name;

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
    pub(super) fn learned(&self, id: &str) -> Option<(Instant, u64)> {
        self.listed.get(id).copied().or(self.unlisted.map(|t| (t, 0)))
    }

    /// How long an end has been known, at least.
    pub(super) fn age(&self, id: &str, now: Instant) -> Option<Duration> {
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
