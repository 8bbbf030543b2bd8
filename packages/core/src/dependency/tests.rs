use super::*;
use crate::sim::spec;
use proptest::prelude::*;
use std::collections::HashMap;

fn id(n: usize) -> Name {
    format!("j-{n:06}").into()
}

fn job(n: usize, needs: &[usize], rank: Priority) -> Arc<JobSpec> {
    Arc::new(JobSpec { needs: needs.iter().map(|n| id(*n)).collect(), priority: rank, ..(*spec(&id(n), 1)).clone() })
}

/// The same, written plainly: all is worked out from the whole graph.
#[derive(Default)]
struct Plain {
    jobs: Vec<Arc<JobSpec>>,
    outcomes: HashMap<Name, JobOutcome>,
    order: Vec<Name>,
}

impl Plain {
    fn spec(&self, id: &Name) -> Option<&Arc<JobSpec>> {
        self.jobs.iter().find(|j| j.id == *id)
    }
    fn open(&self, id: &Name) -> bool {
        !self.outcomes.contains_key(id)
    }
    fn waits(&self, j: &JobSpec) -> bool {
        self.open(&j.id) && j.needs.iter().any(|n| self.outcomes.get(n) != Some(&JobOutcome::Done))
    }
    fn needs_cancelled_job(&self, id: &Name) -> bool {
        let needs = self.spec(id).map(|j| j.needs.clone()).unwrap_or_default();
        self.open(id)
            && needs.iter().any(|n| {
                self.outcomes.get(n) == Some(&JobOutcome::Cancelled) || self.open(n) && self.needs_cancelled_job(n)
            })
    }
    fn rank(&self, id: &Name) -> Priority {
        let own = self.spec(id).map_or(Priority::Low, |j| j.priority);
        let needing = self.jobs.iter().filter(|j| self.waits(j) && j.needs.contains(id));
        needing.map(|j| self.rank(&j.id)).fold(own, Priority::min)
    }
}

proptest! {
    /// Held against the plain reading, through submissions in any order of
    /// arrival, ends and cancellations, with needs that are unknown at first.
    #[test]
    fn the_graph_is_what_a_plain_reading_says(
        ops in prop::collection::vec((0u8..8, 0usize..24, prop::collection::vec(0usize..24, 0..4), 0usize..4), 1..80),
    ) {
        let (mut d, mut p, now) = (DependencyGraph::default(), Plain::default(), Instant::now());
        let ranks = [Priority::Production, Priority::High, Priority::Normal, Priority::Low];
        let mut free: BTreeSet<Name> = BTreeSet::new();
        for (op, pick, needs, rank) in ops {
            match op {
                0..=3 => {
                    // only jobs that were accepted are ever named
                    let n = p.jobs.len();
                    let needs: Vec<usize> = needs.into_iter().filter(|m| *m < n).collect();
                    let spec = job(n, &needs, ranks[rank]);
                    p.jobs.push(spec.clone());
                    let outcomes = &p.outcomes;
                    // an end may have left memory: then the store is asked
                    let forgot = pick % 2 == 0;
                    let look = |n: &Name| match outcomes.get(n) {
                        None => DependencyStatus::Open,
                        Some(_) if forgot => DependencyStatus::Unknown,
                        Some(f) => DependencyStatus::Ended(*f),
                    };
                    if !d.block(&spec, n as u64, now, look) {
                        free.insert(spec.id.clone());
                    }
                    for n in d.outcomes_to_fetch(99, Duration::from_secs(1), now) {
                        if let Some(f) = p.outcomes.get(&n).copied() {
                            free.extend(d.apply_outcome(&n, f).into_iter().map(|h| h.spec.id.clone()));
                        }
                    }
                }
                4 | 5 => {
                    let can: Vec<Name> = free.iter().filter(|n| p.open(n)).cloned().collect();
                    if can.is_empty() { continue; }
                    let n = can[pick % can.len()].clone();
                    p.outcomes.insert(n.clone(), JobOutcome::Done);
                    free.extend(d.apply_outcome(&n, JobOutcome::Done).into_iter().map(|h| h.spec.id.clone()));
                }
                6 => {
                    let can: Vec<Name> = p.jobs.iter().map(|j| j.id.clone()).filter(|n| p.open(n)).collect();
                    if can.is_empty() { continue; }
                    let n = can[pick % can.len()].clone();
                    p.outcomes.insert(n.clone(), JobOutcome::Cancelled);
                    prop_assert!(d.apply_outcome(&n, JobOutcome::Cancelled).is_empty());
                }
                _ => {
                    // some of the doomed get their own end
                    let due: Vec<Name> = d.needing_cancelled().take(2).cloned().collect();
                    for n in due {
                        p.outcomes.insert(n.clone(), JobOutcome::Cancelled);
                        d.apply_outcome(&n, JobOutcome::Cancelled);
                    }
                }
            }
            p.order = d.needing_cancelled().cloned().collect();
            for j in &p.jobs {
                let waits = p.waits(j);
                prop_assert_eq!(d.is_blocked(&j.id), waits, "{} waits", j.id);
                prop_assert_eq!(free.contains(&j.id) && p.open(&j.id), p.open(&j.id) && !waits);
                prop_assert_eq!(p.order.contains(&j.id), p.needs_cancelled_job(&j.id), "{} is doomed", j.id);
                if p.open(&j.id) {
                    let rank = d.urgency(&j.id, Urgency::own(j, now)).priority;
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
    let open = |_: &Name| DependencyStatus::Open;
    let mut d = DependencyGraph::default();
    for n in 1..=N {
        assert!(d.block(&job(n, &[n - 1], Priority::Low), n as u64, now, open));
    }
    assert_eq!(d.edges.dependents(&id(0), usize::MAX).len(), N);
    assert_eq!(d.edges.dependents(&id(0), 7), (1..8).map(id).collect::<Vec<_>>());
    let own = Urgency { priority: Priority::Low, deadline: None };
    assert!(d.block(&job(N + 1, &[N], Priority::High), 1, now, open));
    assert_eq!(d.urgency(&id(0), own).priority, Priority::High, "through the whole chain");
    d.apply_outcome(&id(N + 1), JobOutcome::Cancelled);
    assert_eq!(d.urgency(&id(0), own).priority, Priority::Low, "and back");
    d.apply_outcome(&id(0), JobOutcome::Cancelled);
    assert_eq!(d.needing_cancelled().count(), N);

    let mut d = DependencyGraph::default();
    for n in 1..=N {
        d.block(&job(n, &[0], Priority::High), n as u64, now, open);
    }
    assert_eq!(d.apply_outcome(&id(0), JobOutcome::Done).len(), N);
    assert!(d.is_empty() && d.edges.is_empty() && d.inherited.is_empty());

    let mut d = DependencyGraph::default();
    for (n, needs) in [(1, vec![0]), (2, vec![0]), (3, vec![1, 2])] {
        d.block(&job(n, &needs, Priority::Normal), n as u64, now, open);
    }
    let freed = |d: &mut DependencyGraph, n| {
        let mut l: Vec<Name> =
            d.apply_outcome(&id(n), JobOutcome::Done).into_iter().map(|h| h.spec.id.clone()).collect();
        l.sort();
        l
    };
    assert_eq!(freed(&mut d, 0), [id(1), id(2)]);
    assert_eq!(freed(&mut d, 2), [] as [Name; 0]);
    assert_eq!(freed(&mut d, 1), [id(3)]);
}
