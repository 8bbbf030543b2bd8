//! The loop that pursues all jobs of a client.

use std::sync::Arc;
use std::time::Instant;

use coralnotch_wire::model::Name;
use futures_lite::future::or;
use futures_util::stream::{FuturesUnordered, StreamExt};

use super::shared::Shared;
use super::transport::CompletedRequest;
use crate::counters::increment;
use crate::model::Transition;

/// Why the driver goes on.
enum WakeReason {
    RequestCompleted(Option<CompletedRequest>),
    JournalWritten(Option<bool>),
    Signalled,
}

impl Shared {
    pub(super) async fn drive(self: Arc<Self>) {
        let mut in_flight = FuturesUnordered::new();
        let mut accepted: Vec<Name> = Vec::new();
        let mut writing: Option<smol::Task<bool>> = None;
        loop {
            let woken = self.work_available.listen();
            if self.lock().is_closed {
                return;
            }
            let now = Instant::now();
            let (requests, next) = self.next_requests(in_flight.len(), now);
            for e in requests {
                in_flight.push(self.perform(e));
            }
            let full = in_flight.len() >= self.settings.max_in_flight;
            let finished = async {
                match in_flight.next().await {
                    Some(d) => Some(d),
                    None => std::future::pending().await,
                }
            };
            let timer = async {
                match next.filter(|_| !full) {
                    Some(t) => drop(smol::Timer::at(t).await),
                    None => std::future::pending().await,
                }
            };
            let noted = async {
                match writing.as_mut() {
                    Some(w) => Some(w.await),
                    None => std::future::pending().await,
                }
            };
            let event = or(async { WakeReason::RequestCompleted(finished.await) }, async {
                WakeReason::JournalWritten(noted.await)
            });
            match or(event, async {
                or(timer, woken).await;
                WakeReason::Signalled
            })
            .await
            {
                WakeReason::RequestCompleted(Some(d)) => {
                    let id = d.request.id.clone();
                    if self.apply_completion(d, Instant::now()) == Transition::Accepted && self.journal.is_some() {
                        accepted.push(id);
                    }
                }
                WakeReason::JournalWritten(ok) => {
                    writing = None;
                    if ok == Some(false) {
                        increment(&self.counters.journal_failures);
                    }
                }
                _ => {}
            }
            // a program that starts again asks instead of submitting; where
            // this is lost it submits once more, under the same id.  So it is
            // written for many at once, and a failure is only counted.
            if let Some(j) = self.journal.clone().filter(|_| writing.is_none() && !accepted.is_empty()) {
                let ids = std::mem::take(&mut accepted);
                writing = Some(smol::unblock(move || j.update(&ids, |r| r.accepted = true).is_ok()));
            }
        }
    }
}
