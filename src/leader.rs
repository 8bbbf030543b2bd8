//! What a leader does besides answering reports: reads the store, places,
//! commits, and deals with the cloud.  All of it ends with the term.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_core::reporting::spreads;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};

use crate::authority::{Authority, WorkerContact, NO_WORKERS};
use crate::cluster::{Cluster, Machine, Stage};
use crate::cluster::{Listed, Rental, Tried};
use crate::cluster::{Page, Whereabouts};
use crate::commit::{begun, read_page};
use crate::fleet::Plan;
use crate::http;
use crate::ledger::{Open, Standing};
use crate::model::*;
use crate::node::{Inner, Node};
use crate::store::{key, read_value, Error, Item, Outcome, Txn, Write};
use crate::telemetry::{count, Timed};
use crate::wait::timed;
use crate::workers::Report;

#[derive(Deserialize)]
struct Types {
    #[serde(rename = "hulls")]
    types: Vec<MachineType>,
}
#[derive(Deserialize)]
struct ListPage {
    #[serde(rename = "polyps")]
    machines: Vec<Listed>,
    #[serde(default)]
    truncated: bool,
}
#[derive(Serialize, Deserialize)]
struct Machines {
    #[serde(rename = "polyps")]
    machines: Vec<Name>,
}

/// Needed jobs that the store is asked about at once.
const MOST_ASKED: usize = 10_000;

/// So many are asked about one by one; of more the pages are read.
const FEW_ASKED: usize = 32;

/// How often a record in doubt is written.
const RECORD_TRIES: usize = 3;

/// How long the cloud may take to answer.
const CLOUD_LIMIT: Duration = Duration::from_secs(4);

/// What a new leader has read.
#[derive(Default)]
struct Stored {
    pages: Vec<(u32, Page, HashMap<Name, Whereabouts>)>,
    rentals: Vec<Item>,
    /// Jobs that pages name and that were read one by one; `None` where the
    /// store has no record of them, or none that can be read.
    over: HashMap<Name, Option<(Open, Option<Fate>)>>,
}

impl Stored {
    /// Takes in what a job that pages name was read as.  A record that is
    /// missing or strange is read once a term: it will not get better, and
    /// nobody would lead for it.
    fn read(&mut self, id: Name, job: Result<Option<(Open, Option<Fate>)>, Error>) -> Result<(), Error> {
        let job = match job {
            Err(Error::Unreadable) => None,
            other => other?,
        };
        if job.is_none() {
            tracing::error!("{id} is on a page and has no record that can be read: its starts are passed over");
        }
        self.over.insert(id, job);
        Ok(())
    }
}

impl Node {
    /// Leads until the term is over; the caller drops this when it is.
    pub async fn lead(&self, a: Authority) -> &'static str {
        loop {
            match self.read_all(a).await {
                Ok(()) => break,
                Err(e) => {
                    tracing::info!("cannot read the store for term {}: {e}", a.term);
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
        self.to_place.wake();
        let work =
            futures_lite::future::or(self.commits(a), futures_lite::future::or(self.placing(), self.commanding()));
        let cloud = futures_lite::future::or(self.listing(a), self.cloud_work(a));
        let chains = futures_lite::future::or(self.gate(a), self.asking());
        let work = futures_lite::future::or(work, chains);
        futures_lite::future::or(futures_lite::future::or(work, cloud), self.watch_contact()).await
    }

    /// A new leader's picture: jobs from the watch, the rest from the store.
    async fn read_all(&self, a: Authority) -> Result<(), Error> {
        // the watch has to be past our own beginning, or a job named in a
        // record might still be unknown
        while self.lock().epoch < a.stamp {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let asked = timed(self.policy.renew, self.ask_all(true));
        let stored = futures_util::future::join(self.store.list(key::PAGE), self.store.list(key::RENTAL));
        let ((pages, rentals), _) = futures_util::future::join(stored, asked).await;
        let pages: Vec<_> = pages?.into_iter().filter_map(|i| read_page(&i.path, &i)).collect();
        let mut stored = Stored { pages, rentals: rentals?, over: HashMap::new() };
        loop {
            let missing = match self.take_over(a, stored, Instant::now()) {
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
    fn take_over(&self, a: Authority, stored: Stored, now: Instant) -> Result<(), (Stored, Vec<Name>)> {
        let mut c = Cluster::new(a.term, self.policy.clone(), self.teams(), now);
        for o in self.config.deployment.objectives.iter().filter(|o| o.kind == "wait") {
            if let (Some(class), Some(within)) = (&o.class, o.within_s) {
                let aim = c.wait_aims.entry(class.as_str().into()).or_insert(within);
                *aim = aim.min(within);
            }
        }
        let mut i = self.lock();
        c.set_types(&i.types);
        // what has a start or a completed task on record had all it needs: no
        // start is stored before that.  Held back, its tasks would count nowhere
        let begun = begun(stored.pages.iter().map(|p| &p.1));
        for o in i.ledger.open() {
            if begun.contains(&o.spec.id) {
                c.add_begun(o.spec.clone(), o.stamp, None, now);
            } else {
                c.add_job(o.spec.clone(), o.stamp, None, now);
            }
        }
        let mut missing = HashSet::new();
        for id in stored.pages.iter().flat_map(|(_, p, _)| &p.starts).map(|s| &s.task.job) {
            if c.jobs.contains_key(id) || missing.contains(id) {
                continue;
            }
            match (i.ledger.standing(id), stored.over.get(id)) {
                (Standing::Ended(e), _) => c.add_job(e.spec, e.stamp, Some(e.fate), now),
                (_, Some(Some((o, fate)))) => c.add_job(o.spec.clone(), o.stamp, *fate, now),
                (_, Some(None)) => {}
                (_, None) => {
                    missing.insert(id.clone());
                }
            }
        }
        if !missing.is_empty() {
            return Err((stored, missing.into_iter().collect()));
        }
        for (id, page, machines) in stored.pages {
            c.add_page(id, page, &machines, now);
        }
        for item in stored.rentals {
            if let Some(r) = read_value::<Vec<Rental>>(&item.path, item.data) {
                c.fleet.inherit(item.path, r);
            }
        }
        for n in c.dependency.unknown() {
            if let Some(fate) = i.ledger.fate(&n) {
                c.set_fate(&n, fate, now);
            }
        }
        c.tidy(now);
        c.learned = self.peers.learned();
        let zones = self.config.siblings.iter().map(|s| s.zone.as_str());
        c.manned = zones.chain([self.config.zone.as_str()]).map(Name::from).collect();
        tracing::info!("term {}: {} jobs, {} machines on record", a.term, c.jobs.len(), c.machines.len());
        i.cluster = Some(c);
        Ok(())
    }

    /// Stores what there is to store, one transaction at a time.
    async fn commits(&self, a: Authority) -> &'static str {
        let mut most = self.store.most;
        loop {
            let batch = self.lock().cluster.as_mut().and_then(|c| c.next_batch(a.stamp, &most));
            let Some(batch) = batch else {
                self.to_commit.wait(Duration::from_millis(500)).await;
                continue;
            };
            let began = Instant::now();
            let outcome = self.store.txn(&batch.txn).await;
            let now = Instant::now();
            self.telemetry.took(Timed::Commit, now - began);
            if !matches!(outcome, Ok(Outcome::Done(_))) {
                count(&self.telemetry.counters.commits_failed);
            }
            match outcome {
                Ok(Outcome::Done(revision)) => {
                    let ended = self.lock().cluster.as_mut().map(|c| c.committed(batch, revision, now));
                    for (id, fate) in ended.unwrap_or_default() {
                        tracing::debug!("{id} is {}", fate.word());
                        self.learn_fate(&id, fate, revision, now);
                    }
                    self.stored.notify(usize::MAX);
                    self.to_command.wake();
                    self.to_place.wake();
                }
                Ok(Outcome::Conflict(keys)) => {
                    if keys.iter().any(|k| k == key::LEADER) {
                        return "the leader key has changed";
                    }
                    tracing::info!("transaction in conflict over {keys:?}");
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.not_committed(batch);
                    }
                    for k in keys {
                        match self.store.get(&k).await {
                            Ok(item) => {
                                if let Some(c) = self.lock().cluster.as_mut() {
                                    c.resolve(&k, item.as_ref(), now);
                                }
                            }
                            Err(e) => tracing::debug!("cannot read {k}: {e}"),
                        }
                    }
                    smol::Timer::after(Duration::from_millis(20)).await;
                }
                Err(e) => {
                    tracing::debug!("transaction: {e}");
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.not_committed(batch);
                    }
                    if matches!(e, Error::Refused(400)) {
                        // larger than the service takes, whatever the settings
                        // say: the same again would be refused again
                        most = most.smaller();
                        tracing::error!("a transaction is too large: from now on pages of {} bytes", most.page_bytes);
                    }
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    /// Asks the store after needed jobs of which nothing is known here: they
    /// ended before this controller began, or too long ago to be kept.  Only what
    /// waits for them waits meanwhile.
    async fn asking(&self) -> &'static str {
        loop {
            let now = Instant::now();
            let ids = {
                let mut i = self.lock();
                let asked = |c: &mut Cluster| c.dependency.to_ask(MOST_ASKED, self.policy.renew, now);
                i.cluster.as_mut().map(asked).unwrap_or_default()
            };
            if ids.is_empty() {
                self.to_ask.wait(self.policy.renew / 2).await;
                continue;
            }
            match self.ends_of(ids).await {
                Ok(ends) => ends.into_iter().for_each(|(id, fate, at)| self.learn_fate(&id, fate, at, Instant::now())),
                Err(e) => {
                    tracing::debug!("ends of needed jobs: {e}");
                    smol::Timer::after(self.policy.renew / 4).await;
                }
            }
        }
    }

    /// The ends of these jobs with their stamps, as far as they have one: a few one by one, many
    /// from the pages of all ends.
    async fn ends_of(&self, mut ids: Vec<Name>) -> Result<Vec<(Name, Fate, u64)>, Error> {
        let read = |i: Item| {
            let fate = read_value::<FateRecord>(&i.path, i.data)?.fate;
            Some((Name::from(i.path.strip_prefix(key::FATE)?), fate, i.stamp))
        };
        let mut ends = Vec::new();
        if ids.len() <= FEW_ASKED {
            for id in ids {
                self.lookup_pause(1.0).await;
                ends.extend(self.store.get(&format!("{}{id}", key::FATE)).await?.and_then(read));
            }
            return Ok(ends);
        }
        ids.sort();
        let wanted: HashSet<Name> = ids.iter().cloned().collect();
        let mut since = String::new();
        while let Some(last) = ids.last().filter(|l| since.as_str() < format!("{}{l}", key::FATE).as_str()) {
            tracing::debug!("ends of {} needed jobs up to {last}, from {since}", ids.len());
            let page = self.store.page(key::FATE, &since).await?;
            let Some(row) = page.rows.last() else { break };
            since.clone_from(&row.path);
            ends.extend(page.rows.into_iter().filter_map(read).filter(|e| wanted.contains(&e.0)));
            if !page.truncated {
                break;
            }
        }
        Ok(ends)
    }

    /// Passes over the queue: when something changed, and now and then.
    async fn placing(&self) -> &'static str {
        loop {
            self.to_place.wait(Duration::from_millis(500)).await;
            let next = self.lock().next_pass;
            if let Some(wait) = next.and_then(|t| t.checked_duration_since(Instant::now())) {
                smol::Timer::after(wait).await;
            }
            self.pass(&mut self.lock(), Instant::now());
            self.to_commit.wake();
            self.to_command.wake();
        }
    }

    /// One pass over the queue, if this controller may act and the last one is
    /// long enough ago: passes take no more than their share of the processor.
    pub fn pass(&self, i: &mut Inner, now: Instant) {
        if i.next_pass.is_some_and(|t| now < t) || !i.acts(now) {
            return;
        }
        if let Some(c) = i.cluster.as_mut() {
            i.wants = c.place(now);
            for waited in c.placed_after.drain(..) {
                self.telemetry.took(Timed::Placement, waited);
            }
            c.tidy(now);
            let took = now.elapsed();
            i.next_pass = Some(now + self.policy.pass_gap.max(self.rest(took, self.policy.pass_share)));
            self.telemetry.took(Timed::Pass, took);
        }
    }

    /// Sends what should not wait for the next report straight to workers.
    async fn commanding(&self) -> &'static str {
        let mut flying = FuturesUnordered::new();
        loop {
            let most = self.policy.direct_calls.saturating_sub(flying.len());
            if most > 0 && self.may_act(Instant::now()) {
                let calls = self.lock().cluster.as_mut().map(|c| c.direct(most)).unwrap_or_default();
                for d in calls {
                    flying.push(async move {
                        // read as the bytes leave: this may have stood still
                        // since it was decided
                        if !self.may_act(Instant::now()) {
                            return (d, None);
                        }
                        let body = http::encode(&d.body);
                        let sent =
                            self.workers.send(d.address, "POST", "/commands", Some(&body), self.policy.direct_limit);
                        let report = match sent.await {
                            Ok((200 | 409, body)) => http::decode::<Report>(&body).ok(),
                            Ok((s, _)) => {
                                tracing::info!("{} answers {s} to commands", d.machine);
                                None
                            }
                            Err(e) => {
                                tracing::debug!("{} commands: {e}", d.machine);
                                None
                            }
                        };
                        (d, report)
                    });
                }
            }
            let next = async {
                match flying.next().await {
                    Some(done) => Some(done),
                    None => std::future::pending().await,
                }
            };
            let woken = async {
                self.to_command.wait(Duration::from_millis(500)).await;
                None
            };
            if let Some((d, report)) = futures_lite::future::or(next, woken).await {
                if let Some(c) = self.lock().cluster.as_mut() {
                    count(&self.telemetry.counters.direct);
                    if report.is_none() {
                        count(&self.telemetry.counters.direct_lost);
                    }
                    c.direct_over(&d, report.as_ref(), Instant::now());
                    if c.queue_changed {
                        self.to_place.wake();
                    }
                }
                self.to_commit.wake();
            }
        }
    }

    /// A leader that no worker reaches hands over to one that they reach: their
    /// leases run while it listens in vain.  That a sibling hears workers, and
    /// they do not come on to here, tells it from a world without workers.
    async fn watch_contact(&self) -> &'static str {
        let mut contact = WorkerContact::default();
        loop {
            smol::Timer::after(self.policy.deaf / 4).await;
            let last = {
                let now = Instant::now();
                let mut i = self.lock();
                self.beat(&mut i, now);
                let Some(c) = &i.cluster else { continue };
                let up = |m: &&Machine| m.gone.is_none() && (m.heard.is_some() || m.stage == Some(Stage::Running));
                let last = i.heard.unwrap_or(c.began).max(c.began).max(c.awake);
                if !i.acts(now) || c.machines.values().filter(up).count() < 2 {
                    continue;
                }
                last
            };
            if last.elapsed() < self.policy.deaf {
                continue;
            }
            self.ask_all(false).await;
            let now = Instant::now();
            let answered = self.peers.reachable(self.policy.deaf_alone, now);
            if contact.is_lost(last, self.peers.heard(), answered, &self.policy, now) {
                return NO_WORKERS;
            }
        }
    }

    /// One call to the cloud, within its limit; retries are the caller's.
    async fn cloud_call(&self, method: &str, target: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), http::Error> {
        let wait = self.cloud_calls.lock().unwrap_or_else(|e| e.into_inner()).take(1.0, Instant::now());
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        // the lease may have run out while this waited, or stood still: a
        // deletion decided then would hit what the next leader has placed
        if method == "POST" && !self.may_act(Instant::now()) {
            return Err(http::Error::Bad("leads no more"));
        }
        self.cloud.send(self.config.services.cloud, method, target, body, CLOUD_LIMIT).await
    }

    async fn cloud_get<T: serde::de::DeserializeOwned>(&self, target: &str) -> Result<T, String> {
        match self.cloud_call("GET", target, None).await {
            Ok((200, body)) => http::decode(&body).map_err(|e| e.to_string()),
            Ok((s, _)) => Err(format!("status {s}")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Machine types, from the cloud; every controller needs them to judge
    /// submissions.
    pub async fn learn_types(&self) -> bool {
        match self.cloud_get::<Types>("/flavors").await {
            Ok(t) if !t.types.is_empty() => {
                let mut i = self.lock();
                if let Some(c) = i.cluster.as_mut() {
                    c.set_types(&t.types);
                }
                i.types = t.types;
                true
            }
            Ok(_) => false,
            Err(e) => {
                tracing::debug!("machine types: {e}");
                false
            }
        }
    }

    /// Lists machines, and types now and then.
    async fn listing(&self, a: Authority) -> &'static str {
        let mut types_at: Option<Instant> = None;
        let mut stored: Option<Vec<MachineType>> = None;
        loop {
            if types_at.is_none_or(|t| t.elapsed() > self.policy.list_every * 10) && self.learn_types().await {
                types_at = Some(Instant::now());
                // kept for a start during an outage of the cloud
                let mut types = self.lock().types.clone();
                for t in &mut types {
                    // prices move all the time; a start needs the sizes
                    (t.price, t.spot_price) = (t.price.ceil(), t.spot_price.ceil());
                }
                let sizes = |l: &[MachineType]| l.iter().map(|t| (t.name.clone(), t.size())).collect::<Vec<_>>();
                // a list that a value can't hold is not kept: a part of it would
                // have jobs refused for good
                let fits = http::encode(&types).len() * 2 <= self.store.most.value_bytes;
                if fits && stored.as_deref().map(sizes) != Some(sizes(&types)) {
                    let mut txn = Txn { guards: vec![], writes: vec![Write::set(key::TYPES, &types)] };
                    txn.guard(key::LEADER, a.stamp);
                    if self.store.txn(&txn).await.is_ok() {
                        stored = Some(types);
                    }
                }
            }
            match self.whole_list().await {
                Ok(list) => {
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.list(&list, Instant::now());
                    }
                }
                Err(e) => tracing::debug!("list of machines: {e}"),
            }
            smol::Timer::after(self.policy.list_every).await;
        }
    }

    async fn whole_list(&self) -> Result<Vec<Listed>, String> {
        let (mut all, mut after) = (Vec::new(), String::new());
        loop {
            let target = match after.as_str() {
                "" => "/rentals?page=500".to_owned(),
                a => format!("/rentals?since={a}&page=500"),
            };
            let page: ListPage = self.cloud_get(&target).await?;
            let last = page.machines.last().map(|m| m.name.to_string());
            all.extend(page.machines);
            match last {
                Some(l) if page.truncated => after = l,
                _ => return Ok(all),
            }
        }
    }

    /// Rents and returns.
    async fn cloud_work(&self, a: Authority) -> &'static str {
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            if now < due {
                smol::Timer::after(due - now).await;
            }
            due = Instant::now() + Duration::from_millis(500);
            let now = Instant::now();
            let plan = {
                let mut i = self.lock();
                self.beat(&mut i, now);
                if !i.acts(now) {
                    continue;
                }
                let wants = std::mem::take(&mut i.wants);
                let spread = i.spreads();
                let plan = i.cluster.as_mut().map(|c| {
                    let here = c.here();
                    c.fleet.listen(self.lag.now(), here, spread, &self.policy, now);
                    (c.plan(&wants, now), here)
                });
                if let Some((_, here)) = &plan {
                    i.spread = spreads(*here, self.policy.spread_from, i.spread);
                }
                let plan = plan.map(|p| p.0).unwrap_or_default();
                i.wants = wants;
                plan
            };
            // with thousands of machines a plan takes its time too
            due = due.max(now + self.rest(now.elapsed(), self.policy.plan_share));
            self.carry_out(plan, a).await;
            self.to_place.wake();
            self.clear_rentals(a).await;
        }
    }

    /// Puts rentals on record before they are asked for: should this term end
    /// before the answer, the next leader learns of them.  One key for all that
    /// are new.  Without a record they are planned again.
    async fn record(&self, rentals: &[Rental], a: Authority) -> bool {
        let new = match self.lock().cluster.as_mut() {
            Some(c) => c.fleet.recording(rentals, a.term),
            None => return false,
        };
        let Some(mut new) = new else { return true };
        for _ in 0..RECORD_TRIES {
            let tried = match self.store.txn(&new.txn(a.stamp)).await {
                Ok(Outcome::Done(_)) => Tried::Done,
                Ok(Outcome::Conflict(keys)) => Tried::Conflict(keys),
                Err(Error::Doubt(e)) => {
                    tracing::debug!("a record of rentals is in doubt: {e}");
                    Tried::Doubt
                }
                Err(_) => Tried::Refused,
            };
            match new.tried(&tried) {
                None => {}
                Some(true) => {
                    if let Some(c) = self.lock().cluster.as_mut() {
                        c.fleet.recorded(new.path, &new.rentals);
                    }
                    return true;
                }
                Some(false) => {
                    tracing::debug!("rentals are not on record: {tried:?}");
                    return false;
                }
            }
        }
        false
    }

    /// Removes records of which nothing is to be learned any more.
    async fn clear_rentals(&self, a: Authority) {
        let most = self.store.most.writes / 2;
        let gone = {
            let i = self.lock();
            let Some(c) = i.cluster.as_ref() else { return };
            c.fleet.outlived(self.policy.rental_kept, most, Instant::now())
        };
        if gone.is_empty() {
            return;
        }
        let mut txn = Txn { guards: vec![], writes: gone.iter().map(Write::delete).collect() };
        txn.guard(key::LEADER, a.stamp);
        if let Ok(Outcome::Done(_)) = self.store.txn(&txn).await {
            if let Some(c) = self.lock().cluster.as_mut() {
                c.fleet.records.retain(|k, _| !gone.contains(k));
            }
        }
    }

    async fn carry_out(&self, plan: Plan, a: Authority) {
        let rentals = async {
            if self.record(&plan.rent, a).await {
                futures_util::future::join_all(plan.rent.iter().map(|r| self.rent(r))).await;
            }
        };
        futures_util::future::join(self.give_back(&plan.delete), rentals).await;
    }

    async fn give_back(&self, names: &[Name]) {
        if names.is_empty() {
            return;
        }
        let body = http::encode(&Machines { machines: names.to_vec() });
        match self.cloud_call("POST", "/rentals/delete", Some(&body)).await {
            Ok((200, _)) => {
                if let Some(c) = self.lock().cluster.as_mut() {
                    c.deleted(names, Instant::now());
                }
                self.to_place.wake();
                self.to_commit.wake();
            }
            Ok((s, _)) => tracing::debug!("deletion: status {s}"),
            Err(e) => tracing::debug!("deletion: {e}"),
        }
    }

    async fn rent(&self, r: &Rental) {
        if !self.may_act(Instant::now()) {
            return;
        }
        let body = http::encode(r);
        let answer = self.cloud_call("POST", "/rentals", Some(&body)).await;
        let now = Instant::now();
        let mut i = self.lock();
        let Some(c) = i.cluster.as_mut() else { return };
        match answer {
            Ok((200, body)) => match http::decode::<Machines>(&body) {
                Ok(m) => c.rented(r, &m.machines, now),
                Err(e) => tracing::error!("rental {}: {e}", r.charter),
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                tracing::info!("no capacity: {} in {}, spot {}", r.kind, r.zone, r.spot);
                c.fleet.answered(&r.charter, now);
                c.no_capacity(&(r.kind.clone(), r.zone.clone(), r.spot), now);
            }
            Ok((400, _)) => {
                tracing::error!("rental {} is malformed to the cloud", r.charter);
                c.fleet.answered(&r.charter, now);
                c.no_capacity(&(r.kind.clone(), r.zone.clone(), r.spot), now);
            }
            // in doubt: asked again under the same charter
            Ok((s, _)) => tracing::debug!("rental {}: status {s}", r.charter),
            Err(e) => tracing::debug!("rental {}: {e}", r.charter),
        }
    }

    /// Learns the types at the start, whoever leads.
    pub async fn types_at_start(self: Arc<Self>) {
        while self.lock().types.is_empty() && !self.learn_types().await {
            smol::Timer::after(self.policy.renew).await;
        }
    }
}

#[cfg(test)]
mod tests;
