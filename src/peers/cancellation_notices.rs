//! Cancellations between controllers: batches with a cursor on request, and notices to all peers
//! while users wait for the reply to their cancellations.

use std::time::Instant;

use coralnotch_core::cancellation::{BatchCursor, Cancellation, CancellationBatch, PeerNotice};

use crate::controller::Controller;
use crate::model::JobOutcome;
use crate::peers::links::{wire, PeerLink};

fn encode_cancellation(cancellation: &Cancellation) -> wire::Withdrawal {
    wire::Withdrawal { stamp: cancellation.revision, id: cancellation.id.to_string() }
}

impl Controller {
    /// Applies a batch of cancellations from a peer, which was requested at `sent_at`.
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
        self.lock().cancellation_view.peer_answered(peer, sent_at, &batch);
    }

    /// The batch of cancellations that a peer requests; `None` if one may be missing from it.
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

    /// Notifies the peers of cancellations whose users wait, each peer as soon as it can be reached,
    /// and learns from the leader among them which jobs have no task left.
    pub async fn run_cancellation_notices(&self) {
        let notices = self.peers.links.iter().enumerate().map(|(index, link)| self.notify_peer(index, link));
        futures_util::future::join_all(notices).await;
    }

    /// Notifies one peer, by its index in the settings, for as long as the controller runs.
    async fn notify_peer(&self, index: usize, link: &PeerLink) {
        loop {
            // registered before the state is read, so that no cancellation in between is missed
            let more = self.cancellation_to_notify.listen();
            let PeerNotice { cancellations, has_unacknowledged: has_new } = {
                let mut guard = self.lock();
                let state = &mut *guard;
                state.cancellation_notices.for_peer(index, &state.cancellations, &self.policy, Instant::now())
            };
            if cancellations.is_empty() {
                more.await;
                continue;
            }
            if !has_new {
                // acknowledged already; the leader may say later that no task is left
                smol::Timer::after(self.policy.renew / 2).await;
            }
            if !self.send_notice(index, link, &cancellations).await {
                smol::Timer::after(self.policy.renew / 2).await;
            }
        }
    }

    /// Sends cancellations to one peer; false without an acknowledgement.
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
