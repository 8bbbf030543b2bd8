//! What a leader does besides answering reports.  It begins by reading the store, and then places,
//! commits and deals with the cloud, each in a loop of its own; all of it ends with the term.

mod cloud;
mod commit;
mod placement;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use futures_util::stream::StreamExt;

use crate::cluster::{Cluster, MachineLocation, PlacementShard, Rental};
use crate::commit::{read_shard, started_jobs};
use crate::controller::Controller;
use crate::job_index::{JobStatus, OpenJob};
use crate::leadership::lease::LeaderLease;
use crate::leadership::step_down::StepDownReason;
use crate::model::*;
use crate::runtime::race::{race, racer};
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, read_value, KeyValue, StoreError};

/// What a new leader has read.
#[derive(Default)]
struct StoredCluster {
    shards: Vec<(u32, PlacementShard, HashMap<Name, MachineLocation>)>,
    rentals: Vec<KeyValue>,
    /// Jobs that pages name and that were read one by one; `None` where the
    /// store has no record of them, or none that can be read.
    ended_jobs: HashMap<Name, Option<(OpenJob, Option<JobOutcome>)>>,
}

impl StoredCluster {
    /// Takes in what a job that pages name was read as.  A record that is
    /// missing or strange is read once a term: it will not get better, and
    /// nobody would lead for it.
    fn read(
        &mut self,
        id: Name,
        job: Result<Option<(OpenJob, Option<JobOutcome>)>, StoreError>,
    ) -> Result<(), StoreError> {
        let job = match job {
            Err(StoreError::Unreadable) => None,
            other => other?,
        };
        if job.is_none() {
            tracing::error!("{id} is on a page and has no record that can be read: its starts are passed over");
        }
        self.ended_jobs.insert(id, job);
        Ok(())
    }
}
impl Controller {
    /// Leads until the term is over; the caller drops this when it is.
    pub async fn lead(&self, a: LeaderLease) -> StepDownReason {
        loop {
            match self.load_cluster(a).await {
                Ok(()) => break,
                Err(e) => {
                    tracing::info!("cannot read the store for term {}: {e}", a.term);
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
        self.placement_wake.wake();
        race(vec![
            racer(self.run_commits(a)),
            racer(self.run_placement()),
            racer(self.run_direct_commands()),
            racer(self.run_feature_gate(a)),
            racer(self.run_outcome_fetches()),
            racer(self.run_machine_listing(a)),
            racer(self.run_fleet(a)),
            racer(self.run_contact_check()),
        ])
        .await
    }

    /// A new leader's picture: jobs from the watch, the rest from the store.
    async fn load_cluster(&self, a: LeaderLease) -> Result<(), StoreError> {
        // the watch has to be past our own beginning, or a job named in a
        // record might still be unknown
        while self.lock().revision < a.revision {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let asked = timed(self.policy.renew, self.poll_all_peers(true));
        let stored = futures_util::future::join(self.store.list(key::SHARD), self.store.list(key::RENTAL));
        let ((pages, rentals), _) = futures_util::future::join(stored, asked).await;
        let pages: Vec<_> = pages?.into_iter().filter_map(|i| read_shard(&i.key, &i)).collect();
        let mut stored = StoredCluster { shards: pages, rentals: rentals?, ended_jobs: HashMap::new() };
        loop {
            let missing = match self.try_take_over(a, stored, Instant::now()) {
                Ok(()) => return Ok(()),
                Err((back, missing)) => {
                    stored = back;
                    missing
                }
            };
            tracing::info!("term {}: reads {} jobs that are over and still on record", a.term, missing.len());
            let read = |id: Name| async move { (self.read_job(&id).await, id) };
            let mut reads = futures_util::stream::iter(missing.into_iter().map(read)).buffer_unordered(8);
            while let Some((job, id)) = reads.next().await {
                stored.read(id, job)?;
            }
        }
    }

    /// Makes the picture and leads by it, under one lock and with no await:
    /// what the watch brings is either in the picture or reaches it.  A pause
    /// between the two once lost a withdrawal, and its task ran on.
    ///
    /// The picture is of what is unfinished, and of what ended lately and may
    /// still have tasks somewhere.  Jobs that starts on record name and that
    /// are not in memory any more are given back to be read: without them a
    /// new leader would neither count nor stop what may run of them.
    fn try_take_over(
        &self,
        a: LeaderLease,
        stored: StoredCluster,
        now: Instant,
    ) -> Result<(), (StoredCluster, Vec<Name>)> {
        let mut c = Cluster::new(a.term, self.policy.clone(), self.team_limits(), now);
        for o in self.config.deployment.objectives.iter().filter(|o| o.kind == "wait") {
            if let (Some(class), Some(within)) = (&o.class, o.within_s) {
                let aim = c.start_objectives.entry(class.as_str().into()).or_insert(within);
                *aim = aim.min(within);
            }
        }
        let mut i = self.lock();
        c.set_types(&i.machine_types);
        // what has a start or a completed task on record had all it needs: no
        // start is stored before that.  Held back, its tasks would count nowhere
        let begun = started_jobs(stored.shards.iter().map(|p| &p.1));
        for o in i.jobs.open() {
            if begun.contains(&o.spec.id) {
                c.add_started_job(o.spec.clone(), o.revision, None, now);
            } else {
                c.add_job(o.spec.clone(), o.revision, None, now);
            }
        }
        let mut missing = HashSet::new();
        for id in stored.shards.iter().flat_map(|(_, p, _)| &p.starts).map(|s| &s.task.job) {
            if c.jobs.contains_key(id) || missing.contains(id) {
                continue;
            }
            match (i.jobs.status_of(id), stored.ended_jobs.get(id)) {
                (JobStatus::Ended(e), _) => c.add_job(e.spec, e.revision, Some(e.outcome), now),
                (_, Some(Some((o, outcome)))) => c.add_job(o.spec.clone(), o.revision, *outcome, now),
                (_, Some(None)) => {}
                (_, None) => {
                    missing.insert(id.clone());
                }
            }
        }
        if !missing.is_empty() {
            return Err((stored, missing.into_iter().collect()));
        }
        for (id, page, machines) in stored.shards {
            c.add_shard(id, page, &machines, now);
        }
        for item in stored.rentals {
            if let Some(r) = read_value::<Vec<Rental>>(&item.key, item.value) {
                c.fleet.inherit(item.key, r);
            }
        }
        for n in c.dependency.unknown() {
            if let Some(outcome) = i.jobs.outcome(&n) {
                c.set_outcome(&n, outcome, now);
            }
        }
        c.collect_garbage(now);
        c.machine_hints = self.peers.machine_hints();
        let zones = self.config.peers.iter().map(|s| s.zone.as_str());
        c.zones_with_controller = zones.chain([self.config.zone.as_str()]).map(Name::from).collect();
        tracing::info!("term {}: {} jobs, {} machines on record", a.term, c.jobs.len(), c.machines.len());
        i.cluster = Some(c);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
