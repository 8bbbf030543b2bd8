use super::*;
use proptest::prelude::*;

/// Implements the decision of the paper directly, as the reference for [`CandidatePair::decide`].
fn reference_decide(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Resources,
    later_tasks: &[Resources],
    inputs: &SwitchInputs,
) -> Option<Selection> {
    fn best_fit(options: &[Candidate], task: &Resources) -> Option<Candidate> {
        let fits = options.iter().filter(|option| option.free.fits(task));
        let leftover_of = |option: &Candidate| leftover(&option.free, &option.total, task);
        fits.min_by(|a, b| leftover_of(a).total_cmp(&leftover_of(b))).copied()
    }
    let capacity_with = |slot: usize| {
        let mut machines = all.to_vec();
        let first =
            machines.iter_mut().find(|machine| machine.slot == slot).expect("the machine is among all machines");
        first.free.subtract(head);
        let mut capacity = first.speed * head.cpus;
        for task in later_tasks {
            let Some(slot) = best_fit(&machines, task).map(|option| option.slot) else { break };
            let machine = machines
                .iter_mut()
                .find(|machine| machine.slot == slot)
                .expect("best_fit returned a slot of these machines");
            machine.free.subtract(task);
            capacity += machine.speed * task.cpus;
        }
        capacity
    };
    let closest_fit = best_fit(fitting, head)?;
    let fits = fitting.iter().filter(|option| option.free.fits(head));
    let fastest = *fits.min_by(|a, b| {
        let leftover_of = |option: &Candidate| leftover(&option.free, &option.total, head);
        b.speed.total_cmp(&a.speed).then(leftover_of(a).total_cmp(&leftover_of(b)))
    })?;
    let select = |machine: Candidate, policy| Some(Selection { slot: machine.slot, policy });
    match (inputs.variance >= inputs.variance_threshold, inputs.load >= inputs.load_threshold) {
        (false, true) => return select(closest_fit, SelectionPolicy::BestFit),
        (true, false) => return select(fastest, SelectionPolicy::FastestFirst),
        _ if closest_fit.slot == fastest.slot => return select(closest_fit, SelectionPolicy::Ai2 { score: 1.0 }),
        _ if later_tasks.is_empty() && fastest.speed > closest_fit.speed => {
            return select(fastest, SelectionPolicy::Ai2 { score: fastest.speed / closest_fit.speed })
        }
        _ if later_tasks.is_empty() => return select(closest_fit, SelectionPolicy::Ai2 { score: 1.0 }),
        _ => {}
    }
    let (fastest_capacity, best_fit_capacity) = (capacity_with(fastest.slot), capacity_with(closest_fit.slot));
    let score = if best_fit_capacity > 0.0 && closest_fit.speed > 0.0 {
        fastest.speed / closest_fit.speed * fastest_capacity / best_fit_capacity
    } else {
        1.0
    };
    select(if score > 1.0 { fastest } else { closest_fit }, SelectionPolicy::Ai2 { score })
}

fn decide(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Resources,
    later_tasks: &[Resources],
    inputs: &SwitchInputs,
) -> Option<Selection> {
    let mut candidates = CandidatePair::default();
    for c in fitting.iter().filter(|c| c.free.fits(head)) {
        candidates.consider(*c, head);
    }
    let runs: Vec<TaskRun> =
        later_tasks.chunk_by(|a, b| a == b).map(|run| TaskRun { size: run[0], count: run.len() }).collect();
    let mut classes = MachineClasses::default();
    all.iter().for_each(|c| classes.add(c));
    // Adding and then removing a machine must not change the decision.
    let other = Candidate { slot: usize::MAX, speed: 9.0, ..all[0] };
    classes.add(&other);
    classes.remove(&other);
    candidates.decide(head, inputs, &classes, &runs)
}

fn size(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory_gb: 0.0 }
}
fn machine(slot: usize, free: f64, speed: f64) -> Candidate {
    Candidate { slot, free: size(free), total: size(8.0), speed }
}
fn inputs(variance: f64, load: f64) -> SwitchInputs {
    SwitchInputs { variance, load, variance_threshold: 0.05, load_threshold: 1.0 }
}

proptest! {
    /// The optimized implementation (one scan, dry runs on machine classes) decides like the
    /// reference implementation of the paper.
    #[test]
    fn optimized_decision_equals_the_reference_decision(
        machines in prop::collection::vec((0u32..9, 0u32..5, 1u32..4, any::<bool>()), 1..14),
        head in (1u32..5, 0u32..3),
        later_tasks in prop::collection::vec((1u32..5, 0u32..3, 1usize..5), 0..6),
        variance in prop::sample::select(vec![0.0, 0.06]),
        load in prop::sample::select(vec![0.5, 2.0]),
    ) {
        let sized = |c: u32, g: u32| Resources { cpus: f64::from(c), gpus: f64::from(g), memory_gb: f64::from(c) };
        let all: Vec<Candidate> = machines
            .iter()
            .enumerate()
            .map(|(slot, (c, g, s, _))| Candidate {
                slot,
                free: sized(*c, *g),
                total: sized(8, 4),
                speed: 0.5 + f64::from(*s) / 4.0,
            })
            .collect();
        let fitting: Vec<Candidate> = all.iter().filter(|c| machines[c.slot].3).copied().collect();
        let later_tasks: Vec<Resources> =
            later_tasks.iter().flat_map(|(c, g, n)| std::iter::repeat_n(sized(*c, *g), *n)).collect();
        let (head, inputs) = (sized(head.0, head.1), inputs(variance, load));
        let optimized = decide(&fitting, &all, &head, &later_tasks, &inputs);
        let reference = reference_decide(&fitting, &all, &head, &later_tasks, &inputs);
        prop_assert_eq!(optimized.map(|q| q.slot), reference.map(|p| p.slot));
        if let (Some(SelectionPolicy::Ai2 { score: a }), Some(SelectionPolicy::Ai2 { score: b })) =
            (optimized.map(|q| q.policy), reference.map(|p| p.policy))
        {
            prop_assert!((a - b).abs() < 1e-9);
        } else {
            prop_assert_eq!(optimized.map(|q| q.policy), reference.map(|p| p.policy));
        }
    }
}

/// Checks the decision table of the paper with a slow best-fit machine and a fast machine with more
/// leftover.
#[test]
fn variance_and_load_thresholds_determine_the_policy() {
    let machines = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let head = size(2.0);
    let decide_for = |v, l, later_tasks: &[Resources]| decide(&machines, &machines, &head, later_tasks, &inputs(v, l));
    assert_eq!(decide_for(0.0, 2.0, &[]), Some(Selection { slot: 0, policy: SelectionPolicy::BestFit }));
    assert_eq!(decide_for(0.05, 0.99, &[]), Some(Selection { slot: 1, policy: SelectionPolicy::FastestFirst }));
    // Without waiting tasks, the fastest machine is selected only if it is strictly faster.
    assert_eq!(decide_for(0.05, 1.0, &[]), Some(Selection { slot: 1, policy: SelectionPolicy::Ai2 { score: 1.5 } }));
    let equal_speeds = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.0)];
    assert_eq!(
        decide(&equal_speeds, &equal_speeds, &head, &[], &inputs(0.0, 0.0)).map(|selection| selection.slot),
        Some(0)
    );
}

/// Checks a score below 1, for a head of 2 cores and a later task of 8 cores.  With best-fit, the
/// head is on the slow machine and the later task fits on the fast one: 2*1 + 8*1.5 = 14.  With
/// fastest-first, the head takes 2 cores of the fast machine and the later task fits nowhere:
/// 2*1.5 = 3.  The score is 1.5 * 3/14 = 0.32, so the best-fit machine is selected.
#[test]
fn ai2_selects_best_fit_when_fastest_first_blocks_a_later_task() {
    let machines = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let Selection { slot, policy } =
        decide(&machines, &machines, &size(2.0), &[size(8.0)], &inputs(0.06, 5.0)).unwrap();
    assert_eq!(slot, 0);
    assert!(matches!(policy, SelectionPolicy::Ai2 { score } if (score - 1.5 * 3.0 / 14.0).abs() < 1e-9));
}

/// Checks a score above 1, for a head and a later task of 2 cores each.  Best-fit gives
/// 2*1 + 2*1.5 = 5.  Fastest-first gives 2*1.5 + 2*1 = 5, as the later task fits best on the slow
/// machine.  The score is 1.5 * 5/5 = 1.5, so the fastest machine is selected.
#[test]
fn ai2_selects_the_fastest_when_later_tasks_fit_either_way() {
    let machines = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let Selection { slot, policy } =
        decide(&machines, &machines, &size(2.0), &[size(2.0)], &inputs(0.06, 5.0)).unwrap();
    assert_eq!(slot, 1);
    assert!(matches!(policy, SelectionPolicy::Ai2 { score } if (score - 1.5).abs() < 1e-9));
}

#[test]
fn variance_is_the_population_variance() {
    assert_eq!(variance([1.0, 1.0].into_iter()), 0.0);
    assert!((variance([1.0, 2.0].into_iter()) - 0.25).abs() < 1e-12);
    assert_eq!(variance(std::iter::empty()), 0.0);
}
