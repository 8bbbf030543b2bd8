//! The initial scan, which reads all stored job records with their outcomes into a [`JobIndex`].

use std::cmp::Ordering;
use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use coralnotch_wire::state::{decode_value, KeyValue};

use super::{EndedJob, JobIndex, OpenJob};
use crate::key;
use crate::model::{JobOutcome, JobSpec, Name, OutcomeRecord};

/// A request for the next page that a scan needs.
#[derive(Debug, Clone, PartialEq)]
pub struct PageRequest {
    /// Prefix of the keys on the page.
    pub prefix: &'static str,
    /// Key after which the page begins; empty for the first page.
    pub after_key: String,
}

/// A listing of all keys with one prefix, read page by page in key order.
#[derive(Debug)]
struct KeyListing {
    prefix: &'static str,
    /// The rows that were read and are not consumed yet.
    rows: VecDeque<KeyValue>,
    /// The last key that was read.
    last_key: String,
    is_read_to_end: bool,
}

impl KeyListing {
    fn new(prefix: &'static str) -> KeyListing {
        KeyListing { prefix, rows: VecDeque::new(), last_key: String::new(), is_read_to_end: false }
    }

    /// Returns a request for the next page, once all rows that were read are consumed.
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

    /// Returns the job id in the key of the first row that is not consumed yet.
    fn first_id(&self) -> Option<&str> {
        self.rows.front().and_then(|row| row.key.strip_prefix(self.prefix))
    }
}

/// A stored job record with the outcome that was read for the job, if any.
#[derive(Debug)]
struct ScannedJob {
    record: KeyValue,
    outcome: Option<KeyValue>,
}

/// A scan of all job records and outcomes, which merges the two listings in the order of job ids.
/// The scan holds at most one page of each listing, because the history may be of any length.
///
/// The pages are read at different times.  A watch that begins at the revision of the first page
/// delivers all later changes.  If a record is read without its outcome, the watch therefore
/// delivers the outcome later.  If an outcome is read without its record, the watch delivers that
/// record before the outcome.
#[derive(Debug)]
pub struct InitialScan {
    jobs: KeyListing,
    outcomes: KeyListing,
    /// Jobs that are inserted into the index even if they have ended.
    ended_to_keep: HashSet<Name>,
    /// Jobs whose outcome the watch has delivered since the scan began.  The pages that were read
    /// may be older than these outcomes.
    ended: HashSet<Name>,
}

impl InitialScan {
    /// Creates a scan that has read nothing yet.  `ended_to_keep` are jobs that may still have tasks
    /// on a machine; they are inserted into the index even if they have ended.
    pub fn new(ended_to_keep: HashSet<Name>) -> InitialScan {
        InitialScan {
            jobs: KeyListing::new(key::JOB),
            outcomes: KeyListing::new(key::OUTCOME),
            ended_to_keep,
            ended: HashSet::new(),
        }
    }

    /// Records jobs whose outcome the watch has delivered.  Changes from the watch may be applied
    /// while the scan is in progress.
    pub fn mark_ended(&mut self, ids: impl Iterator<Item = Name>) {
        self.ended.extend(ids);
    }

    /// Returns a request for the next page; `None` if the pages that were read have to be applied
    /// first, or if all records are read and applied.
    pub fn next_page(&self) -> Option<PageRequest> {
        if self.jobs.is_read_to_end && self.jobs.rows.is_empty() {
            return None;
        }
        self.jobs.next_page().or_else(|| self.outcomes.next_page())
    }

    /// Adds a page that was requested.  `prefix` is the prefix of the page's keys, and `truncated`
    /// tells whether there are more keys after the page.
    pub fn add_page(&mut self, prefix: &str, rows: Vec<KeyValue>, truncated: bool) {
        let listing = if prefix == key::JOB { &mut self.jobs } else { &mut self.outcomes };
        listing.add_page(rows, truncated);
    }

    /// Takes the next record and its outcome from the pages that were read; `None` if another page
    /// is needed first, or if all records are consumed.
    fn take_next_job(&mut self) -> Option<ScannedJob> {
        loop {
            let job_id = self.jobs.first_id()?;
            let order = match self.outcomes.first_id() {
                Some(outcome_id) => outcome_id.cmp(job_id),
                None if self.outcomes.is_read_to_end => Ordering::Greater,
                // The next page of outcomes may contain the outcome of this job.
                None => return None,
            };
            match order {
                // The record of this outcome was stored after the page of records had been read.
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

    /// Applies the pages that were read to the index.  Calls `on_event` for each unfinished job that
    /// is new to the index, and for each job that is unfinished in the index but has an outcome in
    /// the store.
    pub fn apply_pages(&mut self, index: &mut JobIndex, mut on_event: impl FnMut(ScanEvent)) {
        while let Some(ScannedJob { record, outcome }) = self.take_next_job() {
            let event = match outcome {
                None => self.apply_open(index, record),
                Some(row) => match decode_value::<OutcomeRecord>(&row.key, row.value) {
                    Some(stored) => self.apply_ended(index, record, stored.outcome),
                    // A job with an outcome that cannot be decoded has ended, so it must not be
                    // inserted as unfinished.
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
        let spec = Arc::new(decode_value::<JobSpec>(&record.key, record.value)?);
        let is_new = index.insert_seen(spec.clone(), record.revision);
        is_new.then_some(ScanEvent::Open(OpenJob { spec, revision: record.revision }))
    }

    fn apply_ended(&self, index: &mut JobIndex, record: KeyValue, outcome: JobOutcome) -> Option<ScanEvent> {
        let id = record.key.strip_prefix(key::JOB).unwrap_or_default();
        if index.apply_outcome(id, outcome) {
            return Some(ScanEvent::Ended(id.into(), outcome));
        }
        if self.ended_to_keep.contains(id) && index.outcome(id).is_none() {
            let spec = Arc::new(decode_value::<JobSpec>(&record.key, record.value)?);
            index.insert_ended(EndedJob { spec, revision: record.revision, outcome });
        }
        None
    }
}

/// A change that a scan has made to the index.
#[derive(Debug, Clone, PartialEq)]
pub enum ScanEvent {
    /// An unfinished job was inserted.
    Open(OpenJob),
    /// A job that was unfinished in the index has ended with this outcome.
    Ended(Name, JobOutcome),
}
