//! Submission of jobs.  A submission is idempotent by the id of its job.  Submissions that wait at
//! the same time are stored in one compare-and-swap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::user_request::{submissions_txn, RequestKind, StoreResult, Submission};

use crate::controller::Controller;
use crate::http::{self, Response};
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::{key, StoreError, Txn, TxnOutcome, Write};
use crate::users::lookup::outcome_key;
use crate::users::queues::SubmissionRequest;
use crate::users::request::SUBMIT_TIMEOUT;

/// Size in bytes from which on a batch takes no further submissions.
const MAX_BATCH_BYTES: usize = 20_000;
/// Maximum number of retries of a batch that the state service's rate limit refuses.
const MAX_RETRIES: u32 = 4;
/// Pause before each retry.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

impl Controller {
    /// Replies to a user's submission of a job.
    pub(crate) async fn submit_job(&self, body: &[u8]) -> Response {
        let spec: JobSpec = match http::decode(body) {
            Ok(spec) => spec,
            Err(e) => return Response::error(400, &e.to_string()),
        };
        if let Some(why) = spec.validation_error() {
            return Response::error(400, why);
        }
        let id = spec.id.clone();
        let reply = self.resolve_request(&id, RequestKind::Submit, Some(Arc::new(spec))).await;
        self.reply_to_user(&id, reply)
    }

    /// Queues a submission to be stored with the next batch, and waits for the result.
    pub(super) async fn store_submission(&self, spec: Arc<JobSpec>, depends_on_cancelled_job: bool) -> StoreResult {
        let (reply, result) = smol::channel::bounded(1);
        let request = SubmissionRequest { spec, depends_on_cancelled_job, reply };
        if self.user_requests.submissions.sender.try_send(request).is_err() {
            return StoreResult::Unknown;
        }
        with_timeout(SUBMIT_TIMEOUT, result.recv()).await.and_then(Result::ok).unwrap_or(StoreResult::Unknown)
    }

    /// Stores queued submissions in batches, for as long as the controller runs.
    pub async fn run_submissions(&self) {
        let queue = &self.user_requests.submissions.receiver;
        while let Ok(first) = queue.recv().await {
            self.store_submissions(self.collect_submissions(first)).await;
        }
    }

    /// Returns a batch of the first submission and the queued ones that fit into the same
    /// transaction.
    fn collect_submissions(&self, first: SubmissionRequest) -> Vec<SubmissionRequest> {
        // a submission that needs a cancelled job is stored together with its own cancellation
        let writes_of = |s: &SubmissionRequest| 1 + usize::from(s.depends_on_cancelled_job);
        let mut writes = writes_of(&first);
        let mut batch = vec![first];
        let mut bytes = 0;
        while writes + 1 < self.store.txn_limits.writes && bytes < MAX_BATCH_BYTES {
            let Ok(next) = self.user_requests.submissions.receiver.try_recv() else { break };
            bytes += http::encode(&*next.spec).len();
            writes += writes_of(&next);
            batch.push(next);
        }
        batch
    }

    /// Stores a batch of submissions, and replies to each of them.  Submissions that turn out to be
    /// stored already are removed, and the rest of the batch is tried again.
    async fn store_submissions(&self, mut batch: Vec<SubmissionRequest>) {
        let mut retries = 0;
        while !batch.is_empty() {
            let txn = submissions_txn(
                batch
                    .iter()
                    .map(|s| Submission { spec: &s.spec, depends_on_cancelled_job: s.depends_on_cancelled_job }),
            );
            let sent_at = Instant::now();
            match self.store.txn(&txn).await {
                Ok(TxnOutcome::Done(revision)) => {
                    self.apply_stored_submissions(std::mem::take(&mut batch), &txn, revision, sent_at);
                }
                Ok(TxnOutcome::Conflict(keys)) => reply_already_stored(&mut batch, &keys),
                Err(StoreError::Refused(429)) if retries < MAX_RETRIES => {
                    retries += 1;
                    smol::Timer::after(RETRY_PAUSE).await;
                }
                Err(e) => {
                    tracing::debug!(error = %e, "failed to store a batch of submissions");
                    for submission in batch.drain(..) {
                        let _ = submission.reply.try_send(StoreResult::Unknown);
                    }
                }
            }
        }
    }

    /// Applies a batch that was sent at `sent_at` and stored at `revision`, and replies to each
    /// submission.
    fn apply_stored_submissions(&self, batch: Vec<SubmissionRequest>, txn: &Txn, revision: u64, sent_at: Instant) {
        let now = Instant::now();
        let slow = now.duration_since(sent_at) > self.policy.renew;
        for submission in batch {
            let id = submission.spec.id.clone();
            self.apply_own_job(submission.spec, revision, now);
            // look for the cancellation in the stored writes rather than in the submission: the batch
            // may contain the same id twice, once from before the needed job was known as cancelled
            let outcome_key = outcome_key(&id);
            if txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == outcome_key)) {
                self.apply_stored_outcome(&id, JobOutcome::Cancelled, revision, now);
            }
            let _ = submission.reply.try_send(StoreResult::New { slow });
        }
    }
}

/// Removes the submissions whose records exist already and replies to them.  An earlier attempt of
/// this controller may have stored such a record.
fn reply_already_stored(batch: &mut Vec<SubmissionRequest>, conflicting_keys: &[String]) {
    for conflicting in conflicting_keys {
        let Some(id) = conflicting.strip_prefix(key::JOB) else { continue };
        for submission in batch.extract_if(.., |s| *s.spec.id == *id) {
            let _ = submission.reply.try_send(StoreResult::AlreadyStored);
        }
    }
}
