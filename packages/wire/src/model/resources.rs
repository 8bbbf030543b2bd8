//! Amounts of processor cores, accelerators and memory.

/// Resources that a task requires, or that a machine has in total or free.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Number of processor cores; may be fractional.
    pub cpus: f64,
    /// Number of accelerators; may be fractional.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance for comparisons, in cores, accelerators or GB.  Without it, rounding errors in sums of
/// decimal amounts could reject a task that fits exactly.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Reports whether a task that requires `size` fits into these resources.
    pub fn fits(&self, size: &Resources) -> bool {
        size.cpus <= self.cpus + ROUNDING_TOLERANCE
            && size.gpus <= self.gpus + ROUNDING_TOLERANCE
            && size.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Subtracts `size` from these resources.  Amounts may become negative and are not clamped to 0.
    pub fn subtract(&mut self, size: &Resources) {
        self.cpus -= size.cpus;
        self.gpus -= size.gpus;
        self.memory_gb -= size.memory_gb;
    }

    /// Adds `size` to these resources.
    pub fn add(&mut self, size: &Resources) {
        self.cpus += size.cpus;
        self.gpus += size.gpus;
        self.memory_gb += size.memory_gb;
    }

    /// Returns these resources with every amount multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory_gb: self.memory_gb * factor }
    }

    /// Returns how many tasks that require `size` each fit into these resources, but at most `max`.
    ///
    /// Amounts of which a task requires nothing do not limit the number.
    pub fn count_fitting(&self, size: &Resources, max: usize) -> usize {
        let count_by_amount = |available: f64, required: f64| {
            if required <= 0.0 {
                f64::INFINITY
            } else {
                ((available + ROUNDING_TOLERANCE) / required).floor().max(0.0)
            }
        };
        let count = count_by_amount(self.cpus, size.cpus)
            .min(count_by_amount(self.gpus, size.gpus))
            .min(count_by_amount(self.memory_gb, size.memory_gb));
        if count.is_finite() {
            (count as usize).min(max)
        } else {
            max
        }
    }
}
