//! A machine as the switch sees it.

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

/// Room left after the task, as the sum of free fractions.
pub fn leftover(free: &Resources, whole: &Resources, task: &Resources) -> f64 {
    let part = |f: f64, t: f64, w: f64| if w > 0.0 { (f - t) / w } else { 0.0 };
    part(free.cpus, task.cpus, whole.cpus)
        + part(free.gpus, task.gpus, whole.gpus)
        + part(free.memory, task.memory, whole.memory)
}
