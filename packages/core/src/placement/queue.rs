//! The queue of waiting tasks, ordered by priority and then by arrival.

use std::time::Instant;

use super::preemption::is_within_guarantee;
use super::tai2::TaskRun;
use crate::cluster::{Cluster, Job};
use crate::model::*;

/// A queue entry: consecutive waiting tasks of one job.
#[derive(Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) job: &'a Job,
    /// Lower bound of the task indices of the entry.
    first_task: u32,
    /// Number of tasks in the entry.
    pub(super) count: u32,
    /// Whether the tasks were placed before and then lost or preempted.
    is_requeued: bool,
}

impl<'a> QueueEntry<'a> {
    /// Returns the queue entries of a job: one, or two for an array with lost or preempted tasks.
    /// Such tasks have waited in the queue already, so their entry does not queue behind jobs
    /// that arrived since.  A job with zone constraints has a single entry, because its tasks per
    /// zone are counted for the whole job.  A quarantined job has a single entry as well.
    fn entries_of(job: &'a Job) -> impl Iterator<Item = QueueEntry<'a>> {
        let (waiting, never_placed) = (job.waiting_tasks(), job.first_never_assigned_index());
        let is_single_entry =
            job.spec.shape != Shape::Array || job.spec.one_zone || job.spec.spread_by_zone || job.quarantine.is_some();
        let requeued = if is_single_entry { 0 } else { job.pending.count_below(never_placed) };
        let lost = QueueEntry { job, first_task: 0, count: requeued, is_requeued: true };
        let first_new = if requeued > 0 { never_placed } else { 0 };
        let new = QueueEntry { job, first_task: first_new, count: waiting - requeued, is_requeued: false };
        [lost, new].into_iter().filter(|entry| entry.count > 0)
    }

    /// Returns the indices of the tasks in the entry.
    pub(super) fn tasks(&self) -> impl Iterator<Item = u32> + 'a {
        let first = self.first_task;
        self.job.pending.iter().skip_while(move |index| *index < first).take(self.count as usize)
    }
}

impl Cluster {
    /// Marks the jobs that are within their team's guarantee.  A job is within the guarantee if it
    /// covers the unfinished tasks of this job and of all earlier unfinished jobs of the team.
    pub(super) fn mark_guaranteed(&mut self) {
        if !self.teams.values().any(|team| team.guarantee.cpus > 0.0 || team.guarantee.gpus > 0.0) {
            return;
        }
        let mut unfinished_jobs: Vec<&mut Job> = self.jobs.values_mut().filter(|job| job.outcome.is_none()).collect();
        unfinished_jobs.sort_by(|a, b| (a.revision, &a.spec.id).cmp(&(b.revision, &b.spec.id)));
        let mut used_by_team: NameMap<Resources> = NameMap::default();
        for job in unfinished_jobs {
            let limit = self.teams.get(&job.spec.team).copied().unwrap_or_default();
            let team_usage = used_by_team.entry(job.spec.team.clone()).or_default();
            let unfinished = f64::from(job.spec.tasks - job.completed.len().min(job.spec.tasks));
            team_usage.add(&job.spec.resources_per_task().scaled(unfinished));
            job.is_within_guarantee = is_within_guarantee(&limit.guarantee, team_usage);
        }
    }

    /// Returns the queue.  Production jobs and jobs within their team's guarantee come first.
    /// Within each of the two groups, entries are ordered by priority and then by arrival.
    pub(super) fn ordered_queue(&self, now: Instant) -> Vec<QueueEntry<'_>> {
        let is_waiting = |job: &&Job| {
            job.outcome.is_none() && job.waiting_tasks() > 0 && job.not_before.is_none_or(|from| from <= now)
        };
        let entries = self.jobs.values().filter(is_waiting).flat_map(QueueEntry::entries_of);
        let mut queue: Vec<(f64, QueueEntry)> = entries.map(|entry| (self.arrival_s(&entry), entry)).collect();
        queue.sort_by(|(a_arrival, a), (b_arrival, b)| {
            let (a, b) = (a.job, b.job);
            (a.queue_priority().cmp(&b.queue_priority()))
                .then(a_arrival.total_cmp(b_arrival))
                .then((a.revision, &a.spec.id).cmp(&(b.revision, &b.spec.id)))
        });
        queue.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the effective arrival time of the next task of an entry, in seconds since the start
    /// of the leader's term.
    ///
    /// The tasks of an array count as arriving one after another.  Otherwise all jobs behind a
    /// large array would wait until all its tasks have been placed.  Requeued tasks count as
    /// arriving with the first task.  The time of an array's task is earlier by the estimated run
    /// time of the task, because a long task that starts late delays its job.
    fn arrival_s(&self, entry: &QueueEntry) -> f64 {
        let job = entry.job;
        let first_seen_s = job.first_seen.saturating_duration_since(self.term_started_at).as_secs_f64();
        if job.spec.shape != Shape::Array {
            return first_seen_s;
        }
        let started = match entry.is_requeued {
            true => 0.0,
            false => f64::from(job.spec.tasks - job.pending.len().min(job.spec.tasks)),
        };
        let bias = self.runtime_bias.get(&job.spec.class).copied().unwrap_or(1.0);
        first_seen_s + started * self.policy.task_spacing_s - job.spec.estimated_run_time_s * bias
    }

    /// Returns the time within which a job's tasks should start, in seconds; `None` if the job has
    /// no such objective.  If several objectives apply, the shortest one counts.
    pub fn start_objective_s(&self, job: &Job) -> Option<f64> {
        let objectives = [
            self.start_objectives.get(&job.spec.class).copied(),
            // Users of a service notice every second without a replica.
            (job.spec.shape == Shape::Service).then_some(self.policy.fetch_grain_s),
            job.is_within_guarantee.then_some(self.policy.guarantee_wait_s),
        ];
        objectives.into_iter().flatten().min_by(f64::total_cmp)
    }
}

/// Returns the sizes of at most `limit` tasks behind the head of a queue, for the dry run.  The
/// waiting tasks of one entry form a single run, even if there are a hundred thousand.
pub(super) fn lookahead(queue: &[QueueEntry], limit: usize) -> Vec<TaskRun> {
    let mut runs: Vec<TaskRun> = Vec::new();
    let mut remaining = limit;
    for (position, entry) in queue.iter().enumerate() {
        let head = usize::from(position == 0);
        let count = (entry.count as usize).saturating_sub(head).min(remaining);
        if count > 0 {
            runs.push(TaskRun { size: entry.job.spec.resources_per_task(), count });
        }
        remaining -= count;
        if remaining == 0 {
            break;
        }
    }
    runs
}
