//! What each controller's process knows of ends, by the watch, by what it stores
//! and by its siblings' accounts; leader or not.

use super::*;
use crate::cancellation::{may_lead, may_renew, CancellationLog, CancellationNotices, CancellationView};

pub(super) struct OutcomeSnapshot {
    list: CancellationLog,
    /// Withdrawals whose users are still to be told.
    notices: CancellationNotices,
    knowledge: CancellationView,
    /// Jobs known to be over.
    pub(super) over: std::collections::HashSet<Name>,
    /// Up to where the watch has been seen; `None` before the first read.
    watch: Option<u64>,
    /// When it looks next, and asks next.
    next: (Ms, Ms),
}

impl OutcomeSnapshot {
    pub(super) fn new(incarnation: u64) -> OutcomeSnapshot {
        let list = CancellationLog::new(incarnation, 64);
        let (knowledge, notices) = (CancellationView::default(), CancellationNotices::new(2, 64));
        OutcomeSnapshot { list, notices, knowledge, over: Default::default(), watch: None, next: (0, 0) }
    }
}

impl World {
    /// The controller of a zone that is cut off is cut off with it.
    fn is_partitioned(&self, i: usize) -> bool {
        self.now < self.zone_partitioned_until[i] && self.zone_without_controller != Some(i)
    }

    fn is_running(&self, i: usize) -> bool {
        self.down_until[i] <= self.now && self.paused_until[i] <= self.now
    }

    /// Whether the state service serves a controller now.
    pub(super) fn is_served(&self, i: usize) -> bool {
        self.is_running(i)
            && self.now >= self.state_store_outage_until.max(self.state_store_refuses_until[i])
            && !self.is_partitioned(i)
    }

    fn is_reachable(&self, a: usize, b: usize) -> bool {
        let out =
            |i: usize| self.now < self.peers_unreachable_until[i] || self.is_partitioned(i) || !self.is_running(i);
        a != b && !out(a) && !out(b)
    }

    /// Siblings answer, all of them refused by the state service, and none leads in
    /// a later term.
    pub(super) fn is_outage_confirmed(&self, i: usize) -> bool {
        let term = |j: usize| self.controllers[j].as_ref().map_or(0, |c| c.cluster.term);
        let mut seen = (0..3).filter(|j| self.is_reachable(i, *j)).peekable();
        self.is_running(i)
            && !self.is_served(i)
            && seen.peek().is_some()
            && seen.all(|j| !self.is_served(j) && term(j) <= term(i))
    }

    /// Since when the picture is whole.
    pub(super) fn cancellations_complete_as_of(&self, i: usize) -> Option<Instant> {
        let names = ["0", "1", "2"];
        let others = (0..3).filter(|j| *j != i);
        if self.defect == InjectedDefect::TrustPartialPeerKnowledge {
            return others.filter_map(|j| self.snapshots[i].knowledge.complete_as_of([names[j]])).max();
        }
        self.snapshots[i].knowledge.complete_as_of(others.map(|j| names[j]))
    }

    /// A controller in a zone that is cut off renews its workers' leases.
    pub(super) fn may_renew_zone(&self, i: usize) -> bool {
        let blind = self.defect == InjectedDefect::RenewLeasesUnchecked;
        self.is_running(i)
            && (blind
                || may_renew(
                    self.cancellations_complete_as_of(i),
                    self.peer_notices_required,
                    &self.policy,
                    self.at(self.now),
                ))
    }

    /// Whether a controller would call a job unfinished now: the store confirms that
    /// it has no end, and by a young picture nothing that it needs is cancelled.
    pub(super) fn may_report_unfinished(&self, i: usize, id: &Name) -> bool {
        if !self.is_served(i) || self.state_store.outcome(id).is_some() || self.snapshots[i].watch.is_none() {
            return false;
        }
        if self.defect == InjectedDefect::ReportUnfinishedUnchecked {
            return true;
        }
        let (mut next, mut seen) = (vec![id], std::collections::HashSet::new());
        while let Some(n) = next.pop().filter(|_| next.len() < 10_000) {
            let over = self.snapshots[i].over.contains(n);
            if over && self.state_store.outcome(n) == Some(JobOutcome::Cancelled) {
                return false;
            }
            if !over && seen.insert(n) {
                next.extend(&self.jobs[n].0.needs);
            }
        }
        may_lead(self.cancellations_complete_as_of(i), &self.policy, self.at(self.now))
    }

    /// A controller learns of an end, and if it leads, its picture has it at once.
    pub(super) fn record_outcome(&mut self, i: usize, id: &Name, outcome: JobOutcome, revision: u64) {
        let now = self.at(self.now);
        let p = &mut self.snapshots[i];
        if outcome == JobOutcome::Cancelled {
            p.list.record(revision, id, now);
        }
        p.over.insert(id.clone());
        if let Some(c) = self.controllers[i].as_mut() {
            c.cluster.set_outcome(id, outcome, now);
        }
    }

    /// Users who have withdrawn ask again, at any controller, until they are told.
    fn confirm_cancellations(&mut self) {
        for id in self.unconfirmed_cancellations.clone() {
            let (i, now) = (self.rng.usize(0..3), self.at(self.now));
            let young = may_lead(self.cancellations_complete_as_of(i), &self.policy, now);
            if !self.is_running(i) || !young || !self.snapshots[i].over.contains(&id) || self.rng.u32(0..5) > 0 {
                continue;
            }
            let p = &mut self.snapshots[i];
            let told = !self.peer_notices_required
                || self.defect == InjectedDefect::ConfirmCancellationAtOnce
                || p.notices.may_confirm(&id, &p.list, &self.policy, now);
            if told {
                self.cancellation_confirmed_at.insert(id.clone(), self.now);
                self.unconfirmed_cancellations.remove(&id);
                continue;
            }
            for j in [i, (i + 1) % 3, (i + 2) % 3] {
                let leads = self.controllers[j].as_ref().filter(|c| self.now < c.until);
                let blind = self.defect == InjectedDefect::ReportNoTasksUnchecked;
                let clear = leads.map_or(blind, |c| c.cluster.has_no_task_of(&id));
                if j != i && !self.is_reachable(i, j) {
                    continue;
                }
                if j != i {
                    // its siblings' numbers as it counts them
                    let p = &mut self.snapshots[i];
                    let notice = p.notices.for_peer(j, &p.list, &self.policy, now);
                    for w in &notice.cancellations {
                        self.record_outcome(j, &w.id, JobOutcome::Cancelled, w.revision);
                    }
                    self.snapshots[i].notices.mark_acknowledged(j, &notice.cancellations);
                }
                if clear {
                    self.snapshots[i].notices.settle(&id);
                }
            }
        }
    }

    /// Watches that answer, and accounts.
    pub(super) fn update_snapshots(&mut self) {
        for (_, id, _) in &self.state_store.outcomes[self.outcome_stored_at.len()..] {
            self.outcome_stored_at.insert(id.clone(), self.now);
        }
        self.confirm_cancellations();
        for i in 0..3 {
            if self.is_served(i) && self.snapshots[i].next.0 <= self.now {
                self.poll_watch(i);
            }
            if self.is_running(i) && self.snapshots[i].next.1 <= self.now {
                self.snapshots[i].next.1 = self.now + self.rng.u64(5..20) * STEP;
                for j in (0..3).filter(|j| self.is_reachable(i, *j)).collect::<Vec<_>>() {
                    self.fetch_cancellations(i, j);
                }
            }
        }
    }

    /// What the watch shows was asked for now; now and then one hangs.
    fn poll_watch(&mut self, i: usize) {
        let pause = if self.rng.u32(0..8) == 0 { 100 } else { 20 };
        self.snapshots[i].next.0 = self.now + self.rng.u64(1..pause) * STEP;
        let last_revision = self.state_store.last_revision;
        let since = match self.snapshots[i].watch {
            Some(e) => e,
            None => {
                let now = self.at(self.now);
                self.snapshots[i].list.begin_watch(last_revision, now);
                let over: Vec<Name> = self.state_store.outcomes.iter().map(|e| e.1.clone()).collect();
                self.snapshots[i].over.extend(over);
                last_revision
            }
        };
        let news = self.state_store.outcomes.iter().rev().take_while(|e| e.0 > since);
        for (revision, id, outcome) in news.cloned().collect::<Vec<_>>().into_iter().rev() {
            self.record_outcome(i, &id, outcome, revision);
        }
        let now = self.at(self.now);
        let p = &mut self.snapshots[i];
        p.watch = Some(last_revision);
        p.knowledge.watch_answered(now);
    }

    /// One asks another for its account.
    fn fetch_cancellations(&mut self, i: usize, j: usize) {
        let name = ["0", "1", "2"][j];
        let Some(since) = self.snapshots[i].watch else { return };
        let cursor = self.snapshots[i].knowledge.next_request(name);
        if self.snapshots[j].watch.is_none() {
            return;
        }
        let Some(a) = self.snapshots[j].list.batch_since(since, cursor) else { return };
        for w in &a.cancellations {
            self.record_outcome(i, &w.id, JobOutcome::Cancelled, w.revision);
        }
        let now = self.at(self.now);
        self.snapshots[i].knowledge.peer_answered(name, now, &a);
    }
}
