//! Cancellation of jobs by users.

use std::time::Instant;

use coralnotch_core::user_request::{cancellations_txn, Reply, RequestKind};

use crate::controller::Controller;
use crate::http::Response;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::{StoreError, TxnOutcome};
use crate::users::lookup::outcome_key;
use crate::users::request::SUBMIT_TIMEOUT;

impl Controller {
    /// Replies to a user's cancellation of a job.
    pub(crate) async fn cancel_job(&self, id: &str) -> Response {
        if !is_valid_job_id(id) {
            return Response::error(404, "no such job");
        }
        let id: Name = id.into();
        let reply = with_timeout(SUBMIT_TIMEOUT, self.resolve_request(&id, RequestKind::Cancel, None)).await;
        self.reply_to_user(&id, reply.unwrap_or(Reply::RetryLater("the state service does not answer")))
    }

    /// Stores the cancellation of a job, together with those of as many of its dependents as fit into
    /// one transaction; the leader stores the rest.  Returns the job's stored outcome, which is
    /// another one if the job has ended before.
    ///
    /// # Errors
    ///
    /// Returns an error if the state service does not carry out the transaction, or if the outcome
    /// of a job that has ended before cannot be read.
    pub(super) async fn store_cancellation(&self, id: &str) -> Result<JobOutcome, StoreError> {
        let mut cancelled = vec![Name::from(id)];
        cancelled.extend(self.lock().jobs.dependents(id, self.store.txn_limits.writes.saturating_sub(1)));
        let key = outcome_key(id);
        loop {
            let txn = cancellations_txn(&cancelled);
            match self.store.txn(&txn).await? {
                TxnOutcome::Done(revision) => {
                    let now = Instant::now();
                    for id in &cancelled {
                        self.apply_stored_outcome(id, JobOutcome::Cancelled, revision, now);
                    }
                    return Ok(JobOutcome::Cancelled);
                }
                // a dependent has an outcome already: cancel only this job
                TxnOutcome::Conflict(keys) if cancelled.len() > 1 && !keys.contains(&key) => cancelled.truncate(1),
                // the job has an outcome already: return the stored one
                TxnOutcome::Conflict(_) => return self.read_outcome(&key).await.ok_or(StoreError::Refused(503)),
            }
        }
    }
}
