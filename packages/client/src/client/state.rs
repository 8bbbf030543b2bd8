//! The jobs of a client and the queues that they wait in.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use coralnotch_wire::model::Name;

use crate::endpoints::Endpoints;
use crate::job::Job;
use crate::retry::RetryBudget;

/// Who acts next on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DispatchState {
    /// The job is in [`ClientState::due_jobs`] unless it has ended.
    Scheduled,
    /// A request for it, or the write of its answer, is in flight.
    InFlight,
    /// Its retry waits for the retry budget.
    AwaitingBudget,
    /// Its submission waits until a dependency is accepted.
    AwaitingDependency,
}

/// A job with its dispatch state.
pub(super) struct TrackedJob {
    pub(super) job: Job,
    pub(super) dispatch: DispatchState,
}

impl TrackedJob {
    /// A job that nothing is in flight for.
    pub(super) fn new(job: Job) -> TrackedJob {
        TrackedJob { job, dispatch: DispatchState::Scheduled }
    }
}

/// What a client keeps in memory, behind one lock.
pub(super) struct ClientState {
    /// All jobs whose answers have not been taken.
    pub(super) jobs: HashMap<Name, TrackedJob>,
    /// Scheduled jobs, by when they need an action.
    pub(super) due_jobs: BTreeSet<(Instant, Name)>,
    /// Jobs whose retries are due and wait for the budget, first come first
    /// served; at most as many as there are unfinished jobs.
    pub(super) awaiting_budget: VecDeque<Name>,
    /// Jobs that wait until a dependency is accepted, by that dependency; each
    /// job once.
    pub(super) awaiting_dependency: HashMap<Name, Vec<Name>>,
    pub(super) endpoints: Endpoints,
    pub(super) budget: RetryBudget,
    pub(super) rng: fastrand::Rng,
    /// Set by [`Client::close`](super::Client::close): nothing is sent any more.
    pub(super) is_closed: bool,
}

impl ClientState {
    /// A dependency of a job that no controller has accepted yet.  A submission
    /// that names an unknown dependency would be refused for good.
    pub(super) fn first_unaccepted_dependency(&self, id: &Name) -> Option<Name> {
        let job = &self.jobs.get(id)?.job;
        if !is_awaiting_acceptance(job) {
            return None;
        }
        let is_unaccepted = |needed: &&Name| self.jobs.get(*needed).is_some_and(|t| is_awaiting_acceptance(&t.job));
        job.spec().needs.iter().find(is_unaccepted).cloned()
    }

    /// Schedules the jobs that waited for this one: it is accepted, or never
    /// will be.
    pub(super) fn release_dependents(&mut self, id: &Name) {
        for dependent in self.awaiting_dependency.remove(id).unwrap_or_default() {
            if let Some(tracked) = self.jobs.get_mut(&dependent) {
                tracked.dispatch = DispatchState::Scheduled;
            }
            self.schedule(&dependent);
        }
    }

    /// Puts a job into the queue of due jobs, unless it is dispatched or over.
    pub(super) fn schedule(&mut self, id: &Name) {
        let scheduled = self.jobs.get(id).filter(|tracked| tracked.dispatch == DispatchState::Scheduled);
        if let Some(due_at) = scheduled.and_then(|tracked| tracked.job.due_at()) {
            self.due_jobs.insert((due_at, id.clone()));
        }
    }

    /// Moves a job in the queue of due jobs after its due time has changed.
    pub(super) fn reschedule(&mut self, id: &Name, old_due_at: Option<Instant>) {
        if let Some(old_due_at) = old_due_at {
            self.due_jobs.remove(&(old_due_at, id.clone()));
        }
        self.schedule(id);
    }
}

fn is_awaiting_acceptance(job: &Job) -> bool {
    !job.is_accepted() && !job.has_ended()
}
