//! The leader's transactions.

use std::time::{Duration, Instant};

use crate::commit::CommitBatch;
use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::{count, TimedOperation};
use crate::state_store::client::{key, StoreError, TxnOutcome};

/// How long to wait for something to store before looking again.
const IDLE_WAIT: Duration = Duration::from_millis(500);

/// How long to wait after a conflict.
const CONFLICT_WAIT: Duration = Duration::from_millis(20);

impl Controller {
    /// Stores what has changed, one transaction at a time, until another controller has taken
    /// the leader key.
    pub(super) async fn run_commits(&self, lease: LeaderLease) -> StepDownReason {
        let mut limits = self.store.txn_limits;
        loop {
            let batch = self.lock().cluster.as_mut().and_then(|c| c.next_commit(lease.revision, &limits));
            let Some(batch) = batch else {
                self.commit_wake.wait(IDLE_WAIT).await;
                continue;
            };
            let started_at = Instant::now();
            let outcome = self.store.txn(&batch.txn).await;
            let now = Instant::now();
            self.telemetry.record(TimedOperation::Commit, now - started_at);
            if !matches!(outcome, Ok(TxnOutcome::Done(_))) {
                count(&self.telemetry.counters.commits_failed);
            }
            match outcome {
                Ok(TxnOutcome::Done(revision)) => self.apply_committed(batch, revision, now),
                Ok(TxnOutcome::Conflict(keys)) if keys.iter().any(|k| k == key::LEADER) => {
                    return StepDownReason::LeaderKeyChanged;
                }
                Ok(TxnOutcome::Conflict(keys)) => self.resolve_conflict(batch, keys, now).await,
                Err(error) => {
                    tracing::debug!(%error, "transaction failed");
                    self.restore_batch(batch);
                    if matches!(error, StoreError::Refused(400)) {
                        // larger than the store accepts, whatever the settings say: the same
                        // transaction would be refused again
                        limits = limits.reduced();
                        let shard_bytes = limits.shard_bytes;
                        tracing::error!(shard_bytes, "transaction too large, shard size reduced");
                    }
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    /// Applies a batch that was stored at a revision.
    fn apply_committed(&self, batch: CommitBatch, revision: u64, now: Instant) {
        let ended = self.lock().cluster.as_mut().map(|c| c.apply_commit(batch, revision, now));
        for (id, outcome) in ended.unwrap_or_default() {
            tracing::debug!(job = %id, outcome = outcome.as_str(), "job ended");
            self.apply_stored_outcome(&id, outcome, revision, now);
        }
        self.commit_done.notify(usize::MAX);
        self.command_wake.wake();
        self.placement_wake.wake();
    }

    /// Returns a batch that was not stored, and reconciles the keys in conflict with the store.
    async fn resolve_conflict(&self, batch: CommitBatch, keys: Vec<String>, now: Instant) {
        tracing::info!(?keys, "transaction in conflict");
        self.restore_batch(batch);
        for key in keys {
            match self.store.get(&key).await {
                Ok(item) => {
                    if let Some(cluster) = self.lock().cluster.as_mut() {
                        cluster.reconcile_key(&key, item.as_ref(), now);
                    }
                }
                Err(error) => tracing::debug!(key, %error, "cannot read a key in conflict"),
            }
        }
        smol::Timer::after(CONFLICT_WAIT).await;
    }

    fn restore_batch(&self, batch: CommitBatch) {
        if let Some(cluster) = self.lock().cluster.as_mut() {
            cluster.restore_uncommitted(batch);
        }
    }
}
