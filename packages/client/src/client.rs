//! The client: takes jobs, records them and pursues them in the background,
//! with a bound on everything it keeps.

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

pub use self::handle::JobHandle;

use self::shared::Shared;
use self::state::{ClientState, TrackedJob};
use crate::counters::{increment, AtomicCounters, Counters};
use crate::endpoints::Endpoints;
use crate::error::Error;
use crate::job::Job;
use crate::journal::{Journal, JournalError};
use crate::model::{Change, JobRecord};
use crate::retry::RetryBudget;
use crate::settings::Settings;

/// A client.  Clones are the same client; jobs are pursued until the last
/// clone and the last handle are dropped.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    /// Stops the driver when the last clone is dropped.
    driver: Arc<smol::Task<()>>,
    /// Keeps the channel of changes open while nobody reads it.
    change_receiver: async_broadcast::InactiveReceiver<Change>,
}

impl Client {
    /// Opens a client.  Jobs in its journal are pursued at once; their handles
    /// come from [`Client::resumed`].
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] for settings that contradict one another, and
    /// [`Error::Journal`] if the journal can't be used.
    pub async fn open(settings: Settings) -> Result<Client, Error> {
        settings.validate()?;
        let journal = match settings.journal.clone() {
            None => None,
            Some(path) => Some(Arc::new(smol::unblock(move || Journal::open(&path)).await?)),
        };
        let records = match journal.clone() {
            None => Vec::new(),
            Some(journal) => smol::unblock(move || journal.read_all()).await?,
        };
        let now = Instant::now();
        let (mut change_sender, change_receiver) = async_broadcast::broadcast(settings.change_buffer);
        change_sender.set_overflow(true);
        let mut state = initial_state(&settings, now);
        let counters = AtomicCounters::default();
        for record in records {
            track(&mut state, &counters, record, now);
        }
        let shared = Arc::new(Shared {
            http: http::Client::new(settings.max_idle_connections),
            settings,
            journal,
            state: Mutex::new(state),
            work_available: Event::new(),
            job_ended: Event::new(),
            counters,
            change_sender,
        });
        let driver = Arc::new(smol::spawn(shared.clone().drive()));
        Ok(Client { shared, driver, change_receiver: change_receiver.deactivate() })
    }

    /// Handles of all jobs whose answers have not been taken yet, those of
    /// earlier runs of the program among them, in the order of their ids.
    pub fn resumed(&self) -> Vec<JobHandle> {
        let mut ids: Vec<Name> = self.shared.lock().jobs.keys().cloned().collect();
        ids.sort();
        ids.into_iter().map(|id| self.handle(id)).collect()
    }

    /// The handle of a job by its id, if its answer has not been taken yet.
    pub fn job(&self, id: &str) -> Option<JobHandle> {
        let known_id = self.shared.lock().jobs.get_key_value(id).map(|(known_id, _)| known_id.clone());
        known_id.map(|known_id| self.handle(known_id))
    }

    fn handle(&self, id: Name) -> JobHandle {
        JobHandle { id, client: self.clone() }
    }

    /// Submits a job under its id.  When this returns, the job is in the journal
    /// and is pursued to its end; submitting the same specification again gives
    /// the same job.  Waits while there are as many unfinished jobs as allowed.
    ///
    /// # Errors
    ///
    /// Those of [`Client::submit_all`].
    pub async fn submit(&self, spec: JobSpec) -> Result<JobHandle, Error> {
        let mut handles = self.submit_all(vec![spec]).await?;
        handles.pop().ok_or(Error::Closed)
    }

    /// Submits all jobs or none; a batch costs the journal one write.  A job with
    /// dependencies is sent once these are accepted, whatever the order in which
    /// the jobs are given.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidJob`], [`Error::BatchTooLarge`], [`Error::Journal`], also
    /// for an id that another specification has, or [`Error::Closed`].
    pub async fn submit_all(&self, specs: Vec<JobSpec>) -> Result<Vec<JobHandle>, Error> {
        Ok(self.register_jobs(specs, None).await?.unwrap_or_default())
    }

    /// Submits a named batch once in the journal's life: `None` if a batch of this
    /// name was submitted before, with whatever ids it had then.  So a program
    /// may generate ids for its input and still be restarted at any moment.
    ///
    /// # Errors
    ///
    /// Those of [`Client::submit_all`].
    pub async fn submit_once(&self, batch: &str, specs: Vec<JobSpec>) -> Result<Option<Vec<JobHandle>>, Error> {
        self.register_jobs(specs, Some(batch.to_owned())).await
    }

    async fn register_jobs(&self, specs: Vec<JobSpec>, batch: Option<String>) -> Result<Option<Vec<JobHandle>>, Error> {
        self.validate(&specs)?;
        let specs: Vec<Arc<JobSpec>> = specs.into_iter().map(Arc::new).collect();
        self.wait_for_capacity(specs.len()).await?;
        let records = match self.shared.journal.clone() {
            None => specs.iter().map(|spec| JobRecord::new(spec)).collect(),
            Some(journal) => {
                let write = move || journal.add(&specs, batch.as_deref());
                match smol::unblock(write).await? {
                    Some(records) => records,
                    None => return Ok(None),
                }
            }
        };
        let handles = self.track_all(records)?;
        self.shared.work_available.notify(1);
        Ok(Some(handles))
    }

    fn validate(&self, specs: &[JobSpec]) -> Result<(), Error> {
        for spec in specs {
            if let Some(reason) = spec.validation_error() {
                return Err(Error::InvalidJob { id: spec.id.clone(), reason });
            }
        }
        let limit = self.shared.settings.max_unfinished_jobs;
        if specs.len() > limit {
            return Err(Error::BatchTooLarge { jobs: specs.len(), limit });
        }
        Ok(())
    }

    fn track_all(&self, records: Vec<JobRecord>) -> Result<Vec<JobHandle>, Error> {
        let now = Instant::now();
        let mut state = self.shared.lock();
        let mut handles = Vec::with_capacity(records.len());
        for record in records {
            let id = record.spec.id.clone();
            match state.jobs.get(&id) {
                Some(tracked) if **tracked.job.spec() != record.spec => {
                    return Err(JournalError::IdTaken { id: id.to_string() }.into());
                }
                Some(_) => {}
                None => track(&mut state, &self.shared.counters, record, now),
            }
            handles.push(self.handle(id));
        }
        Ok(handles)
    }

    /// Waits until so many more jobs may be unfinished.
    async fn wait_for_capacity(&self, added: usize) -> Result<(), Error> {
        loop {
            // listens before it looks, so that no notification is lost
            let job_ended = self.shared.job_ended.listen();
            {
                let state = self.shared.lock();
                if state.is_closed {
                    return Err(Error::Closed);
                }
                let unfinished = state.jobs.values().filter(|tracked| tracked.job.due_at().is_some()).count();
                if unfinished + added <= self.shared.settings.max_unfinished_jobs {
                    return Ok(());
                }
            }
            job_ended.await;
        }
    }

    /// A stream of the changes of all jobs from now on.  A reader that falls
    /// behind by more than [`Settings::change_buffer`] loses the oldest ones, and
    /// its next read says how many.
    pub fn changes(&self) -> async_broadcast::Receiver<Change> {
        self.change_receiver.activate_cloned()
    }

    /// What the client has done so far.
    pub fn counters(&self) -> Counters {
        self.shared.counters.snapshot()
    }

    /// Closes the client: nothing is sent any more.  Jobs in the journal are
    /// pursued again when it is opened again.
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

/// The state of a client without jobs, which begins with a random endpoint.
fn initial_state(settings: &Settings, now: Instant) -> ClientState {
    let mut rng = fastrand::Rng::new();
    let first_endpoint = rng.usize(0..settings.endpoints.len());
    let budget = RetryBudget::new(
        settings.retry_ratio,
        (settings.max_in_flight as f64 * settings.retry_ratio).max(1.0),
        settings.min_retries_per_s,
        settings.request_timeout,
        now,
    );
    ClientState {
        jobs: HashMap::new(),
        due_jobs: BTreeSet::new(),
        awaiting_budget: VecDeque::new(),
        awaiting_dependency: HashMap::new(),
        endpoints: Endpoints::new(&settings.endpoints, first_endpoint, settings.endpoint_cooldown),
        budget,
        rng,
        is_closed: false,
    }
}

/// Adds a recorded job and schedules it.
fn track(state: &mut ClientState, counters: &AtomicCounters, record: JobRecord, now: Instant) {
    increment(&counters.jobs);
    let id = record.spec.id.clone();
    state.jobs.insert(id.clone(), TrackedJob::new(Job::from_record(record, now)));
    state.schedule(&id);
}
