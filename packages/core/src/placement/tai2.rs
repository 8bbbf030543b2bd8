//! The switch of the paper: best-fit or fastest-first by the variance of the
//! machines' speeds and the load, AI2's dry run where they disagree.
//!
//! Made for a thousand machines: one scan finds both picks, and a dry run
//! takes equal tasks of the queue together.  The tests hold it against a
//! plain reading of the paper.

use std::collections::BTreeMap;

use crate::model::Resources;

/// A machine as the switch sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Which machine.
    pub at: usize,
    /// Room left before the task.
    pub free: Resources,
    /// What it offers when empty.
    pub whole: Resources,
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
pub fn leftover(free: &Resources, whole: &Resources, task: &Resources) -> f64 {
    let part = |f: f64, t: f64, w: f64| if w > 0.0 { (f - t) / w } else { 0.0 };
    part(free.cpus, task.cpus, whole.cpus)
        + part(free.gpus, task.gpus, whole.gpus)
        + part(free.memory, task.memory, whole.memory)
}

/// Both picks among the machines shown so far, all of which hold the task.
#[derive(Debug, Default)]
pub struct Picks {
    best: Option<(f64, Candidate)>,
    fastest: Option<(f64, Candidate)>,
}

impl Picks {
    /// One more machine.
    pub fn show(&mut self, c: Candidate, task: &Resources) {
        let left = leftover(&c.free, &c.whole, task);
        if self.best.is_none_or(|b| left < b.0) {
            self.best = Some((left, c));
        }
        // of equally fast ones that left with least room
        if self.fastest.is_none_or(|f| c.speed > f.1.speed || c.speed == f.1.speed && left < f.0) {
            self.fastest = Some((left, c));
        }
    }

    /// Forgets all, for machines of a better tier come next.
    pub fn clear(&mut self) {
        *self = Picks::default();
    }

    /// The paper's decision.  `all` are the machines of the dry run and
    /// `later` the queue behind the head as runs of equal tasks; both may be
    /// empty where no dry run is needed.
    pub fn decide(
        &self,
        head: &Resources,
        w: &Weather,
        all: &Classes,
        later: &[(Resources, usize)],
    ) -> Option<(usize, How)> {
        let (bf, ff) = (self.best?.1, self.fastest?.1);
        let mixed = w.variance >= w.variance_threshold;
        let loaded = w.load >= w.load_threshold;
        match (mixed, loaded) {
            (false, true) => return Some((bf.at, How::BestFit)),
            (true, false) => return Some((ff.at, How::FastestFirst)),
            _ if bf.at == ff.at => return Some((bf.at, How::Ai2(1.0))),
            _ => {}
        }
        if later.is_empty() {
            // nothing to look ahead at: the fastest only if it is faster
            let faster = ff.speed > bf.speed;
            return Some(if faster { (ff.at, How::Ai2(ff.speed / bf.speed)) } else { (bf.at, How::Ai2(1.0)) });
        }
        let (cf, cb) = (dry_run(all, head, ff.at, later), dry_run(all, head, bf.at, later));
        let score = if cb > 0.0 && bf.speed > 0.0 { ff.speed / bf.speed * cf / cb } else { 1.0 };
        Some((if score > 1.0 { ff.at } else { bf.at }, How::Ai2(score)))
    }
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

/// Machines by what is free on them.  Best-fit cannot tell two of a class
/// apart, so a dry run looks at classes, of which there are few, however many
/// the machines.
#[derive(Debug, Default)]
pub struct Classes(BTreeMap<[u64; 6], Class>);

#[derive(Debug)]
struct Class {
    free: Resources,
    whole: Resources,
    /// Speeds, by the machines' places in the picture.
    members: BTreeMap<usize, f64>,
}

impl Classes {
    fn key(c: &Candidate) -> [u64; 6] {
        let (f, w) = (&c.free, &c.whole);
        [f.cpus, f.gpus, f.memory, w.cpus, w.gpus, w.memory].map(f64::to_bits)
    }
    /// Adds a machine.
    pub fn add(&mut self, c: &Candidate) {
        let new = || Class { free: c.free, whole: c.whole, members: BTreeMap::new() };
        self.0.entry(Self::key(c)).or_insert_with(new).members.insert(c.at, c.speed);
    }
    /// Removes a machine, which has to be as it was when it was added.
    pub fn remove(&mut self, c: &Candidate) {
        let key = Self::key(c);
        let Some(class) = self.0.get_mut(&key) else { return };
        class.members.remove(&c.at);
        if class.members.is_empty() {
            self.0.remove(&key);
        }
    }
    /// How many classes there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }
    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Speed times size of what a dry run places: the head where it was picked,
/// then later tasks best-fit until one fits nowhere.
///
/// A machine that is the best fit for a task stays so for equal ones, as what
/// is left of it only shrinks: one scan serves for as many as it holds.
pub fn dry_run(all: &Classes, head: &Resources, at: usize, later: &[(Resources, usize)]) -> f64 {
    // machines that the run has changed, and the others in their classes
    let mut changed: Vec<Candidate> = Vec::new();
    let mut rest: Vec<_> = Vec::with_capacity(all.len());
    let mut sum = 0.0;
    for c in all.0.values() {
        if let Some(speed) = c.members.get(&at) {
            let mut free = c.free;
            free.subtract(head);
            sum += speed * head.cpus;
            changed.push(Candidate { at, free, whole: c.whole, speed: *speed });
        }
        rest.push((c, c.members.iter().filter(|m| *m.0 != at).peekable()));
    }
    for (task, count) in later {
        let mut left = *count;
        while left > 0 {
            let mut best: Option<(f64, usize, bool, usize)> = None;
            let mut show = |room: f64, at: usize, fresh: bool, i: usize| {
                let before = best.is_none_or(|b| room.total_cmp(&b.0).then(at.cmp(&b.1)).is_lt());
                if before {
                    best = Some((room, at, fresh, i));
                }
            };
            for (i, (c, members)) in rest.iter_mut().enumerate().filter(|(_, r)| r.0.free.fits(task)) {
                if let Some((at, _)) = members.peek() {
                    show(leftover(&c.free, &c.whole, task), **at, true, i);
                }
            }
            for (i, o) in changed.iter().enumerate().filter(|(_, o)| o.free.fits(task)) {
                show(leftover(&o.free, &o.whole, task), o.at, false, i);
            }
            let Some((_, _, fresh, mut i)) = best else { return sum };
            if fresh {
                let (c, members) = &mut rest[i];
                let Some((at, speed)) = members.next() else { return sum };
                changed.push(Candidate { at: *at, free: c.free, whole: c.whole, speed: *speed });
                i = changed.len() - 1;
            }
            let o = &mut changed[i];
            while left > 0 && o.free.fits(task) {
                o.free.subtract(task);
                sum += o.speed * task.cpus;
                left -= 1;
            }
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

#[cfg(test)]
mod tests;
