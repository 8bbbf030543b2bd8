//! What each controller's process knows of ends, by the watch, by what it stores
//! and by its siblings' accounts; leader or not.

use super::*;
use crate::cancellation::{may_lead, may_renew, CancellationLog, CancellationNotices, CancellationView};

pub(super) struct Picture {
    list: CancellationLog,
    /// Withdrawals whose users are still to be told.
    telling: CancellationNotices,
    knowledge: CancellationView,
    /// Jobs known to be over.
    pub(super) over: std::collections::HashSet<Name>,
    /// Up to where the watch has been seen; `None` before the first read.
    watch: Option<u64>,
    /// When it looks next, and asks next.
    next: (Ms, Ms),
}

impl Picture {
    pub(super) fn new(life: u64) -> Picture {
        let list = CancellationLog::new(life, 64);
        let (knowledge, telling) = (CancellationView::default(), CancellationNotices::new(2, 64));
        Picture { list, telling, knowledge, over: Default::default(), watch: None, next: (0, 0) }
    }
}

impl World {
    /// The controller of a zone that is cut off is cut off with it.
    fn shut(&self, i: usize) -> bool {
        self.now < self.cut[i] && self.unmanned != Some(i)
    }

    fn awake(&self, i: usize) -> bool {
        self.down_until[i] <= self.now && self.frozen[i] <= self.now
    }

    /// Whether the state service serves a controller now.
    pub(super) fn served(&self, i: usize) -> bool {
        self.awake(i) && self.now >= self.outage.max(self.refused[i]) && !self.shut(i)
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        let out = |i: usize| self.now < self.apart[i] || self.shut(i) || !self.awake(i);
        a != b && !out(a) && !out(b)
    }

    /// Siblings answer, all of them refused by the state service, and none leads in
    /// a later term.
    pub(super) fn all_out(&self, i: usize) -> bool {
        let term = |j: usize| self.controllers[j].as_ref().map_or(0, |c| c.cluster.term);
        let mut seen = (0..3).filter(|j| self.reach(i, *j)).peekable();
        self.awake(i) && !self.served(i) && seen.peek().is_some() && seen.all(|j| !self.served(j) && term(j) <= term(i))
    }

    /// Since when the picture is whole.
    pub(super) fn whole(&self, i: usize) -> Option<Instant> {
        let names = ["0", "1", "2"];
        let others = (0..3).filter(|j| *j != i);
        if self.sabotage == Sabotage::SomeSiblings {
            return others.filter_map(|j| self.pictures[i].knowledge.complete_as_of([names[j]])).max();
        }
        self.pictures[i].knowledge.complete_as_of(others.map(|j| names[j]))
    }

    /// A controller in a zone that is cut off renews its workers' leases.
    pub(super) fn keeps_zone(&self, i: usize) -> bool {
        let blind = self.sabotage == Sabotage::RenewsBlindly;
        self.awake(i) && (blind || may_renew(self.whole(i), self.told, &self.policy, self.at(self.now)))
    }

    /// Whether a controller would call a job unfinished now: the store confirms that
    /// it has no end, and by a young picture nothing that it needs is cancelled.
    pub(super) fn calls_open(&self, i: usize, id: &Name) -> bool {
        if !self.served(i) || self.store.outcome(id).is_some() || self.pictures[i].watch.is_none() {
            return false;
        }
        if self.sabotage == Sabotage::CallsUnlooked {
            return true;
        }
        let (mut next, mut seen) = (vec![id], std::collections::HashSet::new());
        while let Some(n) = next.pop().filter(|_| next.len() < 10_000) {
            let over = self.pictures[i].over.contains(n);
            if over && self.store.outcome(n) == Some(JobOutcome::Cancelled) {
                return false;
            }
            if !over && seen.insert(n) {
                next.extend(&self.jobs[n].0.needs);
            }
        }
        may_lead(self.whole(i), &self.policy, self.at(self.now))
    }

    /// A controller learns of an end, and if it leads, its picture has it at once.
    pub(super) fn learns(&mut self, i: usize, id: &Name, outcome: JobOutcome, stamp: u64) {
        let now = self.at(self.now);
        let p = &mut self.pictures[i];
        if outcome == JobOutcome::Cancelled {
            p.list.record(stamp, id, now);
        }
        p.over.insert(id.clone());
        if let Some(c) = self.controllers[i].as_mut() {
            c.cluster.set_outcome(id, outcome, now);
        }
    }

    /// Users who have withdrawn ask again, at any controller, until they are told.
    fn tells(&mut self) {
        for id in self.withdrawn.clone() {
            let (i, now) = (self.rng.usize(0..3), self.at(self.now));
            let young = may_lead(self.whole(i), &self.policy, now);
            if !self.awake(i) || !young || !self.pictures[i].over.contains(&id) || self.rng.u32(0..5) > 0 {
                continue;
            }
            let p = &mut self.pictures[i];
            let told = !self.told
                || self.sabotage == Sabotage::TellsAtOnce
                || p.telling.may_confirm(&id, &p.list, &self.policy, now);
            if told {
                self.cancelled.insert(id.clone(), self.now);
                self.withdrawn.remove(&id);
                continue;
            }
            for j in [i, (i + 1) % 3, (i + 2) % 3] {
                let leads = self.controllers[j].as_ref().filter(|c| self.now < c.until);
                let blind = self.sabotage == Sabotage::ClearUnread;
                let clear = leads.map_or(blind, |c| c.cluster.has_no_task_of(&id));
                if j != i && !self.reach(i, j) {
                    continue;
                }
                if j != i {
                    // its siblings' numbers as it counts them
                    let p = &mut self.pictures[i];
                    let told = p.telling.for_peer(j, &p.list, &self.policy, now).cancellations;
                    for w in &told {
                        self.learns(j, &w.id, JobOutcome::Cancelled, w.revision);
                    }
                    self.pictures[i].telling.mark_acknowledged(j, &told);
                }
                if clear {
                    self.pictures[i].telling.settle(&id);
                }
            }
        }
    }

    /// Watches that answer, and accounts.
    pub(super) fn pictures_step(&mut self) {
        for (_, id, _) in &self.store.ends[self.ended.len()..] {
            self.ended.insert(id.clone(), self.now);
        }
        self.tells();
        for i in 0..3 {
            if self.served(i) && self.pictures[i].next.0 <= self.now {
                self.looks(i);
            }
            if self.awake(i) && self.pictures[i].next.1 <= self.now {
                self.pictures[i].next.1 = self.now + self.rng.u64(5..20) * STEP;
                for j in (0..3).filter(|j| self.reach(i, *j)).collect::<Vec<_>>() {
                    self.asks(i, j);
                }
            }
        }
    }

    /// What the watch shows was asked for now; now and then one hangs.
    fn looks(&mut self, i: usize) {
        let pause = if self.rng.u32(0..8) == 0 { 100 } else { 20 };
        self.pictures[i].next.0 = self.now + self.rng.u64(1..pause) * STEP;
        let epoch = self.store.epoch;
        let since = match self.pictures[i].watch {
            Some(e) => e,
            None => {
                let now = self.at(self.now);
                self.pictures[i].list.begin_watch(epoch, now);
                let over: Vec<Name> = self.store.ends.iter().map(|e| e.1.clone()).collect();
                self.pictures[i].over.extend(over);
                epoch
            }
        };
        let news = self.store.ends.iter().rev().take_while(|e| e.0 > since);
        for (stamp, id, outcome) in news.cloned().collect::<Vec<_>>().into_iter().rev() {
            self.learns(i, &id, outcome, stamp);
        }
        let now = self.at(self.now);
        let p = &mut self.pictures[i];
        p.watch = Some(epoch);
        p.knowledge.watch_answered(now);
    }

    /// One asks another for its account.
    fn asks(&mut self, i: usize, j: usize) {
        let name = ["0", "1", "2"][j];
        let Some(since) = self.pictures[i].watch else { return };
        let cursor = self.pictures[i].knowledge.next_request(name);
        if self.pictures[j].watch.is_none() {
            return;
        }
        let Some(a) = self.pictures[j].list.batch_since(since, cursor) else { return };
        for w in &a.cancellations {
            self.learns(i, &w.id, JobOutcome::Cancelled, w.revision);
        }
        let now = self.at(self.now);
        self.pictures[i].knowledge.peer_answered(name, now, &a);
    }
}
