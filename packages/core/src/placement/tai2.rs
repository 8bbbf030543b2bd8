//! TAI2, the switch of the paper: best-fit or fastest-first by the variance of the
//! machines' speeds and the load, and AI2's lookahead score where they disagree.
//!
//! Made for a thousand machines: one scan finds both candidates, and a dry run takes
//! equal tasks of the queue together.  The tests compare it with a plain reading of the
//! paper.

pub use super::candidate::{leftover, Candidate};
pub use super::dry_run::{dry_run, TaskRun};
pub use super::machine_classes::MachineClasses;
use crate::model::Resources;

/// The policy that selected a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SelectionPolicy {
    /// Best-fit by the thresholds.
    BestFit,
    /// Fastest-first by the thresholds.
    FastestFirst,
    /// AI2.
    Ai2 {
        /// Above 1 it took the fastest machine.
        score: f64,
    },
}

/// The selected machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Selection {
    /// Index of the machine in the pass.
    pub at: usize,
    /// How it was selected.
    pub policy: SelectionPolicy,
}

/// What the switch goes by.
#[derive(Debug, Clone, Copy)]
pub struct SwitchInputs {
    /// Variance of the machines' speeds.
    pub variance: f64,
    /// Waiting cores over free cores, of which at least one is counted.
    pub load: f64,
    /// The published threshold of variance.
    pub variance_threshold: f64,
    /// The published threshold of load.
    pub load_threshold: f64,
}

impl SwitchInputs {
    /// Whether the machines' speeds differ enough for fastest-first.
    fn is_heterogeneous(&self) -> bool {
        self.variance >= self.variance_threshold
    }

    /// Whether the load is high enough for best-fit.
    fn is_loaded(&self) -> bool {
        self.load >= self.load_threshold
    }

    /// Whether the thresholds do not decide between the two policies, so that AI2 does.
    pub fn needs_lookahead(&self) -> bool {
        self.is_heterogeneous() == self.is_loaded()
    }
}

/// A candidate with what a task leaves free on it.
#[derive(Debug, Clone, Copy)]
struct Fit {
    leftover: f64,
    machine: Candidate,
}

/// The candidates of both policies among the machines considered so far, all of which
/// hold the task.
#[derive(Debug, Default)]
pub struct CandidatePair {
    best_fit: Option<Fit>,
    fastest: Option<Fit>,
}

impl CandidatePair {
    /// Considers one more machine.
    pub fn consider(&mut self, machine: Candidate, task: &Resources) {
        let leftover = leftover(&machine.free, &machine.whole, task);
        if self.best_fit.is_none_or(|best| leftover < best.leftover) {
            self.best_fit = Some(Fit { leftover, machine });
        }
        // of equally fast machines the one with least left over
        let is_faster = |fastest: Fit| {
            machine.speed > fastest.machine.speed
                || machine.speed == fastest.machine.speed && leftover < fastest.leftover
        };
        if self.fastest.is_none_or(is_faster) {
            self.fastest = Some(Fit { leftover, machine });
        }
    }

    /// Forgets all machines, for those of a better tier come next.
    pub fn clear(&mut self) {
        *self = CandidatePair::default();
    }

    /// The paper's decision.  `classes` are the machines of the dry run and `later` the
    /// queue behind the head; both may be empty where no lookahead is needed.
    pub fn decide(
        &self,
        head: &Resources,
        inputs: &SwitchInputs,
        classes: &MachineClasses,
        later: &[TaskRun],
    ) -> Option<Selection> {
        let (best_fit, fastest) = (self.best_fit?.machine, self.fastest?.machine);
        let select = |machine: Candidate, policy| Some(Selection { at: machine.at, policy });
        match (inputs.is_heterogeneous(), inputs.is_loaded()) {
            (false, true) => return select(best_fit, SelectionPolicy::BestFit),
            (true, false) => return select(fastest, SelectionPolicy::FastestFirst),
            _ if best_fit.at == fastest.at => return select(best_fit, SelectionPolicy::Ai2 { score: 1.0 }),
            _ => {}
        }
        if later.is_empty() {
            // nothing to look ahead at: the fastest only if it is faster
            if fastest.speed > best_fit.speed {
                return select(fastest, SelectionPolicy::Ai2 { score: fastest.speed / best_fit.speed });
            }
            return select(best_fit, SelectionPolicy::Ai2 { score: 1.0 });
        }
        let fastest_capacity = dry_run(classes, head, fastest.at, later);
        let best_fit_capacity = dry_run(classes, head, best_fit.at, later);
        let score = if best_fit_capacity > 0.0 && best_fit.speed > 0.0 {
            fastest.speed / best_fit.speed * fastest_capacity / best_fit_capacity
        } else {
            1.0
        };
        select(if score > 1.0 { fastest } else { best_fit }, SelectionPolicy::Ai2 { score })
    }
}

/// Population variance of speeds.
pub fn variance(speeds: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = speeds.clone().count();
    if count == 0 {
        return 0.0;
    }
    let mean = speeds.clone().sum::<f64>() / count as f64;
    speeds.map(|speed| (speed - mean).powi(2)).sum::<f64>() / count as f64
}

#[cfg(test)]
mod tests;
