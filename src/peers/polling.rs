//! Polls the peers for their status: the leader for its progress, in trouble all of them.

use std::time::{Duration, Instant};

use crate::controller::Controller;
use crate::leadership::feature_gate;
use crate::peers::links::{lock, wire, JobProgress, PeerLink, PeerStatus};
use crate::peers::machine_hints::decode_machine_hints;

/// Controllers that keep what the leader learned of machines.
const MACHINE_HINT_KEEPERS: usize = 3;

impl Controller {
    /// Asks one sibling how it stands.
    async fn poll_peer(&self, l: &PeerLink, progress: bool) {
        let limit = self.policy.peer_limit;
        let (since, cursor) = {
            let i = self.lock();
            (i.synced.then_some(i.revision), i.cancellation_view.next_request(&l.name))
        };
        let ask = wire::StatusRequest {
            without_machines: !self.keeps_machine_hints(),
            progress,
            from: self.config.name.clone(),
            knows: feature_gate::supported_features(),
            withdrawn_since: since,
            withdrawn_life: cursor.incarnation,
            withdrawn_had: cursor.next,
        };
        let sent = Instant::now();
        let answer = self.peers.call(l, limit, |mut c| async move { c.status(ask).await }).await;
        let Some(s) = answer else { return };
        let now = Instant::now();
        if let Some(account) = s.account {
            self.apply_cancellation_batch(&l.name, account, sent, now);
        }
        self.record_peer_features(&l.name, s.knows, s.version, now);
        let heard = s.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let seen = PeerStatus { answered_at: now, served: s.served, term: s.term, last_heartbeat: heard };
        lock(&self.peers.statuses).insert(l.name.clone(), seen);
        if progress {
            if s.leads {
                self.lock().forwarding_requested = s.spread;
            }
            if !s.machines.is_empty() {
                *lock(&self.peers.machine_hints) = decode_machine_hints(s.machines, &s.images, now);
            }
            *lock(&self.peers.progress) = s
                .jobs
                .into_iter()
                .map(|j| (j.id.as_str().into(), JobProgress { done: j.done, running: j.running }))
                .collect();
        }
    }

    /// Whether this controller is one of the few that keep what the leader learned of machines
    /// for the next one: of many controllers the first by name.
    fn keeps_machine_hints(&self) -> bool {
        self.config.peers.iter().filter(|s| s.name < self.config.name).count() < MACHINE_HINT_KEEPERS
    }

    /// Follows the leader's progress, and in trouble all siblings' state.
    pub async fn run_peer_polling(&self) {
        loop {
            let trouble = self.store.is_failing() || {
                // served, and yet the watch shows nothing: siblings know more
                let i = self.lock();
                i.synced && self.cancellations_complete_as_of(&i).is_some_and(|t| t.elapsed() > self.policy.ttl * 3)
            };
            if self.store.is_unresponsive() {
                // the end of a cut has to be noticed soon
                let _ = self.store.get(crate::state_store::client::key::LEADER).await;
            }
            let (leader, gated) = {
                let i = self.lock();
                (i.leader.as_ref().map(|l| l.record.name.clone()), !i.all_features_enabled())
            };
            // until all is on everybody is asked, and so told what is here
            let asked = self.peers.links.iter().filter(|l| trouble || gated || leader.as_deref() == Some(&l.name));
            futures_util::future::join_all(asked.map(|l| self.poll_peer(l, leader.as_deref() == Some(&l.name)))).await;
            let pause = if trouble { self.policy.peer_limit / 2 } else { self.policy.peer_limit * 3 };
            let pause = if gated { pause.min(self.policy.renew / 2) } else { pause };
            smol::Timer::after(pause).await;
        }
    }

    /// Asks all siblings how they stand, or also what a previous leader had learned
    /// of machines.
    pub async fn poll_all_peers(&self, learned: bool) {
        futures_util::future::join_all(self.peers.links.iter().map(|l| self.poll_peer(l, learned))).await;
    }
}
