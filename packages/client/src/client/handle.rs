//! The handle of one job.

use std::time::Instant;

use coralnotch_wire::model::Name;
use futures_lite::future::or;

use super::Client;
use crate::error::Error;
use crate::model::{FinalAnswer, Progress};

/// A handle to a job that a client tracks.  Clones refer to the same job, and
/// each keeps the client open.
#[derive(Clone)]
pub struct JobHandle {
    pub(super) id: Name,
    pub(super) client: Client,
}

impl JobHandle {
    /// Returns the id from the job's specification.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// Returns the latest known progress; the number of completed tasks never
    /// decreases while the client is open.
    ///
    /// Once the answer has been acknowledged, the progress is zero.
    pub fn progress(&self) -> Progress {
        let state = self.client.shared.lock();
        state.jobs.get(&self.id).map(|tracked| tracked.job.progress()).unwrap_or_default()
    }

    /// Returns the final answer, or `None` if it is not recorded yet or has been
    /// acknowledged.
    pub fn answer(&self) -> Option<FinalAnswer> {
        let state = self.client.shared.lock();
        state.jobs.get(&self.id).and_then(|tracked| tracked.job.answer().cloned())
    }

    /// Waits for the final answer without a timeout.  Later calls return the same
    /// answer until it is acknowledged.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the client is closed before the answer is
    /// recorded, or if the answer has been acknowledged.
    pub async fn wait(&self) -> Result<FinalAnswer, Error> {
        loop {
            // Listening before checking ensures that no notification is missed.
            let job_ended = self.client.shared.job_ended.listen();
            if let Some(answer) = self.answer() {
                return Ok(answer);
            }
            {
                let state = self.client.shared.lock();
                if state.is_closed || !state.jobs.contains_key(&self.id) {
                    return Err(Error::Closed);
                }
            }
            job_ended.await;
        }
    }

    /// Waits for the final answer, at most until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JobHandle::wait`], and [`Error::Deadline`] if the
    /// answer is not known by the deadline.  The latter does not mean that the
    /// job failed: the client keeps tracking it.
    pub async fn wait_until(&self, deadline: Instant) -> Result<FinalAnswer, Error> {
        let timeout = async {
            smol::Timer::at(deadline).await;
            Err(Error::Deadline { id: self.id.to_string() })
        };
        or(self.wait(), timeout).await
    }

    /// Requests the cancellation of the job.
    ///
    /// The request is written to the journal, and the client repeats it until a
    /// controller reports that the job is cancelled or was already done.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Journal`] if the request can't be written to the journal;
    /// the job is then not cancelled.
    pub async fn cancel(&self) -> Result<(), Error> {
        if let Some(journal) = self.client.shared.journal.clone() {
            let id = self.id.clone();
            smol::unblock(move || journal.update(&[id], |record| record.cancel_requested = true)).await?;
        }
        let mut state = self.client.shared.lock();
        if let Some(tracked) = state.jobs.get_mut(&self.id) {
            let old_due_at = tracked.job.due_at();
            tracked.job.request_cancellation(Instant::now());
            state.reschedule(&self.id, old_due_at);
        }
        drop(state);
        self.client.shared.work_available.notify(1);
        Ok(())
    }

    /// Waits for the final answer and acknowledges it, which removes the job from
    /// the client and the journal.
    ///
    /// A program calls this method after it has acted on the answer.  Until then,
    /// every run of the program gets the same answer; afterwards, no run gets it
    /// again.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`JobHandle::wait`], and [`Error::Journal`] if the
    /// record can't be removed; the client then keeps the job.
    pub async fn acknowledge(self) -> Result<FinalAnswer, Error> {
        let answer = self.wait().await?;
        if let Some(journal) = self.client.shared.journal.clone() {
            let id = self.id.clone();
            smol::unblock(move || journal.remove(&id)).await?;
        }
        self.client.shared.lock().jobs.remove(&self.id);
        self.client.shared.job_ended.notify(usize::MAX);
        Ok(answer)
    }
}
