use super::*;
use crate::model::Priority;
use crate::sim::spec;
use proptest::prelude::*;
use std::collections::HashMap;

fn id(n: usize) -> Name {
    format!("j-{n:06}").into()
}

fn job(n: usize, needs: &[usize], priority: Priority) -> Arc<JobSpec> {
    Arc::new(JobSpec { needs: needs.iter().map(|n| id(*n)).collect(), priority, ..(*spec(&id(n), 1)).clone() })
}

/// A reference model: everything is computed from all jobs each time.
#[derive(Default)]
struct ReferenceModel {
    jobs: Vec<Arc<JobSpec>>,
    outcomes: HashMap<Name, JobOutcome>,
    needing_cancelled: Vec<Name>,
}

impl ReferenceModel {
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
    fn priority(&self, id: &Name) -> Priority {
        let own = self.spec(id).map_or(Priority::Low, |j| j.priority);
        let needing = self.jobs.iter().filter(|j| self.waits(j) && j.needs.contains(id));
        needing.map(|j| self.priority(&j.id)).fold(own, Priority::min)
    }
}

proptest! {
    /// Compared with the reference model through submissions in any order of arrival,
    /// completions and cancellations, with dependencies that are unknown at first.
    #[test]
    fn the_graph_agrees_with_the_reference_model(
        ops in prop::collection::vec((0u8..8, 0usize..24, prop::collection::vec(0usize..24, 0..4), 0usize..4), 1..80),
    ) {
        let mut graph = DependencyGraph::default();
        let mut model = ReferenceModel::default();
        let now = Instant::now();
        let priorities = [Priority::Production, Priority::High, Priority::Normal, Priority::Low];
        let mut runnable: BTreeSet<Name> = BTreeSet::new();
        for (op, pick, needs, priority) in ops {
            match op {
                0..=3 => {
                    // a job may name only accepted jobs
                    let n = model.jobs.len();
                    let needs: Vec<usize> = needs.into_iter().filter(|m| *m < n).collect();
                    let spec = job(n, &needs, priorities[priority]);
                    model.jobs.push(spec.clone());
                    let outcomes = &model.outcomes;
                    // an ended job may have been evicted: then the store is asked
                    let is_evicted = pick % 2 == 0;
                    let status_of = |n: &Name| match outcomes.get(n) {
                        None => DependencyStatus::Open,
                        Some(_) if is_evicted => DependencyStatus::Unknown,
                        Some(f) => DependencyStatus::Ended(*f),
                    };
                    if !graph.block(&spec, n as u64, now, status_of) {
                        runnable.insert(spec.id.clone());
                    }
                    for n in graph.outcomes_to_fetch(99, Duration::from_secs(1), now) {
                        if let Some(f) = model.outcomes.get(&n).copied() {
                            runnable.extend(graph.apply_outcome(&n, f).into_iter().map(|job| job.spec.id.clone()));
                        }
                    }
                }
                4 | 5 => {
                    let candidates: Vec<Name> = runnable.iter().filter(|n| model.open(n)).cloned().collect();
                    if candidates.is_empty() { continue; }
                    let n = candidates[pick % candidates.len()].clone();
                    model.outcomes.insert(n.clone(), JobOutcome::Done);
                    runnable.extend(graph.apply_outcome(&n, JobOutcome::Done).into_iter().map(|job| job.spec.id.clone()));
                }
                6 => {
                    let candidates: Vec<Name> = model.jobs.iter().map(|j| j.id.clone()).filter(|n| model.open(n)).collect();
                    if candidates.is_empty() { continue; }
                    let n = candidates[pick % candidates.len()].clone();
                    model.outcomes.insert(n.clone(), JobOutcome::Cancelled);
                    prop_assert!(graph.apply_outcome(&n, JobOutcome::Cancelled).is_empty());
                }
                _ => {
                    // some of the jobs that depend on a cancelled one are cancelled
                    let due: Vec<Name> = graph.needing_cancelled().take(2).cloned().collect();
                    for n in due {
                        model.outcomes.insert(n.clone(), JobOutcome::Cancelled);
                        graph.apply_outcome(&n, JobOutcome::Cancelled);
                    }
                }
            }
            model.needing_cancelled = graph.needing_cancelled().cloned().collect();
            for j in &model.jobs {
                let waits = model.waits(j);
                prop_assert_eq!(graph.is_blocked(&j.id), waits, "{} waits", j.id);
                prop_assert_eq!(runnable.contains(&j.id) && model.open(&j.id), model.open(&j.id) && !waits);
                prop_assert_eq!(model.needing_cancelled.contains(&j.id), model.needs_cancelled_job(&j.id), "{} depends on a cancelled job", j.id);
                if model.open(&j.id) {
                    let priority = graph.urgency(&j.id, Urgency::own(j, now)).priority;
                    prop_assert_eq!(priority, model.priority(&j.id), "priority of {}", j.id);
                }
            }
            prop_assert!(graph.unknown.is_empty());
        }
    }
}

/// A chain of five thousand jobs, a job with five thousand dependents, and a diamond:
/// nothing is recursive, and an outcome costs no more than what it changes.
#[test]
fn long_chains_and_wide_ones() {
    const N: usize = 5000;
    let now = Instant::now();
    let open = |_: &Name| DependencyStatus::Open;
    let mut graph = DependencyGraph::default();
    for n in 1..=N {
        assert!(graph.block(&job(n, &[n - 1], Priority::Low), n as u64, now, open));
    }
    assert_eq!(graph.edges.dependents(&id(0), usize::MAX).len(), N);
    assert_eq!(graph.edges.dependents(&id(0), 7), (1..8).map(id).collect::<Vec<_>>());
    let own = Urgency { priority: Priority::Low, deadline: None };
    assert!(graph.block(&job(N + 1, &[N], Priority::High), 1, now, open));
    assert_eq!(graph.urgency(&id(0), own).priority, Priority::High, "through the whole chain");
    graph.apply_outcome(&id(N + 1), JobOutcome::Cancelled);
    assert_eq!(graph.urgency(&id(0), own).priority, Priority::Low, "and back");
    graph.apply_outcome(&id(0), JobOutcome::Cancelled);
    assert_eq!(graph.needing_cancelled().count(), N);

    let mut graph = DependencyGraph::default();
    for n in 1..=N {
        graph.block(&job(n, &[0], Priority::High), n as u64, now, open);
    }
    assert_eq!(graph.apply_outcome(&id(0), JobOutcome::Done).len(), N);
    assert!(graph.is_empty() && graph.edges.is_empty() && graph.inherited.is_empty());

    let mut graph = DependencyGraph::default();
    for (n, needs) in [(1, vec![0]), (2, vec![0]), (3, vec![1, 2])] {
        graph.block(&job(n, &needs, Priority::Normal), n as u64, now, open);
    }
    let released = |graph: &mut DependencyGraph, n| {
        let mut l: Vec<Name> =
            graph.apply_outcome(&id(n), JobOutcome::Done).into_iter().map(|job| job.spec.id.clone()).collect();
        l.sort();
        l
    };
    assert_eq!(released(&mut graph, 0), [id(1), id(2)]);
    assert_eq!(released(&mut graph, 2), [] as [Name; 0]);
    assert_eq!(released(&mut graph, 1), [id(3)]);
}
