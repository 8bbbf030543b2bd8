//! Job outcomes known to each controller process, whether it leads or not.  A process learns
//! of them by its watch, by its own transactions and from the cancellations of its peers.

use std::collections::HashSet;

use super::*;
use crate::cancellation::{may_lead, may_renew, CancellationLog, CancellationNotices, CancellationView};

/// Maximum number of cancellations that a process keeps for its peers.
const MAX_CANCELLATIONS: usize = 64;
/// Names by which controllers identify each other as peers, by index.
const PEER_NAMES: [&str; 3] = ["0", "1", "2"];

/// The job outcomes known to one controller process.
pub(super) struct OutcomeSnapshot {
    cancellations: CancellationLog,
    /// Cancellations that peers are notified of before they are confirmed to their users.
    notices: CancellationNotices,
    view: CancellationView,
    /// Jobs known to have an outcome.
    pub(super) ended_jobs: HashSet<Name>,
    /// Revision up to which the watch was read; `None` before the first read.
    watched_revision: Option<u64>,
    next_watch_at: Ms,
    next_peer_request_at: Ms,
}

impl OutcomeSnapshot {
    /// Creates the empty snapshot of a process that has just started.
    pub(super) fn new(incarnation: u64) -> OutcomeSnapshot {
        OutcomeSnapshot {
            cancellations: CancellationLog::new(incarnation, MAX_CANCELLATIONS),
            notices: CancellationNotices::new(2, MAX_CANCELLATIONS),
            view: CancellationView::default(),
            ended_jobs: HashSet::new(),
            watched_revision: None,
            next_watch_at: 0,
            next_peer_request_at: 0,
        }
    }
}

impl World {
    /// Reports whether a controller is isolated by a partition of its zone.
    pub(super) fn is_partitioned(&self, i: usize) -> bool {
        self.now < self.faults.zone_partitioned_until[i] && self.zone_without_controller != Some(i)
    }

    fn is_running(&self, i: usize) -> bool {
        self.faults.controller_down_until[i] <= self.now && self.faults.paused_until[i] <= self.now
    }

    /// Reports whether a controller is running and the state service serves it now.
    pub(super) fn is_served(&self, i: usize) -> bool {
        let refused_until = self.faults.state_store_outage_until.max(self.faults.state_store_refuses_until[i]);
        self.is_running(i) && self.now >= refused_until && !self.is_partitioned(i)
    }

    /// Reports whether two different controllers reach each other.
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let reaches_peers = |i: usize| {
            self.now >= self.faults.peers_unreachable_until[i] && !self.is_partitioned(i) && self.is_running(i)
        };
        from != to && reaches_peers(from) && reaches_peers(to)
    }

    /// Reports whether a controller's peers confirm a state service outage: the state service
    /// refuses the controller and all peers that it reaches, of which there is at least one, and
    /// none of these peers leads in a later term.
    pub(super) fn is_outage_confirmed(&self, i: usize) -> bool {
        let term = |j: usize| self.controllers[j].as_ref().map_or(0, |controller| controller.cluster.term);
        let mut peers = (0..3).filter(|j| self.is_reachable(i, *j)).peekable();
        let is_refused = self.is_running(i) && !self.is_served(i);
        is_refused && peers.peek().is_some() && peers.all(|j| !self.is_served(j) && term(j) <= term(i))
    }

    /// Returns the time up to which a process knows all cancellations, or `None` if its view was
    /// never complete.
    pub(super) fn cancellations_complete_as_of(&self, i: usize) -> Option<Instant> {
        let view = &self.snapshots[i].view;
        let peers = (0..3).filter(|j| *j != i).map(|j| PEER_NAMES[j]);
        if self.defect == InjectedDefect::TrustPartialPeerKnowledge {
            return peers.filter_map(|peer| view.complete_as_of([peer])).max();
        }
        view.complete_as_of(peers)
    }

    /// Reports whether a controller in a partitioned zone may renew the leases of its workers.
    pub(super) fn may_renew_zone(&self, i: usize) -> bool {
        let unchecked = self.defect == InjectedDefect::RenewLeasesUnchecked;
        let complete_as_of = self.cancellations_complete_as_of(i);
        let now = self.instant_at(self.now);
        self.is_running(i) && (unchecked || may_renew(complete_as_of, self.peer_notices_required, &self.policy, now))
    }

    /// Reports whether a controller would report a job as unfinished now: the state service
    /// confirms that the job has no outcome, and no dependency is cancelled according to a recent
    /// snapshot.
    pub(super) fn may_report_unfinished(&self, i: usize, id: &Name) -> bool {
        let has_read_watch = self.snapshots[i].watched_revision.is_some();
        if !self.is_served(i) || self.state_store.outcome(id).is_some() || !has_read_watch {
            return false;
        }
        if self.defect == InjectedDefect::ReportUnfinishedUnchecked {
            return true;
        }
        let complete_as_of = self.cancellations_complete_as_of(i);
        !self.has_cancelled_dependency(i, id) && may_lead(complete_as_of, &self.policy, self.instant_at(self.now))
    }

    /// Reports whether a job, or one that it depends on directly or indirectly, is cancelled
    /// according to the snapshot of a process.
    fn has_cancelled_dependency(&self, i: usize, id: &Name) -> bool {
        let ended_jobs = &self.snapshots[i].ended_jobs;
        let (mut next, mut seen) = (vec![id], HashSet::new());
        while let Some(id) = next.pop().filter(|_| next.len() < 10_000) {
            let has_ended = ended_jobs.contains(id);
            if has_ended && self.state_store.outcome(id) == Some(JobOutcome::Cancelled) {
                return true;
            }
            if !has_ended && seen.insert(id) {
                next.extend(&self.jobs[id].spec.dependencies);
            }
        }
        false
    }

    /// Records that a process learns of an outcome.  If the process leads, the outcome is also
    /// applied to its cluster state.
    pub(super) fn record_outcome(&mut self, i: usize, id: &Name, outcome: JobOutcome, revision: u64) {
        let now = self.instant_at(self.now);
        let snapshot = &mut self.snapshots[i];
        if outcome == JobOutcome::Cancelled {
            snapshot.cancellations.record(revision, id, now);
        }
        snapshot.ended_jobs.insert(id.clone());
        if let Some(controller) = self.controllers[i].as_mut() {
            controller.cluster.set_outcome(id, outcome, now);
        }
    }

    /// Runs the watches, the exchange of cancellations between peers, and the confirmation of
    /// cancellations to users.
    pub(super) fn update_snapshots(&mut self) {
        for StoredOutcome { id, .. } in &self.state_store.outcomes[self.outcome_stored_at.len()..] {
            self.outcome_stored_at.insert(id.clone(), self.now);
        }
        self.confirm_cancellations();
        for i in 0..3 {
            if self.is_served(i) && self.snapshots[i].next_watch_at <= self.now {
                self.poll_watch(i);
            }
            if self.is_running(i) && self.snapshots[i].next_peer_request_at <= self.now {
                self.snapshots[i].next_peer_request_at = self.now + self.rng.u64(5..20) * STEP;
                for peer in (0..3).filter(|peer| self.is_reachable(i, *peer)).collect::<Vec<_>>() {
                    self.fetch_cancellations(i, peer);
                }
            }
        }
    }

    /// Reads all changes since the last read of the watch.  The next read follows within 2 s,
    /// or within 10 s if the watch hangs.
    fn poll_watch(&mut self, i: usize) {
        let max_delay_steps = if self.rng.u32(0..8) == 0 { 100 } else { 20 };
        self.snapshots[i].next_watch_at = self.now + self.rng.u64(1..max_delay_steps) * STEP;
        let now = self.instant_at(self.now);
        let revision = self.state_store.last_revision;
        let snapshot = &mut self.snapshots[i];
        if snapshot.watched_revision.is_none() {
            snapshot.cancellations.begin_watch(revision, now);
            snapshot.ended_jobs.extend(self.state_store.outcomes.iter().map(|outcome| outcome.id.clone()));
        }
        let since = snapshot.watched_revision.unwrap_or(revision);
        let first = self.state_store.outcomes.partition_point(|outcome| outcome.revision <= since);
        let new: Vec<StoredOutcome> = self.state_store.outcomes[first..].to_vec();
        for StoredOutcome { revision, id, outcome } in new {
            self.record_outcome(i, &id, outcome, revision);
        }
        self.snapshots[i].watched_revision = Some(revision);
        self.snapshots[i].view.record_watch_response(now);
    }

    /// Fetches from a peer the cancellations that the process has not received from it yet.
    fn fetch_cancellations(&mut self, i: usize, peer: usize) {
        let Some(since) = self.snapshots[i].watched_revision else { return };
        let cursor = self.snapshots[i].view.next_cursor(PEER_NAMES[peer]);
        if self.snapshots[peer].watched_revision.is_none() {
            return;
        }
        let batch = self.snapshots[peer].cancellations.batch_since(since, cursor);
        let Some(batch) = batch else { return };
        for cancellation in &batch.cancellations {
            self.record_outcome(i, &cancellation.id, JobOutcome::Cancelled, cancellation.revision);
        }
        let now = self.instant_at(self.now);
        self.snapshots[i].view.record_peer_response(PEER_NAMES[peer], now, &batch);
    }

    /// Lets the users of unconfirmed cancellations repeat their requests, each at a random
    /// controller, until the cancellation is confirmed.
    fn confirm_cancellations(&mut self) {
        for id in self.unconfirmed_cancellations.clone() {
            let i = self.rng.usize(0..3);
            let now = self.instant_at(self.now);
            let may_reply = self.is_running(i)
                && may_lead(self.cancellations_complete_as_of(i), &self.policy, now)
                && self.snapshots[i].ended_jobs.contains(&id);
            if !may_reply || self.rng.u32(0..5) > 0 {
                continue;
            }
            if self.may_confirm(i, &id, now) {
                self.cancellation_confirmed_at.insert(id.clone(), self.now);
                self.unconfirmed_cancellations.remove(&id);
                continue;
            }
            for peer in [i, (i + 1) % 3, (i + 2) % 3] {
                self.notify_of_cancellation(i, peer, &id, now);
            }
        }
    }

    /// Reports whether a controller may confirm a cancellation to its user.
    fn may_confirm(&mut self, i: usize, id: &Name, now: Instant) -> bool {
        let snapshot = &mut self.snapshots[i];
        !self.peer_notices_required
            || self.defect == InjectedDefect::ConfirmCancellationAtOnce
            || snapshot.notices.may_confirm(id, &snapshot.cancellations, &self.policy, now)
    }

    /// Notifies a peer of cancellations.  The cancellation of the job is settled if the peer leads
    /// and has no task of the job left.  With `peer == i`, the controller examines its own state
    /// and sends nothing.
    fn notify_of_cancellation(&mut self, i: usize, peer: usize, id: &Name, now: Instant) {
        let leader = self.controllers[peer].as_ref().filter(|controller| controller.has_lease(self.now));
        let unchecked = self.defect == InjectedDefect::ReportNoTasksUnchecked;
        let has_no_task = leader.map_or(unchecked, |leader| leader.cluster.has_no_task_of(id));
        if peer != i {
            if !self.is_reachable(i, peer) {
                return;
            }
            let snapshot = &mut self.snapshots[i];
            let sent =
                snapshot.notices.pending_for_peer(peer, &snapshot.cancellations, &self.policy, now).cancellations;
            for notice in &sent {
                self.record_outcome(peer, &notice.id, JobOutcome::Cancelled, notice.revision);
            }
            self.snapshots[i].notices.mark_acknowledged(peer, &sent);
        }
        if has_no_task {
            self.snapshots[i].notices.settle(id);
        }
    }
}
