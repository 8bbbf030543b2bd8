//! Exchange of cancellations between controllers.
//!
//! A peer requests the cancellations that it does not know in batches with a cursor.  While a user
//! waits for the reply to a cancellation, the controller also sends notices of it to all peers.

use std::time::Instant;

use coralnotch_core::cancellation::{BatchCursor, Cancellation, CancellationBatch, PeerNotice};

use crate::controller::Controller;
use crate::model::JobOutcome;
use crate::peers::links::{wire, PeerLink};

fn encode_cancellation(cancellation: &Cancellation) -> wire::Withdrawal {
    wire::Withdrawal { stamp: cancellation.revision, id: cancellation.id.to_string() }
}

impl Controller {
    /// Applies a batch of cancellations that was requested from a peer at `sent_at`.
    pub(super) fn apply_cancellation_batch(&self, peer: &str, batch: wire::Account, sent_at: Instant, now: Instant) {
        let known = batch.known.into_iter().map(|c| Cancellation { revision: c.stamp, id: c.id.into() });
        let batch = CancellationBatch {
            incarnation: batch.life,
            cancellations: known.collect(),
            next: batch.next,
            complete: batch.whole,
        };
        for cancellation in &batch.cancellations {
            self.apply_stored_outcome(&cancellation.id, JobOutcome::Cancelled, cancellation.revision, now);
        }
        self.lock().cancellation_view.record_peer_response(peer, sent_at, &batch);
    }

    /// Returns the batch of cancellations that a peer requests, or `None` if a cancellation may be
    /// missing from it.
    pub(super) fn cancellation_batch(&self, request: &wire::StatusRequest) -> Option<wire::Account> {
        let state = self.lock();
        let since = request.withdrawn_since.filter(|_| state.synced)?;
        let batch = state
            .cancellations
            .batch_since(since, BatchCursor { incarnation: request.withdrawn_life, next: request.withdrawn_had })?;
        Some(wire::Account {
            life: batch.incarnation,
            known: batch.cancellations.iter().map(encode_cancellation).collect(),
            next: batch.next,
            whole: batch.complete,
        })
    }

    /// Notifies the peers of cancellations for which users wait, for as long as the controller runs.
    ///
    /// Each peer is notified as soon as it can be reached.  The leader's acknowledgement also names
    /// the jobs that have no task left on any machine.
    pub async fn run_cancellation_notices(&self) {
        let notices = self.peers.links.iter().enumerate().map(|(index, link)| self.notify_peer(index, link));
        futures_util::future::join_all(notices).await;
    }

    /// Notifies the peer with this index in the settings, for as long as the controller runs.
    async fn notify_peer(&self, index: usize, link: &PeerLink) {
        loop {
            // register before the state is read, so that a cancellation between the two is not missed
            let next_cancellation = self.cancellation_to_notify.listen();
            let PeerNotice { cancellations, has_unacknowledged: needs_acknowledgement } = {
                let mut guard = self.lock();
                let state = &mut *guard;
                state.cancellation_notices.pending_for_peer(index, &state.cancellations, &self.policy, Instant::now())
            };
            if cancellations.is_empty() {
                next_cancellation.await;
                continue;
            }
            if !needs_acknowledgement {
                // all are acknowledged; send them again after a pause, because the leader may by then
                // report that a job has no task left
                smol::Timer::after(self.policy.renew / 2).await;
            }
            if !self.send_notice(index, link, &cancellations).await {
                smol::Timer::after(self.policy.renew / 2).await;
            }
        }
    }

    /// Sends cancellations to one peer, and reports whether the peer has acknowledged them.
    async fn send_notice(&self, index: usize, link: &PeerLink, cancellations: &[Cancellation]) -> bool {
        let request = wire::TellRequest { known: cancellations.iter().map(encode_cancellation).collect() };
        let answer =
            self.peers.call(link, self.policy.peer_limit, |mut client| async move { client.tell(request).await });
        let Some(acknowledgement) = answer.await else { return false };
        {
            let mut state = self.lock();
            state.cancellation_notices.mark_acknowledged(index, cancellations);
            for id in &acknowledgement.clear {
                state.cancellation_notices.settle(&id.as_str().into());
            }
        }
        self.cancellation_known.notify(usize::MAX);
        true
    }
}
