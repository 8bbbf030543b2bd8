//! Jobs enter the queue.

use std::sync::Arc;
use std::time::Instant;

use super::{Cluster, Job};
use crate::dependency::{BlockedJob, DependencyStatus, Urgency};
use crate::model::*;

impl Cluster {
    /// A job as the store has it.  One that needs others enters the queue only
    /// when the store has their ends.
    pub fn add_job(&mut self, spec: Arc<JobSpec>, stamp: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        if outcome.is_none() && !spec.needs.is_empty() {
            let look = |n: &Name| match self.jobs.get(n) {
                Some(j) => j.outcome.map_or(DependencyStatus::Open, DependencyStatus::Ended),
                None => DependencyStatus::Unknown,
            };
            if self.dependency.block(&spec, stamp, now, look) {
                self.update_urgencies();
                return;
            }
        }
        self.add_started_job(spec, stamp, outcome, now);
    }

    /// A job that may start, or has: a start on record, or a task that a worker
    /// reports, shows that all it needs was done before.
    pub fn add_started_job(&mut self, spec: Arc<JobSpec>, stamp: u64, outcome: Option<JobOutcome>, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.dependency.unblock(&spec.id);
        // one that is over and still on record tells its end as well: taken for
        // known only, it was never asked about, and what needs it waited for ever
        let free = match outcome {
            Some(outcome) => self.dependency.apply_outcome(&spec.id, outcome),
            None => Vec::new(),
        };
        self.dependency.mark_known(&spec.id);
        let mut job = Job::new(spec, stamp, outcome, now);
        job.urgency = self.dependency.urgency(&job.spec.id, Urgency::own(&job.spec, now));
        self.jobs.insert(job.spec.id.clone(), job);
        for h in free {
            self.release_blocked_job(h);
        }
        self.update_urgencies();
        self.queue_changed = true;
    }

    /// A job that waited for others enters the queue, with the arrival that it
    /// has had all the time.
    pub(crate) fn release_blocked_job(&mut self, h: BlockedJob) {
        self.add_started_job(h.spec, h.revision, None, h.first_seen);
    }

    /// Jobs take over what those that need them make of them.
    pub(super) fn update_urgencies(&mut self) {
        for id in self.dependency.take_changed() {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.urgency = self.dependency.urgency(&id, Urgency::own(&job.spec, job.first_seen));
            self.queue_changed = true;
        }
    }
}
