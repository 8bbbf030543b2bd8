//! Sends a request, or writes an answer to the journal.

use std::time::SystemTime;

use coralnotch_wire::http;
use coralnotch_wire::model::Name;
use tracing::{debug, warn};

use super::dispatch::PendingRequest;
use super::shared::Shared;
use crate::counters::increment;
use crate::model::{Action, Outcome};
use crate::outcome::outcome;

/// What came of it.
pub(super) struct CompletedRequest {
    pub(super) request: PendingRequest,
    pub(super) outcome: Result<Outcome, bool>,
}

impl Shared {
    pub(super) async fn perform(&self, request: PendingRequest) -> CompletedRequest {
        let Some(to) = request.endpoint else {
            let outcome = Err(self.record_answer(&request.id).await);
            return CompletedRequest { request, outcome };
        };
        let (method, target, body) = {
            let i = self.lock();
            let spec = i.jobs.get(&request.id).map(|t| t.job.spec().clone());
            match (request.action, spec) {
                (Action::Submit, Some(s)) => ("POST", "/v2/runs".to_owned(), Some(http::encode(&*s))),
                (Action::Cancel, _) => ("POST", format!("/v2/runs/{}/withdraw", request.id), None),
                _ => ("GET", format!("/v2/runs/{}", request.id), None),
            }
        };
        increment(&self.counters.requests);
        let got = self.http.exchange(to, method, &target, body.as_deref(), self.settings.request_timeout).await;
        if let Err(e) = &got {
            debug!(id = %request.id, action = ?request.action, %to, error = %e, "no answer");
        }
        let outcome = outcome(request.action, got, &request.id, SystemTime::now());
        CompletedRequest { request, outcome: Ok(outcome) }
    }

    /// Writes a job's final answer to the journal; whether it is there.
    async fn record_answer(&self, id: &Name) -> bool {
        let answer = self.lock().jobs.get(id).and_then(|t| t.job.unrecorded_answer().cloned());
        let Some(answer) = answer else { return false };
        let Some(journal) = self.journal.clone() else { return true };
        let key = id.clone();
        match smol::unblock(move || journal.update(&[key], |r| r.answer = Some(answer.clone()))).await {
            Ok(()) => true,
            Err(e) => {
                increment(&self.counters.journal_failures);
                warn!(%id, error = %e, "the journal can't be written; tried again");
                false
            }
        }
    }
}
