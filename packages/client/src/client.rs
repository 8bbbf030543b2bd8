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
use crate::job::{Action, Final, Job, Progress, Timing, Transition};
use crate::journal::{JobRecord, Journal, JournalError};
use crate::outcome::{outcome, Outcome};
use crate::retry::{Backoff, RetryBudget};
use crate::Error;

/// How a client works.  The defaults are those of the protocol's users.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to submit: load balancers or controllers.
    pub endpoints: Vec<SocketAddr>,
    /// The journal's file; without one, jobs end with the program.
    pub journal: Option<PathBuf>,
    /// Requests under way at once, at most.
    pub max_in_flight: usize,
    /// Idle connections kept for the next request.
    pub max_idle_connections: usize,
    /// Unfinished jobs at once; a submission beyond waits for one to end.
    pub max_unfinished_jobs: usize,
    /// Changes kept for a reader that is behind; older ones are dropped, and
    /// the reader is told how many.
    pub change_buffer: usize,
    /// How long one try may take.
    pub request_timeout: Duration,
    /// How quickly jobs are pursued.
    pub timing: Timing,
    /// Retries as a share of first tries.
    pub retry_ratio: f64,
    /// Retries a second in any case.
    pub min_retries_per_s: f64,
    /// Without the budget every retry goes out as soon as it is due.
    pub retry_budget: bool,
    /// How long an endpoint that keeps failing is left alone.
    pub endpoint_cooldown: Duration,
}

impl Settings {
    /// The defaults, for these endpoints, without a journal.
    pub fn new(endpoints: Vec<SocketAddr>) -> Settings {
        Settings {
            endpoints,
            journal: None,
            max_in_flight: 32,
            max_idle_connections: 32,
            max_unfinished_jobs: 10_000,
            change_buffer: 1024,
            request_timeout: Duration::from_secs(5),
            timing: Timing {
                backoff: Backoff { initial: Duration::from_secs(1), maximum: Duration::from_secs(30) },
                min_poll_interval: Duration::from_secs(1),
                max_poll_interval: Duration::from_secs(30),
            },
            retry_ratio: 0.2,
            min_retries_per_s: 0.2,
            retry_budget: true,
            endpoint_cooldown: Duration::from_secs(3),
        }
    }

    fn validation_error(&self) -> Option<&'static str> {
        let p = &self.timing;
        match () {
            () if self.endpoints.is_empty() => Some("there is no endpoint to submit to"),
            () if self.max_in_flight == 0 || self.max_unfinished_jobs == 0 || self.change_buffer == 0 => {
                Some("a bound is 0")
            }
            () if self.request_timeout.is_zero() || p.max_poll_interval.is_zero() => Some("a time is 0"),
            () if p.min_poll_interval > p.max_poll_interval || p.backoff.initial > p.backoff.maximum => {
                Some("a first time is over its most")
            }
            () if !(self.retry_ratio >= 0.0 && self.min_retries_per_s > 0.0) => Some("the retry budget is not above 0"),
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
        struct AtomicCounters {
            $($name: AtomicU64,)*
        }
        impl AtomicCounters {
            fn snapshot(&self) -> Counters {
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

struct TrackedJob {
    job: Job,
    /// A request is under way, or waits for the budget or for a needed job.
    in_flight: bool,
}

struct ClientState {
    jobs: HashMap<Name, TrackedJob>,
    /// Jobs that are not over, by when there is something to do.
    due_jobs: BTreeSet<(Instant, Name)>,
    /// Jobs whose retries are due and wait for the budget, in their order; no
    /// more than there are unfinished jobs.
    awaiting_budget: VecDeque<Name>,
    /// Jobs that wait until one that they need is accepted, by that one; each
    /// once.
    awaiting_dependency: HashMap<Name, Vec<Name>>,
    endpoints: Endpoints,
    budget: RetryBudget,
    rng: fastrand::Rng,
    is_closed: bool,
}

impl ClientState {
    /// A job that this one needs and that no controller has said to have yet: a
    /// submission that names it would be refused for good.
    fn first_unaccepted_dependency(&self, id: &Name) -> Option<Name> {
        let job = &self.jobs.get(id)?.job;
        let open = |n: &&Name| self.jobs.get(*n).is_some_and(|t| !t.job.is_accepted() && !t.job.has_ended());
        let waits = !job.is_accepted() && !job.has_ended();
        job.spec().needs.iter().filter(|_| waits).find(open).cloned()
    }

    /// The job is accepted, or never will be: those that waited for it go on.
    fn release_dependents(&mut self, id: &Name) {
        for n in self.awaiting_dependency.remove(id).unwrap_or_default() {
            if let Some(t) = self.jobs.get_mut(&n) {
                t.in_flight = false;
            }
            self.schedule(&n, None);
        }
    }

    fn schedule(&mut self, id: &Name, was: Option<Instant>) {
        if let Some(t) = was {
            self.due_jobs.remove(&(t, id.clone()));
        }
        if let Some(t) = self.jobs.get(id).filter(|t| !t.in_flight).and_then(|t| t.job.due_at()) {
            self.due_jobs.insert((t, id.clone()));
        }
    }
}

struct Shared {
    settings: Settings,
    journal: Option<Arc<Journal>>,
    http: http::Client,
    state: Mutex<ClientState>,
    /// Something is to be done.
    work_available: Event,
    /// A job is over, or was let go.
    job_ended: Event,
    counters: AtomicCounters,
    change_sender: async_broadcast::Sender<Change>,
}

/// A client.  Clones are the same client; jobs are pursued until the last
/// clone and the last handle are gone.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    driver: Arc<smol::Task<()>>,
    change_receiver: async_broadcast::InactiveReceiver<Change>,
}

/// What is to be done for a job now.
struct PendingRequest {
    id: Name,
    action: Action,
    endpoint: Option<SocketAddr>,
    /// It repeats one that did not go through.
    is_retry: bool,
}

/// Why the driver goes on.
enum WakeReason {
    RequestCompleted(Option<CompletedRequest>),
    JournalWritten(Option<bool>),
    Signalled,
}

/// What came of it.
struct CompletedRequest {
    request: PendingRequest,
    outcome: Result<Outcome, bool>,
}

/// Least time until the next look.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(1);

fn increment(c: &AtomicU64) {
    c.fetch_add(1, Ordering::Relaxed);
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// What is due, as far as requests under way, endpoints and the budget of
    /// retries allow; and when to look again.
    fn next_requests(&self, in_flight: usize, now: Instant) -> (Vec<PendingRequest>, Option<Instant>) {
        let mut guard = self.lock();
        let i = &mut *guard;
        let mut requests = Vec::new();
        let mut room = self.settings.max_in_flight.saturating_sub(in_flight);
        let mut look = None;
        // who waited for the budget goes before who comes now
        while room > 0 && !i.awaiting_budget.is_empty() {
            let to = match i.endpoints.choose(now).and_then(|to| i.budget.try_spend(now).map(|()| to)) {
                Ok(to) => to,
                Err(wait) => {
                    look = Some(now + wait.max(MIN_RECHECK_DELAY));
                    break;
                }
            };
            let Some(id) = i.awaiting_budget.pop_front() else { break };
            let Some(t) = i.jobs.get_mut(&id).filter(|t| t.job.due_at().is_some()) else { continue };
            increment(&self.counters.retries);
            requests.push(PendingRequest { action: t.job.action(), id, endpoint: Some(to), is_retry: true });
            room -= 1;
        }
        while room > 0 {
            let Some((at, id)) = i.due_jobs.first().cloned().filter(|d| d.0 <= now) else { break };
            i.due_jobs.remove(&(at, id.clone()));
            let first = i.first_unaccepted_dependency(&id);
            let Some(tracked) = i.jobs.get_mut(&id) else { continue };
            if let Some(first) = first {
                tracked.in_flight = true;
                i.awaiting_dependency.entry(first).or_default().push(id);
                continue;
            }
            let (action, again) = (tracked.job.action(), tracked.job.is_retry());
            let mut to = None;
            if action != Action::RecordAnswer {
                match i.endpoints.choose(now) {
                    Err(rest) => {
                        tracked.job.postpone(now + rest.max(MIN_RECHECK_DELAY));
                        i.schedule(&id, None);
                        continue;
                    }
                    Ok(addr) => to = Some(addr),
                }
                match again {
                    false => i.budget.record_first_attempt(now),
                    // in its turn: others may be held already
                    true if self.settings.retry_budget => {
                        let wait =
                            if i.awaiting_budget.is_empty() { i.budget.try_spend(now) } else { Err(MIN_RECHECK_DELAY) };
                        if let Err(wait) = wait {
                            increment(&self.counters.held_back);
                            tracked.in_flight = true;
                            i.awaiting_budget.push_back(id);
                            let at = now + wait.max(MIN_RECHECK_DELAY);
                            look = Some(look.map_or(at, |l: Instant| l.min(at)));
                            continue;
                        }
                        increment(&self.counters.retries);
                    }
                    true => increment(&self.counters.retries),
                }
            }
            tracked.in_flight = true;
            requests.push(PendingRequest { id, action, endpoint: to, is_retry: again });
            room -= 1;
        }
        let next = i.due_jobs.first().map(|d| d.0);
        (requests, [next, look].into_iter().flatten().min())
    }

    async fn perform(&self, request: PendingRequest) -> CompletedRequest {
        let Some(to) = request.endpoint else {
            let outcome = Err(self.record_answer(&request.id).await);
            return CompletedRequest { request, outcome };
        };
        let (method, target, body) = {
            let i = self.lock();
            let spec = i.jobs.get(&request.id).map(|t| t.job.spec().clone());
            match (request.action, spec) {
                (Action::Submit, Some(s)) => ("POST", "/v2/runs".to_owned(), Some(http::encode(&*s))),
                (Action::Cancel, _) => ("POST", format!("/v2/runs/{}/withdraw", request.id), None),
                _ => ("GET", format!("/v2/runs/{}", request.id), None),
            }
        };
        increment(&self.counters.requests);
        let got = self.http.exchange(to, method, &target, body.as_deref(), self.settings.request_timeout).await;
        if let Err(e) = &got {
            debug!(id = %request.id, action = ?request.action, %to, error = %e, "no answer");
        }
        let outcome = outcome(request.action, got, &request.id, SystemTime::now());
        CompletedRequest { request, outcome: Ok(outcome) }
    }

    /// Writes a job's final answer to the journal; whether it is there.
    async fn record_answer(&self, id: &Name) -> bool {
        let answer = self.lock().jobs.get(id).and_then(|t| t.job.unrecorded_answer().cloned());
        let Some(answer) = answer else { return false };
        let Some(journal) = self.journal.clone() else { return true };
        let key = id.clone();
        match smol::unblock(move || journal.update(&[key], |r| r.answer = Some(answer.clone()))).await {
            Ok(()) => true,
            Err(e) => {
                increment(&self.counters.journal_failures);
                warn!(%id, error = %e, "the journal can't be written; tried again");
                false
            }
        }
    }

    /// Takes in what came of an errand; what the journal should know is
    /// written by the caller.
    fn apply_completion(&self, d: CompletedRequest, now: Instant) -> Transition {
        let mut guard = self.lock();
        let i = &mut *guard;
        let id = &d.request.id;
        if let (Some(to), Ok(o)) = (d.request.endpoint, &d.outcome) {
            match o {
                Outcome::State(_) | Outcome::Refused { .. } | Outcome::UnknownJob => {
                    i.endpoints.record_success(to);
                    if d.request.is_retry {
                        i.budget.record_success(i.awaiting_budget.len(), now);
                    }
                }
                Outcome::RetryLater(_) => {
                    increment(&self.counters.refused_for_now);
                    i.endpoints.record_failure(to, now);
                    i.budget.record_failure(now);
                }
                Outcome::Indeterminate => {
                    increment(&self.counters.in_doubt);
                    i.endpoints.record_failure(to, now);
                    i.budget.record_failure(now);
                }
            }
        }
        let jitter = i.rng.f64();
        let Some(t) = i.jobs.get_mut(id) else { return Transition::Unchanged };
        t.in_flight = false;
        let timing = &self.settings.timing;
        let changed = match d.outcome {
            Ok(o) => t.job.apply_outcome(d.request.action, o, timing, jitter, now),
            Err(ok) => {
                t.job.apply_record_result(ok, timing, jitter, now);
                Transition::Unchanged
            }
        };
        let change = Change { id: id.clone(), progress: t.job.progress(), answer: t.job.answer().cloned() };
        i.schedule(id, None);
        if matches!(changed, Transition::Accepted | Transition::Ended) {
            i.release_dependents(id);
        }
        drop(guard);
        match changed {
            Transition::Accepted => {
                increment(&self.counters.accepted);
                info!(id = %change.id, "accepted");
            }
            Transition::Unchanged if change.answer.is_none() => return changed,
            _ => {}
        }
        if let Some(a) = &change.answer {
            increment(&self.counters.answers);
            info!(id = %change.id, answer = ?a, "final answer");
            self.job_ended.notify(usize::MAX);
        }
        if changed != Transition::Ended {
            // full: the oldest goes, and its readers are told
            let _ = self.change_sender.try_broadcast(change);
        }
        changed
    }

    async fn drive(self: Arc<Self>) {
        let mut in_flight = FuturesUnordered::new();
        let mut accepted: Vec<Name> = Vec::new();
        let mut writing: Option<smol::Task<bool>> = None;
        loop {
            let woken = self.work_available.listen();
            if self.lock().is_closed {
                return;
            }
            let now = Instant::now();
            let (requests, next) = self.next_requests(in_flight.len(), now);
            for e in requests {
                in_flight.push(self.perform(e));
            }
            let full = in_flight.len() >= self.settings.max_in_flight;
            let finished = async {
                match in_flight.next().await {
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
            let event = or(async { WakeReason::RequestCompleted(finished.await) }, async {
                WakeReason::JournalWritten(noted.await)
            });
            match or(event, async {
                or(timer, woken).await;
                WakeReason::Signalled
            })
            .await
            {
                WakeReason::RequestCompleted(Some(d)) => {
                    let id = d.request.id.clone();
                    if self.apply_completion(d, Instant::now()) == Transition::Accepted && self.journal.is_some() {
                        accepted.push(id);
                    }
                }
                WakeReason::JournalWritten(ok) => {
                    writing = None;
                    if ok == Some(false) {
                        increment(&self.counters.journal_failures);
                    }
                }
                _ => {}
            }
            // a program that starts again asks instead of submitting; where
            // this is lost it submits once more, under the same id.  So it is
            // written for many at once, and a failure is only counted.
            if let Some(j) = self.journal.clone().filter(|_| writing.is_none() && !accepted.is_empty()) {
                let ids = std::mem::take(&mut accepted);
                writing = Some(smol::unblock(move || j.update(&ids, |r| r.accepted = true).is_ok()));
            }
        }
    }
}

impl Client {
    /// Opens a client.  Jobs in its journal are pursued at once; their handles
    /// come from [`Client::resumed`].
    pub async fn open(settings: Settings) -> Result<Client, Error> {
        if let Some(reason) = settings.validation_error() {
            return Err(Error::Input(reason.into()));
        }
        let journal = match settings.journal.clone() {
            None => None,
            Some(path) => Some(Arc::new(smol::unblock(move || Journal::open(&path)).await?)),
        };
        let records = match journal.clone() {
            None => Vec::new(),
            Some(j) => smol::unblock(move || j.read_all()).await?,
        };
        let now = Instant::now();
        let mut rng = fastrand::Rng::new();
        let first = rng.usize(0..settings.endpoints.len());
        let (sender, receiver) = async_broadcast::broadcast(settings.change_buffer);
        let idle = receiver.deactivate();
        let mut sender = sender;
        sender.set_overflow(true);
        let mut inner = ClientState {
            jobs: HashMap::new(),
            due_jobs: BTreeSet::new(),
            awaiting_budget: VecDeque::new(),
            awaiting_dependency: HashMap::new(),
            endpoints: Endpoints::new(&settings.endpoints, first, settings.endpoint_cooldown),
            budget: RetryBudget::new(
                settings.retry_ratio,
                (settings.max_in_flight as f64 * settings.retry_ratio).max(1.0),
                settings.min_retries_per_s,
                settings.request_timeout,
                now,
            ),
            rng,
            is_closed: false,
        };
        let counts = AtomicCounters::default();
        for r in records {
            increment(&counts.jobs);
            let id = r.spec.id.clone();
            let job = Job::from_record(r, now);
            inner.jobs.insert(id.clone(), TrackedJob { job, in_flight: false });
            inner.schedule(&id, None);
        }
        let shared = Arc::new(Shared {
            http: http::Client::new(settings.max_idle_connections),
            settings,
            journal,
            state: Mutex::new(inner),
            work_available: Event::new(),
            job_ended: Event::new(),
            counters: counts,
            change_sender: sender,
        });
        let driver = Arc::new(smol::spawn(shared.clone().drive()));
        Ok(Client { shared, driver, change_receiver: idle })
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
        Ok(self.register_jobs(specs, None).await?.unwrap_or_default())
    }

    /// Submits a batch once in the journal's life: `None` if one of this name
    /// was taken in before, with whatever ids it had then.  So a program may
    /// make ids for its input and still start again at any moment.
    pub async fn submit_once(&self, batch: &str, specs: Vec<JobSpec>) -> Result<Option<Vec<JobHandle>>, Error> {
        self.register_jobs(specs, Some(batch.to_owned())).await
    }

    async fn register_jobs(&self, specs: Vec<JobSpec>, batch: Option<String>) -> Result<Option<Vec<JobHandle>>, Error> {
        for s in &specs {
            if let Some(reason) = s.validation_error() {
                return Err(Error::Input(format!("{}: bad value: {reason}", s.id)));
            }
        }
        if specs.len() > self.shared.settings.max_unfinished_jobs {
            let most = self.shared.settings.max_unfinished_jobs;
            return Err(Error::Input(format!("{} jobs in one batch, {most} may be unfinished at once", specs.len())));
        }
        let specs: Vec<Arc<JobSpec>> = specs.into_iter().map(Arc::new).collect();
        self.wait_for_capacity(specs.len()).await?;
        let records = match self.shared.journal.clone() {
            None => {
                let of = |s: &Arc<JobSpec>| JobRecord {
                    spec: (**s).clone(),
                    accepted: false,
                    cancel_requested: false,
                    answer: None,
                };
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
                Some(t) if **t.job.spec() != r.spec => return Err(JournalError::IdTaken { id: id.to_string() }.into()),
                Some(_) => {}
                None => {
                    increment(&self.shared.counters.jobs);
                    i.jobs.insert(id.clone(), TrackedJob { job: Job::from_record(r, now), in_flight: false });
                    i.schedule(&id, None);
                }
            }
            handles.push(self.handle(id));
        }
        drop(i);
        self.shared.work_available.notify(1);
        Ok(Some(handles))
    }

    /// Waits until so many more jobs may be unfinished.
    async fn wait_for_capacity(&self, n: usize) -> Result<(), Error> {
        loop {
            let over = self.shared.job_ended.listen();
            {
                let i = self.shared.lock();
                if i.is_closed {
                    return Err(Error::Closed);
                }
                let open = i.jobs.values().filter(|t| t.job.due_at().is_some()).count();
                if open + n <= self.shared.settings.max_unfinished_jobs {
                    return Ok(());
                }
            }
            over.await;
        }
    }

    /// What changes from now on, of all jobs.  A reader that falls behind by
    /// more than [`Settings::changes`] misses the oldest ones, and is told so.
    pub fn changes(&self) -> async_broadcast::Receiver<Change> {
        self.change_receiver.activate_cloned()
    }

    /// What the client has done so far.
    pub fn counters(&self) -> Counters {
        self.shared.counters.snapshot()
    }

    /// Ends the client: nothing is sent any more.  Jobs in the journal go on
    /// when it is opened again.
    pub fn close(&self) {
        self.shared.lock().is_closed = true;
        self.shared.work_available.notify(usize::MAX);
        self.shared.job_ended.notify(usize::MAX);
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
        self.client.shared.lock().jobs.get(&self.id).map(|t| t.job.progress()).unwrap_or_default()
    }

    /// Its final answer, if it is known.
    pub fn answer(&self) -> Option<Final> {
        self.client.shared.lock().jobs.get(&self.id).and_then(|t| t.job.answer().cloned())
    }

    /// Waits for the final answer, for as long as it takes.  Again, it is the
    /// same answer.
    pub async fn wait(&self) -> Result<Final, Error> {
        loop {
            let over = self.client.shared.job_ended.listen();
            if let Some(a) = self.answer() {
                return Ok(a);
            }
            {
                let i = self.client.shared.lock();
                if i.is_closed || !i.jobs.contains_key(&self.id) {
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
    pub async fn cancel(&self) -> Result<(), Error> {
        if let Some(j) = self.client.shared.journal.clone() {
            let id = self.id.clone();
            smol::unblock(move || j.update(&[id], |r| r.cancel_requested = true)).await?;
        }
        let mut guard = self.client.shared.lock();
        let i = &mut *guard;
        if let Some(t) = i.jobs.get_mut(&self.id) {
            let was = t.job.due_at();
            t.job.request_cancellation(Instant::now());
            i.schedule(&self.id, was);
        }
        drop(guard);
        self.client.shared.work_available.notify(1);
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
        self.client.shared.job_ended.notify(usize::MAX);
        Ok(answer)
    }
}
