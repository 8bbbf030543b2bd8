//! The jobs of a client and what they wait for.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use coralnotch_wire::model::Name;

use crate::endpoints::Endpoints;
use crate::job::Job;
use crate::retry::RetryBudget;

pub(super) struct TrackedJob {
    pub(super) job: Job,
    /// A request is under way, or waits for the budget or for a needed job.
    pub(super) in_flight: bool,
}

pub(super) struct ClientState {
    pub(super) jobs: HashMap<Name, TrackedJob>,
    /// Jobs that are not over, by when there is something to do.
    pub(super) due_jobs: BTreeSet<(Instant, Name)>,
    /// Jobs whose retries are due and wait for the budget, in their order; no
    /// more than there are unfinished jobs.
    pub(super) awaiting_budget: VecDeque<Name>,
    /// Jobs that wait until one that they need is accepted, by that one; each
    /// once.
    pub(super) awaiting_dependency: HashMap<Name, Vec<Name>>,
    pub(super) endpoints: Endpoints,
    pub(super) budget: RetryBudget,
    pub(super) rng: fastrand::Rng,
    pub(super) is_closed: bool,
}

impl ClientState {
    /// A job that this one needs and that no controller has said to have yet: a
    /// submission that names it would be refused for good.
    pub(super) fn first_unaccepted_dependency(&self, id: &Name) -> Option<Name> {
        let job = &self.jobs.get(id)?.job;
        let open = |n: &&Name| self.jobs.get(*n).is_some_and(|t| !t.job.is_accepted() && !t.job.has_ended());
        let waits = !job.is_accepted() && !job.has_ended();
        job.spec().needs.iter().filter(|_| waits).find(open).cloned()
    }

    /// The job is accepted, or never will be: those that waited for it go on.
    pub(super) fn release_dependents(&mut self, id: &Name) {
        for n in self.awaiting_dependency.remove(id).unwrap_or_default() {
            if let Some(t) = self.jobs.get_mut(&n) {
                t.in_flight = false;
            }
            self.schedule(&n, None);
        }
    }

    pub(super) fn schedule(&mut self, id: &Name, was: Option<Instant>) {
        if let Some(t) = was {
            self.due_jobs.remove(&(t, id.clone()));
        }
        if let Some(t) = self.jobs.get(id).filter(|t| !t.in_flight).and_then(|t| t.job.due_at()) {
            self.due_jobs.insert((t, id.clone()));
        }
    }
}
