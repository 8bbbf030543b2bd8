//! Takes in what came of a request.

use std::time::Instant;

use tracing::info;

use super::shared::Shared;
use super::transport::CompletedRequest;
use crate::counters::increment;
use crate::model::{Change, Outcome, Transition};

impl Shared {
    /// Takes in what came of an errand; what the journal should know is
    /// written by the caller.
    pub(super) fn apply_completion(&self, d: CompletedRequest, now: Instant) -> Transition {
        let mut guard = self.lock();
        let i = &mut *guard;
        let id = &d.request.id;
        if let (Some(to), Ok(o)) = (d.request.endpoint, &d.outcome) {
            match o {
                Outcome::State(_) | Outcome::Refused { .. } | Outcome::UnknownJob => {
                    i.endpoints.record_success(to);
                    if d.request.is_retry {
                        i.budget.record_success(i.awaiting_budget.len(), now);
                    }
                }
                Outcome::RetryLater(_) => {
                    increment(&self.counters.refused_for_now);
                    i.endpoints.record_failure(to, now);
                    i.budget.record_failure(now);
                }
                Outcome::Indeterminate => {
                    increment(&self.counters.in_doubt);
                    i.endpoints.record_failure(to, now);
                    i.budget.record_failure(now);
                }
            }
        }
        let jitter = i.rng.f64();
        let Some(t) = i.jobs.get_mut(id) else { return Transition::Unchanged };
        t.in_flight = false;
        let timing = &self.settings.timing;
        let changed = match d.outcome {
            Ok(o) => t.job.apply_outcome(d.request.action, o, timing, jitter, now),
            Err(ok) => {
                t.job.apply_record_result(ok, timing, jitter, now);
                Transition::Unchanged
            }
        };
        let change = Change { id: id.clone(), progress: t.job.progress(), answer: t.job.answer().cloned() };
        i.schedule(id, None);
        if matches!(changed, Transition::Accepted | Transition::Ended) {
            i.release_dependents(id);
        }
        drop(guard);
        match changed {
            Transition::Accepted => {
                increment(&self.counters.accepted);
                info!(id = %change.id, "accepted");
            }
            Transition::Unchanged if change.answer.is_none() => return changed,
            _ => {}
        }
        if let Some(a) = &change.answer {
            increment(&self.counters.answers);
            info!(id = %change.id, answer = ?a, "final answer");
            self.job_ended.notify(usize::MAX);
        }
        if changed != Transition::Ended {
            // full: the oldest goes, and its readers are told
            let _ = self.change_sender.try_broadcast(change);
        }
        changed
    }
}
