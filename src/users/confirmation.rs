//! Confirmations by the store that jobs have no end.

use std::time::Duration;

use super::request::QUERY_TIMEOUT;
use crate::controller::Controller;
use crate::model::*;
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, StoreError, Txn, TxnOutcome};

impl Controller {
    /// The job's end, or none by the store's word; `None` if it can't be told now.
    pub(super) async fn confirm_unfinished(&self, id: &Name) -> Option<Option<JobOutcome>> {
        let (reply, answer) = smol::channel::bounded(1);
        self.user_requests.confirmations.0.try_send((id.clone(), reply)).ok()?;
        timed(QUERY_TIMEOUT, answer.recv()).await?.ok()?
    }

    /// Confirms that jobs have no end, those that wait together at once.
    pub async fn run_confirmations(&self) {
        let queue = &self.user_requests.confirmations.1;
        while let Ok(first) = queue.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            while batch.len() < self.store.most.preconditions {
                let Ok(next) = queue.try_recv() else { break };
                batch.push(next);
            }
            let mut tries = 0;
            while !batch.is_empty() {
                let mut txn = Txn::default();
                for (id, _) in &batch {
                    txn.require(format!("{}{id}", key::OUTCOME), 0);
                }
                match self.store.txn(&txn).await {
                    Ok(TxnOutcome::Done(_)) => {
                        for (_, reply) in batch.drain(..) {
                            let _ = reply.try_send(Some(None));
                        }
                    }
                    Ok(TxnOutcome::Conflict(failed)) => {
                        for k in failed {
                            let outcome = self.read_outcome(&k).await;
                            for (_, reply) in batch.extract_if(.., |(id, _)| k == format!("{}{id}", key::OUTCOME)) {
                                let _ = reply.try_send(outcome.map(Some));
                            }
                        }
                    }
                    Err(StoreError::Refused(429)) if tries < 3 => {
                        tries += 1;
                        smol::Timer::after(Duration::from_millis(100)).await;
                    }
                    Err(e) => {
                        tracing::debug!("query: {e}");
                        for (_, reply) in batch.drain(..) {
                            let _ = reply.try_send(None);
                        }
                    }
                }
            }
        }
    }
}
