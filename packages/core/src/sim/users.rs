//! Model of the users, who submit and cancel jobs.

use super::*;

/// A job that was submitted, with the revision of its record.
#[derive(Clone)]
pub(super) struct SubmittedJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) revision: u64,
}

/// Selects the kind of job to submit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum JobSize {
    /// A job of any shape and size.
    Any,
    /// An array of one small task without dependencies.
    SingleTask,
}

/// Number of most recent jobs from which the dependencies of a new job are drawn.
const RECENT_JOBS: usize = 12;

impl World {
    /// Lets users submit and cancel jobs at random, except in the quiescent period.
    pub(super) fn step_users(&mut self, is_quiescent: bool) {
        for _ in 0..self.machine_count.div_ceil(9) {
            if !is_quiescent && self.rng.u32(0..40) == 0 {
                self.submit_job(JobSize::Any);
            }
            if !is_quiescent && self.rng.u32(0..120) == 0 {
                self.cancel_random_job();
            }
        }
    }

    /// Lets users submit many small jobs, and cancel a random job for one in four of them, while a
    /// burst lasts.
    pub(super) fn step_submission_burst(&mut self) {
        if self.now < self.faults.submission_burst_until && self.now.is_multiple_of(2 * STEP) {
            self.submit_job(JobSize::SingleTask);
            if self.rng.u32(0..4) == 0 {
                self.cancel_random_job();
            }
        }
    }

    /// Lets users cancel jobs whose last task has just completed, while that fault lasts.
    pub(super) fn cancel_completing_jobs(&mut self) {
        for id in std::mem::take(&mut self.completing_jobs) {
            let controller = self.rng.usize(0..3);
            let is_due = self.now < self.faults.cancel_on_completion_until;
            if is_due && self.rng.bool() && self.is_served(controller) && self.state_store.outcome(&id).is_none() {
                self.cancel_job(controller, &id, &[]);
            }
        }
    }

    /// Submits a random job for a user.
    pub(super) fn submit_job(&mut self, size: JobSize) {
        let spec = self.random_job(size);
        let txn = submissions_txn(std::iter::once(Submission { spec: &spec, depends_on_cancelled_job: false }));
        let revision = self.state_store.apply(&txn).expect("the transaction of a new job has no conflict");
        if self.rng.u32(0..12) == 0 {
            self.failing_jobs.insert(spec.id.clone());
        }
        self.jobs.insert(spec.id.clone(), SubmittedJob { spec: spec.clone(), revision });
        self.submitted_at.insert(spec.id.clone(), self.now);
        for to in 0..3 {
            self.send_watch_event(Message::JobSubmitted { to, spec: spec.clone(), revision });
        }
    }

    fn random_job(&mut self, size: JobSize) -> Arc<JobSpec> {
        let is_single = size == JobSize::SingleTask;
        let index = self.jobs.len();
        let shape = if is_single { 0 } else { self.rng.usize(0..3) };
        let shape = [Shape::Array, Shape::Gang, Shape::Service][shape];
        let one_zone = self.rng.u32(0..4) == 0;
        // some arrays have many of the smallest tasks
        let is_tiny = is_single || shape == Shape::Array && self.rng.u32(0..6) == 0;
        let tasks = if is_single { 1 } else { self.rng.u32(if is_tiny { 20..60 } else { 1..6 }) };
        let dependencies = if is_single || shape == Shape::Service { Vec::new() } else { self.random_dependencies() };
        let mut job = JobSpec {
            dependencies,
            team: if self.rng.bool() { "x" } else { "y" }.into(),
            shape,
            priority: [Priority::Production, Priority::High, Priority::Normal, Priority::Low][self.rng.usize(0..4)],
            cpus: if is_tiny { 0.25 } else { f64::from(self.rng.u32(1..4)) },
            image: format!("img-{}", self.rng.u32(0..3)).into(),
            zone: (self.rng.u32(0..6) == 0).then(|| "z1".into()),
            one_zone,
            spread_by_zone: !one_zone && self.rng.u32(0..3) == 0,
            spot: self.rng.bool(),
            ..(*job_array(&format!("j-{index:06}"), tasks)).clone()
        };
        if job.spread_by_zone {
            job.zone = None;
        }
        Arc::new(job)
    }

    /// Returns up to three recent jobs, in whatever state, as dependencies.  Services are
    /// excluded: they never end, so a job that depends on one would never start.
    fn random_dependencies(&mut self) -> Vec<Name> {
        let submitted = self.jobs.len();
        if submitted == 0 {
            return Vec::new();
        }
        let count = [0, 0, 1, 1, 2, 3][self.rng.usize(0..6)];
        let recent = submitted.saturating_sub(RECENT_JOBS)..submitted;
        let ids: Vec<Name> = (0..count).map(|_| format!("j-{:06}", self.rng.usize(recent.clone())).into()).collect();
        ids.into_iter().filter(|id| self.jobs[id].spec.shape != Shape::Service).collect()
    }

    /// Cancels a random job without an outcome at a random controller.  Returns the job, or `None`
    /// if the state service does not serve that controller or there is no such job.
    pub(super) fn cancel_random_job(&mut self) -> Option<Name> {
        let controller = self.rng.usize(0..3);
        if !self.is_served(controller) {
            return None;
        }
        let unfinished: Vec<Name> =
            self.jobs.keys().filter(|id| self.state_store.outcome(id).is_none()).cloned().collect();
        if unfinished.is_empty() {
            return None;
        }
        let id = unfinished[self.rng.usize(0..unfinished.len())].clone();
        self.cancel_job(controller, &id, &unfinished);
        Some(id)
    }

    /// Stores the cancellation of a job through a controller, and in half of the cases also those
    /// of up to two jobs that depend on it.
    fn cancel_job(&mut self, controller: usize, id: &Name, unfinished: &[Name]) {
        let mut cancelled = vec![id.clone()];
        if self.rng.bool() {
            // the controller may not know all dependents, so at most two are cancelled here
            let dependents = unfinished.iter().filter(|other| self.jobs[*other].spec.dependencies.contains(id));
            cancelled.extend(dependents.take(2).cloned());
        }
        let Ok(revision) = self.state_store.apply(&cancellations_txn(&cancelled)) else { return };
        for id in cancelled {
            self.record_outcome(controller, &id, JobOutcome::Cancelled, revision);
            match self.peer_notices_required {
                true => drop(self.unconfirmed_cancellations.insert(id)),
                false => drop(self.cancellation_confirmed_at.insert(id, self.now)),
            }
        }
    }
}
