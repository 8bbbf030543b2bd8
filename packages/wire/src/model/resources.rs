//! Amounts of processors, accelerators and memory.

/// What a task takes of a machine, or what is left of one.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Processor cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory: f64,
}

/// Rounding in sums of decimal amounts must not turn a fit into a refusal.
const SLACK: f64 = 1e-6;

impl Resources {
    /// Whether a task of size `size` fits into these resources.
    pub fn fits(&self, size: &Resources) -> bool {
        size.cpus <= self.cpus + SLACK && size.gpus <= self.gpus + SLACK && size.memory <= self.memory + SLACK
    }

    /// Subtracts `size`; a result below zero is kept as it is.
    pub fn subtract(&mut self, size: &Resources) {
        self.cpus -= size.cpus;
        self.gpus -= size.gpus;
        self.memory -= size.memory;
    }

    /// Adds `size`.
    pub fn add(&mut self, size: &Resources) {
        self.cpus += size.cpus;
        self.gpus += size.gpus;
        self.memory += size.memory;
    }

    /// These resources multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory: self.memory * factor }
    }

    /// How many tasks of size `size` fit into these resources, at most `most`.
    pub fn count_fitting(&self, size: &Resources, most: usize) -> usize {
        let part = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + SLACK) / need).floor().max(0.0)
            }
        };
        let n = part(self.cpus, size.cpus).min(part(self.gpus, size.gpus)).min(part(self.memory, size.memory));
        if n.is_finite() {
            (n as usize).min(most)
        } else {
            most
        }
    }
}
