//! Drives a user's request to its answer, as `core::user_request` decides it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::user_request::{NextAction, Reply, RequestKind, StateView, UserRequest};

use crate::controller::Controller;
use crate::http::Response;
use crate::model::*;
use crate::runtime::wake_up::timed;

/// A user waits 5 s for a submission; an answer after this is none.
pub(super) const SUBMIT_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long an answer waits for the siblings to know of a withdrawal.
const PEER_NOTICE_TIMEOUT: Duration = Duration::from_millis(1200);
/// A user waits 2 s for a query.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(1700);

impl Controller {
    /// Answers a request as `core/answers` has it: asks what that wants asked.
    pub(super) async fn resolve_request(&self, id: &Name, wish: RequestKind, spec: Option<Arc<JobSpec>>) -> Reply {
        let (mut q, began, mut told_by) = (UserRequest::new(id.clone(), wish), Instant::now(), None);
        loop {
            let told = self.cancellation_known.listen();
            let now = Instant::now();
            match (self.next_action(id, &mut q, now), &spec) {
                (NextAction::Reply(word), _) => return word,
                (NextAction::LookUp, _) => q.apply_lookup(self.look_up_job(id).await),
                (NextAction::Confirm, _) => q.apply_confirmation(self.confirm_unfinished(id).await),
                (NextAction::Cancel, _) => q.apply_cancellation(self.store_cancellation(id).await.ok()),
                (NextAction::ReadOutcomes(ids), _) => {
                    q.apply_outcomes_read(began.elapsed() < QUERY_TIMEOUT && self.read_outcomes(ids).await)
                }
                (NextAction::Validate, Some(spec)) => q.apply_validation(self.validate_submission(spec).await),
                (NextAction::Store { needs_cancelled_job }, Some(spec)) => {
                    let outcome = self.store_submission(spec.clone(), needs_cancelled_job).await;
                    q.apply_store_result(outcome, &mut self.lock().jobs);
                }
                (NextAction::Validate | NextAction::Store { .. }, None) => return Reply::NotFound,
                (NextAction::NotifyPeers, _) => {
                    self.cancellation_to_notify.notify(usize::MAX);
                    let limit = *told_by.get_or_insert(now + PEER_NOTICE_TIMEOUT);
                    let Some(left) = limit.checked_duration_since(now) else {
                        return Reply::RetryLater("not every controller knows of it yet");
                    };
                    timed(left.min(self.policy.renew / 4), told).await;
                }
            }
        }
    }

    /// The next step of a request, by what is known now.
    fn next_action(&self, id: &Name, q: &mut UserRequest, now: Instant) -> NextAction {
        let mut guard = self.lock();
        let i = &mut *guard;
        let (whole, clear) = (self.cancellations_complete_as_of(i), i.has_no_task_of(id, now));
        q.next_action(&mut StateView {
            jobs: &mut i.jobs,
            cancellations: &i.cancellations,
            notices: &mut i.cancellation_notices,
            cancellations_complete_as_of: whole,
            notices_required: i.notices_enabled_at.is_some(),
            no_task_left: clear,
            policy: &self.policy,
            now,
        })
    }

    /// The answer to a user.
    pub(super) fn reply_to_user(&self, id: &Name, word: Reply) -> Response {
        match word {
            Reply::Accepted => {
                Response::new(201, &JobState { id: id.clone(), stage: "pending".into(), done: 0, running: 0 })
            }
            Reply::Unfinished => Response::new(200, &self.job_state(id, None)),
            Reply::Ended(outcome) => Response::new(200, &self.job_state(id, Some(outcome))),
            Reply::NotFound => Response::refuse(404, "no such job"),
            Reply::Unsatisfiable(why) => Response::refuse(422, why),
            Reply::RetryLater(why) => Response::refuse(503, why),
        }
    }
}
