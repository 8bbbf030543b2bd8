//! The switch of the paper: best-fit or fastest-first by the variance of the
//! machines' speeds and the load, AI2's dry run where they disagree.
//!
//! Made for a thousand machines: one scan finds both picks, and a dry run
//! takes equal tasks of the queue together.  The tests hold it against a
//! plain reading of the paper.

pub use super::candidate::{leftover, Candidate};
pub use super::dry_run::dry_run;
pub use super::machine_classes::Classes;
use crate::model::Resources;

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
