//! A machine as the placement switch sees it, and the best-fit measure.

use crate::model::Resources;

/// A machine that may take a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index of the machine in the pass.
    pub at: usize,
    /// Resources that are free before the task.
    pub free: Resources,
    /// Resources of the empty machine.
    pub whole: Resources,
    /// Relative speed.
    pub speed: f64,
}

/// Resources left after a task, as the sum of free fractions; best-fit takes the
/// machine with the least.
pub fn leftover(free: &Resources, whole: &Resources, task: &Resources) -> f64 {
    let fraction = |free: f64, task: f64, whole: f64| if whole > 0.0 { (free - task) / whole } else { 0.0 };
    fraction(free.cpus, task.cpus, whole.cpus)
        + fraction(free.gpus, task.gpus, whole.gpus)
        + fraction(free.memory, task.memory, whole.memory)
}
