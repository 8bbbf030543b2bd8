//! The watch of the state store, which keeps a controller's view current.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::feature_gate::FeatureGates;

use crate::controller::{Controller, ObservedLeader};
use crate::leadership::lease::LeaderRecord;
use crate::model::*;
use crate::runtime::wake_up::pause;
use crate::state_store::client::{key, read_value, StoreError, WatchEvent};
use crate::state_store::initial_read::UnsupportedLayout;

impl Controller {
    /// Keeps the view of the store current for as long as the controller runs.  Returns only if
    /// the store holds the layout of another version.
    pub async fn run_watch(&self) -> Result<Infallible, UnsupportedLayout> {
        self.check_layout().await?;
        loop {
            match self.catch_up().await {
                Ok(revision) => {
                    self.mark_synced(revision);
                    self.watch_until_expired(revision).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "cannot read the state store yet");
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
        }
    }

    /// Applies changes after a revision until the store no longer keeps them.
    async fn watch_until_expired(&self, mut since: u64) {
        // an answer proves that the view was current when the request was sent: it must not take
        // as long as leases are renewed on it.  In trials with a third of this, a store in
        // trouble left more requests without an answer
        let block = self.policy.ttl.mul_f64(1.5);
        loop {
            let sent = Instant::now();
            match self.store.watch(key::WATCHED, since, block).await {
                Ok(answer) => {
                    since = self.apply_changes(answer.events, answer.revision.max(since));
                    pause(self.record_watch_answer(sent, since)).await;
                }
                Err(StoreError::WatchExpired) => return,
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
        }
    }

    /// The watch has shown all changes up to a revision; returns how long to wait before the
    /// next request.
    fn record_watch_answer(&self, sent: Instant, revision: u64) -> Duration {
        let mut state = self.lock();
        state.revision = state.revision.max(revision);
        state.cancellation_view.watch_answered(sent);
        match state.lease {
            Some(_) => Duration::ZERO,
            None => self.policy.watch_gap,
        }
    }

    fn mark_synced(&self, revision: u64) {
        let mut state = self.lock();
        state.revision = state.revision.max(revision);
        if !state.synced {
            let unfinished_jobs = state.jobs.len();
            tracing::info!(revision, unfinished_jobs, "caught up with the state store");
        }
        state.synced = true;
        self.election_wake.wake();
    }

    /// Applies all changes up to a revision, in their order and without an await between them,
    /// as the job index's floor is the last one's; returns the revision.
    pub(super) fn apply_changes(&self, mut events: Vec<WatchEvent>, revision: u64) -> u64 {
        // a job and its outcome may be of one transaction: an outcome that came first would find
        // no job, and the job would never end here
        let is_outcome = |event: &WatchEvent| event.set.as_ref().is_some_and(|path| path.starts_with(key::OUTCOME));
        events.sort_by_key(|event| (event.revision, is_outcome(event)));
        for event in events {
            self.apply_event(event);
        }
        self.lock().jobs.raise_floor(revision);
        revision
    }

    /// Applies one change.
    pub(super) fn apply_event(&self, event: WatchEvent) {
        match (event.set, event.delete, event.value) {
            (Some(path), _, Some(value)) => self.apply_write(&path, value, event.revision),
            (_, Some(path), _) if path == key::LEADER => {
                tracing::info!("leader key deleted");
                self.lock().leader = None;
                self.election_wake.wake();
            }
            _ => {}
        }
    }

    /// Applies a value written at a revision; other keys, and values that cannot be read, are
    /// skipped.
    fn apply_write(&self, path: &str, value: rmpv::Value, revision: u64) {
        let now = Instant::now();
        if path.starts_with(key::JOB) {
            if let Some(spec) = read_value::<JobSpec>(path, value) {
                self.apply_watched_job(Arc::new(spec), revision, now);
            }
        } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
            if let Some(record) = read_value::<OutcomeRecord>(path, value) {
                self.apply_stored_outcome(id, record.outcome, revision, now);
            }
        } else if path == key::LEADER {
            if let Some(record) = read_value::<LeaderRecord>(path, value) {
                self.observe_leader(record, revision);
            }
        } else if path == key::GATES {
            if let Some(gates) = read_value::<FeatureGates>(path, value) {
                self.apply_feature_gates(&gates, revision, now);
            }
        } else if path == key::TYPES {
            if let Some(types) = read_value::<Vec<MachineType>>(path, value) {
                self.apply_stored_types(types);
            }
        }
    }

    fn observe_leader(&self, record: LeaderRecord, revision: u64) {
        tracing::info!(leader = %record.name, term = record.term, "leader observed");
        self.lock().leader = Some(ObservedLeader { record, revision });
        self.election_wake.wake();
    }

    /// Stored machine types serve only until the cloud has been asked.
    fn apply_stored_types(&self, types: Vec<MachineType>) {
        let mut state = self.lock();
        if state.machine_types.is_empty() {
            state.machine_types = types;
        }
    }
}
