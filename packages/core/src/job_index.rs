//! The jobs that a controller knows: every unfinished one, and of the ended
//! ones the last few.  Plain state: it reads nothing and asks nobody, and it
//! must not know how the store is reached.
//!
//! What is not in here may still be stored: an ended job leaves, so that its
//! controller's memory does not grow with what ever was.  Only the store can
//! say of an unknown id that it was never accepted.
//!
//! A job enters as unfinished only where its end, if it has one, is still to
//! come by the watch.  Nothing else would ever take it out again.

mod initial_scan;

pub use initial_scan::{InitialScan, PageRequest, ScanEvent};

use std::collections::{HashMap, HashSet};
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;

use crate::dependency::DependencyEdges;
use crate::model::*;

/// An unfinished job.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Stamp of its record: the order of arrival.
    pub revision: u64,
}

/// An ended job.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Stamp of its record.
    pub revision: u64,
    /// Its end, which never changes.
    pub outcome: JobOutcome,
}

/// What is known of an id without asking the store.
#[derive(Debug, Clone, PartialEq)]
pub enum JobStatus {
    /// Unfinished, as far as is known here.
    Open(OpenJob),
    /// Over for good.
    Ended(EndedJob),
    /// Not known here: never accepted, too new, or over for long.
    Unknown,
}

/// Whether an unfinished job is to end with one that it needs, directly or through
/// others, as far as is known here.
#[derive(Debug, Clone, PartialEq)]
pub enum CancelledDependency {
    /// One that it needs is cancelled.
    Yes,
    /// None is.
    No,
    /// Of these nothing is known here; the store has to say.
    Unknown(Vec<Name>),
}

/// Jobs by id.
#[derive(Debug)]
pub struct JobIndex {
    open: HashMap<Name, OpenJob>,
    /// Which unfinished jobs name others as needed.
    edges: DependencyEdges,
    /// The ends of jobs that unfinished ones need.
    judged: HashMap<Name, JobOutcome>,
    ended: LruCache<Name, EndedJob>,
    /// Records up to this revision come by the sweep or the watch, with their
    /// ends, and in no other way.
    floor: u64,
}

impl JobIndex {
    /// An empty ledger that keeps the last `most` ended jobs.
    pub fn new(most: usize) -> JobIndex {
        let most = NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN);
        JobIndex {
            open: HashMap::new(),
            edges: DependencyEdges::default(),
            judged: HashMap::new(),
            ended: LruCache::new(most),
            floor: 0,
        }
    }

    /// How many unfinished jobs there are.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no unfinished job is known.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The unfinished jobs, in no order.
    pub fn open(&self) -> impl Iterator<Item = &OpenJob> {
        self.open.values()
    }

    /// How many ended jobs are kept.
    pub fn ended(&self) -> usize {
        self.ended.len()
    }

    /// What is known of an id.
    pub fn status_of(&mut self, id: &str) -> JobStatus {
        if let Some(o) = self.open.get(id) {
            return JobStatus::Open(o.clone());
        }
        self.ended.get(id).map_or(JobStatus::Unknown, |e| JobStatus::Ended(e.clone()))
    }

    /// The end of a job, if it is known here.
    pub fn outcome(&self, id: &str) -> Option<JobOutcome> {
        self.ended.peek(id).map(|e| e.outcome)
    }

    /// Unfinished jobs that need a job, directly or through others; the nearest
    /// first, no more than so many.
    pub fn dependents(&self, id: &str, most: usize) -> Vec<Name> {
        self.edges.dependents(id, most)
    }

    /// Whether a job is to end with one that it needs.  Its own end may come much
    /// later: the state service may be down for longer than a withdrawal has.
    pub fn cancelled_dependency(&self, id: &str) -> CancelledDependency {
        let (mut seen, mut unknown) = (HashSet::new(), Vec::new());
        let mut next: Vec<&Name> = self.open.get(id).map(|o| o.spec.needs.iter().collect()).unwrap_or_default();
        while let Some(n) = next.pop() {
            if !seen.insert(n) {
                continue;
            }
            match (self.open.get(n), self.judged.get(n).copied().or_else(|| self.outcome(n))) {
                (Some(o), _) => next.extend(&o.spec.needs),
                (None, Some(JobOutcome::Cancelled)) => return CancelledDependency::Yes,
                (None, Some(JobOutcome::Done)) => {}
                (None, None) => unknown.push(n.clone()),
            }
        }
        if unknown.is_empty() {
            CancelledDependency::No
        } else {
            CancelledDependency::Unknown(unknown)
        }
    }

    /// How many tasks a job has, if it is known here.
    pub fn task_count(&self, id: &str) -> Option<u32> {
        self.open.get(id).map(|o| &o.spec).or_else(|| self.ended.peek(id).map(|e| &e.spec)).map(|s| s.tasks)
    }

    /// A sweep or a watch begins at this revision.
    pub fn raise_floor(&mut self, epoch: u64) {
        self.floor = self.floor.max(epoch);
    }

    /// A record that the sweep or the watch shows; true if it is new here.
    /// Should it be over already, its end follows by the watch.
    pub fn insert_seen(&mut self, spec: Arc<JobSpec>, stamp: u64) -> bool {
        if self.open.contains_key(&spec.id) || self.ended.contains(&spec.id) {
            return false;
        }
        self.edges.add(&spec.id, &spec.needs);
        self.open.insert(spec.id.clone(), OpenJob { spec, revision: stamp });
        true
    }

    /// A record that a transaction of our own has made at `stamp`; true if it
    /// is new here.  An answer may be read late, after the watch has shown the
    /// record and its end: then it tells nothing new, and must not bring the
    /// job back.
    pub fn insert_stored(&mut self, spec: Arc<JobSpec>, stamp: u64) -> bool {
        stamp > self.floor && self.insert_seen(spec, stamp)
    }

    /// A job's end, as the store has it; true if the job was unfinished here.
    pub fn apply_outcome(&mut self, id: &str, outcome: JobOutcome) -> bool {
        // kept for as long as it is needed, whatever else leaves the memory
        if self.edges.direct_dependents(id).next().is_some() {
            self.judged.insert(id.into(), outcome);
        }
        let Some(o) = self.open.remove(id) else { return false };
        self.needs_no_more(id, &o.spec.needs);
        self.insert_ended(EndedJob { spec: o.spec, revision: o.revision, outcome });
        true
    }

    fn needs_no_more(&mut self, id: &str, needs: &[Name]) {
        self.edges.remove(id, needs);
        for n in needs {
            if self.edges.direct_dependents(n).next().is_none() {
                self.judged.remove(n);
            }
        }
    }

    /// An ended job that was read from the store.
    pub fn insert_ended(&mut self, e: EndedJob) {
        if self.open.remove(&e.spec.id).is_some() {
            self.needs_no_more(&e.spec.id, &e.spec.needs);
        }
        self.ended.put(e.spec.id.clone(), e);
    }
}

#[cfg(test)]
mod tests;
