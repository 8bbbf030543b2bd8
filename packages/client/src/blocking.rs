//! The same client for programs without an executor of their own.

use std::time::{Duration, Instant};

use coralnotch_wire::model::JobSpec;

use crate::client::{Client, JobHandle};
use crate::error::Error;
use crate::model::FinalAnswer;
use crate::settings::Settings;

/// A client whose calls block.
#[derive(Clone)]
pub struct BlockingClient(Client);

impl BlockingClient {
    /// Opens a client, see [`Client::open`].
    pub fn open(settings: Settings) -> Result<BlockingClient, Error> {
        smol::block_on(Client::open(settings)).map(BlockingClient)
    }

    /// Submits a job, see [`Client::submit`].
    pub fn submit(&self, spec: JobSpec) -> Result<JobHandle, Error> {
        smol::block_on(self.0.submit(spec))
    }

    /// Submits all jobs or none, see [`Client::submit_all`].
    pub fn submit_all(&self, specs: Vec<JobSpec>) -> Result<Vec<JobHandle>, Error> {
        smol::block_on(self.0.submit_all(specs))
    }

    /// Submits a named batch once in the journal's life, see [`Client::submit_once`].
    pub fn submit_once(&self, batch: &str, specs: Vec<JobSpec>) -> Result<Option<Vec<JobHandle>>, Error> {
        smol::block_on(self.0.submit_once(batch, specs))
    }

    /// Waits for a job's final answer, at most for `timeout`;
    /// [`Error::Deadline`] says that it is not known yet.
    pub fn wait(&self, job: &JobHandle, timeout: Duration) -> Result<FinalAnswer, Error> {
        match Instant::now().checked_add(timeout) {
            Some(deadline) => smol::block_on(job.wait_until(deadline)),
            None => smol::block_on(job.wait()),
        }
    }

    /// Requests the cancellation of a job, see [`JobHandle::cancel`].
    pub fn cancel(&self, job: &JobHandle) -> Result<(), Error> {
        smol::block_on(job.cancel())
    }

    /// Takes a job's final answer, see [`JobHandle::take`].
    pub fn take(&self, job: JobHandle) -> Result<FinalAnswer, Error> {
        smol::block_on(job.take())
    }

    /// The client itself, for everything else.
    pub fn client(&self) -> &Client {
        &self.0
    }
}
