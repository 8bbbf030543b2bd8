//! Carries out the actions of jobs: sends a request to an endpoint, or writes
//! a final answer to the journal.

use std::net::SocketAddr;
use std::time::SystemTime;

use coralnotch_wire::http;
use coralnotch_wire::model::Name;
use tracing::{debug, warn};

use super::dispatch::PendingRequest;
use super::shared::Shared;
use crate::counters::increment;
use crate::model::{Action, Outcome};
use crate::outcome::classify_response;

/// An action that was attempted, with its result.
pub(super) struct CompletedRequest {
    pub(super) request: PendingRequest,
    pub(super) result: RequestResult,
}

/// The result of an action.
pub(super) enum RequestResult {
    /// A request was sent; the outcome tells what the response, or its absence,
    /// means for the job.
    Classified(Outcome),
    /// The final answer is in the journal, or there is no journal.
    AnswerRecorded,
    /// The final answer could not be written to the journal.
    RecordingFailed,
}

impl Shared {
    /// Carries out the action of a request once.
    pub(super) async fn perform(&self, request: PendingRequest) -> CompletedRequest {
        let result = match request.endpoint {
            Some(endpoint) => RequestResult::Classified(self.send(&request, endpoint).await),
            None if self.record_answer(&request.id).await => RequestResult::AnswerRecorded,
            None => RequestResult::RecordingFailed,
        };
        CompletedRequest { request, result }
    }

    /// Sends a request once and classifies its outcome.
    async fn send(&self, request: &PendingRequest, endpoint: SocketAddr) -> Outcome {
        let PendingRequest { id, action, .. } = request;
        let (method, target, body) = self.encode_request(id, *action);
        increment(&self.counters.requests);
        let timeout = self.settings.request_timeout;
        let response = self.http.exchange(endpoint, method, &target, body.as_deref(), timeout).await;
        if let Err(error) = &response {
            debug!(%id, ?action, to = %endpoint, %error, "request failed without a usable response");
        }
        classify_response(*action, response, id, SystemTime::now())
    }

    /// Returns the HTTP method, target and body of a request.
    fn encode_request(&self, id: &Name, action: Action) -> (&'static str, String, Option<Vec<u8>>) {
        let state = self.lock();
        let spec = state.jobs.get(id).map(|tracked| tracked.job.spec().clone());
        match (action, spec) {
            (Action::Submit, Some(spec)) => ("POST", "/v2/runs".to_owned(), Some(http::encode(&*spec))),
            (Action::Cancel, _) => ("POST", format!("/v2/runs/{id}/withdraw"), None),
            _ => ("GET", format!("/v2/runs/{id}"), None),
        }
    }

    /// Writes a job's final answer to the journal, if there is one.  Reports
    /// whether the answer is recorded.
    async fn record_answer(&self, id: &Name) -> bool {
        let unrecorded = self.lock().jobs.get(id).and_then(|tracked| tracked.job.unrecorded_answer().cloned());
        let Some(answer) = unrecorded else { return false };
        let Some(journal) = self.journal.clone() else { return true };
        let job_id = id.clone();
        let write = move || journal.update(&[job_id], |record| record.answer = Some(answer.clone()));
        match smol::unblock(write).await {
            Ok(()) => true,
            Err(error) => {
                increment(&self.counters.journal_failures);
                warn!(%id, %error, "cannot write the final answer to the journal; retrying");
                false
            }
        }
    }
}
