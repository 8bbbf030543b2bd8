//! Jobs that this controller does not know, looked up in the state service.

use std::sync::Arc;
use std::time::Instant;

use coralnotch_core::lookup::{Lookup, LookupResult};

use crate::controller::Controller;
use crate::job_index::{EndedJob, OpenJob};
use crate::model::*;
use crate::operators::telemetry::count;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::{key, read_value, StoreError, TxnOutcome};
use crate::users::queues::LookupRequest;
use crate::users::request::QUERY_TIMEOUT;

/// Key of a job's record.
pub(super) fn job_key(id: &str) -> String {
    format!("{}{id}", key::JOB)
}

/// Key of a job's outcome.
pub(super) fn outcome_key(id: &str) -> String {
    format!("{}{id}", key::OUTCOME)
}

/// A job as stored.
pub(crate) struct JobRecord {
    /// The job.
    pub(crate) job: OpenJob,
    /// Its outcome, if it has ended.
    pub(crate) outcome: Option<JobOutcome>,
}

impl Controller {
    /// Reads a job and its outcome; `None` if it was never accepted.  An ended job is kept for the
    /// next request, and an unfinished one comes by the watch.
    pub(crate) async fn read_stored_job(&self, id: &str) -> Result<Option<JobRecord>, StoreError> {
        let path = job_key(id);
        // the outcome last: it may be stored in between
        let Some(job_item) = self.store.get(&path).await? else { return Ok(None) };
        let outcome_item = self.store.get(&outcome_key(id)).await?;
        let spec = read_value::<JobSpec>(&path, job_item.value).ok_or(StoreError::Unreadable)?;
        let job = OpenJob { spec: Arc::new(spec), revision: job_item.revision };
        let Some(item) = outcome_item else { return Ok(Some(JobRecord { job, outcome: None })) };
        let record = read_value::<OutcomeRecord>(&item.key, item.value).ok_or(StoreError::Unreadable)?;
        let outcome = record.outcome;
        let mut state = self.lock();
        if outcome == JobOutcome::Cancelled {
            state.cancellations.record(item.revision, id, Instant::now());
        }
        state.jobs.insert_ended(EndedJob { spec: job.spec.clone(), revision: job.revision, outcome });
        Ok(Some(JobRecord { job, outcome: Some(outcome) }))
    }

    /// Looks up an id, asked from now on; `None` if the state service cannot say now.
    pub(super) async fn look_up_job(&self, id: &Name) -> Option<LookupResult> {
        let (reply, result) = smol::channel::bounded(1);
        let request = LookupRequest { id: id.clone(), reply };
        if self.user_requests.lookups.sender.try_send(request).is_err() {
            count(&self.telemetry.counters.lookups_refused);
            return None;
        }
        with_timeout(QUERY_TIMEOUT, result.recv()).await?.ok()?
    }

    pub(crate) async fn throttle_lookup(&self, calls: f64) {
        self.user_requests.lookup_calls.acquire(calls).await;
    }

    /// Sends a lookup's transactions until it is settled; false if the state service cannot say now.
    pub(super) async fn run_lookup(&self, lookup: &mut Lookup) -> bool {
        while let Some(txn) = lookup.txn() {
            self.throttle_lookup(1.0).await;
            match self.store.txn(&txn).await {
                Ok(TxnOutcome::Done(_)) => lookup.mark_settled(),
                Ok(TxnOutcome::Conflict(keys)) if lookup.apply_conflict(&keys) => {}
                Ok(TxnOutcome::Conflict(_)) | Err(_) => return false,
            }
        }
        true
    }

    /// Looks up queued ids in batches, for as long as the controller runs: users ask about jobs that
    /// ended long ago, and about ids that nobody submitted.
    pub async fn run_lookups(&self) {
        let queue = &self.user_requests.lookups;
        while let Ok(first) = queue.receiver.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            queue.fill_batch(&mut batch, self.store.txn_limits.preconditions / 2);
            // a request whose user has given up costs nothing
            batch.retain(|request| !request.reply.is_closed());
            if !batch.is_empty() {
                self.look_up_batch(batch).await;
            }
        }
    }

    /// Looks up a batch of ids, and replies to each.
    async fn look_up_batch(&self, mut batch: Vec<LookupRequest>) {
        let mut lookup = Lookup::new(batch.iter().map(|request| &request.id));
        let is_settled = self.run_lookup(&mut lookup).await;
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
            let result = if is_settled { lookup.found(&request.id) } else { None };
            let _ = request.reply.try_send(result);
        }
    }

    /// Reads the outcome at a key, and applies it; `None` if there is none or it cannot be read now.
    pub(super) async fn read_outcome(&self, path: &str) -> Option<JobOutcome> {
        let item = self.store.get(path).await.ok()??;
        let outcome = read_value::<OutcomeRecord>(path, item.value)?.outcome;
        if let Some(id) = path.strip_prefix(key::OUTCOME) {
            self.apply_stored_outcome(id, outcome, item.revision, Instant::now());
        }
        Some(outcome)
    }
}
