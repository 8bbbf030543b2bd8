//! The event loop that sends requests for the jobs of a client until each job
//! has a final answer.

use std::future::{pending, Future};
use std::sync::Arc;
use std::time::Instant;

use coralnotch_wire::model::Name;
use futures_lite::future::or;
use futures_util::stream::{FuturesUnordered, StreamExt};

use super::shared::Shared;
use super::transport::CompletedRequest;
use crate::counters::increment;
use crate::journal::{Journal, JournalError};
use crate::model::Transition;

/// The event that woke the driver.
enum WakeReason {
    RequestCompleted(CompletedRequest),
    AcceptancesWritten(Result<(), JournalError>),
    /// The time of the next check has come, or a caller has added or changed a job
    /// or closed the client.
    RecheckDue,
}

/// Writes acceptances to the journal, with at most one write in progress and
/// many jobs in each.
///
/// After a restart, the client queries an accepted job instead of submitting it.
/// If an acceptance was not written, the client submits the job again under the
/// same id, which is idempotent.  A failed write is therefore counted but not
/// retried.
#[derive(Default)]
struct AcceptanceWriter {
    pending_ids: Vec<Name>,
    write: Option<smol::Task<Result<(), JournalError>>>,
}

impl AcceptanceWriter {
    /// Starts a write unless one is in progress or there is nothing to write.
    fn start_write(&mut self, journal: &Arc<Journal>) {
        if self.write.is_some() || self.pending_ids.is_empty() {
            return;
        }
        let journal = journal.clone();
        let ids = std::mem::take(&mut self.pending_ids);
        self.write = Some(smol::unblock(move || journal.update(&ids, |record| record.accepted = true)));
    }

    /// Waits for the write in progress; never completes if there is none.
    async fn write_completed(&mut self) -> WakeReason {
        match self.write.as_mut() {
            Some(write) => WakeReason::AcceptancesWritten(write.await),
            None => pending().await,
        }
    }
}

impl Shared {
    /// Processes all jobs until the client is closed.
    pub(super) async fn drive(self: Arc<Self>) {
        let mut requests = FuturesUnordered::new();
        let mut acceptances = AcceptanceWriter::default();
        loop {
            // Listening before checking ensures that no notification is missed.
            let notified = self.work_available.listen();
            if self.lock().is_closed {
                return;
            }
            let plan = self.next_requests(requests.len(), Instant::now());
            for request in plan.requests {
                requests.push(self.perform(request));
            }
            let is_at_limit = requests.len() >= self.settings.max_in_flight;
            let recheck = async {
                or(sleep_until(plan.recheck_at.filter(|_| !is_at_limit)), notified).await;
                WakeReason::RecheckDue
            };
            match or(or(next_completion(&mut requests), acceptances.write_completed()), recheck).await {
                WakeReason::RequestCompleted(completed) => {
                    let id = completed.request.id.clone();
                    let transition = self.apply_completion(completed, Instant::now());
                    if transition == Transition::Accepted && self.journal.is_some() {
                        acceptances.pending_ids.push(id);
                    }
                }
                WakeReason::AcceptancesWritten(result) => {
                    acceptances.write = None;
                    if result.is_err() {
                        increment(&self.counters.journal_failures);
                    }
                }
                WakeReason::RecheckDue => {}
            }
            if let Some(journal) = &self.journal {
                acceptances.start_write(journal);
            }
        }
    }
}

/// Waits for a request to complete; never completes if none is in flight.
async fn next_completion<F>(requests: &mut FuturesUnordered<F>) -> WakeReason
where
    F: Future<Output = CompletedRequest>,
{
    match requests.next().await {
        Some(completed) => WakeReason::RequestCompleted(completed),
        None => pending().await,
    }
}

/// Sleeps until `time`; never completes if it is `None`.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => drop(smol::Timer::at(time).await),
        None => pending().await,
    }
}
