//! Admission of jobs to the queue, once all their dependencies are done.

use std::sync::Arc;
use std::time::Instant;

use super::{Cluster, Job};
use crate::dependency::{BlockedJob, DependencyStatus, Urgency};
use crate::model::*;

impl Cluster {
    /// Adds a job that was read from the store; `revision` is the revision of its record, and
    /// `outcome` is `None` unless the job has ended.  A job with dependencies stays blocked
    /// until the store says that all of them are done.  Does nothing if the job is known.
    pub fn add_job(&mut self, spec: Arc<JobSpec>, revision: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        if outcome.is_none() && !spec.dependencies.is_empty() {
            let status_of = |id: &Name| match self.jobs.get(id) {
                Some(job) => job.outcome.map_or(DependencyStatus::Open, DependencyStatus::Ended),
                None => DependencyStatus::Unknown,
            };
            if self.dependencies.block(&spec, revision, now, status_of) {
                self.update_urgencies();
                return;
            }
        }
        self.add_started_job(spec, revision, outcome, now);
    }

    /// Adds a job without checking its dependencies.  The caller must know that they are done or
    /// that the job has ended.  A stored start, or a worker's report of a task, proves that the
    /// dependencies were done before.
    pub fn add_started_job(&mut self, spec: Arc<JobSpec>, revision: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.dependencies.unblock(&spec.id);
        // The outcome of an ended job that is still stored is applied, too.  If the job were
        // only marked as known, the store would never be asked for its outcome, and its
        // dependents would stay blocked for ever.
        let released = match outcome {
            Some(outcome) => self.dependencies.apply_outcome(&spec.id, outcome),
            None => Vec::new(),
        };
        self.dependencies.mark_known(&spec.id);
        let mut job = Job::new(spec, revision, outcome, now);
        job.urgency = self.dependencies.urgency(&job.spec.id, Urgency::own(&job.spec, now));
        self.jobs.insert(job.spec.id.clone(), job);
        for blocked in released {
            self.release_blocked_job(blocked);
        }
        self.update_urgencies();
        self.queue_changed = true;
    }

    /// Adds a job whose dependencies are done to the queue, with its original time of arrival.
    pub(crate) fn release_blocked_job(&mut self, blocked: BlockedJob) {
        self.add_started_job(blocked.spec, blocked.revision, None, blocked.first_seen);
    }

    /// Updates the urgency of the jobs whose dependents have become more or less urgent.
    pub(super) fn update_urgencies(&mut self) {
        for id in self.dependencies.take_changed_urgencies() {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.urgency = self.dependencies.urgency(&id, Urgency::own(&job.spec, job.first_seen));
            self.queue_changed = true;
        }
    }
}
