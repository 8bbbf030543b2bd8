//! Applies the result of a request to the job, the endpoint's circuit breaker
//! and the retry budget.

use std::net::SocketAddr;
use std::time::Instant;

use tracing::info;

use super::dispatch::PendingRequest;
use super::shared::Shared;
use super::state::{ClientState, DispatchState};
use super::transport::{CompletedRequest, RequestResult};
use crate::counters::increment;
use crate::model::{Change, Outcome, Transition};

impl Shared {
    /// Applies the result of a request, updates the counters and notifies
    /// waiting callers.
    ///
    /// The caller writes acceptances to the journal, in batches of many jobs.
    pub(super) fn apply_completion(&self, completed: CompletedRequest, now: Instant) -> Transition {
        let Some((transition, change)) = self.update_job(completed, now) else { return Transition::Unchanged };
        if transition == Transition::Accepted {
            increment(&self.counters.accepted);
            info!(id = %change.id, "job accepted");
        }
        if transition == Transition::Unchanged && change.answer.is_none() {
            return transition;
        }
        if let Some(answer) = &change.answer {
            increment(&self.counters.answers);
            info!(id = %change.id, ?answer, "final answer recorded");
            self.job_ended.notify(usize::MAX);
        }
        // An answer is published only once it is recorded.
        if transition != Transition::Ended {
            // When the buffer is full, the oldest change is dropped, and readers
            // that have not read it get an overflow error.
            let _ = self.change_sender.try_broadcast(change);
        }
        transition
    }

    /// Updates the endpoint, the retry budget and the job under one lock.
    /// Returns `None` if the job's answer was acknowledged in the meantime.
    fn update_job(&self, completed: CompletedRequest, now: Instant) -> Option<(Transition, Change)> {
        let CompletedRequest { request, result } = completed;
        let mut guard = self.lock();
        let state = &mut *guard;
        if let (Some(endpoint), RequestResult::Classified(outcome)) = (request.endpoint, &result) {
            self.update_endpoint(state, &request, endpoint, outcome, now);
        }
        let jitter = state.rng.f64();
        let tracked = state.jobs.get_mut(&request.id)?;
        tracked.dispatch = DispatchState::Scheduled;
        let (job, timing) = (&mut tracked.job, &self.settings.timing);
        let transition = match result {
            RequestResult::Classified(outcome) => job.apply_outcome(request.action, outcome, timing, jitter, now),
            RequestResult::AnswerRecorded => {
                job.mark_recorded();
                Transition::Unchanged
            }
            RequestResult::RecordingFailed => {
                job.retry_recording(timing, jitter, now);
                Transition::Unchanged
            }
        };
        let change = Change { id: request.id, progress: job.progress(), answer: job.answer().cloned() };
        state.schedule(&change.id);
        if matches!(transition, Transition::Accepted | Transition::Ended) {
            state.release_dependents(&change.id);
        }
        Some((transition, change))
    }

    /// Updates the endpoint's circuit breaker and the retry budget according to
    /// the outcome of a request.
    fn update_endpoint(
        &self,
        state: &mut ClientState,
        request: &PendingRequest,
        endpoint: SocketAddr,
        outcome: &Outcome,
        now: Instant,
    ) {
        match outcome {
            Outcome::State(_) | Outcome::Refused { .. } | Outcome::UnknownJob => {
                state.endpoints.record_success(endpoint);
                if request.is_retry {
                    state.budget.record_success(state.awaiting_budget.len(), now);
                }
                return;
            }
            Outcome::RetryLater(_) => increment(&self.counters.retry_later),
            Outcome::Indeterminate => increment(&self.counters.indeterminate),
        }
        state.endpoints.record_failure(endpoint, now);
        state.budget.record_failure(now);
    }
}
