//! What a new leader reads from the state store before it leads.

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

/// How long to wait before looking again whether the watch has caught up.
const WATCH_POLL: Duration = Duration::from_millis(20);

/// Job records that are read at once.
const CONCURRENT_JOB_READS: usize = 8;

/// What a new leader has read.
#[derive(Default)]
pub(super) struct StoredCluster {
    pub(super) shards: Vec<StoredShard>,
    /// Records of rentals.
    pub(super) rentals: Vec<KeyValue>,
    /// Jobs that shards name and that were read one by one.
    pub(super) ended_jobs: HashMap<Name, StoredJob>,
}

/// A job that was read one by one.
pub(super) enum StoredJob {
    /// Its record, and its outcome if it has ended.
    Found {
        /// The record.
        job: OpenJob,
        /// The outcome.
        outcome: Option<JobOutcome>,
    },
    /// There is no record, or none that can be read.
    Missing,
}

impl StoredCluster {
    /// Adds the result of reading a job that shards name.
    ///
    /// A record that is missing or cannot be read is read only once a term: it will not get
    /// better, and a leader that insisted on it would never lead.
    pub(super) fn add_job(
        &mut self,
        id: Name,
        result: Result<Option<JobRecord>, StoreError>,
    ) -> Result<(), StoreError> {
        let job = match result {
            Ok(Some(JobRecord { job, outcome })) => StoredJob::Found { job, outcome },
            Ok(None) | Err(StoreError::Unreadable) => {
                tracing::error!(job = %id, "job record missing or unreadable, starts of the job ignored");
                StoredJob::Missing
            }
            Err(error) => return Err(error),
        };
        self.ended_jobs.insert(id, job);
        Ok(())
    }
}

impl Controller {
    /// Loads the state of the cluster and makes it the leader's: unfinished jobs from the watch,
    /// everything else from the store.
    pub(super) async fn load_cluster(&self, lease: LeaderLease) -> Result<(), StoreError> {
        // the watch has to be past the beginning of the term, or a job that a shard names might
        // still be unknown
        while self.lock().revision < lease.revision {
            smol::Timer::after(WATCH_POLL).await;
        }
        let mut stored = self.read_stored_cluster().await?;
        while let Err(missing) = self.try_take_over(lease, stored, Instant::now()) {
            stored = self.read_missing_jobs(missing, lease.term).await?;
        }
        Ok(())
    }

    /// Reads shards and rentals, while the peers are asked what they know of machines.
    async fn read_stored_cluster(&self) -> Result<StoredCluster, StoreError> {
        let reads = join(self.store.list(key::SHARD), self.store.list(key::RENTAL));
        let polls = with_timeout(self.policy.renew, self.poll_all_peers(true));
        let ((shards, rentals), _) = join(reads, polls).await;
        let shards = shards?.into_iter().filter_map(|item| read_shard(&item.key, &item)).collect();
        Ok(StoredCluster { shards, rentals: rentals?, ended_jobs: HashMap::new() })
    }

    /// Reads the jobs that shards name and that are not in memory.
    async fn read_missing_jobs(&self, missing: MissingJobs, term: u64) -> Result<StoredCluster, StoreError> {
        let MissingJobs { mut stored, ids } = missing;
        tracing::info!(term, jobs = ids.len(), "reading ended jobs that shards name");
        let read = |id: Name| async move { (self.read_stored_job(&id).await, id) };
        let mut reads = stream::iter(ids.into_iter().map(read)).buffer_unordered(CONCURRENT_JOB_READS);
        while let Some((result, id)) = reads.next().await {
            stored.add_job(id, result)?;
        }
        Ok(stored)
    }
}
