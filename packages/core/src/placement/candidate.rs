//! The candidate machines of the placement switch, and the best-fit measure.

use crate::model::Resources;

/// A machine that a task may be placed on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index of the machine's slot in the pass.
    pub slot: usize,
    /// Resources that are free before the task is placed.
    pub free: Resources,
    /// Resources of the machine without any tasks.
    pub total: Resources,
    /// Observed speed of the machine, 1 for the usual speed.
    pub speed: f64,
}

/// Returns the resources left on a machine after a task is placed, as the sum of the free
/// fractions of cores, GPUs and memory.  Best-fit selects the machine with the least leftover.
pub fn leftover(free: &Resources, total: &Resources, task: &Resources) -> f64 {
    let fraction = |free: f64, task: f64, total: f64| if total > 0.0 { (free - task) / total } else { 0.0 };
    fraction(free.cpus, task.cpus, total.cpus)
        + fraction(free.gpus, task.gpus, total.gpus)
        + fraction(free.memory_gb, task.memory_gb, total.memory_gb)
}
