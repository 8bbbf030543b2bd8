//! Jobs that wait for others: which are held back and by what, what an end
//! releases, whom a cancellation takes along, and how urgent a job is for the
//! sake of those that need it.  Plain functions of state and `now`.
//!
//! Only jobs that wait are in here.  A job whose needs are all done enters the
//! queue and is a job like any other; until then nothing else knows of it, so
//! it is in no load, no limit, no guarantee and no plan.
//!
//! It must not know how an end is stored or read: it is told of an end only
//! once the store has it.

mod edges;
mod urgency;

pub use edges::DependencyEdges;
pub use urgency::Urgency;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::model::*;

/// A job that waits for others.
#[derive(Debug, Clone)]
pub struct BlockedJob {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Stamp of its record.
    pub revision: u64,
    /// When this leader first knew of it.
    pub first_seen: Instant,
    /// What it needs and what is not known to be over.
    pub missing: BTreeSet<Name>,
}

/// How a needed job stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DependencyStatus {
    /// Not over.
    Open,
    /// Nothing is known of it here: the store has to say.
    Unknown,
    /// Over.
    Ended(JobOutcome),
}

/// The jobs that wait for others.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    blocked: NameMap<BlockedJob>,
    edges: DependencyEdges,
    /// Needed jobs of which nothing is known here, with when to ask the store.
    unknown: BTreeMap<Name, Option<Instant>>,
    /// What those that need a job make of it; only of jobs that are needed.
    inherited: NameMap<Urgency>,
    /// BlockedJob jobs that need a cancelled one: their own end has to be stored.
    needing_cancelled: BTreeSet<Name>,
    /// Jobs whose inherited urgency has changed since it was last asked.
    changed: Vec<Name>,
}

impl DependencyGraph {
    /// Takes a job in, if it has to wait; false if all that it needs is done.
    /// A job that needs a cancelled one waits for its own end.
    pub fn block(
        &mut self,
        spec: &Arc<JobSpec>,
        stamp: u64,
        now: Instant,
        look: impl Fn(&Name) -> DependencyStatus,
    ) -> bool {
        let id = &spec.id;
        if self.blocked.contains_key(id) {
            return true;
        }
        let (mut missing, mut needs_cancelled_job) = (BTreeSet::new(), false);
        for n in &spec.needs {
            let stands = if self.blocked.contains_key(n) { DependencyStatus::Open } else { look(n) };
            needs_cancelled_job |=
                stands == DependencyStatus::Ended(JobOutcome::Cancelled) || self.needing_cancelled.contains(n);
            match stands {
                DependencyStatus::Ended(JobOutcome::Done) => continue,
                DependencyStatus::Unknown => drop(self.unknown.entry(n.clone()).or_default()),
                DependencyStatus::Open | DependencyStatus::Ended(JobOutcome::Cancelled) => {}
            }
            missing.insert(n.clone());
        }
        if missing.is_empty() {
            return false;
        }
        self.mark_known(id);
        self.edges.add(id, &missing);
        let held = BlockedJob { spec: spec.clone(), revision: stamp, first_seen: now, missing };
        let mut raise: Vec<(Name, Urgency)> = Vec::new();
        let own = self.urgency(id, Urgency::own(spec, now));
        raise.extend(held.missing.iter().map(|n| (n.clone(), own)));
        self.blocked.insert(id.clone(), held);
        if needs_cancelled_job {
            self.mark_needing_cancelled(id.clone());
        }
        // upwards, for as long as it makes a difference
        while let Some((n, u)) = raise.pop() {
            let before = self.inherited.get(&n).copied();
            let after = before.map_or(u, |b| b.with(u));
            if before == Some(after) {
                continue;
            }
            self.inherited.insert(n.clone(), after);
            if let Some(h) = self.blocked.get(&n) {
                let all = Urgency::own(&h.spec, h.first_seen).with(after);
                raise.extend(h.missing.iter().map(|m| (m.clone(), all)));
            }
            self.changed.push(n);
        }
        true
    }

    /// A job is known here from now on.
    pub fn mark_known(&mut self, id: &str) {
        self.unknown.remove(id);
    }

    /// Whether the job waits for others.
    pub fn is_blocked(&self, id: &str) -> bool {
        self.blocked.contains_key(id)
    }

    /// The jobs that wait.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedJob> {
        self.blocked.values()
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        self.blocked.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.blocked.is_empty()
    }

    /// How urgent a job is that asks for so much itself.
    pub fn urgency(&self, id: &str, own: Urgency) -> Urgency {
        self.inherited.get(id).map_or(own, |u| own.with(*u))
    }

    /// Jobs whose inherited urgency has changed.
    pub fn take_changed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed)
    }

    /// BlockedJob jobs whose own cancellation is to be stored, as they need a job
    /// that is cancelled.
    pub fn needing_cancelled(&self) -> impl Iterator<Item = &Name> {
        self.needing_cancelled.iter()
    }

    /// Needed jobs that the store has to be asked about, some at a time; each is
    /// asked again after `again` if that told nothing.
    pub fn outcomes_to_fetch(&mut self, most: usize, again: Duration, now: Instant) -> Vec<Name> {
        let due = |(_, at): &(&Name, &mut Option<Instant>)| at.is_none_or(|t| t <= now);
        let some = self.unknown.iter_mut().filter(due).take(most);
        some.map(|(n, at)| {
            *at = Some(now + again);
            n.clone()
        })
        .collect()
    }

    /// The needed jobs of which nothing is known here.
    pub fn unknown(&self) -> Vec<Name> {
        self.unknown.keys().cloned().collect()
    }

    /// Whether nothing is known of a needed job.
    pub fn is_unknown(&self, id: &str) -> bool {
        self.unknown.contains_key(id)
    }

    /// A job is over, and the store has it so.  Returns the jobs that may start
    /// now.  What needs a cancelled one is doomed, through others too: it leaves
    /// when its own end is stored.
    pub fn apply_outcome(&mut self, id: &str, outcome: JobOutcome) -> Vec<BlockedJob> {
        self.mark_known(id);
        self.leave(id);
        if outcome == JobOutcome::Cancelled {
            for n in self.edges.direct_dependents(id).cloned().collect::<Vec<_>>() {
                self.mark_needing_cancelled(n);
            }
            return Vec::new();
        }
        let mut free = Vec::new();
        for n in self.edges.0.remove(id).into_iter().flatten() {
            let Some(h) = self.blocked.get_mut(&n) else { continue };
            h.missing.remove(id);
            if h.missing.is_empty() {
                free.extend(self.blocked.remove(&n));
            }
        }
        self.inherited.remove(id);
        free
    }

    /// The job runs, or has run: a start of it is on record, so that all it
    /// needs was done before.  Returns it if it was held.
    pub fn unblock(&mut self, id: &str) -> Option<BlockedJob> {
        self.leave(id)
    }

    /// A job waits no longer; nobody asks about what it alone needed.
    fn leave(&mut self, id: &str) -> Option<BlockedJob> {
        let h = self.blocked.remove(id)?;
        self.needing_cancelled.remove(id);
        self.edges.remove(id, &h.missing);
        for n in &h.missing {
            if self.edges.direct_dependents(n).next().is_none() {
                self.unknown.remove(n);
            }
        }
        self.recompute_urgency(h.missing.iter().cloned());
        Some(h)
    }

    fn mark_needing_cancelled(&mut self, id: Name) {
        let mut next = vec![id];
        while let Some(n) = next.pop() {
            if self.blocked.contains_key(&n) && self.needing_cancelled.insert(n.clone()) {
                next.extend(self.edges.direct_dependents(&n).cloned());
            }
        }
    }

    /// Reckons anew what those that still need these jobs make of them.
    fn recompute_urgency(&mut self, ids: impl IntoIterator<Item = Name>) {
        let mut next: Vec<Name> = ids.into_iter().collect();
        while let Some(n) = next.pop() {
            let of = |h: &BlockedJob| self.urgency(&h.spec.id, Urgency::own(&h.spec, h.first_seen));
            let after =
                self.edges.direct_dependents(&n).filter_map(|a| self.blocked.get(a)).map(of).reduce(Urgency::with);
            if self.inherited.get(&n).copied() == after {
                continue;
            }
            match after {
                Some(u) => drop(self.inherited.insert(n.clone(), u)),
                None => drop(self.inherited.remove(&n)),
            }
            if let Some(h) = self.blocked.get(&n) {
                next.extend(h.missing.iter().cloned());
            }
            self.changed.push(n);
        }
    }
}

#[cfg(test)]
mod tests;
