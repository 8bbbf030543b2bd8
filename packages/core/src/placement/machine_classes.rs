//! Machines grouped by their free resources, for the dry run.

use std::collections::BTreeMap;

use super::candidate::Candidate;
use crate::model::Resources;

/// Machines grouped by their free and total resources.
///
/// Best-fit treats all machines of a class alike, so a dry run examines classes instead of
/// machines.  The number of classes stays small even with many machines.
#[derive(Debug, Default)]
pub struct MachineClasses(BTreeMap<[u64; 6], MachineClass>);

/// Machines with the same free and total resources.
#[derive(Debug)]
pub(super) struct MachineClass {
    pub(super) free: Resources,
    pub(super) total: Resources,
    /// Speeds of the machines, by the index of the machine's slot in the pass.
    pub(super) speeds: BTreeMap<usize, f64>,
}

impl MachineClasses {
    /// Returns the key of a machine's class.  It consists of bit patterns, because `f64` does not
    /// implement `Ord`.
    fn key(machine: &Candidate) -> [u64; 6] {
        let (free, total) = (&machine.free, &machine.total);
        [free.cpus, free.gpus, free.memory_gb, total.cpus, total.gpus, total.memory_gb].map(f64::to_bits)
    }

    /// Adds a machine to the class of its free and total resources.
    pub fn add(&mut self, machine: &Candidate) {
        let new = || MachineClass { free: machine.free, total: machine.total, speeds: BTreeMap::new() };
        self.0.entry(Self::key(machine)).or_insert_with(new).speeds.insert(machine.slot, machine.speed);
    }

    /// Removes a machine.  `machine` must have the same free and total resources as when it was
    /// added; otherwise nothing is removed.
    pub fn remove(&mut self, machine: &Candidate) {
        let key = Self::key(machine);
        let Some(class) = self.0.get_mut(&key) else { return };
        class.speeds.remove(&machine.slot);
        if class.speeds.is_empty() {
            self.0.remove(&key);
        }
    }

    /// Returns all classes, in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = &MachineClass> {
        self.0.values()
    }

    /// Returns the number of classes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether there are no classes, and therefore no machines.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
