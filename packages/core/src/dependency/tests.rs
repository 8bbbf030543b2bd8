use super::*;
use crate::model::Priority;
use crate::sim::job_array;
use proptest::prelude::*;
use std::collections::HashMap;

fn id(n: usize) -> Name {
    format!("j-{n:06}").into()
}

fn job(n: usize, needs: &[usize], priority: Priority) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        dependencies: needs.iter().map(|n| id(*n)).collect(),
        priority,
        ..(*job_array(&id(n), 1)).clone()
    })
}

/// A reference model that computes every result from all jobs each time.
#[derive(Default)]
struct ReferenceModel {
    jobs: Vec<Arc<JobSpec>>,
    outcomes: HashMap<Name, JobOutcome>,
    dependents_of_cancelled: Vec<Name>,
}

impl ReferenceModel {
    fn spec(&self, id: &Name) -> Option<&Arc<JobSpec>> {
        self.jobs.iter().find(|j| j.id == *id)
    }
    fn is_open(&self, id: &Name) -> bool {
        !self.outcomes.contains_key(id)
    }
    fn is_blocked(&self, j: &JobSpec) -> bool {
        self.is_open(&j.id) && j.dependencies.iter().any(|n| self.outcomes.get(n) != Some(&JobOutcome::Done))
    }
    fn depends_on_cancelled_job(&self, id: &Name) -> bool {
        let needs = self.spec(id).map(|j| j.dependencies.clone()).unwrap_or_default();
        self.is_open(id)
            && needs.iter().any(|n| {
                self.outcomes.get(n) == Some(&JobOutcome::Cancelled)
                    || self.is_open(n) && self.depends_on_cancelled_job(n)
            })
    }
    fn priority(&self, id: &Name) -> Priority {
        let own = self.spec(id).map_or(Priority::Low, |j| j.priority);
        let dependents = self.jobs.iter().filter(|j| self.is_blocked(j) && j.dependencies.contains(id));
        dependents.map(|j| self.priority(&j.id)).fold(own, Priority::min)
    }
}

proptest! {
    /// Compares the graph with the reference model after each of a sequence of submissions,
    /// completions and cancellations.  Some dependencies are unknown at first, so that their
    /// outcomes have to be fetched.
    #[test]
    fn the_graph_matches_the_reference_model(
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
                    // a job may depend only on accepted jobs
                    let number = model.jobs.len();
                    let needs: Vec<usize> = needs.into_iter().filter(|m| *m < number).collect();
                    let spec = job(number, &needs, priorities[priority]);
                    model.jobs.push(spec.clone());
                    let outcomes = &model.outcomes;
                    // an ended job may have been evicted from the index, so its outcome is unknown
                    let is_evicted = pick % 2 == 0;
                    let status_of = |job_id: &Name| match outcomes.get(job_id) {
                        None => DependencyStatus::Open,
                        Some(_) if is_evicted => DependencyStatus::Unknown,
                        Some(outcome) => DependencyStatus::Ended(*outcome),
                    };
                    if !graph.block(&spec, number as u64, now, status_of) {
                        runnable.insert(spec.id.clone());
                    }
                    for job_id in graph.outcomes_to_fetch(99, Duration::from_secs(1), now) {
                        if let Some(outcome) = model.outcomes.get(&job_id).copied() {
                            runnable.extend(graph.apply_outcome(&job_id, outcome).into_iter().map(|job| job.spec.id.clone()));
                        }
                    }
                }
                4 | 5 => {
                    let candidates: Vec<Name> = runnable.iter().filter(|job_id| model.is_open(job_id)).cloned().collect();
                    if candidates.is_empty() { continue; }
                    let job_id = candidates[pick % candidates.len()].clone();
                    model.outcomes.insert(job_id.clone(), JobOutcome::Done);
                    runnable.extend(graph.apply_outcome(&job_id, JobOutcome::Done).into_iter().map(|job| job.spec.id.clone()));
                }
                6 => {
                    let candidates: Vec<Name> = model.jobs.iter().map(|j| j.id.clone()).filter(|job_id| model.is_open(job_id)).collect();
                    if candidates.is_empty() { continue; }
                    let job_id = candidates[pick % candidates.len()].clone();
                    model.outcomes.insert(job_id.clone(), JobOutcome::Cancelled);
                    prop_assert!(graph.apply_outcome(&job_id, JobOutcome::Cancelled).is_empty());
                }
                _ => {
                    // the cancellations of some jobs that depend on a cancelled one are stored
                    let due: Vec<Name> = graph.dependents_of_cancelled().take(2).cloned().collect();
                    for job_id in due {
                        model.outcomes.insert(job_id.clone(), JobOutcome::Cancelled);
                        graph.apply_outcome(&job_id, JobOutcome::Cancelled);
                    }
                }
            }
            model.dependents_of_cancelled = graph.dependents_of_cancelled().cloned().collect();
            for j in &model.jobs {
                let is_blocked = model.is_blocked(j);
                prop_assert_eq!(graph.is_blocked(&j.id), is_blocked, "whether {} is blocked", j.id);
                prop_assert_eq!(runnable.contains(&j.id) && model.is_open(&j.id), model.is_open(&j.id) && !is_blocked);
                prop_assert_eq!(model.dependents_of_cancelled.contains(&j.id), model.depends_on_cancelled_job(&j.id), "whether {} depends on a cancelled job", j.id);
                if model.is_open(&j.id) {
                    let priority = graph.urgency(&j.id, Urgency::own(j, now)).priority;
                    prop_assert_eq!(priority, model.priority(&j.id), "priority of {}", j.id);
                }
            }
            prop_assert!(graph.unknown_dependencies.is_empty());
        }
    }
}

/// Guards against recursion and against a cost that exceeds the number of changed jobs.  The cases
/// are a chain of five thousand jobs, a job with five thousand dependents, and two dependents that
/// share a dependent.
#[test]
fn long_chains_and_many_dependents_are_updated_without_recursion() {
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
    assert_eq!(graph.urgency(&id(0), own).priority, Priority::High, "urgency is inherited through the whole chain");
    graph.apply_outcome(&id(N + 1), JobOutcome::Cancelled);
    assert_eq!(graph.urgency(&id(0), own).priority, Priority::Low, "inherited urgency is removed from the whole chain");
    graph.apply_outcome(&id(0), JobOutcome::Cancelled);
    assert_eq!(graph.dependents_of_cancelled().count(), N);

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
        let mut ids: Vec<Name> =
            graph.apply_outcome(&id(n), JobOutcome::Done).into_iter().map(|job| job.spec.id.clone()).collect();
        ids.sort();
        ids
    };
    assert_eq!(released(&mut graph, 0), [id(1), id(2)]);
    assert_eq!(released(&mut graph, 2), [] as [Name; 0]);
    assert_eq!(released(&mut graph, 1), [id(3)]);
}
