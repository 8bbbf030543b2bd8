//! The order in which waiting tasks are placed.

use std::time::Instant;

use super::preemption::within;
use crate::cluster::{Cluster, Job};
use crate::model::*;

/// A place in the queue: a job, and those of its waiting tasks whose turn it is.
#[derive(Clone, Copy)]
pub(super) struct Entry<'a> {
    pub(super) job: &'a Job,
    /// Tasks from here on.
    pub(super) from: u32,
    /// So many of them.
    pub(super) count: u32,
    /// They were placed before.
    pub(super) again: bool,
}

impl<'a> Entry<'a> {
    /// What waits of a job.  Tasks of an array that were lost or gave way had
    /// their turn once: they do not wait again behind all that came since.
    /// Where zones matter the job stays whole, as they are counted by job.
    pub(super) fn of(job: &'a Job) -> impl Iterator<Item = Entry<'a>> {
        let (all, begun) = (job.waiting_tasks(), job.first_never_placed());
        let whole = job.spec.shape != Shape::Array || job.spec.one_zone || job.spec.spread || job.quarantine.is_some();
        let again = if whole { 0 } else { job.pending.below(begun) };
        let fresh = Entry { job, from: if again > 0 { begun } else { 0 }, count: all - again, again: false };
        [Entry { job, from: 0, count: again, again: true }, fresh].into_iter().filter(|e| e.count > 0)
    }

    pub(super) fn tasks(&self) -> impl Iterator<Item = u32> + 'a {
        let from = self.from;
        self.job.pending.iter().skip_while(move |n| *n < from).take(self.count as usize)
    }
}

impl Cluster {
    /// Marks the jobs that are within their team's guarantee: those that fit
    /// into it along with all that the team submitted before and is not over.
    pub(super) fn mark_guaranteed(&mut self) {
        if !self.teams.values().any(|t| t.guarantee.cpus > 0.0 || t.guarantee.gpus > 0.0) {
            return;
        }
        let mut open: Vec<&mut Job> = self.jobs.values_mut().filter(|j| j.outcome.is_none()).collect();
        open.sort_by(|a, b| (a.revision, &a.spec.id).cmp(&(b.revision, &b.spec.id)));
        let mut used: NameMap<Resources> = NameMap::default();
        for j in open {
            let limit = self.teams.get(&j.spec.team).copied().unwrap_or_default();
            let team = used.entry(j.spec.team.clone()).or_default();
            let left = f64::from(j.spec.tasks - j.completed.len().min(j.spec.tasks));
            team.add(&j.spec.size().scaled(left));
            j.guaranteed = within(&limit.guarantee, team);
        }
    }

    /// The queue: production and work within its team's guarantee first, by
    /// rank, then as it arrived.
    pub(super) fn ordered_queue(&self, now: Instant) -> Vec<Entry<'_>> {
        let waits = |j: &&Job| j.outcome.is_none() && j.waiting_tasks() > 0 && j.not_before.is_none_or(|t| t <= now);
        let entries = self.jobs.values().filter(waits).flat_map(Entry::of);
        let mut q: Vec<(f64, Entry)> = entries.map(|e| (self.arrival(&e), e)).collect();
        q.sort_by(|(at, a), (bt, b)| {
            let (a, b) = (a.job, b.job);
            (a.queue_priority().cmp(&b.queue_priority()))
                .then(at.total_cmp(bt))
                .then((a.revision, &a.spec.id).cmp(&(b.revision, &b.spec.id)))
        });
        q.into_iter().map(|(_, e)| e).collect()
    }

    /// When the next task of a job counts as arrived, in seconds.  The tasks
    /// of an array count as arriving one after another, or one large array
    /// would keep all that come after it waiting until it is through; and
    /// earlier by the time they take, for a long task that starts late makes
    /// its job late.
    pub(super) fn arrival(&self, e: &Entry) -> f64 {
        let j = e.job;
        let known = j.first_seen.saturating_duration_since(self.term_started_at).as_secs_f64();
        if j.spec.shape != Shape::Array {
            return known;
        }
        let started = if e.again { 0.0 } else { f64::from(j.spec.tasks - j.pending.len().min(j.spec.tasks)) };
        let bias = self.runtime_bias.get(&j.spec.class).copied().unwrap_or(1.0);
        known + started * self.policy.task_spacing_s - j.spec.estimate_s * bias
    }

    /// How soon a job's tasks should start, if anything is said of it.
    pub fn wait_aim(&self, j: &Job) -> Option<f64> {
        let aims = [
            self.start_objectives.get(&j.spec.class).copied(),
            // the users of a service feel every second without a replica
            (j.spec.shape == Shape::Service).then_some(self.policy.fetch_grain_s),
            j.guaranteed.then_some(self.policy.guarantee_wait_s),
        ];
        aims.into_iter().flatten().min_by(f64::total_cmp)
    }
}

/// Sizes of the next tasks behind the head as runs of equal ones, for the dry
/// run: a hundred thousand tasks are one run.
pub(super) fn lookahead(queue: &[Entry], most: usize) -> Vec<(Resources, usize)> {
    let mut runs: Vec<(Resources, usize)> = Vec::new();
    let mut left = most;
    for (i, e) in queue.iter().enumerate() {
        let j = e.job;
        let n = (e.count as usize).saturating_sub(usize::from(i == 0)).min(left);
        if n > 0 {
            runs.push((j.spec.size(), n));
        }
        left -= n;
        if left == 0 {
            break;
        }
    }
    runs
}
