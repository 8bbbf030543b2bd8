//! Cancellations, by users.

use std::time::Instant;

use coralnotch_core::user_request::{cancellations_txn, Reply, RequestKind};

use super::request::SUBMIT_TIMEOUT;
use crate::controller::Controller;
use crate::http::Response;
use crate::model::*;
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, StoreError, TxnOutcome};

impl Controller {
    pub(crate) async fn cancel_job(&self, id: &str) -> Response {
        if !valid_id(id) {
            return Response::refuse(404, "no such job");
        }
        let id: Name = id.into();
        let word = timed(SUBMIT_TIMEOUT, self.resolve_request(&id, RequestKind::Cancel, None)).await;
        self.reply_to_user(&id, word.unwrap_or(Reply::RetryLater("the state service does not answer")))
    }

    /// Stores the cancellation of a job; what became of it.
    pub(super) async fn store_cancellation(&self, id: &str) -> Result<JobOutcome, StoreError> {
        // with it as many of those that need it as fit; the leader has the rest
        let mut ends = vec![Name::from(id)];
        ends.extend(self.lock().jobs.dependents(id, self.store.most.writes.saturating_sub(1)));
        let path = format!("{}{id}", key::OUTCOME);
        loop {
            let txn = cancellations_txn(&ends);
            match self.store.txn(&txn).await? {
                TxnOutcome::Done(stamp) => {
                    let now = Instant::now();
                    ends.iter().for_each(|id| self.apply_stored_outcome(id, JobOutcome::Cancelled, stamp, now));
                    return Ok(JobOutcome::Cancelled);
                }
                // one of the others has ended by itself: this one alone then
                TxnOutcome::Conflict(keys) if ends.len() > 1 && !keys.contains(&path) => ends.truncate(1),
                // whoever loses the race says what the store says
                TxnOutcome::Conflict(_) => return self.read_outcome(&path).await.ok_or(StoreError::Refused(503)),
            }
        }
    }
}
