use super::*;
use proptest::prelude::*;

/// The paper's decision, computed plainly for comparison.
fn decide_plainly(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Resources,
    later: &[Resources],
    inputs: &SwitchInputs,
) -> Option<Selection> {
    fn best_fit(options: &[Candidate], task: &Resources) -> Option<Candidate> {
        let fits = options.iter().filter(|o| o.free.fits(task));
        let room = |o: &Candidate| leftover(&o.free, &o.whole, task);
        fits.min_by(|a, b| room(a).total_cmp(&room(b))).copied()
    }
    let capacity_with = |at: usize| {
        let mut machines = all.to_vec();
        let first = machines.iter_mut().find(|machine| machine.at == at).expect("it is among all");
        first.free.subtract(head);
        let mut capacity = first.speed * head.cpus;
        for task in later {
            let Some(at) = best_fit(&machines, task).map(|o| o.at) else { break };
            let machine = machines.iter_mut().find(|machine| machine.at == at).expect("found just now");
            machine.free.subtract(task);
            capacity += machine.speed * task.cpus;
        }
        capacity
    };
    let best_fit_machine = best_fit(fitting, head)?;
    let fits = fitting.iter().filter(|o| o.free.fits(head));
    let fastest = *fits.min_by(|a, b| {
        let room = |o: &Candidate| leftover(&o.free, &o.whole, head);
        b.speed.total_cmp(&a.speed).then(room(a).total_cmp(&room(b)))
    })?;
    let select = |machine: Candidate, policy| Some(Selection { at: machine.at, policy });
    match (inputs.variance >= inputs.variance_threshold, inputs.load >= inputs.load_threshold) {
        (false, true) => return select(best_fit_machine, SelectionPolicy::BestFit),
        (true, false) => return select(fastest, SelectionPolicy::FastestFirst),
        _ if best_fit_machine.at == fastest.at => return select(best_fit_machine, SelectionPolicy::Ai2 { score: 1.0 }),
        _ if later.is_empty() && fastest.speed > best_fit_machine.speed => {
            return select(fastest, SelectionPolicy::Ai2 { score: fastest.speed / best_fit_machine.speed })
        }
        _ if later.is_empty() => return select(best_fit_machine, SelectionPolicy::Ai2 { score: 1.0 }),
        _ => {}
    }
    let (fastest_capacity, best_fit_capacity) = (capacity_with(fastest.at), capacity_with(best_fit_machine.at));
    let score = if best_fit_capacity > 0.0 && best_fit_machine.speed > 0.0 {
        fastest.speed / best_fit_machine.speed * fastest_capacity / best_fit_capacity
    } else {
        1.0
    };
    select(if score > 1.0 { fastest } else { best_fit_machine }, SelectionPolicy::Ai2 { score })
}

fn decide(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Resources,
    later: &[Resources],
    inputs: &SwitchInputs,
) -> Option<Selection> {
    let mut candidates = CandidatePair::default();
    for c in fitting.iter().filter(|c| c.free.fits(head)) {
        candidates.consider(*c, head);
    }
    let runs: Vec<TaskRun> =
        later.chunk_by(|a, b| a == b).map(|run| TaskRun { size: run[0], count: run.len() }).collect();
    let mut classes = MachineClasses::default();
    all.iter().for_each(|c| classes.add(c));
    // what comes and goes leaves no trace
    let other = Candidate { at: usize::MAX, speed: 9.0, ..all[0] };
    classes.add(&other);
    classes.remove(&other);
    candidates.decide(head, inputs, &classes, &runs)
}

fn size(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory: 0.0 }
}
fn machine(at: usize, free: f64, speed: f64) -> Candidate {
    Candidate { at, free: size(free), whole: size(8.0), speed }
}
fn inputs(variance: f64, load: f64) -> SwitchInputs {
    SwitchInputs { variance, load, variance_threshold: 0.05, load_threshold: 1.0 }
}

proptest! {
    /// One scan and dry runs on classes decide as the plain computation does.
    #[test]
    fn decisions_are_those_of_a_plain_reading_of_the_paper(
        machines in prop::collection::vec((0u32..9, 0u32..5, 1u32..4, any::<bool>()), 1..14),
        head in (1u32..5, 0u32..3),
        later in prop::collection::vec((1u32..5, 0u32..3, 1usize..5), 0..6),
        variance in prop::sample::select(vec![0.0, 0.06]),
        load in prop::sample::select(vec![0.5, 2.0]),
    ) {
        let sized = |c: u32, g: u32| Resources { cpus: f64::from(c), gpus: f64::from(g), memory: f64::from(c) };
        let all: Vec<Candidate> = machines
            .iter()
            .enumerate()
            .map(|(at, (c, g, s, _))| Candidate {
                at,
                free: sized(*c, *g),
                whole: sized(8, 4),
                speed: 0.5 + f64::from(*s) / 4.0,
            })
            .collect();
        let fitting: Vec<Candidate> = all.iter().filter(|c| machines[c.at].3).copied().collect();
        let later: Vec<Resources> =
            later.iter().flat_map(|(c, g, n)| std::iter::repeat_n(sized(*c, *g), *n)).collect();
        let (head, inputs) = (sized(head.0, head.1), inputs(variance, load));
        let quick = decide(&fitting, &all, &head, &later, &inputs);
        let plain = decide_plainly(&fitting, &all, &head, &later, &inputs);
        prop_assert_eq!(quick.map(|q| q.at), plain.map(|p| p.at));
        if let (Some(SelectionPolicy::Ai2 { score: a }), Some(SelectionPolicy::Ai2 { score: b })) =
            (quick.map(|q| q.policy), plain.map(|p| p.policy))
        {
            prop_assert!((a - b).abs() < 1e-9);
        } else {
            prop_assert_eq!(quick.map(|q| q.policy), plain.map(|p| p.policy));
        }
    }
}

/// The table of the paper: a slow machine that fits well, a fast one that
/// fits badly.
#[test]
fn the_switch_goes_by_variance_and_load() {
    let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let head = size(2.0);
    let at = |v, l, later: &[Resources]| decide(&m, &m, &head, later, &inputs(v, l));
    assert_eq!(at(0.0, 2.0, &[]), Some(Selection { at: 0, policy: SelectionPolicy::BestFit }));
    assert_eq!(at(0.05, 0.99, &[]), Some(Selection { at: 1, policy: SelectionPolicy::FastestFirst }));
    // empty queue: the fastest only if it is faster
    assert_eq!(at(0.05, 1.0, &[]), Some(Selection { at: 1, policy: SelectionPolicy::Ai2 { score: 1.5 } }));
    let even = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.0)];
    assert_eq!(decide(&even, &even, &head, &[], &inputs(0.0, 0.0)).map(|selection| selection.at), Some(0));
}

/// Score by hand.  Later task of 8 cores: with best-fit the head (2) sits
/// on the slow machine and the 8 fit on the fast one: 2*1 + 8*1.5 = 14;
/// with fastest-first the head takes 2 of the fast one and the 8 fit
/// nowhere: 2*1.5 = 3.  Score 1.5 * 3/14 = 0.32: best-fit stays.
#[test]
fn ai2_keeps_best_fit_when_the_lookahead_loses() {
    let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let Selection { at, policy } = decide(&m, &m, &size(2.0), &[size(8.0)], &inputs(0.06, 5.0)).unwrap();
    assert_eq!(at, 0);
    assert!(matches!(policy, SelectionPolicy::Ai2 { score } if (score - 1.5 * 3.0 / 14.0).abs() < 1e-9));
}

/// Later task of 2 cores: best-fit 2*1 + 2*1.5 = 5; fastest-first 2*1.5 +
/// 2*1 (the slow one fits best) = 5.  Score 1.5 * 5/5 = 1.5: the fastest.
#[test]
fn ai2_takes_the_fastest_when_nothing_is_lost() {
    let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let Selection { at, policy } = decide(&m, &m, &size(2.0), &[size(2.0)], &inputs(0.06, 5.0)).unwrap();
    assert_eq!(at, 1);
    assert!(matches!(policy, SelectionPolicy::Ai2 { score } if (score - 1.5).abs() < 1e-9));
}

#[test]
fn variance_is_that_of_the_population() {
    assert_eq!(variance([1.0, 1.0].into_iter()), 0.0);
    assert!((variance([1.0, 2.0].into_iter()) - 0.25).abs() < 1e-12);
    assert_eq!(variance(std::iter::empty()), 0.0);
}
