//! Jobs that depend on other jobs: which are blocked and by what, which an outcome releases,
//! which are cancelled together with a dependency, and how urgent a job is for the sake of
//! those that depend on it.  Plain functions of state and `now`.
//!
//! Only blocked jobs are in the graph.  A job whose dependencies are all done enters the queue
//! and is a job like any other.  Until then nothing else knows of it, so that it counts for no
//! load, no limit, no quota and no plan.
//!
//! This module must not know how an outcome is stored or read: it is given an outcome only
//! once the store has it.

mod edges;
mod urgency;

pub use edges::DependencyEdges;
pub use urgency::Urgency;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::model::{JobOutcome, JobSpec, Name, NameMap};

/// A job that waits for its dependencies.
#[derive(Debug, Clone)]
pub struct BlockedJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Revision of its record.
    pub revision: u64,
    /// When this leader first saw the job.
    pub first_seen: Instant,
    /// The dependencies that are not known to be done.
    pub missing: BTreeSet<Name>,
}

impl BlockedJob {
    fn own_urgency(&self) -> Urgency {
        Urgency::own(&self.spec, self.first_seen)
    }
}

/// What is known here of a dependency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DependencyStatus {
    /// It has no outcome.
    Open,
    /// Nothing is known of it here; the store has to be asked.
    Unknown,
    /// It has this outcome.
    Ended(JobOutcome),
}

/// The blocked jobs.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    blocked: NameMap<BlockedJob>,
    edges: DependencyEdges,
    /// Dependencies of which nothing is known here, with the time from which the store is to
    /// be asked again; `None` if it was not asked yet.
    unknown: BTreeMap<Name, Option<Instant>>,
    /// The urgency that a job has for the sake of its dependents; only of jobs that have some.
    inherited: NameMap<Urgency>,
    /// Blocked jobs that depend on a cancelled one: their own cancellation has to be stored.
    needing_cancelled: BTreeSet<Name>,
    /// Jobs whose inherited urgency has changed since [`DependencyGraph::take_changed`].
    changed: Vec<Name>,
}

impl DependencyGraph {
    /// Adds a job if it has to wait; returns false if all its dependencies are done.  A job
    /// that depends on a cancelled one stays blocked until its own cancellation is stored.
    ///
    /// `status_of` returns what is known of a dependency that is not blocked itself.
    pub fn block(
        &mut self,
        spec: &Arc<JobSpec>,
        revision: u64,
        now: Instant,
        status_of: impl Fn(&Name) -> DependencyStatus,
    ) -> bool {
        let id = &spec.id;
        if self.blocked.contains_key(id) {
            return true;
        }
        let mut missing = BTreeSet::new();
        let mut needs_cancelled_job = false;
        for dependency in &spec.needs {
            let is_blocked = self.blocked.contains_key(dependency);
            let status = if is_blocked { DependencyStatus::Open } else { status_of(dependency) };
            needs_cancelled_job |=
                status == DependencyStatus::Ended(JobOutcome::Cancelled) || self.needing_cancelled.contains(dependency);
            match status {
                DependencyStatus::Ended(JobOutcome::Done) => continue,
                DependencyStatus::Unknown => drop(self.unknown.entry(dependency.clone()).or_default()),
                DependencyStatus::Open | DependencyStatus::Ended(JobOutcome::Cancelled) => {}
            }
            missing.insert(dependency.clone());
        }
        if missing.is_empty() {
            return false;
        }
        self.mark_known(id);
        self.edges.add(id, &missing);
        let urgency = self.urgency(id, Urgency::own(spec, now));
        let inheriting = missing.iter().map(|dependency| (dependency.clone(), urgency)).collect();
        self.blocked.insert(id.clone(), BlockedJob { spec: spec.clone(), revision, first_seen: now, missing });
        if needs_cancelled_job {
            self.mark_needing_cancelled(id.clone());
        }
        self.raise_urgency(inheriting);
        true
    }

    /// Raises the inherited urgency of these jobs, and of what they depend on in turn for as
    /// long as it makes a difference.
    fn raise_urgency(&mut self, mut to_raise: Vec<(Name, Urgency)>) {
        while let Some((id, urgency)) = to_raise.pop() {
            let before = self.inherited.get(&id).copied();
            let after = before.map_or(urgency, |before| before.with(urgency));
            if before == Some(after) {
                continue;
            }
            self.inherited.insert(id.clone(), after);
            if let Some(job) = self.blocked.get(&id) {
                let total = job.own_urgency().with(after);
                to_raise.extend(job.missing.iter().map(|dependency| (dependency.clone(), total)));
            }
            self.changed.push(id);
        }
    }

    /// Notes that a job is known here from now on, so that the store need not be asked.
    pub fn mark_known(&mut self, id: &str) {
        self.unknown.remove(id);
    }

    /// Whether the job waits for dependencies.
    pub fn is_blocked(&self, id: &str) -> bool {
        self.blocked.contains_key(id)
    }

    /// Iterates over the blocked jobs, in no order.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedJob> {
        self.blocked.values()
    }

    /// Returns the number of blocked jobs.
    pub fn len(&self) -> usize {
        self.blocked.len()
    }

    /// Whether no job is blocked.
    pub fn is_empty(&self) -> bool {
        self.blocked.is_empty()
    }

    /// Returns the urgency of a job, given the urgency that it asks for itself.
    pub fn urgency(&self, id: &str, own: Urgency) -> Urgency {
        self.inherited.get(id).map_or(own, |inherited| own.with(*inherited))
    }

    /// Returns the jobs whose inherited urgency has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Iterates over the blocked jobs that depend on a cancelled one: their own cancellation
    /// is to be stored.
    pub fn needing_cancelled(&self) -> impl Iterator<Item = &Name> {
        self.needing_cancelled.iter()
    }

    /// Returns dependencies that the store has to be asked about, at most `limit`.  Each is
    /// returned again after `retry_after` if it is still unknown then.
    pub fn outcomes_to_fetch(&mut self, limit: usize, retry_after: Duration, now: Instant) -> Vec<Name> {
        let is_due = |(_, ask_at): &(&Name, &mut Option<Instant>)| ask_at.is_none_or(|at| at <= now);
        let due = self.unknown.iter_mut().filter(is_due).take(limit);
        due.map(|(id, ask_at)| {
            *ask_at = Some(now + retry_after);
            id.clone()
        })
        .collect()
    }

    /// Returns the dependencies of which nothing is known here.
    pub fn unknown(&self) -> Vec<Name> {
        self.unknown.keys().cloned().collect()
    }

    /// Whether the job is a dependency of which nothing is known here.
    pub fn is_unknown(&self, id: &str) -> bool {
        self.unknown.contains_key(id)
    }

    /// Applies a stored outcome, and returns the jobs that it releases.  The jobs that depend
    /// on a cancelled one, directly or through others, leave the graph when their own
    /// cancellation is applied.
    pub fn apply_outcome(&mut self, id: &str, outcome: JobOutcome) -> Vec<BlockedJob> {
        self.mark_known(id);
        self.unblock(id);
        match outcome {
            JobOutcome::Cancelled => {
                for dependent in self.edges.direct_dependents(id).cloned().collect::<Vec<_>>() {
                    self.mark_needing_cancelled(dependent);
                }
                Vec::new()
            }
            JobOutcome::Done => self.release_dependents(id),
        }
    }

    /// Removes a dependency that is done, and returns the jobs that have no other.
    fn release_dependents(&mut self, id: &str) -> Vec<BlockedJob> {
        let mut released = Vec::new();
        for dependent in self.edges.take_dependents(id) {
            let Some(job) = self.blocked.get_mut(&dependent) else { continue };
            job.missing.remove(id);
            if job.missing.is_empty() {
                released.extend(self.blocked.remove(&dependent));
            }
        }
        self.inherited.remove(id);
        released
    }

    /// Removes a job from the graph, and returns it if it was blocked.
    ///
    /// Besides an outcome, a stored start of one of its tasks is a reason: it proves that all
    /// its dependencies were done.  Dependencies that only this job had are no longer asked
    /// about.
    pub fn unblock(&mut self, id: &str) -> Option<BlockedJob> {
        let job = self.blocked.remove(id)?;
        self.needing_cancelled.remove(id);
        self.edges.remove(id, &job.missing);
        for dependency in &job.missing {
            if self.edges.direct_dependents(dependency).next().is_none() {
                self.unknown.remove(dependency);
            }
        }
        self.recompute_urgency(job.missing.iter().cloned().collect());
        Some(job)
    }

    /// Marks a job and all its dependents as depending on a cancelled job.
    fn mark_needing_cancelled(&mut self, id: Name) {
        let mut to_mark = vec![id];
        while let Some(id) = to_mark.pop() {
            if self.blocked.contains_key(&id) && self.needing_cancelled.insert(id.clone()) {
                to_mark.extend(self.edges.direct_dependents(&id).cloned());
            }
        }
    }

    /// Recomputes what these jobs, and those that they depend on, inherit from their remaining
    /// dependents.
    fn recompute_urgency(&mut self, mut to_recompute: Vec<Name>) {
        while let Some(id) = to_recompute.pop() {
            let dependents = self.edges.direct_dependents(&id).filter_map(|dependent| self.blocked.get(dependent));
            let urgencies = dependents.map(|job| self.urgency(&job.spec.id, job.own_urgency()));
            let after = urgencies.reduce(Urgency::with);
            if self.inherited.get(&id).copied() == after {
                continue;
            }
            match after {
                Some(urgency) => drop(self.inherited.insert(id.clone(), urgency)),
                None => drop(self.inherited.remove(&id)),
            }
            if let Some(job) = self.blocked.get(&id) {
                to_recompute.extend(job.missing.iter().cloned());
            }
            self.changed.push(id);
        }
    }
}

#[cfg(test)]
mod tests;
