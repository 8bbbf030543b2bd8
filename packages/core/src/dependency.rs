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
pub struct Edges(Table<BTreeSet<Name>>);

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
    pub rank: Rank,
    /// The tightest deadline.
    pub due: Option<Instant>,
}

impl Urgency {
    /// What a job asks for itself, known since `known`.
    pub fn own(spec: &Spec, known: Instant) -> Urgency {
        let due = |s| known.checked_add(Duration::try_from_secs_f64(s).ok()?);
        Urgency { rank: spec.rank, due: spec.deadline_s.and_then(due) }
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
    pub spec: Arc<Spec>,
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
    Over(Fate),
}

/// The jobs that wait for others.
#[derive(Debug, Default)]
pub struct Dependency {
    held: Table<Held>,
    edges: Edges,
    /// Needed jobs of which nothing is known here, with when to ask the store.
    unknown: BTreeMap<Name, Option<Instant>>,
    /// What those that need a job make of it; only of jobs that are needed.
    inherited: Table<Urgency>,
    /// Held jobs that need a cancelled one: their own end has to be stored.
    doomed: BTreeSet<Name>,
    /// Jobs whose inherited urgency has changed since it was last asked.
    changed: Vec<Name>,
}

impl Dependency {
    /// Takes a job in, if it has to wait; false if all that it needs is done.
    /// A job that needs a cancelled one waits for its own end.
    pub fn hold(&mut self, spec: &Arc<Spec>, stamp: u64, now: Instant, look: impl Fn(&Name) -> Need) -> bool {
        let id = &spec.id;
        if self.held.contains_key(id) {
            return true;
        }
        let (mut missing, mut doomed) = (BTreeSet::new(), false);
        for n in &spec.needs {
            let stands = if self.held.contains_key(n) { Need::Open } else { look(n) };
            doomed |= stands == Need::Over(Fate::Cancelled) || self.doomed.contains(n);
            match stands {
                Need::Over(Fate::Done) => continue,
                Need::Unknown => drop(self.unknown.entry(n.clone()).or_default()),
                Need::Open | Need::Over(Fate::Cancelled) => {}
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
    pub fn ended(&mut self, id: &str, fate: Fate) -> Vec<Held> {
        self.appears(id);
        self.leave(id);
        if fate == Fate::Cancelled {
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
mod tests {
    use super::*;
    use crate::sim::spec;
    use proptest::prelude::*;
    use std::collections::HashMap;

    fn id(n: usize) -> Name {
        format!("j-{n:06}").into()
    }

    fn job(n: usize, needs: &[usize], rank: Rank) -> Arc<Spec> {
        Arc::new(Spec { needs: needs.iter().map(|n| id(*n)).collect(), rank, ..(*spec(&id(n), 1)).clone() })
    }

    /// The same, written plainly: all is worked out from the whole graph.
    #[derive(Default)]
    struct Plain {
        jobs: Vec<Arc<Spec>>,
        fates: HashMap<Name, Fate>,
        order: Vec<Name>,
    }

    impl Plain {
        fn spec(&self, id: &Name) -> Option<&Arc<Spec>> {
            self.jobs.iter().find(|j| j.id == *id)
        }
        fn open(&self, id: &Name) -> bool {
            !self.fates.contains_key(id)
        }
        fn waits(&self, j: &Spec) -> bool {
            self.open(&j.id) && j.needs.iter().any(|n| self.fates.get(n) != Some(&Fate::Done))
        }
        fn doomed(&self, id: &Name) -> bool {
            let needs = self.spec(id).map(|j| j.needs.clone()).unwrap_or_default();
            self.open(id)
                && needs.iter().any(|n| self.fates.get(n) == Some(&Fate::Cancelled) || self.open(n) && self.doomed(n))
        }
        fn rank(&self, id: &Name) -> Rank {
            let own = self.spec(id).map_or(Rank::Low, |j| j.rank);
            let needing = self.jobs.iter().filter(|j| self.waits(j) && j.needs.contains(id));
            needing.map(|j| self.rank(&j.id)).fold(own, Rank::min)
        }
    }

    proptest! {
        /// Held against the plain reading, through submissions in any order of
        /// arrival, ends and cancellations, with needs that are unknown at first.
        #[test]
        fn the_graph_is_what_a_plain_reading_says(
            ops in prop::collection::vec((0u8..8, 0usize..24, prop::collection::vec(0usize..24, 0..4), 0usize..4), 1..80),
        ) {
            let (mut d, mut p, now) = (Dependency::default(), Plain::default(), Instant::now());
            let ranks = [Rank::Production, Rank::High, Rank::Normal, Rank::Low];
            let mut free: BTreeSet<Name> = BTreeSet::new();
            for (op, pick, needs, rank) in ops {
                match op {
                    0..=3 => {
                        // only jobs that were accepted are ever named
                        let n = p.jobs.len();
                        let needs: Vec<usize> = needs.into_iter().filter(|m| *m < n).collect();
                        let spec = job(n, &needs, ranks[rank]);
                        p.jobs.push(spec.clone());
                        let fates = &p.fates;
                        // an end may have left memory: then the store is asked
                        let forgot = pick % 2 == 0;
                        let look = |n: &Name| match fates.get(n) {
                            None => Need::Open,
                            Some(_) if forgot => Need::Unknown,
                            Some(f) => Need::Over(*f),
                        };
                        if !d.hold(&spec, n as u64, now, look) {
                            free.insert(spec.id.clone());
                        }
                        for n in d.to_ask(99, Duration::from_secs(1), now) {
                            if let Some(f) = p.fates.get(&n).copied() {
                                free.extend(d.ended(&n, f).into_iter().map(|h| h.spec.id.clone()));
                            }
                        }
                    }
                    4 | 5 => {
                        let can: Vec<Name> = free.iter().filter(|n| p.open(n)).cloned().collect();
                        if can.is_empty() { continue; }
                        let n = can[pick % can.len()].clone();
                        p.fates.insert(n.clone(), Fate::Done);
                        free.extend(d.ended(&n, Fate::Done).into_iter().map(|h| h.spec.id.clone()));
                    }
                    6 => {
                        let can: Vec<Name> = p.jobs.iter().map(|j| j.id.clone()).filter(|n| p.open(n)).collect();
                        if can.is_empty() { continue; }
                        let n = can[pick % can.len()].clone();
                        p.fates.insert(n.clone(), Fate::Cancelled);
                        prop_assert!(d.ended(&n, Fate::Cancelled).is_empty());
                    }
                    _ => {
                        // some of the doomed get their own end
                        let due: Vec<Name> = d.doomed().take(2).cloned().collect();
                        for n in due {
                            p.fates.insert(n.clone(), Fate::Cancelled);
                            d.ended(&n, Fate::Cancelled);
                        }
                    }
                }
                p.order = d.doomed().cloned().collect();
                for j in &p.jobs {
                    let waits = p.waits(j);
                    prop_assert_eq!(d.holds(&j.id), waits, "{} waits", j.id);
                    prop_assert_eq!(free.contains(&j.id) && p.open(&j.id), p.open(&j.id) && !waits);
                    prop_assert_eq!(p.order.contains(&j.id), p.doomed(&j.id), "{} is doomed", j.id);
                    if p.open(&j.id) {
                        let rank = d.urgency(&j.id, Urgency::own(j, now)).rank;
                        prop_assert_eq!(rank, p.rank(&j.id), "rank of {}", j.id);
                    }
                }
                prop_assert!(d.unknown.is_empty());
            }
        }
    }

    /// A chain of five thousand, a job needed by five thousand, and a diamond:
    /// nothing recurs, and each end costs what it changes.
    #[test]
    fn long_chains_and_wide_ones() {
        const N: usize = 5000;
        let now = Instant::now();
        let open = |_: &Name| Need::Open;
        let mut d = Dependency::default();
        for n in 1..=N {
            assert!(d.hold(&job(n, &[n - 1], Rank::Low), n as u64, now, open));
        }
        assert_eq!(d.edges.after(&id(0), usize::MAX).len(), N);
        assert_eq!(d.edges.after(&id(0), 7), (1..8).map(id).collect::<Vec<_>>());
        let own = Urgency { rank: Rank::Low, due: None };
        assert!(d.hold(&job(N + 1, &[N], Rank::High), 1, now, open));
        assert_eq!(d.urgency(&id(0), own).rank, Rank::High, "through the whole chain");
        d.ended(&id(N + 1), Fate::Cancelled);
        assert_eq!(d.urgency(&id(0), own).rank, Rank::Low, "and back");
        d.ended(&id(0), Fate::Cancelled);
        assert_eq!(d.doomed().count(), N);

        let mut d = Dependency::default();
        for n in 1..=N {
            d.hold(&job(n, &[0], Rank::High), n as u64, now, open);
        }
        assert_eq!(d.ended(&id(0), Fate::Done).len(), N);
        assert!(d.is_empty() && d.edges.is_empty() && d.inherited.is_empty());

        let mut d = Dependency::default();
        for (n, needs) in [(1, vec![0]), (2, vec![0]), (3, vec![1, 2])] {
            d.hold(&job(n, &needs, Rank::Normal), n as u64, now, open);
        }
        let freed = |d: &mut Dependency, n| {
            let mut l: Vec<Name> = d.ended(&id(n), Fate::Done).into_iter().map(|h| h.spec.id.clone()).collect();
            l.sort();
            l
        };
        assert_eq!(freed(&mut d, 0), [id(1), id(2)]);
        assert_eq!(freed(&mut d, 2), [] as [Name; 0]);
        assert_eq!(freed(&mut d, 1), [id(3)]);
    }
}
