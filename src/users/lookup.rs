//! Jobs that this controller does not know, looked up in the store.

use std::sync::Arc;
use std::time::Instant;

use coralnotch_core::lookup::{Lookup, LookupResult};

use super::request::QUERY_TIMEOUT;
use crate::controller::Controller;
use crate::job_index::{EndedJob, OpenJob};
use crate::model::*;
use crate::operators::telemetry::count;
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, read_value, StoreError, TxnOutcome};

impl Controller {
    /// A job and its end as stored, or nothing if it was never accepted.  What
    /// is over is kept for the next question; what is not comes by the watch.
    pub(crate) async fn read_job(&self, id: &str) -> Result<Option<(OpenJob, Option<JobOutcome>)>, StoreError> {
        let (job, end) = (format!("{}{id}", key::JOB), format!("{}{id}", key::OUTCOME));
        // the end last: it may come in between
        let Some(item) = self.store.get(&job).await? else { return Ok(None) };
        let end = self.store.get(&end).await?;
        let spec = read_value::<JobSpec>(&job, item.value).ok_or(StoreError::Unreadable)?;
        let open = OpenJob { spec: Arc::new(spec), revision: item.revision };
        let outcome = match end {
            None => None,
            Some(e) => {
                Some((read_value::<OutcomeRecord>(&e.key, e.value).ok_or(StoreError::Unreadable)?.outcome, e.revision))
            }
        };
        if let Some((outcome, at)) = outcome {
            let mut i = self.lock();
            if outcome == JobOutcome::Cancelled {
                i.cancellations.record(at, id, Instant::now());
            }
            i.jobs.insert_ended(EndedJob { spec: open.spec.clone(), revision: open.revision, outcome });
        }
        Ok(Some((open, outcome.map(|f| f.0))))
    }

    /// What the store says of an id, asked from now on; `None` if it can't be told now.
    pub(super) async fn look_up_job(&self, id: &Name) -> Option<LookupResult> {
        let (reply, answer) = smol::channel::bounded(1);
        if self.user_requests.lookups.0.try_send((id.clone(), reply)).is_err() {
            count(&self.telemetry.counters.lookups_refused);
            return None;
        }
        timed(QUERY_TIMEOUT, answer.recv()).await?.ok()?
    }

    pub(crate) async fn throttle_lookup(&self, calls: f64) {
        let wait = {
            let mut b = self.user_requests.lookup_calls.lock().unwrap_or_else(|e| e.into_inner());
            b.take(calls, Instant::now())
        };
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
    }

    /// Asks the store until all of these is known; false if it can't be told now.
    pub(super) async fn run_lookup(&self, asked: &mut Lookup) -> bool {
        while let Some(txn) = asked.txn() {
            self.throttle_lookup(1.0).await;
            match self.store.txn(&txn).await {
                Ok(TxnOutcome::Done(_)) => asked.mark_settled(),
                Ok(TxnOutcome::Conflict(keys)) if asked.apply_conflict(&keys) => {}
                Ok(TxnOutcome::Conflict(_)) | Err(_) => return false,
            }
        }
        true
    }

    /// Looks up ids that are not known here, those that wait together at once:
    /// users ask about jobs that are over for long, and about some that nobody
    /// submitted.
    pub async fn run_lookups(&self) {
        let queue = &self.user_requests.lookups.1;
        while let Ok(first) = queue.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            while batch.len() < self.store.most.preconditions / 2 {
                let Ok(next) = queue.try_recv() else { break };
                batch.push(next);
            }
            // who has given up gets no answer, and costs nothing
            batch.retain(|(_, reply)| !reply.is_closed());
            if batch.is_empty() {
                continue;
            }
            let mut asked = Lookup::new(batch.iter().map(|(id, _)| id));
            let failed = !self.run_lookup(&mut asked).await;
            for id in asked.ended() {
                self.throttle_lookup(2.0).await;
                let read = self.read_job(&id).await;
                let found = match read {
                    Ok(Some((_, Some(outcome)))) => Some(LookupResult::Ended(outcome)),
                    _ => None,
                };
                for (_, reply) in batch.extract_if(.., |(i, _)| *i == id) {
                    let _ = reply.try_send(found.clone());
                }
            }
            for (id, reply) in batch {
                let _ = reply.try_send(if failed { None } else { asked.found(&id) });
            }
        }
    }

    pub(super) async fn read_outcome(&self, path: &str) -> Option<JobOutcome> {
        let item = self.store.get(path).await.ok()??;
        let f = read_value::<OutcomeRecord>(path, item.value)?.outcome;
        if let Some(id) = path.strip_prefix(key::OUTCOME) {
            self.apply_stored_outcome(id, f, item.revision, Instant::now());
        }
        Some(f)
    }
}
