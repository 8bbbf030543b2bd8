//! Execution of a user's request up to its reply: carries out the actions on which
//! [`coralnotch_core::user_request`] decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::user_request::{NextAction, Reply, RequestKind, StateView, UserRequest};

use crate::controller::Controller;
use crate::http::Response;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;

/// Time limit for a submission or a cancellation.  A user waits 5 s and does not receive a later reply.
pub(super) const SUBMIT_TIMEOUT: Duration = Duration::from_millis(4000);
/// Time limit for a query.  A user waits 2 s.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(1700);
/// How long a reply is delayed until all peers know of a cancellation.
const PEER_NOTICE_TIMEOUT: Duration = Duration::from_millis(1200);

impl Controller {
    /// Carries out a request about one job and returns the reply.  `spec` is the submitted job for
    /// [`RequestKind::Submit`], otherwise `None`.
    pub(super) async fn resolve_request(&self, id: &Name, kind: RequestKind, spec: Option<Arc<JobSpec>>) -> Reply {
        let mut request = UserRequest::new(id.clone(), kind);
        let started_at = Instant::now();
        let mut notice_deadline = None;
        loop {
            // register before the state is read, so that a notice between the two is not missed
            let cancellation_known = self.cancellation_known.listen();
            let now = Instant::now();
            match (self.next_action(id, &mut request, now), &spec) {
                (NextAction::Reply(reply), _) => return reply,
                (NextAction::LookUp, _) => request.apply_lookup(self.look_up_job(id).await),
                (NextAction::Confirm, _) => request.apply_confirmation(self.confirm_unfinished(id).await),
                (NextAction::Cancel, _) => request.apply_cancellation(self.store_cancellation(id).await.ok()),
                (NextAction::ReadOutcomes(ids), _) => {
                    let all_read = started_at.elapsed() < QUERY_TIMEOUT && self.read_outcomes(ids).await;
                    request.apply_outcomes_read(all_read);
                }
                (NextAction::Validate, Some(spec)) => {
                    request.apply_validation(self.validate_submission(spec).await);
                }
                (NextAction::Store { depends_on_cancelled_job }, Some(spec)) => {
                    let result = self.store_submission(spec.clone(), depends_on_cancelled_job).await;
                    request.apply_store_result(result, &mut self.lock().jobs);
                }
                (NextAction::Validate | NextAction::Store { .. }, None) => return Reply::NotFound,
                (NextAction::NotifyPeers, _) => {
                    self.cancellation_to_notify.notify(usize::MAX);
                    let deadline = *notice_deadline.get_or_insert(now + PEER_NOTICE_TIMEOUT);
                    let Some(remaining) = deadline.checked_duration_since(now) else {
                        return Reply::RetryLater("not every controller knows of it yet");
                    };
                    with_timeout(remaining.min(self.policy.renew / 4), cancellation_known).await;
                }
            }
        }
    }

    /// Decides the next action of a request from the state at `now`.
    fn next_action(&self, id: &Name, request: &mut UserRequest, now: Instant) -> NextAction {
        let mut guard = self.lock();
        let state = &mut *guard;
        let cancellations_complete_as_of = self.cancellations_complete_as_of(state);
        let has_no_task = state.has_no_task_of(id, now);
        request.next_action(&mut StateView {
            jobs: &mut state.jobs,
            cancellations: &state.cancellations,
            notices: &mut state.cancellation_notices,
            cancellations_complete_as_of,
            notices_required: state.notices_enabled_at.is_some(),
            has_no_task,
            policy: &self.policy,
            now,
        })
    }

    /// Returns the HTTP response for a reply about a job.
    pub(super) fn reply_to_user(&self, id: &Name, reply: Reply) -> Response {
        match reply {
            Reply::Accepted => {
                Response::new(201, &JobState { id: id.clone(), stage: "pending".into(), done: 0, running: 0 })
            }
            Reply::Unfinished => Response::new(200, &self.job_state(id, None)),
            Reply::Ended(outcome) => Response::new(200, &self.job_state(id, Some(outcome))),
            Reply::NotFound => Response::error(404, "no such job"),
            Reply::Unsatisfiable(why) => Response::error(422, why),
            Reply::RetryLater(why) => Response::error(503, why),
        }
    }
}
