//! The index of the jobs that a controller knows: all unfinished jobs, and the most recently used
//! of the ended ones.  This module does no I/O and must not know how the store is reached.
//!
//! A job that is not in the index may still be stored, because ended jobs are evicted to bound the
//! memory of a controller.  Only the store can tell whether an unknown id was never accepted.
//!
//! A job may be inserted as unfinished only if the watch will still deliver the job's outcome, when
//! there is one.  Otherwise nothing would ever remove the job from the unfinished ones.

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
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Revision of the job's record in the store.  Revisions give the order of arrival.
    pub revision: u64,
}

/// An ended job.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedJob {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Revision of the job's record in the store.
    pub revision: u64,
    /// The outcome of the job, which never changes.
    pub outcome: JobOutcome,
}

/// The state of a job as far as this controller knows without asking the store.
#[derive(Debug, Clone, PartialEq)]
pub enum JobStatus {
    /// The job is unfinished as far as is known here; it may have ended in the meantime.
    Open(OpenJob),
    /// The job has ended, and its outcome never changes.
    Ended(EndedJob),
    /// The job is not known here: it was never accepted, is too new, or ended and was evicted.
    Unknown,
}

/// Whether an unfinished job depends on a cancelled job, directly or through others, as far as is
/// known here.  Such a job will be cancelled as well.
#[derive(Debug, Clone, PartialEq)]
pub enum CancelledDependency {
    /// The job depends on a cancelled job.
    Yes,
    /// The job does not depend on a cancelled job.
    No,
    /// These dependencies are not known here; the store has to be asked.
    Unknown(Vec<Name>),
}

/// An index of jobs by id, which keeps all unfinished jobs and a limited number of ended ones.
#[derive(Debug)]
pub struct JobIndex {
    open: HashMap<Name, OpenJob>,
    /// The dependencies of the unfinished jobs.
    edges: DependencyEdges,
    /// The outcomes of ended jobs that unfinished jobs depend on.
    dependency_outcomes: HashMap<Name, JobOutcome>,
    ended: LruCache<Name, EndedJob>,
    /// The initial scan or the watch delivers all records up to this revision together with their
    /// outcomes, so these records must not be inserted in any other way.
    covered_revision: u64,
}

impl JobIndex {
    /// Creates an empty index that keeps at most `ended_capacity` ended jobs, and at least one.
    pub fn new(ended_capacity: usize) -> JobIndex {
        let ended_capacity = NonZeroUsize::new(ended_capacity).unwrap_or(NonZeroUsize::MIN);
        JobIndex {
            open: HashMap::new(),
            edges: DependencyEdges::default(),
            dependency_outcomes: HashMap::new(),
            ended: LruCache::new(ended_capacity),
            covered_revision: 0,
        }
    }

    /// Returns the number of unfinished jobs.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Reports whether no unfinished job is known.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns an iterator over the unfinished jobs, in arbitrary order.
    pub fn open(&self) -> impl Iterator<Item = &OpenJob> {
        self.open.values()
    }

    /// Returns the number of ended jobs that are kept.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Returns what is known of a job, and marks an ended job as recently used.
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

    /// Returns at most `limit` unfinished jobs that depend on the job `id`, directly or through
    /// others, with the nearest first.
    pub fn dependents(&self, id: &str, limit: usize) -> Vec<Name> {
        self.edges.dependents(id, limit)
    }

    /// Reports whether a job depends on a cancelled job, directly or through others.  The job's own
    /// cancellation may be stored much later than that of the dependency, because the state service
    /// may be down for longer than a cancellation may take.
    pub fn cancelled_dependency(&self, id: &str) -> CancelledDependency {
        let mut visited = HashSet::new();
        let mut unknown = Vec::new();
        let mut to_visit: Vec<&Name> =
            self.open.get(id).map(|job| job.spec.dependencies.iter().collect()).unwrap_or_default();
        while let Some(dependency) = to_visit.pop() {
            if !visited.insert(dependency) {
                continue;
            }
            if let Some(job) = self.open.get(dependency) {
                to_visit.extend(&job.spec.dependencies);
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

    /// Returns the number of tasks of a job, or `None` if the job is not known here.
    pub fn task_count(&self, id: &str) -> Option<u32> {
        let open = self.open.get(id).map(|job| job.spec.tasks);
        open.or_else(|| self.ended.peek(id).map(|job| job.spec.tasks))
    }

    /// Records that the initial scan or the watch covers all records up to this revision.
    pub fn raise_covered_revision(&mut self, revision: u64) {
        self.covered_revision = self.covered_revision.max(revision);
    }

    /// Inserts a job from the initial scan or the watch as unfinished, and returns whether the job
    /// is new here.  If the job has ended already, the watch delivers the outcome later.
    pub fn insert_seen(&mut self, spec: Arc<JobSpec>, revision: u64) -> bool {
        if self.open.contains_key(&spec.id) || self.ended.contains(&spec.id) {
            return false;
        }
        self.edges.add(&spec.id, &spec.dependencies);
        self.open.insert(spec.id.clone(), OpenJob { spec, revision });
        true
    }

    /// Inserts a job that this controller has stored at `revision`, and returns whether the job is
    /// new here.
    ///
    /// The store's response may be processed late, after the watch has delivered both the record
    /// and the outcome, and the ended job may even have been evicted since.  The response must not
    /// insert the job as unfinished again then.
    pub fn insert_stored(&mut self, spec: Arc<JobSpec>, revision: u64) -> bool {
        revision > self.covered_revision && self.insert_seen(spec, revision)
    }

    /// Applies a stored outcome, and returns whether the job was unfinished here.
    pub fn apply_outcome(&mut self, id: &str, outcome: JobOutcome) -> bool {
        // The outcome is kept for as long as an unfinished job depends on this job, even if the
        // ended job is evicted.
        if self.has_dependents(id) {
            self.dependency_outcomes.insert(id.into(), outcome);
        }
        let Some(OpenJob { spec, revision }) = self.open.remove(id) else { return false };
        self.remove_dependencies(id, &spec.dependencies);
        self.insert_ended(EndedJob { spec, revision, outcome });
        true
    }

    fn has_dependents(&self, id: &str) -> bool {
        self.edges.direct_dependents(id).next().is_some()
    }

    /// Removes the dependencies of a job that has ended, and the outcomes that were kept only for
    /// them.
    fn remove_dependencies(&mut self, id: &str, dependencies: &[Name]) {
        self.edges.remove(id, dependencies);
        for dependency in dependencies {
            if !self.has_dependents(dependency) {
                self.dependency_outcomes.remove(dependency);
            }
        }
    }

    /// Inserts an ended job, and removes it from the unfinished jobs if necessary.
    pub fn insert_ended(&mut self, job: EndedJob) {
        if self.open.remove(&job.spec.id).is_some() {
            self.remove_dependencies(&job.spec.id, &job.spec.dependencies);
        }
        self.ended.put(job.spec.id.clone(), job);
    }
}

#[cfg(test)]
mod tests;
