//! One controller: the state its slices share, behind a short lock, and the
//! loops that connect the slices to the world.

use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_lite::future::or;

use crate::cluster::Want;
use crate::cluster::{Cluster, TeamLimit};
use crate::config::Config;
use crate::http;
use crate::intake::Intake;
use crate::leadership::{Authority, LeaderRecord};
use crate::ledger::{Ledger, News, Sweep};
use crate::model::*;
use crate::policy::Policy;
use crate::store::{key, read_value, Budget, Error, Event, Item, Store};
use crate::telemetry::Telemetry;

/// The leader as seen in the store.
#[derive(Debug, Clone)]
pub struct LeaderSeen {
    /// Who and in which term.
    pub record: LeaderRecord,
    /// Stamp of the key.
    pub stamp: u64,
}

/// What the slices share.
pub struct Inner {
    /// Jobs by id.
    pub ledger: Ledger,
    /// The watch has caught up once.
    pub synced: bool,
    /// Revision up to which the watch has been seen.
    pub epoch: u64,
    /// Who leads.
    pub leader: Option<LeaderSeen>,
    /// Our own right to act.
    pub authority: Option<Authority>,
    /// The leader's state, once it is read.
    pub cluster: Option<Cluster>,
    /// Machine types as last seen.
    pub types: Vec<MachineType>,
    /// What found no place in the last pass.
    pub wants: Vec<Want>,
    /// When a worker of another zone last reported here.
    pub foreign: Option<Instant>,
    /// When any worker last reported here.
    pub heard: Option<Instant>,
    /// When this controller was last seen to move, and since when it has
    /// moved without a gap.
    pub pulse: Option<Pulse>,
    /// No pass over the queue before this.
    pub next_pass: Option<Instant>,
}

/// Tells when a controller itself stood still while its clocks ran on.
#[derive(Debug, Clone, Copy)]
pub struct Pulse {
    /// It was moving then.
    pub last: Instant,
    /// It has been moving without a gap since then.
    pub since: Instant,
}

impl Pulse {
    /// It moves at `now`; how long it stood still before, if it did.
    pub fn beat(pulse: &mut Option<Pulse>, most: Duration, now: Instant) -> Option<Duration> {
        let p = pulse.get_or_insert(Pulse { last: now, since: now });
        let gap = now.saturating_duration_since(p.last);
        p.last = p.last.max(now);
        (gap > most).then(|| {
            p.since = now;
            gap
        })
    }
}

impl Inner {
    /// Nothing is known yet; the ledger will keep so many ended jobs.
    pub fn new(ended_kept: usize) -> Inner {
        Inner {
            ledger: Ledger::new(ended_kept),
            synced: false,
            epoch: 0,
            leader: None,
            authority: None,
            cluster: None,
            types: Vec::new(),
            wants: Vec::new(),
            foreign: None,
            heard: None,
            pulse: None,
            next_pass: None,
        }
    }

    /// Whether this controller leads and its lease still lasts.
    pub fn acts(&self, now: Instant) -> bool {
        self.authority.is_some_and(|a| now < a.until)
    }
}

/// A wake-up that is never lost and never queues up.
pub struct Wake(smol::channel::Sender<()>, smol::channel::Receiver<()>);

impl Default for Wake {
    fn default() -> Self {
        let (s, r) = smol::channel::bounded(1);
        Wake(s, r)
    }
}

impl Wake {
    /// Wakes whoever waits, now or next.
    pub fn wake(&self) {
        let _ = self.0.try_send(());
    }
    /// Waits for a wake-up, or until the time is over.
    pub async fn wait(&self, most: Duration) {
        or(
            async {
                let _ = self.1.recv().await;
            },
            async {
                smol::Timer::after(most).await;
            },
        )
        .await;
    }
}

/// A controller.
pub struct Node {
    /// Settings.
    pub config: Config,
    /// Tunables.
    pub policy: Arc<Policy>,
    /// State service.
    pub store: Store,
    /// Client for the cloud.
    pub cloud: http::Client,
    /// Calls to the cloud.
    pub cloud_calls: Mutex<Budget>,
    inner: Mutex<Inner>,
    /// Something to place.
    pub to_place: Wake,
    /// Something to store.
    pub to_commit: Wake,
    /// The other controllers.
    pub peers: crate::peers::Peers,
    /// Client for the workers.
    pub workers: http::Client,
    /// Something to tell workers.
    pub to_command: Wake,
    /// A transaction of the leader's went through.
    pub stored: event_listener::Event,
    /// The leader changed.
    pub to_lead: Wake,
    /// Users' requests on their way to the store.
    pub intake: Intake,
    /// Counters and latencies.
    pub telemetry: Telemetry,
}

/// Runs a future for at most so long.
pub async fn timed<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    or(async { Some(work.await) }, async {
        smol::Timer::after(limit).await;
        None
    })
    .await
}

impl Node {
    /// A controller that has not started yet.
    pub fn new(config: Config, policy: Policy, now: Instant) -> Node {
        let most_idle = policy.direct_calls;
        let policy = Arc::new(policy);
        let rps = config.deployment.cloud.rps;
        let limits = &config.deployment.state;
        let store = Store::new(config.services.state, limits, limits.rps * policy.read_share, now);
        let lookups = limits.rps * policy.lookup_share;
        Node {
            inner: Mutex::new(Inner::new(policy.ended_kept)),
            policy,
            store,
            cloud: http::Client::default(),
            cloud_calls: Mutex::new(Budget::new(rps * 0.7, rps * 1.4, now)),
            to_place: Wake::default(),
            to_commit: Wake::default(),
            peers: crate::peers::Peers::new(&config.siblings),
            workers: http::Client::new(most_idle),
            to_command: Wake::default(),
            stored: event_listener::Event::new(),
            to_lead: Wake::default(),
            intake: Intake::new(lookups, now),
            telemetry: Telemetry::default(),
            config,
        }
    }

    /// The shared state; never held over an await.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Every place that is about to judge a silence says first that it moves.
    /// After a gap the silence was this controller's own: whatever it measures
    /// starts anew, so that nobody is taken for dead, cut off or refusing who
    /// merely was not listened to.
    pub fn beat(&self, i: &mut Inner, now: Instant) {
        let Some(gap) = Pulse::beat(&mut i.pulse, self.policy.stood_still, now) else { return };
        tracing::info!("stood still for {:.1} s: silences are measured anew", gap.as_secs_f64());
        self.store.woke(now);
        self.peers.woke();
        if let Some(c) = i.cluster.as_mut() {
            c.awake = now;
        }
    }

    /// Keeps the pulse while nothing else happens.
    pub async fn pulse(&self) {
        loop {
            smol::Timer::after(self.policy.renew / 2).await;
            self.beat(&mut self.lock(), Instant::now());
        }
    }

    /// The teams' limits.
    pub fn teams(&self) -> HashMap<Name, TeamLimit> {
        let team = |t: &crate::config::Team| {
            let size = |cpus, gpus| Size { cpus, gpus, memory: 0.0 };
            (t.name.as_str().into(), TeamLimit { guarantee: size(t.cpus, t.gpus), most: size(t.cpus_max, t.gpus_max) })
        };
        self.config.deployment.teams.iter().map(team).collect()
    }

    /// A job that the watch shows.
    pub fn learn_job(&self, spec: Arc<Spec>, stamp: u64, now: Instant) {
        let mut i = self.lock();
        if i.ledger.seen(spec.clone(), stamp) {
            self.opened(&mut i, spec, stamp, now);
        }
    }

    /// A job that a transaction of this controller's has stored.
    pub fn stored_job(&self, spec: Arc<Spec>, stamp: u64, now: Instant) {
        let mut i = self.lock();
        if i.ledger.stored(spec.clone(), stamp) {
            self.opened(&mut i, spec, stamp, now);
        }
    }

    fn opened(&self, i: &mut Inner, spec: Arc<Spec>, stamp: u64, now: Instant) {
        if let Some(c) = i.cluster.as_mut() {
            c.add_job(spec, stamp, None, now);
            self.to_place.wake();
        }
    }

    /// A job's end, as stored.
    pub fn learn_fate(&self, id: &str, fate: Fate, now: Instant) {
        let mut i = self.lock();
        i.ledger.ends(id, fate);
        self.closed(&mut i, id, fate, now);
    }

    fn closed(&self, i: &mut Inner, id: &str, fate: Fate, now: Instant) {
        if let Some(c) = i.cluster.as_mut() {
            c.set_fate(id, fate, now);
            self.to_place.wake();
            self.to_commit.wake();
        }
    }

    fn event(&self, e: Event) {
        let now = Instant::now();
        match (e.set, e.delete, e.data) {
            (Some(path), _, Some(data)) => {
                if path.starts_with(key::JOB) {
                    if let Some(spec) = read_value::<Spec>(&path, data) {
                        self.learn_job(Arc::new(spec), e.stamp, now);
                    }
                } else if let Some(id) = path.strip_prefix(key::FATE) {
                    if let Some(f) = read_value::<FateRecord>(&path, data) {
                        self.learn_fate(id, f.fate, now);
                    }
                } else if path == key::LEADER {
                    if let Some(record) = read_value::<LeaderRecord>(&path, data) {
                        tracing::info!("{} leads, term {}", record.name, record.term);
                        self.lock().leader = Some(LeaderSeen { record, stamp: e.stamp });
                        self.to_lead.wake();
                    }
                } else if path == key::TYPES {
                    if let Some(t) = read_value::<Vec<MachineType>>(&path, data) {
                        let mut i = self.lock();
                        if i.types.is_empty() {
                            i.types = t;
                        }
                    }
                }
            }
            (_, Some(path), _) if path == key::LEADER => {
                tracing::info!("nobody leads");
                self.lock().leader = None;
                self.to_lead.wake();
            }
            _ => {}
        }
    }

    fn caught_up(&self, epoch: u64) {
        let mut inner = self.lock();
        inner.epoch = inner.epoch.max(epoch);
        if !inner.synced {
            tracing::info!("caught up with the store at {epoch}, {} unfinished jobs", inner.ledger.len());
        }
        inner.synced = true;
        self.to_lead.wake();
    }

    /// Whether the store holds the layout of an earlier version, which this
    /// program does not read: two layouts side by side would run tasks twice.
    async fn outdated(&self) -> bool {
        loop {
            match self.store.any(key::OUTDATED).await {
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
    async fn catch_up(&self) -> Result<u64, Error> {
        let first = !self.lock().synced;
        let page = self.store.page(key::LEADER, "").await?;
        let epoch = page.epoch;
        let seen = |i: Item| self.event(Event { set: Some(i.path), delete: None, data: Some(i.data), stamp: i.stamp });
        {
            let mut i = self.lock();
            i.ledger.begins(epoch);
            if page.rows.is_empty() {
                i.leader = None;
            }
        }
        page.rows.into_iter().for_each(seen);
        self.store.get(key::TYPES).await?.into_iter().for_each(seen);
        // ended jobs whose tasks may still be somewhere: a controller that
        // leads soon would have to read them one by one
        let mut wanted = HashSet::new();
        if first {
            for item in self.store.list(key::PAGE).await? {
                wanted.extend(crate::commit::jobs_of_page(&item));
            }
        }
        let mut sweep = Sweep::new(wanted);
        let (mut since, mut looked) = (epoch, Instant::now());
        while let Some(need) = sweep.need() {
            match self.store.page(need.under, &need.since).await {
                Ok(page) => sweep.page(need.under, page.rows, page.truncated),
                // only this page is read again: a long read has to come to its
                // end though the service fails now and then
                Err(e) => {
                    tracing::debug!("a page of {}: {e}", need.under);
                    smol::Timer::after(self.policy.renew / 2).await;
                }
            }
            self.enter(&mut sweep);
            // the service keeps a limited number of changes: a read that takes
            // longer than they last would begin again and again
            if looked.elapsed() > self.policy.renew {
                looked = Instant::now();
                match self.store.changes(key::WATCHED, since, Duration::ZERO).await {
                    Ok((news, epoch)) => {
                        let ended = |e: &Event| Some(Name::from(e.set.as_ref()?.strip_prefix(key::FATE)?));
                        sweep.ended(news.iter().filter_map(ended));
                        since = self.changed(news, epoch.max(since));
                    }
                    Err(Error::Gone) => return Err(Error::Gone),
                    Err(e) => tracing::debug!("watch: {e}"),
                }
            }
        }
        Ok(since)
    }

    /// Takes what the sweep has at hand into the ledger and to the leader.
    fn enter(&self, sweep: &mut Sweep) {
        let (mut guard, now) = (self.lock(), Instant::now());
        let i = &mut *guard;
        let mut news = Vec::new();
        sweep.enter(&mut i.ledger, |n| news.push(n));
        for n in news {
            match n {
                News::Open(o) => self.opened(i, o.spec, o.stamp, now),
                News::Ended(id, fate) => self.closed(i, &id, fate, now),
            }
        }
    }

    /// Changes up to a revision, in their order and with no await between them:
    /// the ledger's floor is the last one's.
    fn changed(&self, news: Vec<Event>, epoch: u64) -> u64 {
        for e in news {
            self.event(e);
        }
        self.lock().ledger.begins(epoch);
        epoch
    }

    /// Keeps up with the store for as long as the controller runs.  Returns
    /// only if the store is not for this version.
    pub async fn watch(&self) -> &'static str {
        if self.outdated().await {
            return "the state service holds the layout of an earlier version (keys under c1/): \
                    finish its jobs with that version, or remove the keys, and start again";
        }
        let block = Duration::from_secs_f64(self.policy.ttl.as_secs_f64() * 1.5);
        loop {
            let mut since = match self.catch_up().await {
                Ok(epoch) => epoch,
                Err(e) => {
                    tracing::debug!("cannot read the store yet: {e}");
                    smol::Timer::after(self.policy.renew / 2).await;
                    continue;
                }
            };
            self.caught_up(since);
            loop {
                match self.store.changes(key::WATCHED, since, block).await {
                    Ok((news, epoch)) => {
                        since = self.changed(news, epoch.max(since));
                        let mut i = self.lock();
                        i.epoch = i.epoch.max(since);
                    }
                    Err(Error::Gone) => break,
                    Err(e) => {
                        tracing::debug!("watch: {e}");
                        smol::Timer::after(self.policy.renew / 2).await;
                    }
                }
            }
        }
    }
}
