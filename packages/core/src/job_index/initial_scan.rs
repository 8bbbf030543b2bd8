//! The initial scan: reads all stored records with their outcomes into a [`JobIndex`].

use std::cmp::Ordering;
use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use coralnotch_wire::state::{read_value, KeyValue};

use super::{EndedJob, JobIndex, OpenJob};
use crate::key;
use crate::model::{JobOutcome, JobSpec, Name, OutcomeRecord};

/// The page that a scan needs next.
#[derive(Debug, Clone, PartialEq)]
pub struct PageRequest {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// The page begins after this key; empty for the first page.
    pub after_key: String,
}

/// A listing of the keys with one prefix in their order, read page by page.
#[derive(Debug)]
struct KeyListing {
    prefix: &'static str,
    /// What was read and is not consumed yet.
    rows: VecDeque<KeyValue>,
    /// The last key that was read.
    last_key: String,
    is_read_to_end: bool,
}

impl KeyListing {
    fn new(prefix: &'static str) -> KeyListing {
        KeyListing { prefix, rows: VecDeque::new(), last_key: String::new(), is_read_to_end: false }
    }

    /// Returns the next page to read, once all rows at hand are consumed.
    fn next_page(&self) -> Option<PageRequest> {
        let is_page_needed = self.rows.is_empty() && !self.is_read_to_end;
        is_page_needed.then(|| PageRequest { prefix: self.prefix, after_key: self.last_key.clone() })
    }

    fn add_page(&mut self, rows: Vec<KeyValue>, truncated: bool) {
        match rows.last() {
            Some(last) => self.last_key.clone_from(&last.key),
            None => self.is_read_to_end = true,
        }
        self.is_read_to_end |= !truncated;
        self.rows.extend(rows);
    }

    /// Returns the id in the key of the first row at hand.
    fn first_id(&self) -> Option<&str> {
        self.rows.front().and_then(|row| row.key.strip_prefix(self.prefix))
    }
}

/// A stored record with the outcome that was read for it, if any.
#[derive(Debug)]
struct ScannedJob {
    record: KeyValue,
    outcome: Option<KeyValue>,
}

/// Reads all records with their outcomes, both in the order of ids, and holds no more than a
/// page of each: the history may be of any length.
///
/// The pages are read at different times.  Whatever changes after the first one is shown by a
/// watch that begins at its revision.  So a record that is read here without its outcome is
/// corrected by the watch, and an outcome that is read without its record belongs to a record
/// that the watch shows before that outcome.
#[derive(Debug)]
pub struct InitialScan {
    jobs: KeyListing,
    outcomes: KeyListing,
    /// Ended jobs that are kept although they have ended.
    wanted: HashSet<Name>,
    /// Jobs whose outcome the watch has shown since the scan began: a page at hand may be
    /// older than that.
    ended: HashSet<Name>,
}

impl InitialScan {
    /// Creates a scan that has read nothing.  `wanted` are ended jobs that may still have
    /// tasks on some machine.
    pub fn new(wanted: HashSet<Name>) -> InitialScan {
        InitialScan {
            jobs: KeyListing::new(key::JOB),
            outcomes: KeyListing::new(key::OUTCOME),
            wanted,
            ended: HashSet::new(),
        }
    }

    /// Notes jobs whose outcome the watch has shown.  Its changes may be applied while the
    /// scan is in progress.
    pub fn mark_ended(&mut self, ids: impl Iterator<Item = Name>) {
        self.ended.extend(ids);
    }

    /// Returns the page to read next; `None` when all is read.
    pub fn next_page(&self) -> Option<PageRequest> {
        if self.jobs.is_read_to_end && self.jobs.rows.is_empty() {
            return None;
        }
        self.jobs.next_page().or_else(|| self.outcomes.next_page())
    }

    /// Adds a page that was requested.  `under` is its prefix, and `truncated` says that
    /// there are more keys after it.
    pub fn add_page(&mut self, under: &str, rows: Vec<KeyValue>, truncated: bool) {
        let listing = if under == key::JOB { &mut self.jobs } else { &mut self.outcomes };
        listing.add_page(rows, truncated);
    }

    /// Takes the next record with its outcome from the pages at hand; `None` if another page
    /// is needed to tell, or if all is consumed.
    fn take_next_job(&mut self) -> Option<ScannedJob> {
        loop {
            let job_id = self.jobs.first_id()?;
            let order = match self.outcomes.first_id() {
                Some(outcome_id) => outcome_id.cmp(job_id),
                None if self.outcomes.is_read_to_end => Ordering::Greater,
                // the next page of outcomes may hold that of this job
                None => return None,
            };
            match order {
                // its record was stored after the page of records was read
                Ordering::Less => drop(self.outcomes.rows.pop_front()),
                Ordering::Equal => {
                    let record = self.jobs.rows.pop_front()?;
                    return Some(ScannedJob { record, outcome: self.outcomes.rows.pop_front() });
                }
                Ordering::Greater => {
                    return self.jobs.rows.pop_front().map(|record| ScannedJob { record, outcome: None });
                }
            }
        }
    }

    /// Applies the pages at hand to the index.  Calls `on_event` for each job that is new as
    /// unfinished, and for each unfinished one that has ended without being noticed.
    pub fn apply_pages(&mut self, index: &mut JobIndex, mut on_event: impl FnMut(ScanEvent)) {
        while let Some(ScannedJob { record, outcome }) = self.take_next_job() {
            let event = match outcome {
                None => self.apply_open(index, record),
                Some(row) => match read_value::<OutcomeRecord>(&row.key, row.value) {
                    Some(stored) => self.apply_ended(index, record, stored.outcome),
                    // An outcome that cannot be read is an outcome all the same: whatever it
                    // is, the job is not unfinished.
                    None => None,
                },
            };
            if let Some(event) = event {
                on_event(event);
            }
        }
    }

    fn apply_open(&self, index: &mut JobIndex, record: KeyValue) -> Option<ScanEvent> {
        let id = record.key.strip_prefix(key::JOB).unwrap_or_default();
        if index.open.contains_key(id) || self.ended.contains(id) {
            return None;
        }
        let spec = Arc::new(read_value::<JobSpec>(&record.key, record.value)?);
        let is_new = index.insert_seen(spec.clone(), record.revision);
        is_new.then_some(ScanEvent::Open(OpenJob { spec, revision: record.revision }))
    }

    fn apply_ended(&self, index: &mut JobIndex, record: KeyValue, outcome: JobOutcome) -> Option<ScanEvent> {
        let id = record.key.strip_prefix(key::JOB).unwrap_or_default();
        if index.apply_outcome(id, outcome) {
            return Some(ScanEvent::Ended(id.into(), outcome));
        }
        if self.wanted.contains(id) && index.outcome(id).is_none() {
            let spec = Arc::new(read_value::<JobSpec>(&record.key, record.value)?);
            index.insert_ended(EndedJob { spec, revision: record.revision, outcome });
        }
        None
    }
}

/// A change of the index by a scan.
#[derive(Debug, Clone, PartialEq)]
pub enum ScanEvent {
    /// A job is new here as unfinished.
    Open(OpenJob),
    /// A job that was unfinished here has ended.
    Ended(Name, JobOutcome),
}
