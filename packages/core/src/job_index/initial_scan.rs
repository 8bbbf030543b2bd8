//! The scan of all stored records and outcomes with which a controller begins.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use coralnotch_wire::state::{read_value, KeyValue};

use super::{EndedJob, JobIndex, OpenJob};
use crate::key;
use crate::model::{JobOutcome, JobSpec, Name, OutcomeRecord};

/// Which page a sweep needs next.
#[derive(Debug, Clone, PartialEq)]
pub struct PageRequest {
    /// Keys under this.
    pub under: &'static str,
    /// After this key; empty for the first page.
    pub since: String,
}

/// One listing of keys in their order, a page at a time.
#[derive(Debug)]
struct Listing {
    under: &'static str,
    rows: VecDeque<KeyValue>,
    since: String,
    over: bool,
}

impl Listing {
    fn new(under: &'static str) -> Listing {
        Listing { under, rows: VecDeque::new(), since: String::new(), over: false }
    }

    fn need(&self) -> Option<PageRequest> {
        (self.rows.is_empty() && !self.over).then(|| PageRequest { under: self.under, since: self.since.clone() })
    }

    fn front(&self) -> Option<&str> {
        self.rows.front().and_then(|i| i.key.strip_prefix(self.under))
    }
}

/// Reads all records with their ends, both in the order of ids, and holds no
/// more than a page of each: the history may be of any length.
///
/// The pages are of different moments.  Whatever changes after the first one
/// is shown by a watch from its revision; so a record read here without its
/// end is corrected by the watch, and an end read without its record belongs
/// to a record that the watch shows before that end.
#[derive(Debug)]
pub struct InitialScan {
    jobs: Listing,
    outcomes: Listing,
    /// EndedJob jobs that are worth keeping all the same.
    wanted: HashSet<Name>,
    /// Jobs that the watch has shown to end since the sweep began: a page at
    /// hand may be older than that.
    ended: HashSet<Name>,
}

impl InitialScan {
    /// A sweep that has read nothing.  `wanted`: ended jobs that may still
    /// have tasks somewhere.
    pub fn new(wanted: HashSet<Name>) -> InitialScan {
        InitialScan {
            jobs: Listing::new(key::JOB),
            outcomes: Listing::new(key::OUTCOME),
            wanted,
            ended: HashSet::new(),
        }
    }

    /// Jobs that the watch has shown to end.  Its changes may be taken in while
    /// the sweep goes on.
    pub fn mark_ended(&mut self, ids: impl Iterator<Item = Name>) {
        self.ended.extend(ids);
    }

    /// The page to read next; `None` when all is read.
    pub fn next_page(&self) -> Option<PageRequest> {
        if self.jobs.over && self.jobs.rows.is_empty() {
            return None;
        }
        self.jobs.need().or_else(|| self.outcomes.need())
    }

    /// A page that was needed.
    pub fn add_page(&mut self, under: &str, rows: Vec<KeyValue>, truncated: bool) {
        let l = if under == key::JOB { &mut self.jobs } else { &mut self.outcomes };
        match rows.last() {
            Some(last) => l.since.clone_from(&last.key),
            None => l.over = true,
        }
        l.over |= !truncated;
        l.rows.extend(rows);
    }

    /// The next record with its end, as far as the pages at hand tell.
    fn next(&mut self) -> Option<(KeyValue, Option<KeyValue>)> {
        loop {
            let id = self.jobs.front()?;
            let Some(end) = self.outcomes.front() else {
                // without the next page of ends nothing can be said of it
                return self.outcomes.over.then(|| self.jobs.rows.pop_front().map(|j| (j, None))).flatten();
            };
            match end.cmp(id) {
                std::cmp::Ordering::Less => {
                    self.outcomes.rows.pop_front();
                }
                std::cmp::Ordering::Equal => {
                    return Some((self.jobs.rows.pop_front()?, self.outcomes.rows.pop_front()))
                }
                std::cmp::Ordering::Greater => return self.jobs.rows.pop_front().map(|j| (j, None)),
            }
        }
    }

    /// Enters into a ledger what the pages at hand tell.  Calls back with the
    /// jobs that are new as unfinished, and with those that ended unseen.
    pub fn apply_pages(&mut self, ledger: &mut JobIndex, mut news: impl FnMut(ScanEvent)) {
        while let Some((job, end)) = self.next() {
            let id = job.key.strip_prefix(key::JOB).unwrap_or_default();
            let outcome = match &end {
                None => None,
                Some(e) => match read_value::<OutcomeRecord>(&e.key, e.value.clone()).map(|r| r.outcome) {
                    // an end that cannot be read is an end all the same: not
                    // taking the job for unfinished is right, whatever it was
                    None => continue,
                    outcome => outcome,
                },
            };
            match outcome {
                Some(f) => {
                    if ledger.apply_outcome(id, f) {
                        news(ScanEvent::Ended(id.into(), f));
                    } else if self.wanted.contains(id) && ledger.outcome(id).is_none() {
                        let stamp = job.revision;
                        if let Some(spec) = read_value::<JobSpec>(&job.key, job.value) {
                            ledger.insert_ended(EndedJob { spec: Arc::new(spec), revision: stamp, outcome: f });
                        }
                    }
                }
                None if ledger.open.contains_key(id) || self.ended.contains(id) => {}
                None => {
                    if let Some(spec) = read_value::<JobSpec>(&job.key, job.value) {
                        let spec = Arc::new(spec);
                        if ledger.insert_seen(spec.clone(), job.revision) {
                            news(ScanEvent::Open(OpenJob { spec, revision: job.revision }));
                        }
                    }
                }
            }
        }
    }
}

/// What a sweep brings that was not known.
#[derive(Debug, Clone, PartialEq)]
pub enum ScanEvent {
    /// An unfinished job.
    Open(OpenJob),
    /// A job that was unfinished here has ended.
    Ended(Name, JobOutcome),
}
