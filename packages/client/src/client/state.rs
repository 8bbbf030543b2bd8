//! The jobs of a client and the queues that hold them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use coralnotch_wire::model::Name;

use crate::endpoints::Endpoints;
use crate::job::Job;
use crate::retry::RetryBudget;

/// What the next action of a job waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DispatchState {
    /// The action waits for its due time, with the job in
    /// [`ClientState::due_jobs`] unless its final answer is recorded.
    Scheduled,
    /// A request for the job, or the write of its final answer, is in flight.
    InFlight,
    /// A retry is due and waits for the retry budget.
    AwaitingBudget,
    /// The submission waits until a dependency is accepted.
    AwaitingDependency,
}

/// A job with its dispatch state.
pub(super) struct TrackedJob {
    pub(super) job: Job,
    pub(super) dispatch: DispatchState,
}

impl TrackedJob {
    /// Returns a tracked job with no request in flight.
    pub(super) fn new(job: Job) -> TrackedJob {
        TrackedJob { job, dispatch: DispatchState::Scheduled }
    }
}

/// The in-memory state of a client, guarded by one lock.
pub(super) struct ClientState {
    /// All jobs whose answers have not been acknowledged, by id.
    pub(super) jobs: HashMap<Name, TrackedJob>,
    /// Scheduled jobs, ordered by the due time of their next action.
    pub(super) due_jobs: BTreeSet<(Instant, Name)>,
    /// Jobs whose retries are due and wait for the retry budget, in the order of
    /// arrival.  The queue is never longer than the number of unfinished jobs.
    pub(super) awaiting_budget: VecDeque<Name>,
    /// Jobs that wait until a dependency is accepted, by the id of that
    /// dependency.  Each job waits for one dependency at a time.
    pub(super) awaiting_dependency: HashMap<Name, Vec<Name>>,
    pub(super) endpoints: Endpoints,
    pub(super) budget: RetryBudget,
    pub(super) rng: fastrand::Rng,
    /// Whether [`Client::close`](super::Client::close) was called; no more
    /// requests are started then.
    pub(super) is_closed: bool,
}

impl ClientState {
    /// Returns the first dependency of a job that no controller has accepted yet.
    ///
    /// A job is not submitted before its dependencies are accepted, because a
    /// controller permanently refuses a submission with an unknown dependency.
    pub(super) fn first_unaccepted_dependency(&self, id: &Name) -> Option<Name> {
        let job = &self.jobs.get(id)?.job;
        if !is_awaiting_acceptance(job) {
            return None;
        }
        let is_unaccepted =
            |dependency: &&Name| self.jobs.get(*dependency).is_some_and(|tracked| is_awaiting_acceptance(&tracked.job));
        job.spec().dependencies.iter().find(is_unaccepted).cloned()
    }

    /// Schedules the jobs that wait for the job `id`, once that job is accepted or
    /// has ended without being accepted.
    pub(super) fn release_dependents(&mut self, id: &Name) {
        for dependent in self.awaiting_dependency.remove(id).unwrap_or_default() {
            if let Some(tracked) = self.jobs.get_mut(&dependent) {
                tracked.dispatch = DispatchState::Scheduled;
            }
            self.schedule(&dependent);
        }
    }

    /// Adds a job to the queue of due jobs if it is in the scheduled state and its
    /// final answer is not recorded yet.
    pub(super) fn schedule(&mut self, id: &Name) {
        let scheduled = self.jobs.get(id).filter(|tracked| tracked.dispatch == DispatchState::Scheduled);
        if let Some(due_at) = scheduled.and_then(|tracked| tracked.job.due_at()) {
            self.due_jobs.insert((due_at, id.clone()));
        }
    }

    /// Moves a job within the queue of due jobs after its due time has changed.
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
