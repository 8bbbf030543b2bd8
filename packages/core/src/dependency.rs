//! Dependencies between jobs.
//!
//! The dependency graph tracks which jobs are blocked by which dependencies, which jobs an outcome
//! releases, which jobs have to be cancelled because a dependency was cancelled, and which urgency
//! a job inherits from the jobs that depend on it.  Its results depend only on its state and
//! `now`.
//!
//! Only blocked jobs are in the graph.  Once all dependencies of a job are done, the job enters the
//! queue like any other job.  Until then no other part of the cluster state contains the job, so
//! it does not count towards load, limits, quotas or plans.
//!
//! This module must not know how an outcome is stored or read.  An outcome is applied here only
//! after it has been stored.

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
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Revision of the job's record in the store.
    pub revision: u64,
    /// Time at which this leader first saw the job; the deadline of the job counts from then.
    pub first_seen: Instant,
    /// The dependencies that are not known to be done.  The job is blocked while there are any.
    pub missing: BTreeSet<Name>,
}

impl BlockedJob {
    fn own_urgency(&self) -> Urgency {
        Urgency::own(&self.spec, self.first_seen)
    }
}

/// The state of a dependency, as far as this controller knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DependencyStatus {
    /// The dependency has no outcome.
    Open,
    /// The dependency is not known here; the store has to be asked.
    Unknown,
    /// The dependency has this outcome.
    Ended(JobOutcome),
}

/// The blocked jobs and their dependencies.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    blocked: NameMap<BlockedJob>,
    edges: DependencyEdges,
    /// Dependencies that are not known here, with the earliest time to ask the store again; `None`
    /// if it has not been asked yet.
    unknown_dependencies: BTreeMap<Name, Option<Instant>>,
    /// The urgency that each job inherits from its dependents.  Jobs without dependents have no
    /// entry.
    inherited: NameMap<Urgency>,
    /// Blocked jobs that depend on a cancelled job, directly or through others.  Their own
    /// cancellation has to be stored.
    dependents_of_cancelled: BTreeSet<Name>,
    /// Jobs whose inherited urgency has changed since the last call of
    /// [`DependencyGraph::take_changed_urgencies`].
    changed: Vec<Name>,
}

impl DependencyGraph {
    /// Adds a job that has dependencies which are not known to be done.  Returns whether the job
    /// is blocked: false means that all its dependencies are done.
    ///
    /// A job that depends on a cancelled one stays blocked until its own cancellation is applied.
    /// `status_of` returns the state of a dependency that is not blocked itself.
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
        let mut depends_on_cancelled_job = false;
        for dependency in &spec.dependencies {
            let is_blocked = self.blocked.contains_key(dependency);
            let status = if is_blocked { DependencyStatus::Open } else { status_of(dependency) };
            depends_on_cancelled_job |= status == DependencyStatus::Ended(JobOutcome::Cancelled)
                || self.dependents_of_cancelled.contains(dependency);
            match status {
                DependencyStatus::Ended(JobOutcome::Done) => continue,
                DependencyStatus::Unknown => drop(self.unknown_dependencies.entry(dependency.clone()).or_default()),
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
        let dependency_urgencies = missing.iter().map(|dependency| (dependency.clone(), urgency)).collect();
        self.blocked.insert(id.clone(), BlockedJob { spec: spec.clone(), revision, first_seen: now, missing });
        if depends_on_cancelled_job {
            self.mark_dependents_of_cancelled(id.clone());
        }
        self.raise_urgency(dependency_urgencies);
        true
    }

    /// Raises the inherited urgency of these jobs to at least the given one, and then that of
    /// their own dependencies in turn.  The walk stops at jobs whose urgency does not change.
    fn raise_urgency(&mut self, mut to_raise: Vec<(Name, Urgency)>) {
        while let Some((id, urgency)) = to_raise.pop() {
            let before = self.inherited.get(&id).copied();
            let after = before.map_or(urgency, |before| before.combine(urgency));
            if before == Some(after) {
                continue;
            }
            self.inherited.insert(id.clone(), after);
            if let Some(job) = self.blocked.get(&id) {
                let total = job.own_urgency().combine(after);
                to_raise.extend(job.missing.iter().map(|dependency| (dependency.clone(), total)));
            }
            self.changed.push(id);
        }
    }

    /// Records that a job is known here from now on, so that the store need not be asked for it.
    pub fn mark_known(&mut self, id: &str) {
        self.unknown_dependencies.remove(id);
    }

    /// Reports whether the job waits for dependencies.
    pub fn is_blocked(&self, id: &str) -> bool {
        self.blocked.contains_key(id)
    }

    /// Returns an iterator over the blocked jobs, in arbitrary order.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedJob> {
        self.blocked.values()
    }

    /// Returns the number of blocked jobs.
    pub fn len(&self) -> usize {
        self.blocked.len()
    }

    /// Reports whether no job is blocked.
    pub fn is_empty(&self) -> bool {
        self.blocked.is_empty()
    }

    /// Returns the urgency of a job: its own urgency `own`, combined with the urgency that the job
    /// inherits from its dependents.
    pub fn urgency(&self, id: &str, own: Urgency) -> Urgency {
        self.inherited.get(id).map_or(own, |inherited| own.combine(*inherited))
    }

    /// Returns the jobs whose inherited urgency has changed since the last call.
    pub fn take_changed_urgencies(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Returns an iterator over the blocked jobs that depend on a cancelled job, directly or
    /// through others.  Their own cancellation has to be stored.
    pub fn dependents_of_cancelled(&self) -> impl Iterator<Item = &Name> {
        self.dependents_of_cancelled.iter()
    }

    /// Returns at most `limit` unknown dependencies whose outcome has to be read from the store.
    /// A dependency that is still unknown after `retry_after` is returned again.
    pub fn outcomes_to_fetch(&mut self, limit: usize, retry_after: Duration, now: Instant) -> Vec<Name> {
        let is_due = |(_, ask_at): &(&Name, &mut Option<Instant>)| ask_at.is_none_or(|at| at <= now);
        let due = self.unknown_dependencies.iter_mut().filter(is_due).take(limit);
        due.map(|(id, ask_at)| {
            *ask_at = Some(now + retry_after);
            id.clone()
        })
        .collect()
    }

    /// Returns the dependencies that are not known here.
    pub fn unknown_dependencies(&self) -> Vec<Name> {
        self.unknown_dependencies.keys().cloned().collect()
    }

    /// Reports whether the job is a dependency that is not known here.
    pub fn is_unknown(&self, id: &str) -> bool {
        self.unknown_dependencies.contains_key(id)
    }

    /// Applies a stored outcome, and returns the jobs that the outcome releases.  A cancellation
    /// releases none: the jobs that depend on the cancelled one, directly or through others, leave
    /// the graph when their own cancellation is applied.
    pub fn apply_outcome(&mut self, id: &str, outcome: JobOutcome) -> Vec<BlockedJob> {
        self.mark_known(id);
        self.unblock(id);
        match outcome {
            JobOutcome::Cancelled => {
                for dependent in self.edges.direct_dependents(id).cloned().collect::<Vec<_>>() {
                    self.mark_dependents_of_cancelled(dependent);
                }
                Vec::new()
            }
            JobOutcome::Done => self.release_dependents(id),
        }
    }

    /// Removes a dependency that is done, and returns the jobs that have no other missing
    /// dependency.
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

    /// Removes a job from the graph, and returns the job if it was blocked.
    ///
    /// A job is removed when it has an outcome, or when the start of one of its tasks is stored,
    /// because a stored start proves that all dependencies were done.  The store is no longer asked
    /// for dependencies that only this job had.
    pub fn unblock(&mut self, id: &str) -> Option<BlockedJob> {
        let job = self.blocked.remove(id)?;
        self.dependents_of_cancelled.remove(id);
        self.edges.remove(id, &job.missing);
        for dependency in &job.missing {
            if self.edges.direct_dependents(dependency).next().is_none() {
                self.unknown_dependencies.remove(dependency);
            }
        }
        self.recompute_urgency(job.missing.iter().cloned().collect());
        Some(job)
    }

    /// Marks a blocked job and all its direct and indirect dependents as depending on a cancelled
    /// job.
    fn mark_dependents_of_cancelled(&mut self, id: Name) {
        let mut to_mark = vec![id];
        while let Some(id) = to_mark.pop() {
            if self.blocked.contains_key(&id) && self.dependents_of_cancelled.insert(id.clone()) {
                to_mark.extend(self.edges.direct_dependents(&id).cloned());
            }
        }
    }

    /// Recomputes the urgency that these jobs inherit from their remaining dependents, and then
    /// that of their own dependencies in turn.  The walk stops at jobs whose urgency does not
    /// change.
    fn recompute_urgency(&mut self, mut to_recompute: Vec<Name>) {
        while let Some(id) = to_recompute.pop() {
            let dependents = self.edges.direct_dependents(&id).filter_map(|dependent| self.blocked.get(dependent));
            let urgencies = dependents.map(|job| self.urgency(&job.spec.id, job.own_urgency()));
            let after = urgencies.reduce(Urgency::combine);
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
