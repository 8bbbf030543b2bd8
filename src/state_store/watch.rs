//! What the store shows: the first read, and the watch.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::feature_gate::FeatureGates;

use crate::controller::{Controller, ObservedLeader};
use crate::job_index::{InitialScan, ScanEvent};
use crate::leadership::lease::LeaderRecord;
use crate::model::*;
use crate::state_store::client::{key, read_value, KeyValue, StoreError, WatchEvent};

impl Controller {
    fn apply_event(&self, e: WatchEvent) {
        let now = Instant::now();
        match (e.set, e.delete, e.value) {
            (Some(path), _, Some(data)) => {
                if path.starts_with(key::JOB) {
                    if let Some(spec) = read_value::<JobSpec>(&path, data) {
                        self.apply_watched_job(Arc::new(spec), e.revision, now);
                    }
                } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
                    if let Some(f) = read_value::<OutcomeRecord>(&path, data) {
                        self.apply_stored_outcome(id, f.outcome, e.revision, now);
                    }
                } else if path == key::LEADER {
                    if let Some(record) = read_value::<LeaderRecord>(&path, data) {
                        tracing::info!("{} leads, term {}", record.name, record.term);
                        self.lock().leader = Some(ObservedLeader { record, revision: e.revision });
                        self.election_wake.wake();
                    }
                } else if path == key::GATES {
                    if let Some(g) = read_value::<FeatureGates>(&path, data) {
                        self.apply_feature_gates(&g, e.revision, now);
                    }
                } else if path == key::TYPES {
                    if let Some(t) = read_value::<Vec<MachineType>>(&path, data) {
                        let mut i = self.lock();
                        if i.machine_types.is_empty() {
                            i.machine_types = t;
                        }
                    }
                }
            }
            (_, Some(path), _) if path == key::LEADER => {
                tracing::info!("nobody leads");
                self.lock().leader = None;
                self.election_wake.wake();
            }
            _ => {}
        }
    }

    fn mark_synced(&self, epoch: u64) {
        let mut inner = self.lock();
        inner.revision = inner.revision.max(epoch);
        if !inner.synced {
            tracing::info!("caught up with the store at {epoch}, {} unfinished jobs", inner.jobs.len());
        }
        inner.synced = true;
        self.election_wake.wake();
    }

    /// Whether the store holds the layout of an earlier version, which this
    /// program does not read: two layouts side by side would run tasks twice.
    async fn has_previous_layout(&self) -> bool {
        loop {
            match self.store.has_keys(key::PREVIOUS_LAYOUT).await {
                Ok(found) => return found,
                Err(e) => {
                    tracing::debug!("cannot read the store yet: {e}");
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
        }
    }

    /// Reads all that is unfinished, and returns the revision to watch from.  Memory is taken for what is unfinished and for a page at a time,
    /// whatever the history.
    async fn catch_up(&self) -> Result<u64, StoreError> {
        let first = !self.lock().synced;
        let sent = Instant::now();
        let page = self.store.list_page(key::LEADER, "").await?;
        let epoch = page.revision;
        let seen = |i: KeyValue| {
            self.apply_event(WatchEvent { set: Some(i.key), delete: None, value: Some(i.value), revision: i.revision })
        };
        {
            let mut i = self.lock();
            i.jobs.raise_floor(epoch);
            i.cancellations.begin_watch(epoch, sent);
            if page.items.is_empty() {
                i.leader = None;
            }
        }
        page.items.into_iter().for_each(seen);
        self.store.get(key::TYPES).await?.into_iter().for_each(seen);
        self.store.get(key::GATES).await?.into_iter().for_each(seen);
        // ended jobs whose tasks may still be somewhere: a controller that
        // leads soon would have to read them one by one
        let mut wanted = HashSet::new();
        if first {
            for item in self.store.list(key::SHARD).await? {
                wanted.extend(crate::commit::started_jobs_of_shard(&item));
            }
        }
        let mut sweep = InitialScan::new(wanted);
        let (mut since, mut looked) = (epoch, Instant::now());
        while let Some(need) = sweep.next_page() {
            match self.store.list_page(need.under, &need.since).await {
                Ok(page) => sweep.add_page(need.under, page.items, page.truncated),
                // only this page is read again: a long read has to come to its
                // end though the service fails now and then
                Err(e) => {
                    tracing::debug!("a page of {}: {e}", need.under);
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
            self.apply_scan(&mut sweep);
            // the service keeps a limited number of changes: a read that takes
            // longer than they last would begin again and again
            if looked.elapsed() > self.policy.renew {
                looked = Instant::now();
                match self.store.watch(key::WATCHED, since, Duration::ZERO).await {
                    Ok((news, epoch)) => {
                        let ended = |e: &WatchEvent| Some(Name::from(e.set.as_ref()?.strip_prefix(key::OUTCOME)?));
                        sweep.mark_ended(news.iter().filter_map(ended));
                        since = self.apply_changes(news, epoch.max(since));
                    }
                    Err(StoreError::WatchExpired) => return Err(StoreError::WatchExpired),
                    Err(e) => tracing::debug!("watch: {e}"),
                }
            }
        }
        self.lock().cancellation_view.watch_answered(sent);
        Ok(since)
    }

    /// Takes what the sweep has at hand into the ledger and to the leader.
    fn apply_scan(&self, sweep: &mut InitialScan) {
        let (mut guard, now) = (self.lock(), Instant::now());
        let i = &mut *guard;
        let mut news = Vec::new();
        sweep.apply_pages(&mut i.jobs, |n| news.push(n));
        for n in news {
            match n {
                ScanEvent::Open(o) => self.add_job_to_cluster(i, o.spec, o.revision, now),
                ScanEvent::Ended(id, outcome) => self.apply_outcome_to_cluster(i, &id, outcome, now),
            }
        }
    }

    /// Changes up to a revision, in their order and with no await between them:
    /// the ledger's floor is the last one's.
    fn apply_changes(&self, mut news: Vec<WatchEvent>, epoch: u64) -> u64 {
        // a job and its end may be of one transaction: an end that came first
        // would find no job, and the job would never end here
        news.sort_by_key(|e| (e.revision, e.set.as_ref().is_some_and(|p| p.starts_with(key::OUTCOME))));
        for e in news {
            self.apply_event(e);
        }
        self.lock().jobs.raise_floor(epoch);
        epoch
    }

    /// The watch has shown all up to a revision; how long the next one may wait.
    fn record_watch_answer(&self, sent: Instant, epoch: u64) -> Duration {
        let mut i = self.lock();
        i.revision = i.revision.max(epoch);
        i.cancellation_view.watch_answered(sent);
        match i.lease {
            Some(_) => Duration::ZERO,
            None => self.policy.watch_gap,
        }
    }

    /// Keeps up with the store for as long as the controller runs.  Returns
    /// only if the store is not for this version.
    pub async fn run_watch(&self) -> &'static str {
        if self.has_previous_layout().await {
            return "the state service holds the layout of an earlier version (keys under c1/): \
                    finish its jobs with that version, or remove the keys, and start again";
        }
        // what an answer proves is as old as its question: it must not wait for as
        // long as leases are renewed on it.  Played with a third of this, a state
        // service in trouble left more watches without an answer
        let block = self.policy.ttl.mul_f64(1.5);
        loop {
            let mut since = match self.catch_up().await {
                Ok(epoch) => epoch,
                Err(e) => {
                    tracing::debug!("cannot read the store yet: {e}");
                    smol::Timer::after(self.policy.renew / 2).await;
                    continue;
                }
            };
            self.mark_synced(since);
            loop {
                let sent = Instant::now();
                match self.store.watch(key::WATCHED, since, block).await {
                    Ok((news, epoch)) => {
                        since = self.apply_changes(news, epoch.max(since));
                        let gap = self.record_watch_answer(sent, since);
                        if !gap.is_zero() {
                            smol::Timer::after(gap).await;
                        }
                    }
                    Err(StoreError::WatchExpired) => break,
                    Err(e) => {
                        tracing::debug!("watch: {e}");
                        smol::Timer::after(self.policy.renew / 2).await;
                    }
                }
            }
        }
    }
}
