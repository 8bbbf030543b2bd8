//! The switch of the paper: best-fit or fastest-first by the variance of the
//! machines' speeds and the load, AI2's dry run where they disagree.

use crate::model::Size;

/// A machine that could take the task at the head.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Which machine.
    pub at: usize,
    /// Room left before the task.
    pub free: Size,
    /// What it offers when empty.
    pub whole: Size,
    /// Its speed.
    pub speed: f64,
}

/// How a machine was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum How {
    /// Best-fit by the thresholds.
    BestFit,
    /// Fastest-first by the thresholds.
    FastestFirst,
    /// AI2 with its score; above 1 it took the fastest.
    Ai2(f64),
}

/// Room left after the task, as the sum of free fractions.
pub fn leftover(free: &Size, whole: &Size, task: &Size) -> f64 {
    let part = |f: f64, t: f64, w: f64| if w > 0.0 { (f - t) / w } else { 0.0 };
    part(free.cpus, task.cpus, whole.cpus)
        + part(free.gpus, task.gpus, whole.gpus)
        + part(free.memory, task.memory, whole.memory)
}

/// The machine left with least room.
pub fn best_fit<'a>(options: impl IntoIterator<Item = &'a Candidate>, task: &Size) -> Option<Candidate> {
    options
        .into_iter()
        .filter(|o| o.free.holds(task))
        .min_by(|a, b| leftover(&a.free, &a.whole, task).total_cmp(&leftover(&b.free, &b.whole, task)))
        .copied()
}

/// The fastest machine, of equally fast ones the one left with least room.
pub fn fastest<'a>(options: impl IntoIterator<Item = &'a Candidate>, task: &Size) -> Option<Candidate> {
    options
        .into_iter()
        .filter(|o| o.free.holds(task))
        .min_by(|a, b| {
            b.speed
                .total_cmp(&a.speed)
                .then(leftover(&a.free, &a.whole, task).total_cmp(&leftover(&b.free, &b.whole, task)))
        })
        .copied()
}

/// Population variance of speeds.
pub fn variance(speeds: impl Iterator<Item = f64> + Clone) -> f64 {
    let n = speeds.clone().count();
    if n == 0 {
        return 0.0;
    }
    let mean = speeds.clone().sum::<f64>() / n as f64;
    speeds.map(|s| (s - mean).powi(2)).sum::<f64>() / n as f64
}

/// Speed times size of what a dry run places: the head where it was picked,
/// then later tasks best-fit until one fits nowhere.
pub fn dry_run(options: &[Candidate], head: &Size, at: usize, later: &[Size]) -> f64 {
    let mut options = options.to_vec();
    let mut sum = 0.0;
    if let Some(o) = options.iter_mut().find(|o| o.at == at) {
        o.free.take(head);
        sum += o.speed * head.cpus;
    }
    for task in later {
        let Some(at) = best_fit(&options, task).map(|o| o.at) else { break };
        if let Some(o) = options.iter_mut().find(|o| o.at == at) {
            o.free.take(task);
            sum += o.speed * task.cpus;
        }
    }
    sum
}

/// What the switch looks at.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    /// Variance of the machines' speeds.
    pub variance: f64,
    /// Waiting cores over free cores, of which at least one is counted.
    pub load: f64,
    /// The published threshold of variance.
    pub variance_threshold: f64,
    /// The published threshold of load.
    pub load_threshold: f64,
}

/// Picks a machine for the head among those that `fitting` allows; the dry
/// run uses `all`, and `later` is the queue behind the head.
pub fn pick(
    fitting: &[Candidate],
    all: &[Candidate],
    head: &Size,
    later: &[Size],
    w: &Weather,
) -> Option<(Candidate, How)> {
    let bf = best_fit(fitting, head)?;
    let ff = fastest(fitting, head)?;
    let mixed = w.variance >= w.variance_threshold;
    let loaded = w.load >= w.load_threshold;
    match (mixed, loaded) {
        (false, true) => return Some((bf, How::BestFit)),
        (true, false) => return Some((ff, How::FastestFirst)),
        _ => {}
    }
    if bf.at == ff.at {
        return Some((bf, How::Ai2(1.0)));
    }
    if later.is_empty() {
        // nothing to look ahead at: the fastest only if it is faster
        return Some(if ff.speed > bf.speed { (ff, How::Ai2(ff.speed / bf.speed)) } else { (bf, How::Ai2(1.0)) });
    }
    let (cf, cb) = (dry_run(all, head, ff.at, later), dry_run(all, head, bf.at, later));
    let score = if cb > 0.0 && bf.speed > 0.0 { ff.speed / bf.speed * cf / cb } else { 1.0 };
    Some(if score > 1.0 { (ff, How::Ai2(score)) } else { (bf, How::Ai2(score)) })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn size(cpus: f64) -> Size {
        Size { cpus, gpus: 0.0, memory: 0.0 }
    }
    fn machine(at: usize, free: f64, speed: f64) -> Candidate {
        Candidate { at, free: size(free), whole: size(8.0), speed }
    }
    fn weather(variance: f64, load: f64) -> Weather {
        Weather { variance, load, variance_threshold: 0.05, load_threshold: 1.0 }
    }

    /// The table of the paper: a slow machine that fits well, a fast one that
    /// fits badly.
    #[test]
    fn the_switch_goes_by_variance_and_load() {
        let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
        let head = size(2.0);
        let at = |v, l, later: &[Size]| pick(&m, &m, &head, later, &weather(v, l)).map(|(o, h)| (o.at, h));
        assert_eq!(at(0.0, 2.0, &[]), Some((0, How::BestFit)));
        assert_eq!(at(0.05, 0.99, &[]), Some((1, How::FastestFirst)));
        // empty queue: the fastest only if it is faster
        assert_eq!(at(0.05, 1.0, &[]), Some((1, How::Ai2(1.5))));
        let even = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.0)];
        assert_eq!(pick(&even, &even, &head, &[], &weather(0.0, 0.0)).map(|(o, _)| o.at), Some(0));
    }

    /// Score by hand.  Later task of 8 cores: with best-fit the head (2) sits
    /// on the slow machine and the 8 fit on the fast one: 2*1 + 8*1.5 = 14;
    /// with fastest-first the head takes 2 of the fast one and the 8 fit
    /// nowhere: 2*1.5 = 3.  Score 1.5 * 3/14 = 0.32: best-fit stays.
    #[test]
    fn ai2_keeps_best_fit_when_the_lookahead_loses() {
        let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
        let (o, how) = pick(&m, &m, &size(2.0), &[size(8.0)], &weather(0.06, 5.0)).unwrap();
        assert_eq!(o.at, 0);
        assert!(matches!(how, How::Ai2(s) if (s - 1.5 * 3.0 / 14.0).abs() < 1e-9));
    }

    /// Later task of 2 cores: best-fit 2*1 + 2*1.5 = 5; fastest-first 2*1.5 +
    /// 2*1 (the slow one fits best) = 5.  Score 1.5 * 5/5 = 1.5: the fastest.
    #[test]
    fn ai2_takes_the_fastest_when_nothing_is_lost() {
        let m = [machine(0, 2.0, 1.0), machine(1, 8.0, 1.5)];
        let (o, how) = pick(&m, &m, &size(2.0), &[size(2.0)], &weather(0.06, 5.0)).unwrap();
        assert_eq!(o.at, 1);
        assert!(matches!(how, How::Ai2(s) if (s - 1.5).abs() < 1e-9));
    }

    #[test]
    fn variance_is_the_population_s() {
        assert_eq!(variance([1.0, 1.0].into_iter()), 0.0);
        assert!((variance([1.0, 2.0].into_iter()) - 0.25).abs() < 1e-12);
        assert_eq!(variance(std::iter::empty()), 0.0);
    }
}
