//! The edges of the dependency graph.

use std::collections::{BTreeSet, VecDeque};

use crate::model::{Name, NameMap};

/// Who needs whom, seen from the needed ones.
#[derive(Debug, Default)]
pub struct DependencyEdges(pub(super) NameMap<BTreeSet<Name>>);

impl DependencyEdges {
    /// A job with what it needs.
    pub fn add<'a>(&mut self, id: &Name, needs: impl IntoIterator<Item = &'a Name>) {
        for n in needs {
            self.0.entry(n.clone()).or_default().insert(id.clone());
        }
    }

    /// The job needs these no longer.
    pub fn remove<'a>(&mut self, id: &str, needs: impl IntoIterator<Item = &'a Name>) {
        for n in needs {
            if let Some(after) = self.0.get_mut(n) {
                after.remove(id);
                if after.is_empty() {
                    self.0.remove(n);
                }
            }
        }
    }

    /// Those that need a job directly.
    pub fn direct_dependents(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.0.get(id).into_iter().flatten()
    }

    /// Those that need a job, directly or through others; the nearest first, and
    /// no more than so many.  Chains may be thousands long: nothing recurs.
    pub fn dependents(&self, id: &str, most: usize) -> Vec<Name> {
        let (mut found, mut seen) = (Vec::new(), BTreeSet::new());
        let mut next: VecDeque<&Name> = self.direct_dependents(id).collect();
        while let Some(n) = next.pop_front() {
            if found.len() == most {
                break;
            }
            if seen.insert(n) {
                found.push(n.clone());
                next.extend(self.direct_dependents(n));
            }
        }
        found
    }

    /// Whether nobody needs anybody.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
