//! Submissions: stored together, many in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::user_request::{submissions_txn, RequestKind, StoreResult};

use super::request::SUBMIT_TIMEOUT;
use crate::controller::Controller;
use crate::http::{self, Response};
use crate::model::*;
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, StoreError, TxnOutcome, Write};

impl Controller {
    pub(crate) async fn submit_job(&self, body: &[u8]) -> Response {
        let spec: JobSpec = match http::decode(body) {
            Ok(s) => s,
            Err(e) => return Response::refuse(400, &e.to_string()),
        };
        if let Some(why) = spec.validation_error() {
            return Response::refuse(400, why);
        }
        let id = spec.id.clone();
        let word = self.resolve_request(&id, RequestKind::Submit, Some(Arc::new(spec))).await;
        self.reply_to_user(&id, word)
    }

    /// Hands a submission over to be stored, with those that wait meanwhile.
    pub(super) async fn store_submission(&self, spec: Arc<JobSpec>, needs_cancelled_job: bool) -> StoreResult {
        let (reply, answer) = smol::channel::bounded(1);
        if self.user_requests.submissions.0.try_send((spec, needs_cancelled_job, reply)).is_err() {
            return StoreResult::Unknown;
        }
        timed(SUBMIT_TIMEOUT, answer.recv()).await.and_then(Result::ok).unwrap_or(StoreResult::Unknown)
    }

    /// Stores submissions, those that wait together in one transaction.
    pub async fn run_submissions(&self) {
        let queue = &self.user_requests.submissions.1;
        while let Ok(first) = queue.recv().await {
            let mut batch = vec![first];
            let mut bytes = 0;
            // one that needs a cancelled job is stored with its own end
            let changes = |l: &[(Arc<JobSpec>, bool, _)]| l.iter().map(|s| 1 + usize::from(s.1)).sum::<usize>();
            while changes(&batch) + 1 < self.store.most.writes && bytes < 20_000 {
                let Ok(next) = queue.try_recv() else { break };
                bytes += http::encode(&*next.0).len();
                batch.push(next);
            }
            let mut tries = 0;
            while !batch.is_empty() {
                let txn =
                    submissions_txn(batch.iter().map(|(spec, needs_cancelled_job, _)| (&**spec, *needs_cancelled_job)));
                let sent = Instant::now();
                let outcome = self.store.txn(&txn).await;
                let now = Instant::now();
                match outcome {
                    Ok(TxnOutcome::Done(stamp)) => {
                        let slow = now.duration_since(sent) > self.policy.renew;
                        for (spec, _, reply) in batch.drain(..) {
                            let id = spec.id.clone();
                            self.apply_own_job(spec, stamp, now);
                            // by what was stored: the same id may have come twice, and one
                            // of the two before the end of what it needs was known
                            let end = format!("{}{id}", key::OUTCOME);
                            if txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == end)) {
                                self.apply_stored_outcome(&id, JobOutcome::Cancelled, stamp, now);
                            }
                            let _ = reply.try_send(StoreResult::New { slow });
                        }
                    }
                    Ok(TxnOutcome::Conflict(failed)) => {
                        // those exist already, perhaps by a try of ours
                        for k in &failed {
                            for (_, _, reply) in batch.extract_if(.., |(s, ..)| *k == format!("{}{}", key::JOB, s.id)) {
                                let _ = reply.try_send(StoreResult::AlreadyStored);
                            }
                        }
                    }
                    Err(StoreError::Refused(429)) if tries < 4 => {
                        tries += 1;
                        smol::Timer::after(Duration::from_millis(150)).await;
                    }
                    Err(e) => {
                        tracing::debug!("submissions: {e}");
                        for (_, _, reply) in batch.drain(..) {
                            let _ = reply.try_send(StoreResult::Unknown);
                        }
                    }
                }
            }
        }
    }
}
