//! Users, who submit and cancel jobs.

use super::*;

/// A job that was submitted, with the revision of its record.
#[derive(Clone)]
pub(super) struct SubmittedJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) revision: u64,
}

/// Which jobs to submit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum JobSize {
    /// Of any shape and size.
    Any,
    /// An array of one small task, without dependencies.
    SingleTask,
}

/// Jobs of a random choice depend on some of the last ones.
const RECENT_JOBS: usize = 12;

impl World {
    /// What users do in each step; in a calm they submit and cancel nothing.
    pub(super) fn step_users(&mut self, is_calm: bool) {
        for _ in 0..self.scale.div_ceil(9) {
            if !is_calm && self.rng.u32(0..40) == 0 {
                self.submit_job(JobSize::Any);
            }
            if !is_calm && self.rng.u32(0..120) == 0 {
                self.cancel_random_job();
            }
        }
    }

    /// Users submit many small jobs and cancel a quarter of them, while a burst lasts.
    pub(super) fn step_submission_burst(&mut self) {
        if self.now < self.faults.submission_burst_until && self.now.is_multiple_of(2 * STEP) {
            self.submit_job(JobSize::SingleTask);
            if self.rng.u32(0..4) == 0 {
                self.cancel_random_job();
            }
        }
    }

    /// Users cancel jobs whose last task has just ended, while that fault lasts.
    pub(super) fn cancel_completing_jobs(&mut self) {
        for id in std::mem::take(&mut self.completing_jobs) {
            let by = self.rng.usize(0..3);
            let is_due = self.now < self.faults.cancel_on_completion_until;
            if is_due && self.rng.bool() && self.is_served(by) && self.state_store.outcome(&id).is_none() {
                self.cancel_job(by, &id, &[]);
            }
        }
    }

    /// A user submits a job.
    pub(super) fn submit_job(&mut self, size: JobSize) {
        let spec = self.random_job(size);
        let txn = submissions_txn(std::iter::once(Submission { spec: &spec, needs_cancelled_job: false }));
        let revision = self.state_store.apply(&txn).expect("a new job");
        if self.rng.u32(0..12) == 0 {
            self.faulty_jobs.insert(spec.id.clone());
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
        let needs = if is_single || shape == Shape::Service { Vec::new() } else { self.random_needs() };
        let mut job = JobSpec {
            needs,
            team: if self.rng.bool() { "x" } else { "y" }.into(),
            shape,
            priority: [Priority::Production, Priority::High, Priority::Normal, Priority::Low][self.rng.usize(0..4)],
            cpus: if is_tiny { 0.25 } else { f64::from(self.rng.u32(1..4)) },
            image: format!("img-{}", self.rng.u32(0..3)).into(),
            zone: (self.rng.u32(0..6) == 0).then(|| "z1".into()),
            one_zone,
            spread: !one_zone && self.rng.u32(0..3) == 0,
            spot: self.rng.bool(),
            ..(*spec(&format!("j-{index:06}"), tasks)).clone()
        };
        if job.spread {
            job.zone = None;
        }
        Arc::new(job)
    }

    /// Up to three of the last jobs, in whatever state they are by now; services never
    /// end, so none can depend on them.
    fn random_needs(&mut self) -> Vec<Name> {
        let submitted = self.jobs.len();
        if submitted == 0 {
            return Vec::new();
        }
        let count = [0, 0, 1, 1, 2, 3][self.rng.usize(0..6)];
        let recent = submitted.saturating_sub(RECENT_JOBS)..submitted;
        let ids: Vec<Name> = (0..count).map(|_| format!("j-{:06}", self.rng.usize(recent.clone())).into()).collect();
        ids.into_iter().filter(|id| self.jobs[id].spec.shape != Shape::Service).collect()
    }

    /// A user cancels a job without an outcome, at some controller.
    pub(super) fn cancel_random_job(&mut self) -> Option<Name> {
        let by = self.rng.usize(0..3);
        if !self.is_served(by) {
            return None;
        }
        let open: Vec<Name> = self.jobs.keys().filter(|id| self.state_store.outcome(id).is_none()).cloned().collect();
        if open.is_empty() {
            return None;
        }
        let id = open[self.rng.usize(0..open.len())].clone();
        self.cancel_job(by, &id, &open);
        Some(id)
    }

    /// A controller stores the cancellation of a job, and of some that depend on it.
    fn cancel_job(&mut self, by: usize, id: &Name, open: &[Name]) {
        let mut cancelled = vec![id.clone()];
        if self.rng.bool() {
            // as far as the controller knows of them
            let dependents = open.iter().filter(|other| self.jobs[*other].spec.needs.contains(id));
            cancelled.extend(dependents.take(2).cloned());
        }
        let Ok(revision) = self.state_store.apply(&cancellations_txn(&cancelled)) else { return };
        for id in cancelled {
            self.record_outcome(by, &id, JobOutcome::Cancelled, revision);
            match self.peer_notices_required {
                true => drop(self.unconfirmed_cancellations.insert(id)),
                false => drop(self.cancellation_confirmed_at.insert(id, self.now)),
            }
        }
    }
}
