//! Builds a new leader's state of the cluster from the job index and from what was read from the
//! state service.

use std::collections::{BTreeSet, HashSet};
use std::time::Instant;

use crate::cluster::{Cluster, Rental};
use crate::commit::started_jobs;
use crate::controller::Controller;
use crate::job_index::{JobIndex, JobStatus};
use crate::leadership::lease::LeaderLease;
use crate::model::*;
use crate::state_store::client::decode_value;

use super::load::{StoredCluster, StoredJob};

/// The jobs that have to be read before the leader's state is complete.
pub(super) struct MissingJobs {
    /// The state read so far, to which the jobs are to be added.
    pub(super) stored: StoredCluster,
    /// IDs of the jobs to read.
    pub(super) ids: Vec<Name>,
}

impl Controller {
    /// Builds and installs the leader's state of the cluster, under one lock and without an await.
    /// So every watch event is either included in the state or applied to it afterwards.  With a
    /// gap between the two, a cancellation could be lost, and the tasks of the job would keep
    /// running.
    ///
    /// The state holds the unfinished jobs, and the ended jobs that may still have running tasks.
    ///
    /// # Errors
    ///
    /// Fails with the jobs that stored starts refer to and that are no longer in memory.  Without
    /// their records the new leader would neither count nor stop their tasks.
    pub(super) fn try_take_over(
        &self,
        lease: LeaderLease,
        stored: StoredCluster,
        now: Instant,
    ) -> Result<(), MissingJobs> {
        let mut cluster = self.new_cluster(lease, now);
        let mut state = self.lock();
        cluster.set_types(&state.machine_types);
        add_open_jobs(&mut cluster, &state.jobs, &stored, now);
        let ids = add_ended_jobs(&mut cluster, &mut state.jobs, &stored, now);
        if !ids.is_empty() {
            return Err(MissingJobs { stored, ids });
        }
        add_shards_and_rentals(&mut cluster, stored, now);
        for id in cluster.dependencies.unknown_dependencies() {
            if let Some(outcome) = state.jobs.outcome(&id) {
                cluster.set_outcome(&id, outcome, now);
            }
        }
        cluster.collect_garbage(now);
        cluster.machine_hints = self.peers.machine_hints();
        cluster.zones_with_controller = self.zones_with_controller();
        let (jobs, machines) = (cluster.jobs.len(), cluster.machines.len());
        tracing::info!(term = lease.term, jobs, machines, "state of the cluster loaded");
        state.cluster = Some(cluster);
        Ok(())
    }

    /// Creates the state of an empty cluster, with the configured team limits and the strictest
    /// start objective of each class.
    fn new_cluster(&self, lease: LeaderLease, now: Instant) -> Cluster {
        let mut cluster = Cluster::new(lease.term, self.policy.clone(), self.team_limits(), now);
        for objective in self.config.deployment.objectives.iter().filter(|o| o.kind == "wait") {
            if let (Some(class), Some(within)) = (&objective.class, objective.within_s) {
                let strictest = cluster.start_objectives.entry(class.as_str().into()).or_insert(within);
                *strictest = strictest.min(within);
            }
        }
        cluster
    }

    /// Returns the zones of this controller and its peers.
    fn zones_with_controller(&self) -> BTreeSet<Name> {
        let peers = self.config.peers.iter().map(|peer| peer.zone.as_str());
        peers.chain([self.config.zone.as_str()]).map(Name::from).collect()
    }
}

/// Adds the unfinished jobs.
///
/// A start is stored only after all dependencies of the job are met.  So a job with a stored start
/// or completed task must not wait for its dependencies again, or its tasks would not be counted.
fn add_open_jobs(cluster: &mut Cluster, jobs: &JobIndex, stored: &StoredCluster, now: Instant) {
    let started = started_jobs(stored.shards.iter().map(|stored| &stored.shard));
    for job in jobs.open() {
        if started.contains(&job.spec.id) {
            cluster.add_started_job(job.spec.clone(), job.revision, None, now);
        } else {
            cluster.add_job(job.spec.clone(), job.revision, None, now);
        }
    }
}

/// Adds the other jobs that stored starts refer to; returns those that still have to be read.
fn add_ended_jobs(cluster: &mut Cluster, jobs: &mut JobIndex, stored: &StoredCluster, now: Instant) -> Vec<Name> {
    let mut missing = HashSet::new();
    for start in stored.shards.iter().flat_map(|stored| &stored.shard.starts) {
        let id = &start.task.job;
        if cluster.jobs.contains_key(id) || missing.contains(id) {
            continue;
        }
        match (jobs.status_of(id), stored.ended_jobs.get(id)) {
            (JobStatus::Ended(job), _) => cluster.add_job(job.spec, job.revision, Some(job.outcome), now),
            (_, Some(StoredJob::Found { job, outcome })) => {
                cluster.add_job(job.spec.clone(), job.revision, *outcome, now);
            }
            (_, Some(StoredJob::Missing)) => {}
            (_, None) => {
                missing.insert(id.clone());
            }
        }
    }
    missing.into_iter().collect()
}

/// Adds the stored placements and the rentals recorded by earlier leaders.
fn add_shards_and_rentals(cluster: &mut Cluster, stored: StoredCluster, now: Instant) {
    for shard in stored.shards {
        cluster.add_shard(shard.id, shard.shard, &shard.locations, now);
    }
    for item in stored.rentals {
        if let Some(rentals) = decode_value::<Vec<Rental>>(&item.key, item.value) {
            cluster.fleet.add_inherited_record(item.key, rentals);
        }
    }
}

#[cfg(test)]
mod tests;
