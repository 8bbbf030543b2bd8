//! The loop in which the leader commits changes of its state to the state service.

use std::time::{Duration, Instant};

use crate::commit::CommitBatch;
use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::{increment, TimedOperation};
use crate::state_store::client::{key, StoreError, TxnOutcome};

/// Longest wait for a wake-up before the loop checks again for changes to commit.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before the next transaction after a conflict.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Controller {
    /// Commits changes to the state service, one transaction at a time.  Returns when the leader
    /// key no longer has the revision of this lease.
    pub(super) async fn run_commits(&self, lease: LeaderLease) -> StepDownReason {
        let mut limits = self.store.txn_limits;
        loop {
            let batch = self.lock().cluster.as_mut().and_then(|c| c.next_commit(lease.revision, &limits));
            let Some(batch) = batch else {
                self.commit_wake.wait(IDLE_POLL_INTERVAL).await;
                continue;
            };
            let started_at = Instant::now();
            let outcome = self.store.txn(&batch.txn).await;
            let now = Instant::now();
            self.telemetry.record(TimedOperation::Commit, now - started_at);
            if !matches!(outcome, Ok(TxnOutcome::Done(_))) {
                increment(&self.telemetry.counters.commits_failed);
            }
            match outcome {
                Ok(TxnOutcome::Done(revision)) => self.apply_committed(batch, revision, now),
                Ok(TxnOutcome::Conflict(keys)) if keys.iter().any(|k| k == key::LEADER) => {
                    return StepDownReason::LeaderKeyChanged;
                }
                Ok(TxnOutcome::Conflict(keys)) => self.resolve_conflict(batch, keys, now).await,
                Err(error) => {
                    tracing::debug!(%error, "transaction failed, its changes will be committed again");
                    self.restore_batch(batch);
                    if matches!(error, StoreError::Refused(400)) {
                        // The transaction is larger than the store accepts, whatever the settings
                        // say.  An unchanged retry would be refused again.
                        limits = limits.reduced();
                        let shard_bytes = limits.shard_bytes;
                        tracing::error!(
                            shard_bytes,
                            "state service refused the transaction as too large, shard size limit reduced"
                        );
                    }
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    /// Applies a batch that was committed at `revision` to the state of the cluster.
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

    /// Puts a batch that was not committed back, and reconciles the conflicting keys with their
    /// stored values.
    async fn resolve_conflict(&self, batch: CommitBatch, keys: Vec<String>, now: Instant) {
        tracing::info!(?keys, "transaction conflict, reading the conflicting keys");
        self.restore_batch(batch);
        for key in keys {
            match self.store.get(&key).await {
                Ok(item) => {
                    if let Some(cluster) = self.lock().cluster.as_mut() {
                        cluster.reconcile_key(&key, item.as_ref(), now);
                    }
                }
                Err(error) => tracing::debug!(key, %error, "cannot read a conflicting key from the state service"),
            }
        }
        smol::Timer::after(CONFLICT_RETRY_DELAY).await;
    }

    fn restore_batch(&self, batch: CommitBatch) {
        if let Some(cluster) = self.lock().cluster.as_mut() {
            cluster.restore_uncommitted(batch);
        }
    }
}
