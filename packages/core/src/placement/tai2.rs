//! TAI2, a published placement switch that selects a machine by best-fit or by fastest-first.
//!
//! The variance of the machine speeds and the load are compared with one threshold each.  If the
//! thresholds do not decide between the two policies, the AI2 lookahead does: its score compares
//! dry runs of the waiting queue on the candidates of both policies.
//!
//! The implementation is designed for a thousand machines: one scan finds both candidates, and a
//! dry run places equal tasks of the queue together.  The tests compare it with a direct
//! implementation of the paper.

pub use super::candidate::{leftover, Candidate};
pub use super::dry_run::{dry_run, TaskRun};
pub use super::machine_classes::MachineClasses;
use crate::model::Resources;

/// The policy that selected a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SelectionPolicy {
    /// Best-fit, selected by the thresholds.
    BestFit,
    /// Fastest-first, selected by the thresholds.
    FastestFirst,
    /// The AI2 lookahead decided, because the thresholds did not.
    Ai2 {
        /// Score of the fastest machine relative to the best-fit machine; above 1, the fastest
        /// machine is selected.
        score: f64,
    },
}

/// The machine selected for a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Selection {
    /// Index of the machine's slot in the pass.
    pub slot: usize,
    /// The policy that selected the machine.
    pub policy: SelectionPolicy,
}

/// The inputs of the placement switch.
#[derive(Debug, Clone, Copy)]
pub struct SwitchInputs {
    /// Variance of the speeds of all machines in the pass.
    pub variance: f64,
    /// Ratio of queued cores to free cores; the number of free cores counts as at least 1.
    pub load: f64,
    /// Threshold of the variance, set by the policy; the default is the published value.
    pub variance_threshold: f64,
    /// Threshold of the load, set by the policy; the default is the published value.
    pub load_threshold: f64,
}

impl SwitchInputs {
    /// Reports whether the machine speeds differ enough for fastest-first.
    fn is_heterogeneous(&self) -> bool {
        self.variance >= self.variance_threshold
    }

    /// Reports whether the load is high enough for best-fit.
    fn is_loaded(&self) -> bool {
        self.load >= self.load_threshold
    }

    /// Reports whether the AI2 lookahead decides, because the thresholds call for both policies or
    /// for neither.
    pub fn needs_lookahead(&self) -> bool {
        self.is_heterogeneous() == self.is_loaded()
    }
}

/// A candidate with the leftover of the task on it (see [`leftover`]).
#[derive(Debug, Clone, Copy)]
struct Fit {
    leftover: f64,
    machine: Candidate,
}

/// The candidates of both policies among the machines considered so far.
#[derive(Debug, Default)]
pub struct CandidatePair {
    best_fit: Option<Fit>,
    fastest: Option<Fit>,
}

impl CandidatePair {
    /// Considers one more machine, which must be able to hold the task.
    pub fn consider(&mut self, machine: Candidate, task: &Resources) {
        let leftover = leftover(&machine.free, &machine.total, task);
        if self.best_fit.is_none_or(|best| leftover < best.leftover) {
            self.best_fit = Some(Fit { leftover, machine });
        }
        // Among equally fast machines, the one with the least leftover is preferred.
        let is_faster = |fastest: Fit| {
            machine.speed > fastest.machine.speed
                || machine.speed == fastest.machine.speed && leftover < fastest.leftover
        };
        if self.fastest.is_none_or(is_faster) {
            self.fastest = Some(Fit { leftover, machine });
        }
    }

    /// Removes both candidates, for example when the following machines have a better tier.
    pub fn clear(&mut self) {
        *self = CandidatePair::default();
    }

    /// Selects a machine for the head of the queue; `None` if no machine was considered.  `classes`
    /// are the machines of the dry run and `later_tasks` is the queue behind the head.  Both may be
    /// empty if [`SwitchInputs::needs_lookahead`] returns `false`.
    pub fn decide(
        &self,
        head: &Resources,
        inputs: &SwitchInputs,
        classes: &MachineClasses,
        later_tasks: &[TaskRun],
    ) -> Option<Selection> {
        let (best_fit, fastest) = (self.best_fit?.machine, self.fastest?.machine);
        let select = |machine: Candidate, policy| Some(Selection { slot: machine.slot, policy });
        match (inputs.is_heterogeneous(), inputs.is_loaded()) {
            (false, true) => return select(best_fit, SelectionPolicy::BestFit),
            (true, false) => return select(fastest, SelectionPolicy::FastestFirst),
            _ if best_fit.slot == fastest.slot => return select(best_fit, SelectionPolicy::Ai2 { score: 1.0 }),
            _ => {}
        }
        if later_tasks.is_empty() {
            // Without waiting tasks, the fastest machine is selected only if it is strictly faster.
            if fastest.speed > best_fit.speed {
                return select(fastest, SelectionPolicy::Ai2 { score: fastest.speed / best_fit.speed });
            }
            return select(best_fit, SelectionPolicy::Ai2 { score: 1.0 });
        }
        let fastest_capacity = dry_run(classes, head, fastest.slot, later_tasks);
        let best_fit_capacity = dry_run(classes, head, best_fit.slot, later_tasks);
        let score = if best_fit_capacity > 0.0 && best_fit.speed > 0.0 {
            fastest.speed / best_fit.speed * fastest_capacity / best_fit_capacity
        } else {
            1.0
        };
        select(if score > 1.0 { fastest } else { best_fit }, SelectionPolicy::Ai2 { score })
    }
}

/// Returns the population variance of the speeds; 0 if there are none.
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
