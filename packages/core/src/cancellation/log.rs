//! The cancellations that a controller knows, in the order in which it learned of them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::{BatchCursor, Cancellation, CancellationBatch, MAX_BATCH_LEN};
use crate::model::Name;

/// When a cancellation was learned here, and the revision at which it was stored.
#[derive(Debug, Clone, Copy)]
struct Learned {
    at: Instant,
    revision: u64,
}

/// The cancellations that a controller knows: from the watch, from its own writes and from
/// what it read.  It keeps a limited number; evicting the oldest entry raises the floor.
#[derive(Debug)]
pub struct CancellationLog {
    incarnation: u64,
    /// Every cancellation with a higher revision that this controller was shown or has
    /// confirmed to a user is among the entries; `None` before this incarnation began its
    /// watch.
    floor: Option<u64>,
    /// Position of the first entry.
    first_position: u64,
    entries: VecDeque<Cancellation>,
    /// The entries by job.
    learned: HashMap<Name, Learned>,
    /// A cancellation that is not among the entries was learned by then at the latest: when
    /// this incarnation began its watch, or when the newest evicted entry was learned.
    unlisted_learned_by: Option<Instant>,
    capacity: usize,
}

impl CancellationLog {
    /// Creates an empty log of a new incarnation that keeps at most `capacity` entries.
    pub fn new(incarnation: u64, capacity: usize) -> CancellationLog {
        CancellationLog {
            incarnation,
            floor: None,
            first_position: 0,
            entries: VecDeque::new(),
            learned: HashMap::new(),
            unlisted_learned_by: None,
            capacity: capacity.max(1),
        }
    }

    /// Notes that a watch begins at this revision: cancellations between the end of the
    /// previous watch and this revision were not shown here.
    pub fn begin_watch(&mut self, revision: u64, now: Instant) {
        self.unlisted_learned_by.get_or_insert(now);
        self.floor = self.floor.max(Some(revision));
    }

    /// Records a stored cancellation, however it became known.
    pub fn record(&mut self, revision: u64, id: &str, now: Instant) {
        if self.learned.contains_key(id) {
            return;
        }
        self.learned.insert(id.into(), Learned { at: now, revision });
        self.entries.push_back(Cancellation { revision, id: id.into() });
        if self.entries.len() > self.capacity {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(evicted) = self.entries.pop_front() else { return };
        // The evicted job may have been cancelled a moment ago.  It must not look as old as
        // this incarnation, or the cancellation would be confirmed too early.
        let learned_at = self.learned.remove(&evicted.id).map(|learned| learned.at);
        self.unlisted_learned_by = self.unlisted_learned_by.max(learned_at);
        self.first_position += 1;
        self.floor = self.floor.map(|floor| floor.max(evicted.revision));
    }

    /// Whether the job's cancellation is among the entries.
    pub fn contains(&self, id: &str) -> bool {
        self.learned.contains_key(id)
    }

    /// Returns the revision at which a job's cancellation was stored, if it is among the
    /// entries.
    pub(super) fn revision_of(&self, id: &str) -> Option<u64> {
        self.learned.get(id).map(|learned| learned.revision)
    }

    /// Returns for how long a job's cancellation has been known, at least; `None` if that
    /// is not known.
    pub(super) fn min_age(&self, id: &str, now: Instant) -> Option<Duration> {
        let learned_at = self.learned.get(id).map(|learned| learned.at).or(self.unlisted_learned_by);
        learned_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the next batch for a peer that knows all cancellations up to `revision` and has
    /// read this log up to `cursor`.  `None` if there may be cancellations after `revision`
    /// that are no longer, or never were, in this log.
    pub fn batch_since(&self, revision: u64, cursor: BatchCursor) -> Option<CancellationBatch> {
        self.floor.filter(|floor| *floor <= revision)?;
        let begin = match cursor.incarnation == self.incarnation {
            true => cursor.next.saturating_sub(self.first_position) as usize,
            false => 0,
        };
        let end = self.entries.len().min(begin.saturating_add(MAX_BATCH_LEN));
        let unread = self.entries.iter().skip(begin).take(MAX_BATCH_LEN);
        Some(CancellationBatch {
            incarnation: self.incarnation,
            cancellations: unread.filter(|entry| entry.revision > revision).cloned().collect(),
            next: self.first_position + end as u64,
            complete: end == self.entries.len(),
        })
    }
}
