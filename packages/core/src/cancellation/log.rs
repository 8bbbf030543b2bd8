//! A log of the cancellations that a controller knows, in the order in which it learned of
//! them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::{BatchCursor, Cancellation, CancellationBatch, MAX_BATCH_LEN};
use crate::model::Name;

/// When this controller learned of a cancellation, and the revision at which it was stored.
#[derive(Debug, Clone, Copy)]
struct Learned {
    at: Instant,
    revision: u64,
}

/// The cancellations that a controller knows from the watch, from its own writes and from its
/// reads of the store.  The log keeps a limited number of entries.  Evicting the oldest entry
/// raises the revision from which on the log is complete.
#[derive(Debug)]
pub struct CancellationLog {
    incarnation: u64,
    /// The entries include every cancellation with a higher revision than this that the controller
    /// has received from the watch or confirmed to a user.  `None` until this incarnation begins
    /// its watch.
    complete_after_revision: Option<u64>,
    /// Position in the log of the first entry that is kept.
    first_position: u64,
    entries: VecDeque<Cancellation>,
    /// When and at which revision each entry was learned, by job.
    learned: HashMap<Name, Learned>,
    /// Latest time at which a cancellation that is not among the entries can have been
    /// learned: when this incarnation began its watch, or when the newest evicted entry was
    /// learned, whichever is later.  `None` before either.
    unlisted_learned_by: Option<Instant>,
    capacity: usize,
}

impl CancellationLog {
    /// Creates an empty log of a new incarnation that keeps at most `capacity` entries.
    pub fn new(incarnation: u64, capacity: usize) -> CancellationLog {
        CancellationLog {
            incarnation,
            complete_after_revision: None,
            first_position: 0,
            entries: VecDeque::new(),
            learned: HashMap::new(),
            unlisted_learned_by: None,
            capacity: capacity.max(1),
        }
    }

    /// Records that a watch begins at `revision`.  Cancellations stored between the end of the
    /// previous watch and `revision` may be missing from the log.
    pub fn begin_watch(&mut self, revision: u64, now: Instant) {
        self.unlisted_learned_by.get_or_insert(now);
        self.complete_after_revision = self.complete_after_revision.max(Some(revision));
    }

    /// Records a cancellation that was stored at `revision`, from whichever source it became
    /// known.  Has no effect if the job is already among the entries.
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
        // The evicted cancellation may be recent.  If its age were computed from the start of
        // this incarnation, the cancellation would be confirmed too early.
        let learned_at = self.learned.remove(&evicted.id).map(|learned| learned.at);
        self.unlisted_learned_by = self.unlisted_learned_by.max(learned_at);
        self.first_position += 1;
        self.complete_after_revision =
            self.complete_after_revision.map(|complete_after_revision| complete_after_revision.max(evicted.revision));
    }

    /// Reports whether the job's cancellation is among the entries.
    pub fn contains(&self, id: &str) -> bool {
        self.learned.contains_key(id)
    }

    /// Returns the revision at which a job's cancellation was stored; `None` if it is not among
    /// the entries.
    pub(super) fn revision_of(&self, id: &str) -> Option<u64> {
        self.learned.get(id).map(|learned| learned.revision)
    }

    /// Returns the minimum time for which a job's cancellation has been known; `None` if it is
    /// not among the entries and nothing bounds its age.
    pub(super) fn min_age(&self, id: &str, now: Instant) -> Option<Duration> {
        let learned_at = self.learned.get(id).map(|learned| learned.at).or(self.unlisted_learned_by);
        learned_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the next batch for a peer that knows all cancellations up to `revision` and has
    /// read this log up to `cursor`.  A cursor of another incarnation counts as the beginning
    /// of the log.  `None` if cancellations after `revision` may be missing from this log,
    /// because they were evicted or never recorded.
    pub fn batch_since(&self, revision: u64, cursor: BatchCursor) -> Option<CancellationBatch> {
        self.complete_after_revision.filter(|complete_after_revision| *complete_after_revision <= revision)?;
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
