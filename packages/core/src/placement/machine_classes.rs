//! Machines grouped by their free resources, for the dry run.

use std::collections::BTreeMap;

use super::candidate::Candidate;
use crate::model::Resources;

/// Machines by free and whole resources.  Best-fit cannot tell two machines of a class
/// apart, so a dry run looks at classes, of which there are few, however many the
/// machines.
#[derive(Debug, Default)]
pub struct MachineClasses(BTreeMap<[u64; 6], MachineClass>);

/// Machines with the same free and whole resources.
#[derive(Debug)]
pub(super) struct MachineClass {
    pub(super) free: Resources,
    pub(super) whole: Resources,
    /// Speeds, by the machines' indices in the pass.
    pub(super) speeds: BTreeMap<usize, f64>,
}

impl MachineClasses {
    /// Bit patterns, as floats have no order of their own.
    fn key(machine: &Candidate) -> [u64; 6] {
        let (free, whole) = (&machine.free, &machine.whole);
        [free.cpus, free.gpus, free.memory, whole.cpus, whole.gpus, whole.memory].map(f64::to_bits)
    }

    /// Adds a machine.
    pub fn add(&mut self, machine: &Candidate) {
        let new = || MachineClass { free: machine.free, whole: machine.whole, speeds: BTreeMap::new() };
        self.0.entry(Self::key(machine)).or_insert_with(new).speeds.insert(machine.at, machine.speed);
    }

    /// Removes a machine, which has to be as it was when it was added.
    pub fn remove(&mut self, machine: &Candidate) {
        let key = Self::key(machine);
        let Some(class) = self.0.get_mut(&key) else { return };
        class.speeds.remove(&machine.at);
        if class.speeds.is_empty() {
            self.0.remove(&key);
        }
    }

    /// All classes, in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = &MachineClass> {
        self.0.values()
    }

    /// Number of classes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
