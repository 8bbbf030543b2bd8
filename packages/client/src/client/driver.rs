//! The loop that drives all jobs of a client to their final answers.

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

/// Why the driver woke up.
enum WakeReason {
    RequestCompleted(CompletedRequest),
    AcceptancesWritten(Result<(), JournalError>),
    /// Time to plan again, or a caller has changed something.
    RecheckDue,
}

/// Writes acceptances to the journal, one write at a time for many jobs.
///
/// A program that starts again queries an accepted job instead of submitting
/// it; where the acceptance is lost, it submits once more under the same id.
/// So a failed write is counted and not repeated.
#[derive(Default)]
struct AcceptanceWriter {
    unwritten: Vec<Name>,
    write: Option<smol::Task<Result<(), JournalError>>>,
}

impl AcceptanceWriter {
    /// Starts a write, unless one is under way or there is nothing to write.
    fn start_write(&mut self, journal: &Arc<Journal>) {
        if self.write.is_some() || self.unwritten.is_empty() {
            return;
        }
        let journal = journal.clone();
        let ids = std::mem::take(&mut self.unwritten);
        self.write = Some(smol::unblock(move || journal.update(&ids, |record| record.accepted = true)));
    }

    /// Waits for the write that is under way; for ever if there is none.
    async fn written(&mut self) -> WakeReason {
        match self.write.as_mut() {
            Some(write) => WakeReason::AcceptancesWritten(write.await),
            None => pending().await,
        }
    }
}

impl Shared {
    /// Drives all jobs until the client is closed.
    pub(super) async fn drive(self: Arc<Self>) {
        let mut requests = FuturesUnordered::new();
        let mut acceptances = AcceptanceWriter::default();
        loop {
            // listens before it looks, so that no notification is lost
            let notified = self.work_available.listen();
            if self.lock().is_closed {
                return;
            }
            let plan = self.next_requests(requests.len(), Instant::now());
            for request in plan.requests {
                requests.push(self.perform(request));
            }
            let is_full = requests.len() >= self.settings.max_in_flight;
            let recheck = async {
                or(sleep_until(plan.recheck_at.filter(|_| !is_full)), notified).await;
                WakeReason::RecheckDue
            };
            match or(or(next_completion(&mut requests), acceptances.written()), recheck).await {
                WakeReason::RequestCompleted(completed) => {
                    let id = completed.request.id.clone();
                    let transition = self.apply_completion(completed, Instant::now());
                    if transition == Transition::Accepted && self.journal.is_some() {
                        acceptances.unwritten.push(id);
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

/// Waits for a request to complete; for ever if none is in flight.
async fn next_completion<F>(requests: &mut FuturesUnordered<F>) -> WakeReason
where
    F: Future<Output = CompletedRequest>,
{
    match requests.next().await {
        Some(completed) => WakeReason::RequestCompleted(completed),
        None => pending().await,
    }
}

/// Sleeps until a time; for ever if there is none.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => drop(smol::Timer::at(time).await),
        None => pending().await,
    }
}
