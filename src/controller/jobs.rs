//! Applies new jobs and outcomes to the job index and, on the leader, to the cluster's state.

use std::sync::Arc;
use std::time::Instant;

use super::{Controller, ControllerState};
use crate::model::*;

impl Controller {
    /// Applies a job that the watch has shown, unless it is known already.
    pub fn apply_watched_job(&self, spec: Arc<JobSpec>, revision: u64, now: Instant) {
        let mut state = self.lock();
        if state.jobs.insert_seen(spec.clone(), revision) {
            self.add_job_to_cluster(&mut state, spec, revision, now);
        }
    }

    /// Applies a job that a transaction of this controller has stored, unless the watch has already
    /// covered its revision.
    pub fn apply_own_job(&self, spec: Arc<JobSpec>, revision: u64, now: Instant) {
        let mut state = self.lock();
        if state.jobs.insert_stored(spec.clone(), revision) {
            self.add_job_to_cluster(&mut state, spec, revision, now);
        }
    }

    /// Adds an unfinished job to the cluster's state if this controller leads and has loaded it.
    /// Requests the outcomes of dependencies that are not in memory.
    pub(crate) fn add_job_to_cluster(
        &self,
        state: &mut ControllerState,
        spec: Arc<JobSpec>,
        revision: u64,
        now: Instant,
    ) {
        let Some(cluster) = state.cluster.as_mut() else { return };
        cluster.add_job(spec.clone(), revision, None, now);
        for id in &spec.dependencies {
            if cluster.dependencies.is_unknown(id) {
                match state.jobs.outcome(id) {
                    Some(outcome) => cluster.set_outcome(id, outcome, now),
                    None => self.outcome_fetch_wake.wake(),
                }
            }
        }
        self.placement_wake.wake();
        self.commit_wake.wake();
    }

    /// Applies a job's outcome that was stored at a revision.
    pub fn apply_stored_outcome(&self, id: &str, outcome: JobOutcome, revision: u64, now: Instant) {
        let mut state = self.lock();
        if outcome == JobOutcome::Cancelled {
            state.cancellations.record(revision, id, now);
        }
        state.jobs.apply_outcome(id, outcome);
        self.apply_outcome_to_cluster(&mut state, id, outcome, now);
    }

    /// Applies a job's outcome to the cluster's state if this controller leads and has loaded it.
    pub(crate) fn apply_outcome_to_cluster(
        &self,
        state: &mut ControllerState,
        id: &str,
        outcome: JobOutcome,
        now: Instant,
    ) {
        if let Some(cluster) = state.cluster.as_mut() {
            cluster.set_outcome(id, outcome, now);
            self.placement_wake.wake();
            self.commit_wake.wake();
        }
    }
}
