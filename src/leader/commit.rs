//! A leader's writes to the store, and what it asks the store after.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::model::*;
use crate::operators::telemetry::{count, TimedOperation};
use crate::state_store::client::{key, read_value, KeyValue, StoreError, TxnOutcome};

/// Needed jobs that the store is asked about at once.
const MOST_ASKED: usize = 10_000;

/// So many are asked about one by one; of more the pages are read.
const FEW_ASKED: usize = 32;

impl Controller {
    /// Stores what there is to store, one transaction at a time.
    pub(super) async fn run_commits(&self, a: LeaderLease) -> StepDownReason {
        let mut most = self.store.most;
        loop {
            let batch = self.lock().cluster.as_mut().and_then(|c| c.next_commit(a.revision, &most));
            let Some(batch) = batch else {
                self.commit_wake.wait(Duration::from_millis(500)).await;
                continue;
            };
            let began = Instant::now();
            let outcome = self.store.txn(&batch.txn).await;
            let now = Instant::now();
            self.telemetry.record(TimedOperation::Commit, now - began);
            if !matches!(outcome, Ok(TxnOutcome::Done(_))) {
                count(&self.telemetry.counters.commits_failed);
            }
            match outcome {
                Ok(TxnOutcome::Done(revision)) => {
                    let ended = self.lock().cluster.as_mut().map(|c| c.apply_commit(batch, revision, now));
                    for (id, outcome) in ended.unwrap_or_default() {
                        tracing::debug!("{id} is {}", outcome.as_str());
                        self.apply_stored_outcome(&id, outcome, revision, now);
                    }
                    self.commit_done.notify(usize::MAX);
                    self.command_wake.wake();
                    self.placement_wake.wake();
                }
                Ok(TxnOutcome::Conflict(keys)) => {
                    if keys.iter().any(|k| k == key::LEADER) {
                        return StepDownReason::LeaderKeyChanged;
                    }
                    tracing::info!("transaction in conflict over {keys:?}");
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.restore_uncommitted(batch);
                    }
                    for k in keys {
                        match self.store.get(&k).await {
                            Ok(item) => {
                                if let Some(c) = self.lock().cluster.as_mut() {
                                    c.reconcile_key(&k, item.as_ref(), now);
                                }
                            }
                            Err(e) => tracing::debug!("cannot read {k}: {e}"),
                        }
                    }
                    smol::Timer::after(Duration::from_millis(20)).await;
                }
                Err(e) => {
                    tracing::debug!("transaction: {e}");
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.restore_uncommitted(batch);
                    }
                    if matches!(e, StoreError::Refused(400)) {
                        // larger than the service takes, whatever the settings
                        // say: the same again would be refused again
                        most = most.reduced();
                        tracing::error!("a transaction is too large: from now on pages of {} bytes", most.shard_bytes);
                    }
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    /// Asks the store after needed jobs of which nothing is known here: they
    /// ended before this controller began, or too long ago to be kept.  Only what
    /// waits for them waits meanwhile.
    pub(super) async fn run_outcome_fetches(&self) -> StepDownReason {
        loop {
            let now = Instant::now();
            let ids = {
                let mut i = self.lock();
                let asked = |c: &mut Cluster| c.dependency.outcomes_to_fetch(MOST_ASKED, self.policy.renew, now);
                i.cluster.as_mut().map(asked).unwrap_or_default()
            };
            if ids.is_empty() {
                self.outcome_fetch_wake.wait(self.policy.renew / 2).await;
                continue;
            }
            match self.fetch_outcomes(ids).await {
                Ok(ends) => ends
                    .into_iter()
                    .for_each(|(id, outcome, at)| self.apply_stored_outcome(&id, outcome, at, Instant::now())),
                Err(e) => {
                    tracing::debug!("ends of needed jobs: {e}");
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    /// The ends of these jobs with their stamps, as far as they have one: a few one by one, many
    /// from the pages of all ends.
    async fn fetch_outcomes(&self, mut ids: Vec<Name>) -> Result<Vec<(Name, JobOutcome, u64)>, StoreError> {
        let read = |i: KeyValue| {
            let outcome = read_value::<OutcomeRecord>(&i.key, i.value)?.outcome;
            Some((Name::from(i.key.strip_prefix(key::OUTCOME)?), outcome, i.revision))
        };
        let mut ends = Vec::new();
        if ids.len() <= FEW_ASKED {
            for id in ids {
                self.throttle_lookup(1.0).await;
                ends.extend(self.store.get(&format!("{}{id}", key::OUTCOME)).await?.and_then(read));
            }
            return Ok(ends);
        }
        ids.sort();
        let wanted: HashSet<Name> = ids.iter().cloned().collect();
        let mut since = String::new();
        while let Some(last) = ids.last().filter(|l| since.as_str() < format!("{}{l}", key::OUTCOME).as_str()) {
            tracing::debug!("ends of {} needed jobs up to {last}, from {since}", ids.len());
            let page = self.store.list_page(key::OUTCOME, &since).await?;
            let Some(row) = page.items.last() else { break };
            since.clone_from(&row.key);
            ends.extend(page.items.into_iter().filter_map(read).filter(|e| wanted.contains(&e.0)));
            if !page.truncated {
                break;
            }
        }
        Ok(ends)
    }
}
