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

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::model::*;

/// Who needs whom, seen from the needed ones.
#[derive(Debug, Default)]
pub struct Edges(NameMap<BTreeSet<Name>>);

impl Edges {
    /// A job with what it needs.
    pub fn add<'a>(&mut self, id: &Name, needs: impl IntoIterator<Item = &'a Name>) {
        for n in needs {
            self.0.entry(n.clone()).or_default().insert(id.clone());
        }
    }

    /// The job needs these no longer.
    pub fn remove<'a>(&mut self, id: &str, needs: impl IntoIterator<Item = &'a Name>) {
        for n in needs {
            if let Some(after) = self.0.get_mut(n) {
                after.remove(id);
                if after.is_empty() {
                    self.0.remove(n);
                }
            }
        }
    }

    /// Those that need a job directly.
    pub fn direct(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.0.get(id).into_iter().flatten()
    }

    /// Those that need a job, directly or through others; the nearest first, and
    /// no more than so many.  Chains may be thousands long: nothing recurs.
    pub fn after(&self, id: &str, most: usize) -> Vec<Name> {
        let (mut found, mut seen) = (Vec::new(), BTreeSet::new());
        let mut next: VecDeque<&Name> = self.direct(id).collect();
        while let Some(n) = next.pop_front() {
            if found.len() == most {
                break;
            }
            if seen.insert(n) {
                found.push(n.clone());
                next.extend(self.direct(n));
            }
        }
        found
    }

    /// Whether nobody needs anybody.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// How urgent a job is: for itself, and for those that need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// The highest rank.
    pub rank: Priority,
    /// The tightest deadline.
    pub due: Option<Instant>,
}

impl Urgency {
    /// What a job asks for itself, known since `known`.
    pub fn own(spec: &JobSpec, known: Instant) -> Urgency {
        let due = |s| known.checked_add(Duration::try_from_secs_f64(s).ok()?);
        Urgency { rank: spec.priority, due: spec.deadline_s.and_then(due) }
    }

    /// The more urgent of both, in each respect.
    pub fn with(self, o: Urgency) -> Urgency {
        let due = [self.due, o.due].into_iter().flatten().min();
        Urgency { rank: self.rank.min(o.rank), due }
    }
}

/// A job that waits for others.
#[derive(Debug, Clone)]
pub struct Held {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Stamp of its record.
    pub stamp: u64,
    /// When this leader first knew of it.
    pub known: Instant,
    /// What it needs and what is not known to be over.
    pub missing: BTreeSet<Name>,
}

/// How a needed job stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Need {
    /// Not over.
    Open,
    /// Nothing is known of it here: the store has to say.
    Unknown,
    /// Over.
    Over(JobOutcome),
}

/// The jobs that wait for others.
#[derive(Debug, Default)]
pub struct Dependency {
    held: NameMap<Held>,
    edges: Edges,
    /// Needed jobs of which nothing is known here, with when to ask the store.
    unknown: BTreeMap<Name, Option<Instant>>,
    /// What those that need a job make of it; only of jobs that are needed.
    inherited: NameMap<Urgency>,
    /// Held jobs that need a cancelled one: their own end has to be stored.
    doomed: BTreeSet<Name>,
    /// Jobs whose inherited urgency has changed since it was last asked.
    changed: Vec<Name>,
}

impl Dependency {
    /// Takes a job in, if it has to wait; false if all that it needs is done.
    /// A job that needs a cancelled one waits for its own end.
    pub fn hold(&mut self, spec: &Arc<JobSpec>, stamp: u64, now: Instant, look: impl Fn(&Name) -> Need) -> bool {
        let id = &spec.id;
        if self.held.contains_key(id) {
            return true;
        }
        let (mut missing, mut doomed) = (BTreeSet::new(), false);
        for n in &spec.needs {
            let stands = if self.held.contains_key(n) { Need::Open } else { look(n) };
            doomed |= stands == Need::Over(JobOutcome::Cancelled) || self.doomed.contains(n);
            match stands {
                Need::Over(JobOutcome::Done) => continue,
                Need::Unknown => drop(self.unknown.entry(n.clone()).or_default()),
                Need::Open | Need::Over(JobOutcome::Cancelled) => {}
            }
            missing.insert(n.clone());
        }
        if missing.is_empty() {
            return false;
        }
        self.appears(id);
        self.edges.add(id, &missing);
        let held = Held { spec: spec.clone(), stamp, known: now, missing };
        let mut raise: Vec<(Name, Urgency)> = Vec::new();
        let own = self.urgency(id, Urgency::own(spec, now));
        raise.extend(held.missing.iter().map(|n| (n.clone(), own)));
        self.held.insert(id.clone(), held);
        if doomed {
            self.doom(id.clone());
        }
        // upwards, for as long as it makes a difference
        while let Some((n, u)) = raise.pop() {
            let before = self.inherited.get(&n).copied();
            let after = before.map_or(u, |b| b.with(u));
            if before == Some(after) {
                continue;
            }
            self.inherited.insert(n.clone(), after);
            if let Some(h) = self.held.get(&n) {
                let all = Urgency::own(&h.spec, h.known).with(after);
                raise.extend(h.missing.iter().map(|m| (m.clone(), all)));
            }
            self.changed.push(n);
        }
        true
    }

    /// A job is known here from now on.
    pub fn appears(&mut self, id: &str) {
        self.unknown.remove(id);
    }

    /// Whether the job waits for others.
    pub fn holds(&self, id: &str) -> bool {
        self.held.contains_key(id)
    }

    /// The jobs that wait.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// How urgent a job is that asks for so much itself.
    pub fn urgency(&self, id: &str, own: Urgency) -> Urgency {
        self.inherited.get(id).map_or(own, |u| own.with(*u))
    }

    /// Jobs whose inherited urgency has changed.
    pub fn changes(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Held jobs whose own cancellation is to be stored, as they need a job
    /// that is cancelled.
    pub fn doomed(&self) -> impl Iterator<Item = &Name> {
        self.doomed.iter()
    }

    /// Needed jobs that the store has to be asked about, some at a time; each is
    /// asked again after `again` if that told nothing.
    pub fn to_ask(&mut self, most: usize, again: Duration, now: Instant) -> Vec<Name> {
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
    pub fn ended(&mut self, id: &str, outcome: JobOutcome) -> Vec<Held> {
        self.appears(id);
        self.leave(id);
        if outcome == JobOutcome::Cancelled {
            for n in self.edges.direct(id).cloned().collect::<Vec<_>>() {
                self.doom(n);
            }
            return Vec::new();
        }
        let mut free = Vec::new();
        for n in self.edges.0.remove(id).into_iter().flatten() {
            let Some(h) = self.held.get_mut(&n) else { continue };
            h.missing.remove(id);
            if h.missing.is_empty() {
                free.extend(self.held.remove(&n));
            }
        }
        self.inherited.remove(id);
        free
    }

    /// The job runs, or has run: a start of it is on record, so that all it
    /// needs was done before.  Returns it if it was held.
    pub fn started(&mut self, id: &str) -> Option<Held> {
        self.leave(id)
    }

    /// A job waits no longer; nobody asks about what it alone needed.
    fn leave(&mut self, id: &str) -> Option<Held> {
        let h = self.held.remove(id)?;
        self.doomed.remove(id);
        self.edges.remove(id, &h.missing);
        for n in &h.missing {
            if self.edges.direct(n).next().is_none() {
                self.unknown.remove(n);
            }
        }
        self.lower(h.missing.iter().cloned());
        Some(h)
    }

    fn doom(&mut self, id: Name) {
        let mut next = vec![id];
        while let Some(n) = next.pop() {
            if self.held.contains_key(&n) && self.doomed.insert(n.clone()) {
                next.extend(self.edges.direct(&n).cloned());
            }
        }
    }

    /// Reckons anew what those that still need these jobs make of them.
    fn lower(&mut self, ids: impl IntoIterator<Item = Name>) {
        let mut next: Vec<Name> = ids.into_iter().collect();
        while let Some(n) = next.pop() {
            let of = |h: &Held| self.urgency(&h.spec.id, Urgency::own(&h.spec, h.known));
            let after = self.edges.direct(&n).filter_map(|a| self.held.get(a)).map(of).reduce(Urgency::with);
            if self.inherited.get(&n).copied() == after {
                continue;
            }
            match after {
                Some(u) => drop(self.inherited.insert(n.clone(), u)),
                None => drop(self.inherited.remove(&n)),
            }
            if let Some(h) = self.held.get(&n) {
                next.extend(h.missing.iter().cloned());
            }
            self.changed.push(n);
        }
    }
}

#[cfg(test)]
mod tests;
