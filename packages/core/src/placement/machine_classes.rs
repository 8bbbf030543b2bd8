//! Machines by what is free on them.

use std::collections::BTreeMap;

use super::candidate::Candidate;
use crate::model::Resources;

/// Machines by what is free on them.  Best-fit cannot tell two of a class
/// apart, so a dry run looks at classes, of which there are few, however many
/// the machines.
#[derive(Debug, Default)]
pub struct Classes(pub(super) BTreeMap<[u64; 6], Class>);

#[derive(Debug)]
pub(super) struct Class {
    pub(super) free: Resources,
    pub(super) whole: Resources,
    /// Speeds, by the machines' places in the picture.
    pub(super) members: BTreeMap<usize, f64>,
}

impl Classes {
    fn key(c: &Candidate) -> [u64; 6] {
        let (f, w) = (&c.free, &c.whole);
        [f.cpus, f.gpus, f.memory, w.cpus, w.gpus, w.memory].map(f64::to_bits)
    }
    /// Adds a machine.
    pub fn add(&mut self, c: &Candidate) {
        let new = || Class { free: c.free, whole: c.whole, members: BTreeMap::new() };
        self.0.entry(Self::key(c)).or_insert_with(new).members.insert(c.at, c.speed);
    }
    /// Removes a machine, which has to be as it was when it was added.
    pub fn remove(&mut self, c: &Candidate) {
        let key = Self::key(c);
        let Some(class) = self.0.get_mut(&key) else { return };
        class.members.remove(&c.at);
        if class.members.is_empty() {
            self.0.remove(&key);
        }
    }
    /// How many classes there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }
    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
