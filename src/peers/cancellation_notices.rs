//! Cancellations between controllers: batches on request, and notices while users wait.

use std::time::Instant;

use coralnotch_core::cancellation::{BatchCursor, Cancellation, CancellationBatch, PeerNotice};

use crate::controller::Controller;
use crate::model::JobOutcome;
use crate::peers::links::{wire, PeerLink};

impl Controller {
    /// A sibling has accounted for the withdrawals that it knows.
    pub(super) fn apply_cancellation_batch(&self, name: &str, a: wire::Account, sent: Instant, now: Instant) {
        let known = a.known.into_iter().map(|w| Cancellation { revision: w.stamp, id: w.id.into() });
        let a =
            CancellationBatch { incarnation: a.life, cancellations: known.collect(), next: a.next, complete: a.whole };
        for w in &a.cancellations {
            self.apply_stored_outcome(&w.id, JobOutcome::Cancelled, w.revision, now);
        }
        self.lock().cancellation_view.peer_answered(name, sent, &a);
    }

    /// The account that a sibling asks for, if there is no gap in it.
    pub(super) fn cancellation_batch(&self, r: &wire::StatusRequest) -> Option<wire::Account> {
        let i = self.lock();
        let since = r.withdrawn_since.filter(|_| i.synced)?;
        let a =
            i.cancellations.batch_since(since, BatchCursor { incarnation: r.withdrawn_life, next: r.withdrawn_had })?;
        let known = a.cancellations.into_iter().map(|w| wire::Withdrawal { stamp: w.revision, id: w.id.to_string() });
        Some(wire::Account { life: a.incarnation, known: known.collect(), next: a.next, whole: a.complete })
    }

    /// Tells the siblings of withdrawals whose users wait, each as soon as it can be
    /// reached, and asks the leader among them what is left of these.
    pub async fn run_cancellation_notices(&self) {
        let each = self.peers.links.iter().enumerate().map(|(n, l)| self.notify_peer(n, l));
        futures_util::future::join_all(each).await;
    }

    async fn notify_peer(&self, n: usize, l: &PeerLink) {
        loop {
            let more = self.cancellation_to_notify.listen();
            let PeerNotice { cancellations: known, has_unacknowledged: new } = {
                let mut guard = self.lock();
                let i = &mut *guard;
                i.cancellation_notices.for_peer(n, &i.cancellations, &self.policy, Instant::now())
            };
            if known.is_empty() {
                more.await;
                continue;
            }
            if !new {
                // it knows; what is left of them, the leader may say later
                smol::Timer::after(self.policy.renew / 2).await;
            }
            let told = known.iter().map(|w| wire::Withdrawal { stamp: w.revision, id: w.id.to_string() });
            let ask = wire::TellRequest { known: told.collect() };
            let answer = self.peers.call(l, self.policy.peer_limit, |mut c| async move { c.tell(ask).await }).await;
            let Some(answer) = answer else {
                smol::Timer::after(self.policy.renew / 2).await;
                continue;
            };
            {
                let mut i = self.lock();
                i.cancellation_notices.mark_acknowledged(n, &known);
                answer.clear.iter().for_each(|id| i.cancellation_notices.settle(&id.as_str().into()));
            }
            self.cancellation_known.notify(usize::MAX);
        }
    }
}
