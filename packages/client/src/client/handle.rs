//! The handle of one job.

use std::time::Instant;

use coralnotch_wire::model::Name;
use futures_lite::future::or;

use super::Client;
use crate::error::Error;
use crate::model::{FinalAnswer, Progress};

/// A job that a client pursues.  Clones are handles of the same job.
#[derive(Clone)]
pub struct JobHandle {
    pub(super) id: Name,
    pub(super) client: Client,
}

impl JobHandle {
    /// The job's id.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// The latest known progress; it never goes back to an older state.
    pub fn progress(&self) -> Progress {
        let state = self.client.shared.lock();
        state.jobs.get(&self.id).map(|tracked| tracked.job.progress()).unwrap_or_default()
    }

    /// The final answer, once it is recorded.
    pub fn answer(&self) -> Option<FinalAnswer> {
        let state = self.client.shared.lock();
        state.jobs.get(&self.id).and_then(|tracked| tracked.job.answer().cloned())
    }

    /// Waits for the final answer, for as long as it takes.  Later calls return
    /// the same answer.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the client is closed, or the answer has been taken.
    pub async fn wait(&self) -> Result<FinalAnswer, Error> {
        loop {
            // listens before it looks, so that no notification is lost
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

    /// Waits for the final answer until a time.
    ///
    /// # Errors
    ///
    /// [`Error::Deadline`] says that the answer is not known yet, never that the
    /// job failed: the client keeps pursuing it.
    pub async fn wait_until(&self, deadline: Instant) -> Result<FinalAnswer, Error> {
        let timeout = async {
            smol::Timer::at(deadline).await;
            Err(Error::Deadline { id: self.id.to_string() })
        };
        or(self.wait(), timeout).await
    }

    /// Requests the cancellation of the job, durably: it is pursued until a
    /// controller answers that the job is cancelled, or was done before.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] if the request can't be recorded; it is not pursued then.
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

    /// Waits for the final answer and removes the job from the journal: the
    /// caller has acted on the answer.  Until then every run of the program gets
    /// the same answer; afterwards none gets it again.
    ///
    /// # Errors
    ///
    /// Those of [`JobHandle::wait`], and [`Error::Journal`] if the record can't
    /// be removed; the job is kept then.
    pub async fn take(self) -> Result<FinalAnswer, Error> {
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
