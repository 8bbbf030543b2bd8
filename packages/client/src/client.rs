//! The client: carries out what the jobs' state machines say, with a bound on
//! everything it holds.

mod completion;
mod dispatch;
mod driver;
mod handle;
mod shared;
mod state;
mod transport;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use coralnotch_wire::http;
use coralnotch_wire::model::{JobSpec, Name};
use event_listener::Event;

use self::shared::Shared;
use self::state::{ClientState, TrackedJob};
use crate::counters::{increment, AtomicCounters, Counters};
use crate::endpoints::Endpoints;
use crate::job::Job;
use crate::journal::{Journal, JournalError};
use crate::model::{Change, JobRecord};
use crate::retry::RetryBudget;
use crate::settings::Settings;
use crate::Error;

pub use handle::JobHandle;

/// A client.  Clones are the same client; jobs are pursued until the last
/// clone and the last handle are gone.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    driver: Arc<smol::Task<()>>,
    change_receiver: async_broadcast::InactiveReceiver<Change>,
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
