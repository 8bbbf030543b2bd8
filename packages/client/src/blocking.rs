//! A blocking wrapper of the client, for programs without an async executor.

use std::time::{Duration, Instant};

use coralnotch_wire::model::JobSpec;

use crate::client::{Client, JobHandle};
use crate::error::Error;
use crate::model::FinalAnswer;
use crate::settings::Settings;

/// A wrapper of [`Client`] whose calls block the current thread.
///
/// Clones share one client.
#[derive(Clone)]
pub struct BlockingClient(Client);

impl BlockingClient {
    /// Opens a client like [`Client::open`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::open`].
    pub fn open(settings: Settings) -> Result<BlockingClient, Error> {
        smol::block_on(Client::open(settings)).map(BlockingClient)
    }

    /// Submits a job like [`Client::submit`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::submit`].
    pub fn submit(&self, spec: JobSpec) -> Result<JobHandle, Error> {
        smol::block_on(self.0.submit(spec))
    }

    /// Submits either all of the jobs or none of them, like [`Client::submit_all`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::submit_all`].
    pub fn submit_all(&self, specs: Vec<JobSpec>) -> Result<Vec<JobHandle>, Error> {
        smol::block_on(self.0.submit_all(specs))
    }

    /// Submits a named batch unless the journal already has a batch of that name,
    /// like [`Client::submit_once`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::submit_once`].
    pub fn submit_once(&self, batch: &str, specs: Vec<JobSpec>) -> Result<Option<Vec<JobHandle>>, Error> {
        smol::block_on(self.0.submit_once(batch, specs))
    }

    /// Waits for a job's final answer, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Deadline`] if the answer is not known after `timeout`, and
    /// the errors of [`JobHandle::wait`].
    pub fn wait(&self, job: &JobHandle, timeout: Duration) -> Result<FinalAnswer, Error> {
        match Instant::now().checked_add(timeout) {
            Some(deadline) => smol::block_on(job.wait_until(deadline)),
            None => smol::block_on(job.wait()),
        }
    }

    /// Requests the cancellation of a job like [`JobHandle::cancel`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JobHandle::cancel`].
    pub fn cancel(&self, job: &JobHandle) -> Result<(), Error> {
        smol::block_on(job.cancel())
    }

    /// Waits for a job's final answer and acknowledges it, like
    /// [`JobHandle::acknowledge`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JobHandle::acknowledge`].
    pub fn acknowledge(&self, job: JobHandle) -> Result<FinalAnswer, Error> {
        smol::block_on(job.acknowledge())
    }

    /// Returns the wrapped client, for the methods that this wrapper lacks.
    pub fn client(&self) -> &Client {
        &self.0
    }
}
