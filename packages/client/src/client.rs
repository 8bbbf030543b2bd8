//! The client accepts jobs, writes them to the journal and tracks them in a
//! background task until each has a final answer.
//!
//! Requests in flight, idle connections, unfinished jobs and buffered changes
//! are limited by [`Settings`].

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

/// A client that submits jobs and tracks each one until it has a final answer.
///
/// Clones and job handles share one client.  Dropping the last of them closes
/// the client.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    /// The driver's task.  The reference count shows when the last clone of the
    /// client is dropped.
    driver: Arc<smol::Task<()>>,
    /// Keeps the channel of changes open while it has no active receiver.
    change_receiver: async_broadcast::InactiveReceiver<Change>,
}

impl Client {
    /// Opens a client and immediately resumes the jobs in its journal.
    ///
    /// [`Client::resumed`] returns the handles of the resumed jobs.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Settings`] if the settings are invalid, and
    /// [`Error::Journal`] if the journal can't be opened or read.
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
            track_job(&mut state, &counters, record, now);
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

    /// Returns the handles of all jobs whose answers have not been acknowledged (see
    /// [`JobHandle::acknowledge`]), sorted by id.
    ///
    /// Jobs that earlier runs of the program left in the journal are included.
    pub fn resumed(&self) -> Vec<JobHandle> {
        let mut ids: Vec<Name> = self.shared.lock().jobs.keys().cloned().collect();
        ids.sort();
        ids.into_iter().map(|id| self.handle(id)).collect()
    }

    /// Returns the handle of the job with this id, or `None` if the client does
    /// not know the id or the job's answer has been acknowledged.
    pub fn job(&self, id: &str) -> Option<JobHandle> {
        let known_id = self.shared.lock().jobs.get_key_value(id).map(|(known_id, _)| known_id.clone());
        known_id.map(|known_id| self.handle(known_id))
    }

    fn handle(&self, id: Name) -> JobHandle {
        JobHandle { id, client: self.clone() }
    }

    /// Submits a job under the id in its specification.
    ///
    /// When this method returns, the job is in the journal, if there is one, and
    /// the client tracks it until it has a final answer.  Submitting the same
    /// specification again returns a handle of the same job.  The call waits
    /// while [`Settings::max_unfinished_jobs`] is reached.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::submit_all`].
    pub async fn submit(&self, spec: JobSpec) -> Result<JobHandle, Error> {
        let mut handles = self.submit_all(vec![spec]).await?;
        handles.pop().ok_or(Error::Closed)
    }

    /// Submits either all of the jobs or none of them.
    ///
    /// The whole batch is written to the journal in one transaction.  The jobs can
    /// be in any order: a job is sent once its dependencies are accepted.
    ///
    /// # Errors
    ///
    /// - [`Error::InvalidJob`] if a specification is invalid.
    /// - [`Error::BatchTooLarge`] if the batch has more than
    ///   [`Settings::max_unfinished_jobs`] jobs.
    /// - [`Error::Journal`] if the journal can't be written, or if an id belongs
    ///   to a job with a different specification.
    /// - [`Error::Closed`] if the client is closed.
    pub async fn submit_all(&self, specs: Vec<JobSpec>) -> Result<Vec<JobHandle>, Error> {
        Ok(self.register_jobs(specs, None).await?.unwrap_or_default())
    }

    /// Submits a named batch unless the journal already has a batch of that name.
    ///
    /// Returns `None` if a batch of that name was submitted before, even with
    /// other job ids.  A program can therefore generate ids for its input and
    /// repeat this call after a restart without submitting the input twice.
    /// Without a journal, the name is ignored and the batch is always submitted.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::submit_all`].
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
        let handles = self.track_jobs(records)?;
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

    fn track_jobs(&self, records: Vec<JobRecord>) -> Result<Vec<JobHandle>, Error> {
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
                None => track_job(&mut state, &self.shared.counters, record, now),
            }
            handles.push(self.handle(id));
        }
        Ok(handles)
    }

    /// Waits until `added_jobs` more jobs fit within [`Settings::max_unfinished_jobs`].
    async fn wait_for_capacity(&self, added_jobs: usize) -> Result<(), Error> {
        loop {
            // Listening before checking ensures that no notification is missed.
            let job_ended = self.shared.job_ended.listen();
            {
                let state = self.shared.lock();
                if state.is_closed {
                    return Err(Error::Closed);
                }
                let unfinished = state.jobs.values().filter(|tracked| tracked.job.due_at().is_some()).count();
                if unfinished + added_jobs <= self.shared.settings.max_unfinished_jobs {
                    return Ok(());
                }
            }
            job_ended.await;
        }
    }

    /// Returns a stream of the changes of all jobs, starting now.
    ///
    /// A reader that falls behind by more than [`Settings::change_buffer`] changes
    /// loses the oldest ones, and its next read reports how many were lost.
    pub fn changes(&self) -> async_broadcast::Receiver<Change> {
        self.change_receiver.activate_cloned()
    }

    /// Returns the current values of the client's counters.
    pub fn counters(&self) -> Counters {
        self.shared.counters.snapshot()
    }

    /// Closes the client: it sends no more requests, and calls that wait return
    /// [`Error::Closed`].
    ///
    /// A client that opens the same journal later resumes the unfinished jobs.
    pub fn close(&self) {
        self.shared.lock().is_closed = true;
        self.shared.work_available.notify(usize::MAX);
        self.shared.job_ended.notify(usize::MAX);
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        // The driver's task holds no clone of the client, so a count of 1 means
        // that this is the last clone.
        if Arc::strong_count(&self.driver) == 1 {
            self.close();
        }
    }
}

/// Returns the state of a client without jobs.  The first endpoint to use is
/// chosen at random.
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

/// Adds a job from its record and schedules the next action of the job.
fn track_job(state: &mut ClientState, counters: &AtomicCounters, record: JobRecord, now: Instant) {
    increment(&counters.jobs);
    let id = record.spec.id.clone();
    state.jobs.insert(id.clone(), TrackedJob::new(Job::from_record(record, now)));
    state.schedule(&id);
}
