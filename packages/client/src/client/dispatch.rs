//! Selects the requests to send now, within the limits set by the number of
//! requests in flight, the endpoints' circuit breakers and the retry budget.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coralnotch_wire::model::Name;

use super::shared::Shared;
use super::state::{ClientState, DispatchState};
use crate::counters::increment;
use crate::model::Action;
use crate::retry::RetryBudget;

/// Minimum delay before the driver checks for due jobs again.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(1);

/// An action to carry out for a job.
pub(super) struct PendingRequest {
    pub(super) id: Name,
    pub(super) action: Action,
    /// The endpoint to send the request to; `None` for [`Action::RecordAnswer`],
    /// which sends nothing.
    pub(super) endpoint: Option<SocketAddr>,
    /// Whether the action repeats a failed attempt.
    pub(super) is_retry: bool,
}

/// The requests that the driver starts now, and the time of its next check.
pub(super) struct DispatchPlan {
    /// The requests to start now.
    pub(super) requests: Vec<PendingRequest>,
    /// When to plan again if no other event occurs earlier; `None` if nothing is
    /// scheduled.
    pub(super) recheck_at: Option<Instant>,
}

impl Shared {
    /// Selects the requests to start, given that `in_flight` requests are already
    /// in flight.
    pub(super) fn next_requests(&self, in_flight: usize, now: Instant) -> DispatchPlan {
        let mut guard = self.lock();
        let state = &mut *guard;
        let free_slots = self.settings.max_in_flight.saturating_sub(in_flight);
        let mut plan = DispatchPlan { requests: Vec::new(), recheck_at: None };
        // Retries that wait for the budget take precedence over due jobs.
        self.dispatch_waiting_retries(state, free_slots, now, &mut plan);
        self.dispatch_due_jobs(state, free_slots, now, &mut plan);
        let next_due_at = state.due_jobs.first().map(|(due_at, _)| *due_at);
        plan.recheck_at = [next_due_at, plan.recheck_at].into_iter().flatten().min();
        plan
    }

    fn dispatch_waiting_retries(
        &self,
        state: &mut ClientState,
        free_slots: usize,
        now: Instant,
        plan: &mut DispatchPlan,
    ) {
        while plan.requests.len() < free_slots && !state.awaiting_budget.is_empty() {
            let chosen = state.endpoints.choose(now);
            let affordable = chosen.and_then(|endpoint| state.budget.try_spend(now).map(|()| endpoint));
            let endpoint = match affordable {
                Ok(endpoint) => endpoint,
                Err(wait) => {
                    plan.recheck_at = Some(now + wait.max(MIN_RECHECK_DELAY));
                    return;
                }
            };
            let Some(id) = state.awaiting_budget.pop_front() else { return };
            let unfinished = state.jobs.get_mut(&id).filter(|tracked| tracked.job.due_at().is_some());
            let Some(tracked) = unfinished else { continue };
            increment(&self.counters.retries);
            tracked.dispatch = DispatchState::InFlight;
            let action = tracked.job.action();
            plan.requests.push(PendingRequest { id, action, endpoint: Some(endpoint), is_retry: true });
        }
    }

    fn dispatch_due_jobs(&self, state: &mut ClientState, free_slots: usize, now: Instant, plan: &mut DispatchPlan) {
        while plan.requests.len() < free_slots {
            let due = state.due_jobs.first().cloned().filter(|(due_at, _)| *due_at <= now);
            let Some(entry) = due else { return };
            state.due_jobs.remove(&entry);
            let (_, id) = entry;
            self.dispatch_due_job(state, id, now, plan);
        }
    }

    /// Adds the action of a due job to the plan.  A job that can't be dispatched
    /// yet is postponed, or queued for its dependency or the retry budget.
    fn dispatch_due_job(&self, state: &mut ClientState, id: Name, now: Instant, plan: &mut DispatchPlan) {
        let dependency = state.first_unaccepted_dependency(&id);
        let Some(tracked) = state.jobs.get_mut(&id) else { return };
        if let Some(dependency) = dependency {
            tracked.dispatch = DispatchState::AwaitingDependency;
            state.awaiting_dependency.entry(dependency).or_default().push(id);
            return;
        }
        let (action, is_retry) = (tracked.job.action(), tracked.job.is_retry());
        if action == Action::RecordAnswer {
            tracked.dispatch = DispatchState::InFlight;
            plan.requests.push(PendingRequest { id, action, endpoint: None, is_retry });
            return;
        }
        let endpoint = match state.endpoints.choose(now) {
            Ok(endpoint) => endpoint,
            Err(wait) => {
                tracked.job.postpone(now + wait.max(MIN_RECHECK_DELAY));
                state.schedule(&id);
                return;
            }
        };
        if let Err(wait) = self.charge_attempt(&mut state.budget, !state.awaiting_budget.is_empty(), is_retry, now) {
            increment(&self.counters.delayed_retries);
            tracked.dispatch = DispatchState::AwaitingBudget;
            state.awaiting_budget.push_back(id);
            let recheck_at = now + wait.max(MIN_RECHECK_DELAY);
            plan.recheck_at = Some(plan.recheck_at.map_or(recheck_at, |earlier| earlier.min(recheck_at)));
            return;
        }
        tracked.dispatch = DispatchState::InFlight;
        plan.requests.push(PendingRequest { id, action, endpoint: Some(endpoint), is_retry });
    }

    /// Charges an attempt to the retry budget.
    ///
    /// # Errors
    ///
    /// Returns how long a retry has to wait if the budget does not allow it now.
    fn charge_attempt(
        &self,
        budget: &mut RetryBudget,
        has_waiting_retries: bool,
        is_retry: bool,
        now: Instant,
    ) -> Result<(), Duration> {
        if !is_retry {
            budget.record_first_attempt(now);
            return Ok(());
        }
        if self.settings.retry_budget {
            // Retries are served in the order of their arrival.
            if has_waiting_retries {
                return Err(MIN_RECHECK_DELAY);
            }
            budget.try_spend(now)?;
        }
        increment(&self.counters.retries);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
