use super::*;
use proptest::prelude::*;

/// The paper read plainly, for comparison.
fn plain(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Resources,
    later: &[Resources],
    w: &Weather,
) -> Option<(usize, How)> {
    fn best_fit(options: &[Candidate], task: &Resources) -> Option<Candidate> {
        let fits = options.iter().filter(|o| o.free.fits(task));
        let room = |o: &Candidate| leftover(&o.free, &o.whole, task);
        fits.min_by(|a, b| room(a).total_cmp(&room(b))).copied()
    }
    let run = |at: usize| {
        let mut options = all.to_vec();
        let first = options.iter_mut().find(|o| o.at == at).expect("it is among all");
        first.free.subtract(head);
        let mut sum = first.speed * head.cpus;
        for task in later {
            let Some(at) = best_fit(&options, task).map(|o| o.at) else { break };
            let o = options.iter_mut().find(|o| o.at == at).expect("found just now");
            o.free.subtract(task);
            sum += o.speed * task.cpus;
        }
        sum
    };
    let bf = best_fit(fitting, head)?;
    let fits = fitting.iter().filter(|o| o.free.fits(head));
    let ff = *fits.min_by(|a, b| {
        let room = |o: &Candidate| leftover(&o.free, &o.whole, head);
        b.speed.total_cmp(&a.speed).then(room(a).total_cmp(&room(b)))
    })?;
    match (w.variance >= w.variance_threshold, w.load >= w.load_threshold) {
        (false, true) => return Some((bf.at, How::BestFit)),
        (true, false) => return Some((ff.at, How::FastestFirst)),
        _ if bf.at == ff.at => return Some((bf.at, How::Ai2(1.0))),
        _ if later.is_empty() && ff.speed > bf.speed => return Some((ff.at, How::Ai2(ff.speed / bf.speed))),
        _ if later.is_empty() => return Some((bf.at, How::Ai2(1.0))),
        _ => {}
    }
    let (cf, cb) = (run(ff.at), run(bf.at));
    let score = if cb > 0.0 && bf.speed > 0.0 { ff.speed / bf.speed * cf / cb } else { 1.0 };
    Some((if score > 1.0 { ff.at } else { bf.at }, How::Ai2(score)))
}

fn pick(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Resources,
    later: &[Resources],
    w: &Weather,
) -> Option<(usize, How)> {
    let mut picks = Picks::default();
    for c in fitting.iter().filter(|c| c.free.fits(head)) {
        picks.show(*c, head);
    }
    let runs: Vec<(Resources, usize)> = later.chunk_by(|a, b| a == b).map(|c| (c[0], c.len())).collect();
    let mut classes = Classes::default();
    all.iter().for_each(|c| classes.add(c));
    // what comes and goes leaves no trace
    let other = Candidate { at: usize::MAX, speed: 9.0, ..all[0] };
    classes.add(&other);
    classes.remove(&other);
    picks.decide(head, w, &classes, &runs)
}

fn size(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory: 0.0 }
}
fn machine(at: usize, free: f64, speed: f64) -> Candidate {
    Candidate { at, free: size(free), whole: size(8.0), speed }
}
fn weather(variance: f64, load: f64) -> Weather {
    Weather { variance, load, variance_threshold: 0.05, load_threshold: 1.0 }
}

proptest! {
    /// The quick way decides as the plain one does.
    #[test]
    fn the_quick_way_is_the_papers(
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
        let (head, w) = (sized(head.0, head.1), weather(variance, load));
        let (quick, plain) = (pick(&fitting, &all, &head, &later, &w), plain(&fitting, &all, &head, &later, &w));
        prop_assert_eq!(quick.map(|q| q.0), plain.map(|p| p.0));
        if let (Some((_, How::Ai2(a))), Some((_, How::Ai2(b)))) = (quick, plain) {
            prop_assert!((a - b).abs() < 1e-9);
        } else {
            prop_assert_eq!(quick.map(|q| q.1), plain.map(|p| p.1));
        }
    }
}

/// The table of the paper: a slow machine that fits well, a fast one that
/// fits badly.
#[test]
fn the_switch_goes_by_variance_and_load() {
    let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let head = size(2.0);
    let at = |v, l, later: &[Resources]| pick(&m, &m, &head, later, &weather(v, l));
    assert_eq!(at(0.0, 2.0, &[]), Some((0, How::BestFit)));
    assert_eq!(at(0.05, 0.99, &[]), Some((1, How::FastestFirst)));
    // empty queue: the fastest only if it is faster
    assert_eq!(at(0.05, 1.0, &[]), Some((1, How::Ai2(1.5))));
    let even = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.0)];
    assert_eq!(pick(&even, &even, &head, &[], &weather(0.0, 0.0)).map(|(o, _)| o), Some(0));
}

/// Score by hand.  Later task of 8 cores: with best-fit the head (2) sits
/// on the slow machine and the 8 fit on the fast one: 2*1 + 8*1.5 = 14;
/// with fastest-first the head takes 2 of the fast one and the 8 fit
/// nowhere: 2*1.5 = 3.  Score 1.5 * 3/14 = 0.32: best-fit stays.
#[test]
fn ai2_keeps_best_fit_when_the_lookahead_loses() {
    let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let (o, how) = pick(&m, &m, &size(2.0), &[size(8.0)], &weather(0.06, 5.0)).unwrap();
    assert_eq!(o, 0);
    assert!(matches!(how, How::Ai2(s) if (s - 1.5 * 3.0 / 14.0).abs() < 1e-9));
}

/// Later task of 2 cores: best-fit 2*1 + 2*1.5 = 5; fastest-first 2*1.5 +
/// 2*1 (the slow one fits best) = 5.  Score 1.5 * 5/5 = 1.5: the fastest.
#[test]
fn ai2_takes_the_fastest_when_nothing_is_lost() {
    let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
    let (o, how) = pick(&m, &m, &size(2.0), &[size(2.0)], &weather(0.06, 5.0)).unwrap();
    assert_eq!(o, 1);
    assert!(matches!(how, How::Ai2(s) if (s - 1.5).abs() < 1e-9));
}

#[test]
fn variance_is_the_population_s() {
    assert_eq!(variance([1.0, 1.0].into_iter()), 0.0);
    assert!((variance([1.0, 2.0].into_iter()) - 0.25).abs() < 1e-12);
    assert_eq!(variance(std::iter::empty()), 0.0);
}
