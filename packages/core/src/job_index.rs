//! The jobs that a controller knows: all unfinished ones, and the last few that have ended.
//! Plain state: it does no I/O and must not know how the store is reached.
//!
//! A job that is not in the index may still be stored.  Ended jobs are evicted, so that a
//! controller's memory does not grow with the history.  Only the store can tell whether an
//! unknown id was never accepted.
//!
//! A job enters the index as unfinished only if its outcome, should it have one, is still to
//! be shown by the watch.  Nothing else would ever remove the job again.

mod initial_scan;

pub use initial_scan::{InitialScan, PageRequest, ScanEvent};

use std::collections::{HashMap, HashSet};
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;

use crate::dependency::DependencyEdges;
use crate::model::{JobOutcome, JobSpec, Name};

/// An unfinished job.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Revision of its record, which gives the order of arrival.
    pub revision: u64,
}

/// An ended job.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Revision of its record.
    pub revision: u64,
    /// Its outcome, which never changes.
    pub outcome: JobOutcome,
}

/// What is known of a job without asking the store.
#[derive(Debug, Clone, PartialEq)]
pub enum JobStatus {
    /// Unfinished, as far as is known here.
    Open(OpenJob),
    /// Ended for good.
    Ended(EndedJob),
    /// Not known here: never accepted, too new, or ended long ago.
    Unknown,
}

/// Whether an unfinished job depends, directly or through others, on a cancelled job, as far
/// as is known here.  Such a job will be cancelled as well.
#[derive(Debug, Clone, PartialEq)]
pub enum CancelledDependency {
    /// It does.
    Yes,
    /// It does not.
    No,
    /// Nothing is known here of these dependencies; the store has to be asked.
    Unknown(Vec<Name>),
}

/// Jobs by id.
#[derive(Debug)]
pub struct JobIndex {
    open: HashMap<Name, OpenJob>,
    /// Which unfinished jobs depend on which others.
    edges: DependencyEdges,
    /// The outcomes of jobs that unfinished ones depend on.
    dependency_outcomes: HashMap<Name, JobOutcome>,
    ended: LruCache<Name, EndedJob>,
    /// Records up to this revision come from the initial scan or the watch, with their
    /// outcomes, and in no other way.
    floor: u64,
}

impl JobIndex {
    /// Creates an empty index that keeps the last `ended_capacity` ended jobs.
    pub fn new(ended_capacity: usize) -> JobIndex {
        let ended_capacity = NonZeroUsize::new(ended_capacity).unwrap_or(NonZeroUsize::MIN);
        JobIndex {
            open: HashMap::new(),
            edges: DependencyEdges::default(),
            dependency_outcomes: HashMap::new(),
            ended: LruCache::new(ended_capacity),
            floor: 0,
        }
    }

    /// Returns the number of unfinished jobs.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no unfinished job is known.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Iterates over the unfinished jobs, in no order.
    pub fn open(&self) -> impl Iterator<Item = &OpenJob> {
        self.open.values()
    }

    /// Returns the number of ended jobs that are kept.
    pub fn ended(&self) -> usize {
        self.ended.len()
    }

    /// Returns what is known of a job.
    pub fn status_of(&mut self, id: &str) -> JobStatus {
        if let Some(job) = self.open.get(id) {
            return JobStatus::Open(job.clone());
        }
        self.ended.get(id).map_or(JobStatus::Unknown, |job| JobStatus::Ended(job.clone()))
    }

    /// Returns the outcome of a job, if it is among the ended jobs that are kept.
    pub fn outcome(&self, id: &str) -> Option<JobOutcome> {
        self.ended.peek(id).map(|job| job.outcome)
    }

    /// Returns the unfinished jobs that depend on a job, directly or through others: the
    /// nearest first, at most `limit`.
    pub fn dependents(&self, id: &str, limit: usize) -> Vec<Name> {
        self.edges.dependents(id, limit)
    }

    /// Whether a job depends on a cancelled one.  Its own cancellation may be stored much
    /// later, because the state service may be down for longer than a cancellation may take.
    pub fn cancelled_dependency(&self, id: &str) -> CancelledDependency {
        let mut visited = HashSet::new();
        let mut unknown = Vec::new();
        let mut to_visit: Vec<&Name> = self.open.get(id).map(|job| job.spec.needs.iter().collect()).unwrap_or_default();
        while let Some(dependency) = to_visit.pop() {
            if !visited.insert(dependency) {
                continue;
            }
            if let Some(job) = self.open.get(dependency) {
                to_visit.extend(&job.spec.needs);
                continue;
            }
            match self.dependency_outcomes.get(dependency).copied().or_else(|| self.outcome(dependency)) {
                Some(JobOutcome::Cancelled) => return CancelledDependency::Yes,
                Some(JobOutcome::Done) => {}
                None => unknown.push(dependency.clone()),
            }
        }
        if unknown.is_empty() {
            CancelledDependency::No
        } else {
            CancelledDependency::Unknown(unknown)
        }
    }

    /// Returns the number of tasks of a job, if the job is known here.
    pub fn task_count(&self, id: &str) -> Option<u32> {
        let open = self.open.get(id).map(|job| job.spec.tasks);
        open.or_else(|| self.ended.peek(id).map(|job| job.spec.tasks))
    }

    /// Notes that an initial scan or a watch covers everything up to this revision.
    pub fn raise_floor(&mut self, revision: u64) {
        self.floor = self.floor.max(revision);
    }

    /// Inserts a record that the initial scan or the watch shows; returns whether it is new
    /// here.  If the job has ended already, the watch shows its outcome later.
    pub fn insert_seen(&mut self, spec: Arc<JobSpec>, revision: u64) -> bool {
        if self.open.contains_key(&spec.id) || self.ended.contains(&spec.id) {
            return false;
        }
        self.edges.add(&spec.id, &spec.needs);
        self.open.insert(spec.id.clone(), OpenJob { spec, revision });
        true
    }

    /// Inserts a record that this controller has stored at `revision`; returns whether it is
    /// new here.
    ///
    /// The store's response may be handled late, after the watch has shown the record and its
    /// outcome.  It is no news then and must not bring the job back.
    pub fn insert_stored(&mut self, spec: Arc<JobSpec>, revision: u64) -> bool {
        revision > self.floor && self.insert_seen(spec, revision)
    }

    /// Applies a stored outcome; returns whether the job was unfinished here.
    pub fn apply_outcome(&mut self, id: &str, outcome: JobOutcome) -> bool {
        // kept for as long as a job depends on it, even when the ended job is evicted
        if self.has_dependents(id) {
            self.dependency_outcomes.insert(id.into(), outcome);
        }
        let Some(OpenJob { spec, revision }) = self.open.remove(id) else { return false };
        self.remove_dependencies(id, &spec.needs);
        self.insert_ended(EndedJob { spec, revision, outcome });
        true
    }

    fn has_dependents(&self, id: &str) -> bool {
        self.edges.direct_dependents(id).next().is_some()
    }

    /// Removes the dependencies of a job that has ended.
    fn remove_dependencies(&mut self, id: &str, dependencies: &[Name]) {
        self.edges.remove(id, dependencies);
        for dependency in dependencies {
            if !self.has_dependents(dependency) {
                self.dependency_outcomes.remove(dependency);
            }
        }
    }

    /// Inserts an ended job that was read from the store.
    pub fn insert_ended(&mut self, job: EndedJob) {
        if self.open.remove(&job.spec.id).is_some() {
            self.remove_dependencies(&job.spec.id, &job.spec.needs);
        }
        self.ended.put(job.spec.id.clone(), job);
    }
}

#[cfg(test)]
mod tests;
