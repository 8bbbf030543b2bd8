//! Reads the state of the cluster from the state service at the beginning of a term.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use futures_util::future::join;
use futures_util::stream::{self, StreamExt};

use crate::commit::{read_shard, StoredShard};
use crate::controller::Controller;
use crate::job_index::OpenJob;
use crate::leadership::lease::LeaderLease;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::{key, KeyValue, StoreError};
use crate::users::lookup::JobRecord;

use super::takeover::MissingJobs;

/// Interval at which a new leader checks whether the watch has caught up.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Most job records that are read concurrently.
const CONCURRENT_JOB_READS: usize = 8;

/// The stored state of the cluster, as far as a new leader has read it.
#[derive(Default)]
pub(super) struct StoredCluster {
    /// The placement shards that can be decoded.
    pub(super) shards: Vec<StoredShard>,
    /// Rental records, not yet decoded.
    pub(super) rentals: Vec<KeyValue>,
    /// Jobs that shards refer to and that were missing from the job index, so that each was read
    /// with a request of its own.
    pub(super) ended_jobs: HashMap<Name, StoredJob>,
}

/// The result of reading one job.
pub(super) enum StoredJob {
    /// The job has a record.
    Found {
        /// The record.
        job: OpenJob,
        /// The outcome; `None` if the job has not ended.
        outcome: Option<JobOutcome>,
    },
    /// There is no record, or it cannot be decoded.
    Missing,
}

impl StoredCluster {
    /// Adds the result of reading a job that shards refer to.
    ///
    /// A record that is missing or cannot be decoded is not read again in the same term: a retry
    /// would give the same result, and the takeover would never complete.
    ///
    /// # Errors
    ///
    /// Returns every other error, because such an error says nothing about the record.
    pub(super) fn add_job(
        &mut self,
        id: Name,
        result: Result<Option<JobRecord>, StoreError>,
    ) -> Result<(), StoreError> {
        let job = match result {
            Ok(Some(JobRecord { job, outcome })) => StoredJob::Found { job, outcome },
            Ok(None) | Err(StoreError::Unreadable) => {
                tracing::error!(job = %id, "job record missing or unreadable, ignoring the stored starts of the job");
                StoredJob::Missing
            }
            Err(error) => return Err(error),
        };
        self.ended_jobs.insert(id, job);
        Ok(())
    }
}

impl Controller {
    /// Loads the state of the cluster and installs it as the leader's: unfinished jobs from the job
    /// index, which the watch keeps current, and everything else from the store.
    ///
    /// # Errors
    ///
    /// Fails if a read fails.  The caller retries.
    pub(super) async fn load_cluster(&self, lease: LeaderLease) -> Result<(), StoreError> {
        // The watch has to reach the revision at which the term began.  Otherwise a job that a
        // shard refers to might still be missing from the job index.
        while self.lock().revision < lease.revision {
            smol::Timer::after(WATCH_POLL_INTERVAL).await;
        }
        let mut stored = self.read_stored_cluster().await?;
        while let Err(missing) = self.try_take_over(lease, stored, Instant::now()) {
            stored = self.read_missing_jobs(missing, lease.term).await?;
        }
        Ok(())
    }

    /// Reads shards and rental records, and meanwhile polls the peers for what they know about
    /// machines.
    async fn read_stored_cluster(&self) -> Result<StoredCluster, StoreError> {
        let reads = join(self.store.list(key::SHARD), self.store.list(key::RENTAL));
        let polls = with_timeout(self.policy.renew, self.poll_all_peers(true));
        let ((shards, rentals), _) = join(reads, polls).await;
        let shards = shards?.into_iter().filter_map(|item| read_shard(&item.key, &item)).collect();
        Ok(StoredCluster { shards, rentals: rentals?, ended_jobs: HashMap::new() })
    }

    /// Reads the jobs that shards refer to and that are not in the job index.
    async fn read_missing_jobs(&self, missing: MissingJobs, term: u64) -> Result<StoredCluster, StoreError> {
        let MissingJobs { mut stored, ids } = missing;
        tracing::info!(term, jobs = ids.len(), "reading jobs that shards refer to and that are not in memory");
        let read = |id: Name| async move { (self.read_stored_job(&id).await, id) };
        let mut reads = stream::iter(ids.into_iter().map(read)).buffer_unordered(CONCURRENT_JOB_READS);
        while let Some((result, id)) = reads.next().await {
            stored.add_job(id, result)?;
        }
        Ok(stored)
    }
}
