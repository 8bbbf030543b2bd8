//! The watch of the state service, which applies every change to a controller's view.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::feature_gate::FeatureGates;

use crate::controller::{Controller, ObservedLeader};
use crate::leadership::lease::LeaderRecord;
use crate::model::*;
use crate::runtime::wake_up::pause;
use crate::state_store::client::{decode_value, key, StoreError, WatchEvent};
use crate::state_store::initial_read::UnsupportedLayout;

impl Controller {
    /// Keeps the view of the state service current for as long as the controller runs: reads the
    /// store, then watches it, and reads it again whenever the watch expires.
    ///
    /// # Errors
    ///
    /// Returns only with an error, if the store holds the layout of an earlier version.
    pub async fn run_watch(&self) -> Result<Infallible, UnsupportedLayout> {
        self.check_layout().await?;
        loop {
            match self.catch_up().await {
                Ok(revision) => {
                    self.mark_synced(revision);
                    self.watch_until_expired(revision).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "initial read of the state service failed, retrying");
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
        }
    }

    /// Watches the store from a revision and applies the changes, until the store no longer has all
    /// of them.
    async fn watch_until_expired(&self, mut since: u64) {
        // A response proves that the view was current when the request was sent.  So it has to
        // arrive before a view of that age is too old to renew leases.  With a third of this time,
        // more requests got no response while the store was failing.
        let block = self.policy.ttl.mul_f64(1.5);
        loop {
            let sent_at = Instant::now();
            match self.store.watch(key::WATCHED, since, block).await {
                Ok(response) => {
                    since = self.apply_changes(response.events, response.revision.max(since));
                    pause(self.record_watch_response(sent_at, since)).await;
                }
                Err(StoreError::WatchExpired) => return,
                Err(error) => {
                    tracing::debug!(%error, "watch request failed, retrying");
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
        }
    }

    /// Records that the watch has shown all changes up to a revision, in response to a request sent
    /// at `sent_at`.  Returns how long to wait before the next request: a controller that does not
    /// lead waits `watch_gap`.
    fn record_watch_response(&self, sent_at: Instant, revision: u64) -> Duration {
        let mut state = self.lock();
        state.revision = state.revision.max(revision);
        state.cancellation_view.record_watch_response(sent_at);
        match state.lease {
            Some(_) => Duration::ZERO,
            None => self.policy.watch_gap,
        }
    }

    /// Records that the initial read is complete, so that this controller may campaign for
    /// leadership.
    fn mark_synced(&self, revision: u64) {
        let mut state = self.lock();
        state.revision = state.revision.max(revision);
        if !state.synced {
            let unfinished_jobs = state.jobs.len();
            tracing::info!(revision, unfinished_jobs, "initial read of the state service complete");
        }
        state.synced = true;
        self.election_wake.wake();
    }

    /// Applies all changes up to a revision in their order, and returns the revision.
    ///
    /// There is no await between the changes, so that no other task runs before the
    /// `covered_revision` of the job index is raised at the end.  Otherwise a late response to a
    /// submission could insert a job as unfinished again that one of the changes has ended and that
    /// the index has evicted since.
    pub(super) fn apply_changes(&self, mut events: Vec<WatchEvent>, revision: u64) -> u64 {
        // One transaction may write a job and its outcome.  An outcome that is applied first would
        // find no job, and the job would never end in this view.
        let is_outcome = |event: &WatchEvent| event.set_key.as_ref().is_some_and(|path| path.starts_with(key::OUTCOME));
        events.sort_by_key(|event| (event.revision, is_outcome(event)));
        for event in events {
            self.apply_event(event);
        }
        self.lock().jobs.raise_covered_revision(revision);
        revision
    }

    /// Applies one change.  Among deletions, only that of the leader key has an effect.
    pub(super) fn apply_event(&self, event: WatchEvent) {
        match (event.set_key, event.deleted_key, event.value) {
            (Some(path), _, Some(value)) => self.apply_write(&path, value, event.revision),
            (_, Some(path), _) if path == key::LEADER => {
                tracing::info!("leader key deleted from the state service");
                self.lock().leader = None;
                self.election_wake.wake();
            }
            _ => {}
        }
    }

    /// Applies a value written at a revision.  Other keys are ignored, as are values that cannot be
    /// decoded.
    fn apply_write(&self, path: &str, value: rmpv::Value, revision: u64) {
        let now = Instant::now();
        if path.starts_with(key::JOB) {
            if let Some(spec) = decode_value::<JobSpec>(path, value) {
                self.apply_watched_job(Arc::new(spec), revision, now);
            }
        } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
            if let Some(record) = decode_value::<OutcomeRecord>(path, value) {
                self.apply_stored_outcome(id, record.outcome, revision, now);
            }
        } else if path == key::LEADER {
            if let Some(record) = decode_value::<LeaderRecord>(path, value) {
                self.observe_leader(record, revision);
            }
        } else if path == key::FEATURE_GATES {
            if let Some(gates) = decode_value::<FeatureGates>(path, value) {
                self.apply_feature_gates(&gates, revision, now);
            }
        } else if path == key::TYPES {
            if let Some(types) = decode_value::<Vec<MachineType>>(path, value) {
                self.apply_stored_types(types);
            }
        }
    }

    /// Records the leader that the watch has shown.
    fn observe_leader(&self, record: LeaderRecord, revision: u64) {
        tracing::info!(leader = %record.name, term = record.term, "observed a new leader record");
        self.lock().leader = Some(ObservedLeader { record, revision });
        self.election_wake.wake();
    }

    /// Applies stored machine types unless there are any already, because those of the cloud are
    /// more recent.
    fn apply_stored_types(&self, types: Vec<MachineType>) {
        let mut state = self.lock();
        if state.machine_types.is_empty() {
            state.machine_types = types;
        }
    }
}
