//! Fetches the outcomes of jobs that other jobs depend on and that are not in memory.

use std::collections::HashSet;
use std::time::Instant;

use crate::cluster::Cluster;
use crate::controller::Controller;
use crate::leadership::step_down::StepDownReason;
use crate::model::*;
use crate::state_store::client::{decode_value, key, KeyValue, StoreError};

/// Most outcomes per fetch.
const MAX_OUTCOMES_PER_FETCH: usize = 10_000;

/// Up to this number of outcomes are read with one request each; for more, all outcomes are read
/// page by page.
const MAX_SINGLE_READS: usize = 32;

/// A job's outcome, and the revision at which it was stored.
struct StoredOutcome {
    id: Name,
    outcome: JobOutcome,
    revision: u64,
}

impl StoredOutcome {
    /// Decodes the outcome stored under an outcome key; `None` if it cannot be decoded.
    fn read(item: KeyValue) -> Option<StoredOutcome> {
        let outcome = decode_value::<OutcomeRecord>(&item.key, item.value)?.outcome;
        let id = Name::from(item.key.strip_prefix(key::OUTCOME)?);
        Some(StoredOutcome { id, outcome, revision: item.revision })
    }
}

fn outcome_key(id: &Name) -> String {
    format!("{}{id}", key::OUTCOME)
}

impl Controller {
    /// Fetches the outcomes of dependencies that are not in memory, because those jobs ended before
    /// this controller started or were evicted since.  Meanwhile only the jobs that depend on them
    /// wait.
    ///
    /// Never returns, so it never ends the term.
    pub(super) async fn run_outcome_fetches(&self) -> StepDownReason {
        loop {
            let ids = self.outcomes_to_fetch();
            if ids.is_empty() {
                self.outcome_fetch_wake.wait(self.policy.renew / 2).await;
                continue;
            }
            match self.fetch_outcomes(ids).await {
                Ok(outcomes) => {
                    for stored in outcomes {
                        self.apply_stored_outcome(&stored.id, stored.outcome, stored.revision, Instant::now());
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "cannot fetch outcomes of dependencies, retrying");
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    fn outcomes_to_fetch(&self) -> Vec<Name> {
        let now = Instant::now();
        let due = |c: &mut Cluster| c.dependencies.outcomes_to_fetch(MAX_OUTCOMES_PER_FETCH, self.policy.renew, now);
        self.lock().cluster.as_mut().map(due).unwrap_or_default()
    }

    /// Returns the outcomes of those of the jobs that have ended.
    async fn fetch_outcomes(&self, ids: Vec<Name>) -> Result<Vec<StoredOutcome>, StoreError> {
        if ids.len() > MAX_SINGLE_READS {
            return self.fetch_outcome_pages(ids).await;
        }
        let mut outcomes = Vec::new();
        for id in ids {
            self.throttle_lookup(1.0).await;
            outcomes.extend(self.store.get(&outcome_key(&id)).await?.and_then(StoredOutcome::read));
        }
        Ok(outcomes)
    }

    /// Reads the pages of all outcomes up to the last of the given jobs, and returns the outcomes
    /// of these jobs.
    async fn fetch_outcome_pages(&self, mut ids: Vec<Name>) -> Result<Vec<StoredOutcome>, StoreError> {
        ids.sort();
        let requested: HashSet<Name> = ids.iter().cloned().collect();
        let mut outcomes = Vec::new();
        let mut since = String::new();
        while let Some(last) = ids.last().filter(|last| since < outcome_key(last)) {
            tracing::debug!(jobs = ids.len(), %last, since, "fetching a page of outcomes of dependencies");
            let page = self.store.list_page(key::OUTCOME, &since).await?;
            let Some(last_item) = page.items.last() else { break };
            since.clone_from(&last_item.key);
            let stored = page.items.into_iter().filter_map(StoredOutcome::read);
            outcomes.extend(stored.filter(|stored| requested.contains(&stored.id)));
            if !page.truncated {
                break;
            }
        }
        Ok(outcomes)
    }
}
