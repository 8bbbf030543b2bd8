//! The progress of jobs: the numbers of their tasks that are done and running.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job, TaskPhase};
use crate::controller::Controller;
use crate::model::*;
use crate::peers::links::{lock, wire, JobProgress};

/// How long counted progress is used for replies to peers before it is counted again.
const PROGRESS_CACHE_TTL: Duration = Duration::from_secs(1);

impl Controller {
    /// Returns a job's state as users receive it.
    pub(super) fn job_state(&self, id: &Name, outcome: Option<JobOutcome>) -> JobState {
        let state = self.lock();
        let JobProgress { done, running } = match outcome {
            Some(JobOutcome::Done) => JobProgress { done: state.jobs.task_count(id).unwrap_or(0), running: 0 },
            Some(JobOutcome::Cancelled) => JobProgress::default(),
            None => match state.cluster.as_ref().and_then(|c| Some((c, c.jobs.get(id)?))) {
                Some((cluster, job)) => progress_of(cluster, job),
                None => self.peers.progress(id),
            },
        };
        let stage = match outcome {
            Some(outcome) => outcome.as_str(),
            None if running > 0 => "running",
            None => "pending",
        };
        JobState { id: id.clone(), stage: stage.into(), done, running }
    }

    /// Returns the progress of all jobs for the peers.  It is taken from the cache if that is recent,
    /// because many peers request it.
    pub fn recent_progress(&self, now: Instant) -> Vec<wire::Progress> {
        let mut cache = lock(&self.peers.progress_cache);
        match cache.as_ref() {
            Some((counted_at, jobs)) if now.saturating_duration_since(*counted_at) < PROGRESS_CACHE_TTL => jobs.clone(),
            _ => {
                let jobs = self.count_progress();
                *cache = Some((now, jobs.clone()));
                jobs
            }
        }
    }

    /// Counts the done and running tasks of all unfinished jobs.  Jobs without any are left out.
    /// Returns an empty list if this controller does not have the leader's state.
    pub fn count_progress(&self) -> Vec<wire::Progress> {
        let state = self.lock();
        let Some(cluster) = state.cluster.as_ref() else { return Vec::new() };
        let mut running: HashMap<&Name, u32> = HashMap::new();
        for (task, assignment) in cluster.machines.values().flat_map(|m| &m.tasks) {
            *running.entry(&task.job).or_default() += u32::from(assignment.phase == TaskPhase::Running);
        }
        let progress = |job: &Job| wire::Progress {
            id: job.spec.id.to_string(),
            done: job.completed.len(),
            running: running.get(&job.spec.id).copied().unwrap_or(0),
        };
        let mut jobs: Vec<_> = cluster.jobs.values().filter(|j| j.outcome.is_none()).map(progress).collect();
        jobs.retain(|j| j.done + j.running > 0);
        jobs
    }
}

/// Returns the progress of a job according to the leader's state.  A task that runs on several
/// machines counts once.
fn progress_of(cluster: &Cluster, job: &Job) -> JobProgress {
    let mut running = 0;
    for (index, machines) in &job.assignments {
        let task = Task { job: job.spec.id.clone(), index: *index };
        let is_running_on = |name: &Name| {
            let assignment = cluster.machines.get(name).and_then(|m| m.tasks.get(&task));
            assignment.is_some_and(|a| a.phase == TaskPhase::Running)
        };
        running += u32::from(machines.iter().any(is_running_on));
    }
    JobProgress { done: job.completed.len(), running }
}
