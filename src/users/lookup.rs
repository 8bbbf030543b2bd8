//! Lookups in the state service of jobs that this controller does not know.

use std::sync::Arc;
use std::time::Instant;

use coralnotch_core::lookup::{Lookup, LookupResult};

use crate::controller::Controller;
use crate::job_index::{EndedJob, OpenJob};
use crate::model::*;
use crate::operators::telemetry::increment;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::{decode_value, key, StoreError, TxnOutcome};
use crate::users::queues::LookupRequest;
use crate::users::request::QUERY_TIMEOUT;

/// Returns the key of a job's record.
pub(super) fn job_key(id: &str) -> String {
    format!("{}{id}", key::JOB)
}

/// Returns the key of a job's outcome.
pub(super) fn outcome_key(id: &str) -> String {
    format!("{}{id}", key::OUTCOME)
}

/// A job as it is stored in the state service.
pub(crate) struct JobRecord {
    pub(crate) job: OpenJob,
    /// The outcome of the job; `None` if it has not ended.
    pub(crate) outcome: Option<JobOutcome>,
}

impl Controller {
    /// Reads a job and its outcome from the state service; `None` if the job was never accepted.  An
    /// ended job is kept in memory for later requests.  An unfinished one is not, because the watch
    /// delivers it.
    ///
    /// # Errors
    ///
    /// Returns an error if the state service does not answer, or if a record cannot be decoded.
    pub(crate) async fn read_stored_job(&self, id: &str) -> Result<Option<JobRecord>, StoreError> {
        let path = job_key(id);
        // read the outcome after the job: it may be stored between the two reads
        let Some(job_item) = self.store.get(&path).await? else { return Ok(None) };
        let outcome_item = self.store.get(&outcome_key(id)).await?;
        let spec = decode_value::<JobSpec>(&path, job_item.value).ok_or(StoreError::Unreadable)?;
        let job = OpenJob { spec: Arc::new(spec), revision: job_item.revision };
        let Some(item) = outcome_item else { return Ok(Some(JobRecord { job, outcome: None })) };
        let record = decode_value::<OutcomeRecord>(&item.key, item.value).ok_or(StoreError::Unreadable)?;
        let outcome = record.outcome;
        let mut state = self.lock();
        if outcome == JobOutcome::Cancelled {
            state.cancellations.record(item.revision, id, Instant::now());
        }
        state.jobs.insert_ended(EndedJob { spec: job.spec.clone(), revision: job.revision, outcome });
        Ok(Some(JobRecord { job, outcome: Some(outcome) }))
    }

    /// Looks up an id.  The state service is asked after the call of this function, so the result is
    /// not older than the call.  Returns `None` if too many lookups wait, or if the state service
    /// gives no conclusive answer in time.
    pub(super) async fn look_up_job(&self, id: &Name) -> Option<LookupResult> {
        let (reply, result) = smol::channel::bounded(1);
        let request = LookupRequest { id: id.clone(), reply };
        if self.user_requests.lookups.sender.try_send(request).is_err() {
            increment(&self.telemetry.counters.lookups_refused);
            return None;
        }
        with_timeout(QUERY_TIMEOUT, result.recv()).await?.ok()?
    }

    /// Waits until the rate limit of lookups permits this number of requests to the state service.
    pub(crate) async fn throttle_lookup(&self, requests: f64) {
        self.user_requests.lookup_limiter.acquire(requests).await;
    }

    /// Sends the transactions of a lookup until the lookup is complete.  Returns `false` if the state
    /// service does not answer, or if a conflict names no key that the lookup did not know to exist.
    pub(super) async fn run_lookup(&self, lookup: &mut Lookup) -> bool {
        while let Some(txn) = lookup.txn() {
            self.throttle_lookup(1.0).await;
            match self.store.txn(&txn).await {
                Ok(TxnOutcome::Done(_)) => lookup.mark_complete(),
                Ok(TxnOutcome::Conflict(keys)) if lookup.apply_conflict(&keys) => {}
                Ok(TxnOutcome::Conflict(_)) | Err(_) => return false,
            }
        }
        true
    }

    /// Looks up queued ids in batches, for as long as the controller runs.  Users request such ids for
    /// jobs that ended long ago, and for jobs that nobody has submitted.
    pub async fn run_lookups(&self) {
        let queue = &self.user_requests.lookups;
        while let Ok(first) = queue.receiver.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            queue.fill_batch(&mut batch, self.store.txn_limits.preconditions / 2);
            // skip requests whose users have stopped waiting
            batch.retain(|request| !request.reply.is_closed());
            if !batch.is_empty() {
                self.look_up_batch(batch).await;
            }
        }
    }

    /// Looks up a batch of ids, and replies to each request.
    async fn look_up_batch(&self, mut batch: Vec<LookupRequest>) {
        let mut lookup = Lookup::new(batch.iter().map(|request| &request.id));
        let is_complete = self.run_lookup(&mut lookup).await;
        for id in lookup.ended() {
            self.throttle_lookup(2.0).await;
            let result = match self.read_stored_job(&id).await {
                Ok(Some(JobRecord { outcome: Some(outcome), .. })) => Some(LookupResult::Ended(outcome)),
                _ => None,
            };
            for request in batch.extract_if(.., |r| r.id == id) {
                let _ = request.reply.try_send(result.clone());
            }
        }
        for request in batch {
            let result = if is_complete { lookup.found(&request.id) } else { None };
            let _ = request.reply.try_send(result);
        }
    }

    /// Reads the outcome at a key and applies it.  Returns `None` if there is none or it cannot be
    /// read.
    pub(super) async fn read_outcome(&self, path: &str) -> Option<JobOutcome> {
        let item = self.store.get(path).await.ok()??;
        let outcome = decode_value::<OutcomeRecord>(path, item.value)?.outcome;
        if let Some(id) = path.strip_prefix(key::OUTCOME) {
            self.apply_stored_outcome(id, outcome, item.revision, Instant::now());
        }
        Some(outcome)
    }
}
