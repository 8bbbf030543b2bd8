//! Polling of the peers' statuses.  The leader is polled for the progress of jobs.  All peers are
//! polled while the state service does not serve this controller, while the watch of the state
//! service shows no changes, and until all features are enabled.

use std::time::{Duration, Instant};

use crate::controller::Controller;
use crate::leadership::feature_gate;
use crate::peers::links::{lock, wire, JobProgress, PeerLink, PeerStatus};
use crate::peers::machine_hints::decode_machine_hints;
use crate::state_store::client::key;

/// Number of controllers that keep the leader's hints about machines.
const MACHINE_HINT_REPLICAS: usize = 3;

impl Controller {
    /// Polls the peers for as long as the controller runs.
    pub async fn run_peer_polling(&self) {
        loop {
            let may_miss_changes = self.may_miss_changes();
            if self.store.is_unresponsive() {
                // probe the state service, so that the end of a partition is noticed early
                let _ = self.store.get(key::LEADER).await;
            }
            let (leader, features_pending) = {
                let state = self.lock();
                (state.leader.as_ref().map(|l| l.record.name.clone()), !state.all_features_enabled())
            };
            let is_leader = |link: &PeerLink| leader.as_deref() == Some(&link.name);
            // a poll also advertises the features of this controller, so all peers are polled while
            // features are pending
            let polled = self.peers.links.iter().filter(|l| may_miss_changes || features_pending || is_leader(l));
            futures_util::future::join_all(polled.map(|l| self.poll_peer(l, is_leader(l)))).await;
            smol::Timer::after(self.poll_interval(may_miss_changes, features_pending)).await;
        }
    }

    /// Polls all peers once.  With `with_progress`, also requests the progress of jobs and the hints
    /// about machines that a previous leader has left.
    pub async fn poll_all_peers(&self, with_progress: bool) {
        futures_util::future::join_all(self.peers.links.iter().map(|l| self.poll_peer(l, with_progress))).await;
    }

    /// Reports whether this controller may miss changes that its peers know of: the state service
    /// does not serve it, or serves it while the watch shows no changes.
    fn may_miss_changes(&self) -> bool {
        if self.store.is_failing() {
            return true;
        }
        let state = self.lock();
        state.synced && self.cancellations_complete_as_of(&state).is_some_and(|t| t.elapsed() > self.policy.ttl * 3)
    }

    /// Returns the pause until the next round of polls.
    fn poll_interval(&self, may_miss_changes: bool, features_pending: bool) -> Duration {
        let interval = if may_miss_changes { self.policy.peer_limit / 2 } else { self.policy.peer_limit * 3 };
        if features_pending {
            interval.min(self.policy.renew / 2)
        } else {
            interval
        }
    }

    /// Polls one peer, and applies its status.
    async fn poll_peer(&self, link: &PeerLink, with_progress: bool) {
        let request = self.status_request(link, with_progress);
        let sent_at = Instant::now();
        let answer =
            self.peers.call(link, self.policy.peer_limit, |mut client| async move { client.status(request).await });
        if let Some(status) = answer.await {
            self.apply_peer_status(&link.name, status, sent_at, with_progress);
        }
    }

    /// Returns the request for a peer's status, which also requests the cancellations that are not
    /// known here.
    fn status_request(&self, link: &PeerLink, with_progress: bool) -> wire::StatusRequest {
        let state = self.lock();
        let cursor = state.cancellation_view.next_cursor(&link.name);
        wire::StatusRequest {
            without_machines: !self.keeps_machine_hints(),
            progress: with_progress,
            from: self.config.name.clone(),
            knows: feature_gate::supported_features(),
            withdrawn_since: state.synced.then_some(state.revision),
            withdrawn_life: cursor.incarnation,
            withdrawn_had: cursor.next,
        }
    }

    /// Applies a peer's status that was requested at `sent_at`.
    fn apply_peer_status(&self, name: &str, status: wire::StatusResponse, sent_at: Instant, with_progress: bool) {
        let now = Instant::now();
        if let Some(batch) = status.account {
            self.apply_cancellation_batch(name, batch, sent_at, now);
        }
        self.record_peer_features(name, status.knows, status.version, now);
        let last_heartbeat = status.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let peer_status = PeerStatus { answered_at: now, served: status.served, term: status.term, last_heartbeat };
        lock(&self.peers.statuses).insert(name.to_owned(), peer_status);
        if !with_progress {
            return;
        }
        if status.leads {
            self.lock().forwarding_requested = status.spread;
        }
        if !status.machines.is_empty() {
            *lock(&self.peers.machine_hints) = decode_machine_hints(status.machines, &status.images, now);
        }
        let progress_of =
            |job: wire::Progress| (job.id.as_str().into(), JobProgress { done: job.done, running: job.running });
        *lock(&self.peers.progress) = status.jobs.into_iter().map(progress_of).collect();
    }

    /// Reports whether this controller keeps the leader's hints about machines for the next leader.
    /// The first [`MACHINE_HINT_REPLICAS`] controllers by name do.
    fn keeps_machine_hints(&self) -> bool {
        self.config.peers.iter().filter(|p| p.name < self.config.name).count() < MACHINE_HINT_REPLICAS
    }
}
