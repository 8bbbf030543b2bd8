//! The initial read of the state service, after which the watch continues.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::controller::Controller;
use crate::job_index::{InitialScan, ScanEvent};
use crate::model::Name;
use crate::state_store::client::{key, KeyValue, StoreError, WatchEvent};

/// The state service holds keys in the layout of an earlier version, which this version does not
/// support.  Two versions that use different layouts at the same time would run tasks twice.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error(
    "the state service holds the layout of an earlier version (keys under c1/): \
     finish its jobs with that version, or remove the keys, and start again"
)]
pub struct UnsupportedLayout;

impl Controller {
    /// Checks that the state service does not hold the layout of an earlier version.  Retries until
    /// the store responds.
    ///
    /// # Errors
    ///
    /// Returns [`UnsupportedLayout`] if the store holds such keys.
    pub(super) async fn check_layout(&self) -> Result<(), UnsupportedLayout> {
        loop {
            match self.store.has_keys(key::PREVIOUS_LAYOUT).await {
                Ok(true) => return Err(UnsupportedLayout),
                Ok(false) => return Ok(()),
                Err(error) => {
                    tracing::debug!(%error, "cannot check the layout of the state service, retrying");
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
        }
    }

    /// Reads the leader, the machine types, the feature gates and all unfinished jobs; returns the
    /// revision from which to watch.
    ///
    /// The read holds no more than the unfinished jobs and one page of each listing in memory,
    /// however many jobs have ended.
    ///
    /// # Errors
    ///
    /// Fails if one of the first three records or the shards cannot be read, or with
    /// [`StoreError::WatchExpired`] if the store has dropped changes that the read has not applied
    /// yet.  The caller starts the read again.
    pub(super) async fn catch_up(&self) -> Result<u64, StoreError> {
        let is_first = !self.lock().synced;
        let sent_at = Instant::now();
        let revision = self.read_single_records(sent_at).await?;
        let started_jobs = match is_first {
            true => self.list_started_jobs().await?,
            false => HashSet::new(),
        };
        let revision = self.scan_jobs(InitialScan::new(started_jobs), revision).await?;
        self.lock().cancellation_view.record_watch_response(sent_at);
        Ok(revision)
    }

    /// Reads the leader, the machine types and the feature gates; returns the revision at which the
    /// leader was read.  `sent_at` is when the initial read began.
    async fn read_single_records(&self, sent_at: Instant) -> Result<u64, StoreError> {
        let leader = self.store.list_page(key::LEADER, "").await?;
        let revision = leader.revision;
        {
            let mut state = self.lock();
            state.jobs.raise_covered_revision(revision);
            state.cancellations.begin_watch(revision, sent_at);
            if leader.items.is_empty() {
                state.leader = None;
            }
        }
        leader.items.into_iter().for_each(|item| self.apply_item(item));
        self.store.get(key::TYPES).await?.into_iter().for_each(|item| self.apply_item(item));
        self.store.get(key::FEATURE_GATES).await?.into_iter().for_each(|item| self.apply_item(item));
        Ok(revision)
    }

    /// Applies a key and its value like an event of the watch.
    fn apply_item(&self, item: KeyValue) {
        let (set_key, value) = (Some(item.key), Some(item.value));
        self.apply_event(WatchEvent { set_key, deleted_key: None, value, revision: item.revision });
    }

    /// Returns the jobs that shards refer to as started.  Some of them have ended while their tasks
    /// may still run.  If the initial read did not keep these, this controller would have to read
    /// them one by one when it becomes leader.
    async fn list_started_jobs(&self) -> Result<HashSet<Name>, StoreError> {
        let shards = self.store.list(key::SHARD).await?;
        Ok(shards.iter().flat_map(crate::commit::started_jobs_of_shard).collect())
    }

    /// Reads all jobs page by page; returns the revision up to which changes were applied
    /// meanwhile.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::WatchExpired`] if the store no longer has the changes since
    /// `revision`.
    async fn scan_jobs(&self, mut scan: InitialScan, mut revision: u64) -> Result<u64, StoreError> {
        let mut watched_at = Instant::now();
        while let Some(request) = scan.next_page() {
            match self.store.list_page(request.prefix, &request.after_key).await {
                Ok(page) => scan.add_page(request.prefix, page.items, page.truncated),
                // Only this page is read again, so that a long read completes although single
                // requests fail.
                Err(error) => {
                    tracing::debug!(
                        prefix = request.prefix, %error,
                        "cannot read a page of the state service, retrying"
                    );
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
            self.apply_scan(&mut scan);
            // The store keeps a limited number of changes.  Without a watch in between, a read that
            // takes longer than the changes are kept would have to start again every time.
            if watched_at.elapsed() > self.policy.renew {
                watched_at = Instant::now();
                revision = self.watch_during_scan(&mut scan, revision).await?;
            }
        }
        Ok(revision)
    }

    /// Applies the changes since a revision; returns the revision up to which they were applied,
    /// which is `since` if the request fails.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::WatchExpired`] if the store no longer has these changes.
    async fn watch_during_scan(&self, scan: &mut InitialScan, since: u64) -> Result<u64, StoreError> {
        match self.store.watch(key::WATCHED, since, Duration::ZERO).await {
            Ok(response) => {
                let ended_job = |e: &WatchEvent| Some(Name::from(e.set_key.as_ref()?.strip_prefix(key::OUTCOME)?));
                scan.mark_ended(response.events.iter().filter_map(ended_job));
                Ok(self.apply_changes(response.events, response.revision.max(since)))
            }
            Err(StoreError::WatchExpired) => Err(StoreError::WatchExpired),
            Err(error) => {
                tracing::debug!(%error, "watch request during the initial read failed, retrying");
                Ok(since)
            }
        }
    }

    /// Moves the jobs whose state the scan has determined into the job index and the leader's state
    /// of the cluster.
    fn apply_scan(&self, scan: &mut InitialScan) {
        let (mut guard, now) = (self.lock(), Instant::now());
        let state = &mut *guard;
        let mut events = Vec::new();
        scan.apply_pages(&mut state.jobs, |event| events.push(event));
        for event in events {
            match event {
                ScanEvent::Open(job) => self.add_job_to_cluster(state, job.spec, job.revision, now),
                ScanEvent::Ended(id, outcome) => self.apply_outcome_to_cluster(state, &id, outcome, now),
            }
        }
    }
}
