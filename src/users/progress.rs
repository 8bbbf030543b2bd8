//! The progress of jobs: done and running tasks.

use std::time::{Duration, Instant};

use crate::controller::Controller;
use crate::model::*;
use crate::peers::links::{lock, wire};

/// Progress of jobs is told again for so long before it is counted anew.
const PROGRESS_CACHE_TTL: Duration = Duration::from_secs(1);

impl Controller {
    /// A job's state for display.
    pub(super) fn job_state(&self, id: &Name, outcome: Option<JobOutcome>) -> JobState {
        let i = self.lock();
        let tasks = i.jobs.task_count(id).unwrap_or(0);
        let (mut done, mut running) = (0, 0);
        match outcome {
            Some(JobOutcome::Done) => done = tasks,
            Some(JobOutcome::Cancelled) => {}
            None => {
                if let Some((c, j)) = i.cluster.as_ref().and_then(|c| Some((c, c.jobs.get(id)?))) {
                    done = j.completed.len();
                    for (n, list) in &j.assignments {
                        let task = Task { job: id.clone(), index: *n };
                        let runs = |m: &Name| {
                            let p = c.machines.get(m).and_then(|m| m.tasks.get(&task));
                            p.is_some_and(|p| p.phase == crate::cluster::TaskPhase::Running)
                        };
                        running += u32::from(list.iter().any(runs));
                    }
                } else {
                    (done, running) = self.peers.progress(id);
                }
            }
        }
        let stage = match outcome {
            Some(f) => f.as_str(),
            None if running > 0 => "running",
            None => "pending",
        };
        JobState { id: id.clone(), stage: stage.into(), done, running }
    }

    /// The progress of jobs, counted lately or now: many siblings ask.
    pub fn recent_progress(&self, now: Instant) -> Vec<wire::Progress> {
        let mut told = lock(&self.peers.told_progress);
        match told.as_ref() {
            Some((at, jobs)) if now.saturating_duration_since(*at) < PROGRESS_CACHE_TTL => jobs.clone(),
            _ => {
                let jobs = self.count_progress();
                *told = Some((now, jobs.clone()));
                jobs
            }
        }
    }

    /// Done and running tasks of all jobs that are not over, for siblings.
    pub fn count_progress(&self) -> Vec<wire::Progress> {
        let i = self.lock();
        let Some(c) = i.cluster.as_ref() else { return Vec::new() };
        let mut running: std::collections::HashMap<&Name, u32> = std::collections::HashMap::new();
        for (t, p) in c.machines.values().flat_map(|m| &m.tasks) {
            *running.entry(&t.job).or_default() += u32::from(p.phase == crate::cluster::TaskPhase::Running);
        }
        let of = |j: &crate::cluster::Job| wire::Progress {
            id: j.spec.id.to_string(),
            done: j.completed.len(),
            running: running.get(&j.spec.id).copied().unwrap_or(0),
        };
        let mut jobs: Vec<_> = c.jobs.values().filter(|j| j.outcome.is_none()).map(of).collect();
        jobs.retain(|j| j.done + j.running > 0);
        jobs
    }
}
