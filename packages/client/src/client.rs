//! The client: carries out what the jobs' state machines say, with a bound on
//! everything it holds.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use coralnotch_wire::http;
use coralnotch_wire::model::{JobSpec, Name};
use event_listener::Event;
use futures_lite::future::or;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tracing::{debug, info, warn};

use crate::endpoints::Endpoints;
use crate::job::{Action, Changed, Final, Job, Pace, Progress};
use crate::journal::{Fault, Journal, Record};
use crate::outcome::{outcome, Outcome};
use crate::retry::{Backoff, Budget};
use crate::Error;

/// How a client works.  The defaults are those of the protocol's users.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to submit: load balancers or controllers.
    pub endpoints: Vec<SocketAddr>,
    /// The journal's file; without one, jobs end with the program.
    pub journal: Option<PathBuf>,
    /// Requests under way at once, at most.
    pub in_flight: usize,
    /// Idle connections kept for the next request.
    pub idle: usize,
    /// Unfinished jobs at once; a submission beyond waits for one to end.
    pub open: usize,
    /// Changes kept for a reader that is behind; older ones are dropped, and
    /// the reader is told how many.
    pub changes: usize,
    /// How long one try may take.
    pub limit: Duration,
    /// How quickly jobs are pursued.
    pub pace: Pace,
    /// Retries as a share of first tries.
    pub retry_ratio: f64,
    /// Retries a second in any case.
    pub retry_trickle: f64,
    /// Without the budget every retry goes out as soon as it is due.
    pub retry_budget: bool,
    /// How long an endpoint that keeps failing is left alone.
    pub rest: Duration,
}

impl Settings {
    /// The defaults, for these endpoints, without a journal.
    pub fn new(endpoints: Vec<SocketAddr>) -> Settings {
        Settings {
            endpoints,
            journal: None,
            in_flight: 32,
            idle: 32,
            open: 10_000,
            changes: 1024,
            limit: Duration::from_secs(5),
            pace: Pace {
                backoff: Backoff { first: Duration::from_secs(1), most: Duration::from_secs(30) },
                poll_least: Duration::from_secs(1),
                poll_most: Duration::from_secs(30),
            },
            retry_ratio: 0.2,
            retry_trickle: 0.2,
            retry_budget: true,
            rest: Duration::from_secs(3),
        }
    }

    fn fault(&self) -> Option<&'static str> {
        let p = &self.pace;
        match () {
            () if self.endpoints.is_empty() => Some("there is no endpoint to submit to"),
            () if self.in_flight == 0 || self.open == 0 || self.changes == 0 => Some("a bound is 0"),
            () if self.limit.is_zero() || p.poll_most.is_zero() => Some("a time is 0"),
            () if p.poll_least > p.poll_most || p.backoff.first > p.backoff.most => {
                Some("a first time is over its most")
            }
            () if !(self.retry_ratio >= 0.0 && self.retry_trickle > 0.0) => Some("the retry budget is not above 0"),
            () => None,
        }
    }
}

/// A job's state changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The job.
    pub id: Name,
    /// How it stands.
    pub progress: Progress,
    /// Its final answer, with the last change.
    pub answer: Option<Final>,
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What a client has done so far.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }
        #[derive(Default)]
        struct Counts {
            $($name: AtomicU64,)*
        }
        impl Counts {
            fn read(&self) -> Counters {
                Counters { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Jobs taken in, those resumed from the journal among them.
    jobs,
    /// Jobs that a controller accepted.
    accepted,
    /// Final answers on record.
    answers,
    /// Requests sent.
    requests,
    /// Requests that repeat one that did not go through.
    retries,
    /// Answers that said "not now".
    refused_for_now,
    /// Requests without a usable answer.
    in_doubt,
    /// Retries that waited for the budget.
    held_back,
    /// Writes to the journal that failed.
    journal_failures,
}

struct Tracked {
    job: Job,
    /// A request is under way, or waits for the budget or for a needed job.
    flying: bool,
}

struct Inner {
    jobs: HashMap<Name, Tracked>,
    /// Jobs that are not over, by when there is something to do.
    due: BTreeSet<(Instant, Name)>,
    /// Jobs whose retries are due and wait for the budget, in their order; no
    /// more than there are unfinished jobs.
    held: VecDeque<Name>,
    /// Jobs that wait until one that they need is accepted, by that one; each
    /// once.
    after: HashMap<Name, Vec<Name>>,
    endpoints: Endpoints,
    budget: Budget,
    rng: fastrand::Rng,
    closed: bool,
}

impl Inner {
    /// A job that this one needs and that no controller has said to have yet: a
    /// submission that names it would be refused for good.
    fn unaccepted(&self, id: &Name) -> Option<Name> {
        let job = &self.jobs.get(id)?.job;
        let open = |n: &&Name| self.jobs.get(*n).is_some_and(|t| !t.job.accepted() && !t.job.ended());
        let waits = !job.accepted() && !job.ended();
        job.spec().needs.iter().filter(|_| waits).find(open).cloned()
    }

    /// The job is accepted, or never will be: those that waited for it go on.
    fn settled(&mut self, id: &Name) {
        for n in self.after.remove(id).unwrap_or_default() {
            if let Some(t) = self.jobs.get_mut(&n) {
                t.flying = false;
            }
            self.schedule(&n, None);
        }
    }

    fn schedule(&mut self, id: &Name, was: Option<Instant>) {
        if let Some(t) = was {
            self.due.remove(&(t, id.clone()));
        }
        if let Some(t) = self.jobs.get(id).filter(|t| !t.flying).and_then(|t| t.job.due()) {
            self.due.insert((t, id.clone()));
        }
    }
}

struct Shared {
    settings: Settings,
    journal: Option<Arc<Journal>>,
    http: http::Client,
    inner: Mutex<Inner>,
    /// Something is to be done.
    wake: Event,
    /// A job is over, or was let go.
    over: Event,
    counts: Counts,
    changes: async_broadcast::Sender<Change>,
}

/// A client.  Clones are the same client; jobs are pursued until the last
/// clone and the last handle are gone.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    driver: Arc<smol::Task<()>>,
    idle: async_broadcast::InactiveReceiver<Change>,
}

/// What is to be done for a job now.
struct Errand {
    id: Name,
    action: Action,
    to: Option<SocketAddr>,
    /// It repeats one that did not go through.
    again: bool,
}

/// Why the driver goes on.
enum Woken {
    Finished(Option<Done>),
    Noted(Option<bool>),
    Nothing,
}

/// What came of it.
struct Done {
    errand: Errand,
    outcome: Result<Outcome, bool>,
}

/// Least time until the next look.
const SHORTEST: Duration = Duration::from_millis(1);

fn add(c: &AtomicU64) {
    c.fetch_add(1, Ordering::Relaxed);
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// What is due, as far as requests under way, endpoints and the budget of
    /// retries allow; and when to look again.
    fn errands(&self, flying: usize, now: Instant) -> (Vec<Errand>, Option<Instant>) {
        let mut guard = self.lock();
        let i = &mut *guard;
        let mut errands = Vec::new();
        let mut room = self.settings.in_flight.saturating_sub(flying);
        let mut look = None;
        // who waited for the budget goes before who comes now
        while room > 0 && !i.held.is_empty() {
            let to = match i.endpoints.choose(now).and_then(|to| i.budget.retry(now).map(|()| to)) {
                Ok(to) => to,
                Err(wait) => {
                    look = Some(now + wait.max(SHORTEST));
                    break;
                }
            };
            let Some(id) = i.held.pop_front() else { break };
            let Some(t) = i.jobs.get_mut(&id).filter(|t| t.job.due().is_some()) else { continue };
            add(&self.counts.retries);
            errands.push(Errand { action: t.job.action(), id, to: Some(to), again: true });
            room -= 1;
        }
        while room > 0 {
            let Some((at, id)) = i.due.first().cloned().filter(|d| d.0 <= now) else { break };
            i.due.remove(&(at, id.clone()));
            let first = i.unaccepted(&id);
            let Some(tracked) = i.jobs.get_mut(&id) else { continue };
            if let Some(first) = first {
                tracked.flying = true;
                i.after.entry(first).or_default().push(id);
                continue;
            }
            let (action, again) = (tracked.job.action(), tracked.job.again());
            let mut to = None;
            if action != Action::Record {
                match i.endpoints.choose(now) {
                    Err(rest) => {
                        tracked.job.put_off(now + rest.max(SHORTEST));
                        i.schedule(&id, None);
                        continue;
                    }
                    Ok(addr) => to = Some(addr),
                }
                match again {
                    false => i.budget.first(now),
                    // in its turn: others may be held already
                    true if self.settings.retry_budget => {
                        let wait = if i.held.is_empty() { i.budget.retry(now) } else { Err(SHORTEST) };
                        if let Err(wait) = wait {
                            add(&self.counts.held_back);
                            tracked.flying = true;
                            i.held.push_back(id);
                            let at = now + wait.max(SHORTEST);
                            look = Some(look.map_or(at, |l: Instant| l.min(at)));
                            continue;
                        }
                        add(&self.counts.retries);
                    }
                    true => add(&self.counts.retries),
                }
            }
            tracked.flying = true;
            errands.push(Errand { id, action, to, again });
            room -= 1;
        }
        let next = i.due.first().map(|d| d.0);
        (errands, [next, look].into_iter().flatten().min())
    }

    async fn run(&self, errand: Errand) -> Done {
        let Some(to) = errand.to else {
            let outcome = Err(self.record(&errand.id).await);
            return Done { errand, outcome };
        };
        let (method, target, body) = {
            let i = self.lock();
            let spec = i.jobs.get(&errand.id).map(|t| t.job.spec().clone());
            match (errand.action, spec) {
                (Action::Submit, Some(s)) => ("POST", "/v2/runs".to_owned(), Some(http::encode(&*s))),
                (Action::Withdraw, _) => ("POST", format!("/v2/runs/{}/withdraw", errand.id), None),
                _ => ("GET", format!("/v2/runs/{}", errand.id), None),
            }
        };
        add(&self.counts.requests);
        let got = self.http.exchange(to, method, &target, body.as_deref(), self.settings.limit).await;
        if let Err(e) = &got {
            debug!(id = %errand.id, action = ?errand.action, %to, error = %e, "no answer");
        }
        let outcome = outcome(errand.action, got, &errand.id, SystemTime::now());
        Done { errand, outcome: Ok(outcome) }
    }

    /// Writes a job's final answer to the journal; whether it is there.
    async fn record(&self, id: &Name) -> bool {
        let answer = self.lock().jobs.get(id).and_then(|t| t.job.unrecorded().cloned());
        let Some(answer) = answer else { return false };
        let Some(journal) = self.journal.clone() else { return true };
        let key = id.clone();
        match smol::unblock(move || journal.change(&[key], |r| r.answer = Some(answer.clone()))).await {
            Ok(()) => true,
            Err(e) => {
                add(&self.counts.journal_failures);
                warn!(%id, error = %e, "the journal can't be written; tried again");
                false
            }
        }
    }

    /// Takes in what came of an errand; what the journal should know is
    /// written by the caller.
    fn done(&self, d: Done, now: Instant) -> Changed {
        let mut guard = self.lock();
        let i = &mut *guard;
        let id = &d.errand.id;
        if let (Some(to), Ok(o)) = (d.errand.to, &d.outcome) {
            match o {
                Outcome::State(_) | Outcome::Refused { .. } | Outcome::Unknown => {
                    i.endpoints.worked(to);
                    if d.errand.again {
                        i.budget.worked(i.held.len(), now);
                    }
                }
                Outcome::Later(_) => {
                    add(&self.counts.refused_for_now);
                    i.endpoints.failed(to, now);
                    i.budget.failed(now);
                }
                Outcome::Doubt => {
                    add(&self.counts.in_doubt);
                    i.endpoints.failed(to, now);
                    i.budget.failed(now);
                }
            }
        }
        let chance = i.rng.f64();
        let Some(t) = i.jobs.get_mut(id) else { return Changed::Nothing };
        t.flying = false;
        let pace = &self.settings.pace;
        let changed = match d.outcome {
            Ok(o) => t.job.heard(d.errand.action, o, pace, chance, now),
            Err(ok) => {
                t.job.recorded(ok, pace, chance, now);
                Changed::Nothing
            }
        };
        let change = Change { id: id.clone(), progress: t.job.shown(), answer: t.job.answer().cloned() };
        i.schedule(id, None);
        if matches!(changed, Changed::Accepted | Changed::Over) {
            i.settled(id);
        }
        drop(guard);
        match changed {
            Changed::Accepted => {
                add(&self.counts.accepted);
                info!(id = %change.id, "accepted");
            }
            Changed::Nothing if change.answer.is_none() => return changed,
            _ => {}
        }
        if let Some(a) = &change.answer {
            add(&self.counts.answers);
            info!(id = %change.id, answer = ?a, "final answer");
            self.over.notify(usize::MAX);
        }
        if changed != Changed::Over {
            // full: the oldest goes, and its readers are told
            let _ = self.changes.try_broadcast(change);
        }
        changed
    }

    async fn drive(self: Arc<Self>) {
        let mut flying = FuturesUnordered::new();
        let mut accepted: Vec<Name> = Vec::new();
        let mut writing: Option<smol::Task<bool>> = None;
        loop {
            let woken = self.wake.listen();
            if self.lock().closed {
                return;
            }
            let now = Instant::now();
            let (errands, next) = self.errands(flying.len(), now);
            for e in errands {
                flying.push(self.run(e));
            }
            let full = flying.len() >= self.settings.in_flight;
            let finished = async {
                match flying.next().await {
                    Some(d) => Some(d),
                    None => std::future::pending().await,
                }
            };
            let timer = async {
                match next.filter(|_| !full) {
                    Some(t) => drop(smol::Timer::at(t).await),
                    None => std::future::pending().await,
                }
            };
            let noted = async {
                match writing.as_mut() {
                    Some(w) => Some(w.await),
                    None => std::future::pending().await,
                }
            };
            let event = or(async { Woken::Finished(finished.await) }, async { Woken::Noted(noted.await) });
            match or(event, async {
                or(timer, woken).await;
                Woken::Nothing
            })
            .await
            {
                Woken::Finished(Some(d)) => {
                    let id = d.errand.id.clone();
                    if self.done(d, Instant::now()) == Changed::Accepted && self.journal.is_some() {
                        accepted.push(id);
                    }
                }
                Woken::Noted(ok) => {
                    writing = None;
                    if ok == Some(false) {
                        add(&self.counts.journal_failures);
                    }
                }
                _ => {}
            }
            // a program that starts again asks instead of submitting; where
            // this is lost it submits once more, under the same id.  So it is
            // written for many at once, and a failure is only counted.
            if let Some(j) = self.journal.clone().filter(|_| writing.is_none() && !accepted.is_empty()) {
                let ids = std::mem::take(&mut accepted);
                writing = Some(smol::unblock(move || j.change(&ids, |r| r.accepted = true).is_ok()));
            }
        }
    }
}

impl Client {
    /// Opens a client.  Jobs in its journal are pursued at once; their handles
    /// come from [`Client::resumed`].
    pub async fn open(settings: Settings) -> Result<Client, Error> {
        if let Some(why) = settings.fault() {
            return Err(Error::Input(why.into()));
        }
        let journal = match settings.journal.clone() {
            None => None,
            Some(path) => Some(Arc::new(smol::unblock(move || Journal::open(&path)).await?)),
        };
        let records = match journal.clone() {
            None => Vec::new(),
            Some(j) => smol::unblock(move || j.all()).await?,
        };
        let now = Instant::now();
        let mut rng = fastrand::Rng::new();
        let first = rng.usize(0..settings.endpoints.len());
        let (sender, receiver) = async_broadcast::broadcast(settings.changes);
        let idle = receiver.deactivate();
        let mut sender = sender;
        sender.set_overflow(true);
        let mut inner = Inner {
            jobs: HashMap::new(),
            due: BTreeSet::new(),
            held: VecDeque::new(),
            after: HashMap::new(),
            endpoints: Endpoints::new(&settings.endpoints, first, settings.rest),
            budget: Budget::new(
                settings.retry_ratio,
                (settings.in_flight as f64 * settings.retry_ratio).max(1.0),
                settings.retry_trickle,
                settings.limit,
                now,
            ),
            rng,
            closed: false,
        };
        let counts = Counts::default();
        for r in records {
            add(&counts.jobs);
            let id = r.spec.id.clone();
            let job = Job::resumed(r, now);
            inner.jobs.insert(id.clone(), Tracked { job, flying: false });
            inner.schedule(&id, None);
        }
        let shared = Arc::new(Shared {
            http: http::Client::new(settings.idle),
            settings,
            journal,
            inner: Mutex::new(inner),
            wake: Event::new(),
            over: Event::new(),
            counts,
            changes: sender,
        });
        let driver = Arc::new(smol::spawn(shared.clone().drive()));
        Ok(Client { shared, driver, idle })
    }

    /// Handles of all jobs whose answers have not been taken yet, those of an
    /// earlier life of the program among them.
    pub fn resumed(&self) -> Vec<JobHandle> {
        let mut ids: Vec<Name> = self.shared.lock().jobs.keys().cloned().collect();
        ids.sort();
        ids.into_iter().map(|id| self.handle(id)).collect()
    }

    /// The handle of a job by its id, if its answer has not been taken yet.
    pub fn job(&self, id: &str) -> Option<JobHandle> {
        let known = self.shared.lock().jobs.get_key_value(id).map(|(n, _)| n.clone());
        known.map(|n| self.handle(n))
    }

    fn handle(&self, id: Name) -> JobHandle {
        JobHandle { id, client: self.clone() }
    }

    /// Submits a job under its id.  When this returns, the job is on record
    /// and will be pursued to its end; the same submission again is the same
    /// job.  Waits while there are as many unfinished jobs as allowed.
    pub async fn submit(&self, spec: JobSpec) -> Result<JobHandle, Error> {
        let mut handles = self.submit_all(vec![spec]).await?;
        handles.pop().ok_or(Error::Closed)
    }

    /// Submits jobs, all or none of them taken in; a batch costs the journal
    /// one write.  A job that needs others is sent once these are accepted, in
    /// whatever order they come.
    pub async fn submit_all(&self, specs: Vec<JobSpec>) -> Result<Vec<JobHandle>, Error> {
        Ok(self.take_in(specs, None).await?.unwrap_or_default())
    }

    /// Submits a batch once in the journal's life: `None` if one of this name
    /// was taken in before, with whatever ids it had then.  So a program may
    /// make ids for its input and still start again at any moment.
    pub async fn submit_once(&self, batch: &str, specs: Vec<JobSpec>) -> Result<Option<Vec<JobHandle>>, Error> {
        self.take_in(specs, Some(batch.to_owned())).await
    }

    async fn take_in(&self, specs: Vec<JobSpec>, batch: Option<String>) -> Result<Option<Vec<JobHandle>>, Error> {
        for s in &specs {
            if let Some(why) = s.validation_error() {
                return Err(Error::Input(format!("{}: bad value: {why}", s.id)));
            }
        }
        if specs.len() > self.shared.settings.open {
            let most = self.shared.settings.open;
            return Err(Error::Input(format!("{} jobs in one batch, {most} may be unfinished at once", specs.len())));
        }
        let specs: Vec<Arc<JobSpec>> = specs.into_iter().map(Arc::new).collect();
        self.room(specs.len()).await?;
        let records = match self.shared.journal.clone() {
            None => {
                let of =
                    |s: &Arc<JobSpec>| Record { spec: (**s).clone(), accepted: false, withdrawn: false, answer: None };
                specs.iter().map(of).collect()
            }
            Some(j) => {
                let specs = specs.clone();
                match smol::unblock(move || j.add(&specs, batch.as_deref())).await? {
                    Some(r) => r,
                    None => return Ok(None),
                }
            }
        };
        let now = Instant::now();
        let mut i = self.shared.lock();
        let mut handles = Vec::with_capacity(records.len());
        for r in records {
            let id = r.spec.id.clone();
            match i.jobs.get(&id) {
                Some(t) if **t.job.spec() != r.spec => return Err(Fault::Taken { id: id.to_string() }.into()),
                Some(_) => {}
                None => {
                    add(&self.shared.counts.jobs);
                    i.jobs.insert(id.clone(), Tracked { job: Job::resumed(r, now), flying: false });
                    i.schedule(&id, None);
                }
            }
            handles.push(self.handle(id));
        }
        drop(i);
        self.shared.wake.notify(1);
        Ok(Some(handles))
    }

    /// Waits until so many more jobs may be unfinished.
    async fn room(&self, n: usize) -> Result<(), Error> {
        loop {
            let over = self.shared.over.listen();
            {
                let i = self.shared.lock();
                if i.closed {
                    return Err(Error::Closed);
                }
                let open = i.jobs.values().filter(|t| t.job.due().is_some()).count();
                if open + n <= self.shared.settings.open {
                    return Ok(());
                }
            }
            over.await;
        }
    }

    /// What changes from now on, of all jobs.  A reader that falls behind by
    /// more than [`Settings::changes`] misses the oldest ones, and is told so.
    pub fn changes(&self) -> async_broadcast::Receiver<Change> {
        self.idle.activate_cloned()
    }

    /// What the client has done so far.
    pub fn counters(&self) -> Counters {
        self.shared.counts.read()
    }

    /// Ends the client: nothing is sent any more.  Jobs in the journal go on
    /// when it is opened again.
    pub fn close(&self) {
        self.shared.lock().closed = true;
        self.shared.wake.notify(usize::MAX);
        self.shared.over.notify(usize::MAX);
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        // the driver's own task is not a clone of this
        if Arc::strong_count(&self.driver) == 1 {
            self.close();
        }
    }
}

/// A job in the client's care.
#[derive(Clone)]
pub struct JobHandle {
    id: Name,
    client: Client,
}

impl JobHandle {
    /// Its id.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// How it stands, as far as is known: never an older state than before.
    pub fn progress(&self) -> Progress {
        self.client.shared.lock().jobs.get(&self.id).map(|t| t.job.shown()).unwrap_or_default()
    }

    /// Its final answer, if it is known.
    pub fn answer(&self) -> Option<Final> {
        self.client.shared.lock().jobs.get(&self.id).and_then(|t| t.job.answer().cloned())
    }

    /// Waits for the final answer, for as long as it takes.  Again, it is the
    /// same answer.
    pub async fn wait(&self) -> Result<Final, Error> {
        loop {
            let over = self.client.shared.over.listen();
            if let Some(a) = self.answer() {
                return Ok(a);
            }
            {
                let i = self.client.shared.lock();
                if i.closed || !i.jobs.contains_key(&self.id) {
                    return Err(Error::Closed);
                }
            }
            over.await;
        }
    }

    /// Waits for the final answer until a time.  [`Error::Deadline`] says that
    /// it is not known yet, never that the job failed: it is pursued on.
    pub async fn wait_until(&self, deadline: Instant) -> Result<Final, Error> {
        let late = async {
            smol::Timer::at(deadline).await;
            Err(Error::Deadline { id: self.id.to_string() })
        };
        or(self.wait(), late).await
    }

    /// Withdraws the job, durably: it is pursued until a controller says that
    /// the job is cancelled, or was done before.
    pub async fn withdraw(&self) -> Result<(), Error> {
        if let Some(j) = self.client.shared.journal.clone() {
            let id = self.id.clone();
            smol::unblock(move || j.change(&[id], |r| r.withdrawn = true)).await?;
        }
        let mut guard = self.client.shared.lock();
        let i = &mut *guard;
        if let Some(t) = i.jobs.get_mut(&self.id) {
            let was = t.job.due();
            t.job.withdraw(Instant::now());
            i.schedule(&self.id, was);
        }
        drop(guard);
        self.client.shared.wake.notify(1);
        Ok(())
    }

    /// Takes the final answer: the caller has acted on it, and the job leaves
    /// the journal.  Until then every life of the program is given the same
    /// answer; afterwards none is given it again.  Waits for the answer first.
    pub async fn take(self) -> Result<Final, Error> {
        let answer = self.wait().await?;
        if let Some(j) = self.client.shared.journal.clone() {
            let id = self.id.clone();
            smol::unblock(move || j.remove(&id)).await?;
        }
        self.client.shared.lock().jobs.remove(&self.id);
        self.client.shared.over.notify(usize::MAX);
        Ok(answer)
    }
}
