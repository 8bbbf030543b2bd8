//! Confirmation by the state service that jobs have no outcome.  Jobs that wait for confirmation at
//! the same time share one compare-and-swap.

use std::time::Duration;

use coralnotch_core::user_request::Confirmation;

use crate::controller::Controller;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::{key, StoreError, Txn, TxnOutcome};
use crate::users::lookup::outcome_key;
use crate::users::queues::ConfirmationRequest;
use crate::users::request::QUERY_TIMEOUT;

/// Maximum number of retries of a batch that the state service's rate limit refuses.
const MAX_RETRIES: u32 = 3;
/// Pause before each retry.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Controller {
    /// Requests the state service to confirm that a job has no outcome.  The state service is asked
    /// after the call of this function, so the confirmation is not older than the call.
    pub(super) async fn confirm_unfinished(&self, id: &Name) -> Confirmation {
        let (reply, confirmation) = smol::channel::bounded(1);
        let request = ConfirmationRequest { id: id.clone(), reply };
        if self.user_requests.confirmations.sender.try_send(request).is_err() {
            return Confirmation::Unavailable;
        }
        with_timeout(QUERY_TIMEOUT, confirmation.recv()).await.and_then(Result::ok).unwrap_or(Confirmation::Unavailable)
    }

    /// Confirms the queued jobs in batches, for as long as the controller runs.
    pub async fn run_confirmations(&self) {
        let queue = &self.user_requests.confirmations;
        while let Ok(first) = queue.receiver.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            queue.fill_batch(&mut batch, self.store.txn_limits.preconditions);
            self.confirm_batch(batch).await;
        }
    }

    /// Confirms a batch of jobs, and replies to each request.  Jobs that turn out to have an outcome
    /// are removed, and the rest of the batch is tried again.
    async fn confirm_batch(&self, mut batch: Vec<ConfirmationRequest>) {
        let mut retries = 0;
        while !batch.is_empty() {
            let mut txn = Txn::default();
            for request in &batch {
                txn.add_precondition(outcome_key(&request.id), 0);
            }
            match self.store.txn(&txn).await {
                Ok(TxnOutcome::Done(_)) => reply_to_all(&mut batch, Confirmation::Unfinished),
                Ok(TxnOutcome::Conflict(keys)) => self.confirm_conflicts(&mut batch, keys).await,
                Err(StoreError::Refused(429)) if retries < MAX_RETRIES => {
                    retries += 1;
                    smol::Timer::after(RETRY_PAUSE).await;
                }
                Err(e) => {
                    tracing::debug!(error = %e, "failed to confirm that jobs are unfinished");
                    reply_to_all(&mut batch, Confirmation::Unavailable);
                }
            }
        }
    }

    /// Reads the outcomes at the keys that were in conflict, and replies to the requests for these
    /// jobs.
    async fn confirm_conflicts(&self, batch: &mut Vec<ConfirmationRequest>, conflicting_keys: Vec<String>) {
        for path in conflicting_keys {
            let confirmation = self.read_outcome(&path).await.map_or(Confirmation::Unavailable, Confirmation::Ended);
            let Some(id) = path.strip_prefix(key::OUTCOME) else { continue };
            for request in batch.extract_if(.., |r| *r.id == *id) {
                let _ = request.reply.try_send(confirmation);
            }
        }
    }
}

fn reply_to_all(batch: &mut Vec<ConfirmationRequest>, confirmation: Confirmation) {
    for request in batch.drain(..) {
        let _ = request.reply.try_send(confirmation);
    }
}
