//! A job in the client's care.

use std::time::Instant;

use coralnotch_wire::model::Name;
use futures_lite::future::or;

use super::Client;
use crate::model::{Final, Progress};
use crate::Error;

/// A job in the client's care.
#[derive(Clone)]
pub struct JobHandle {
    pub(super) id: Name,
    pub(super) client: Client,
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
