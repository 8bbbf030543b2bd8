//! The edges of the dependency graph.

use std::collections::{BTreeSet, VecDeque};

use crate::model::{Name, NameMap};

/// Which jobs depend on which, by the job that is depended on.
#[derive(Debug, Default)]
pub struct DependencyEdges(NameMap<BTreeSet<Name>>);

impl DependencyEdges {
    /// Adds the dependencies of a job.
    pub fn add<'a>(&mut self, id: &Name, dependencies: impl IntoIterator<Item = &'a Name>) {
        for dependency in dependencies {
            self.0.entry(dependency.clone()).or_default().insert(id.clone());
        }
    }

    /// Removes these dependencies of a job.
    pub fn remove<'a>(&mut self, id: &str, dependencies: impl IntoIterator<Item = &'a Name>) {
        for dependency in dependencies {
            if let Some(dependents) = self.0.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.0.remove(dependency);
                }
            }
        }
    }

    /// Removes all dependencies on a job, and returns the jobs that had them.
    pub(super) fn take_dependents(&mut self, id: &str) -> BTreeSet<Name> {
        self.0.remove(id).unwrap_or_default()
    }

    /// Iterates over the jobs that depend on a job directly.
    pub fn direct_dependents(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.0.get(id).into_iter().flatten()
    }

    /// Returns the jobs that depend on a job, directly or through others: the nearest first,
    /// at most `limit`.  Chains may be thousands long, so the search is not recursive.
    pub fn dependents(&self, id: &str, limit: usize) -> Vec<Name> {
        let mut found = Vec::new();
        let mut visited = BTreeSet::new();
        let mut to_visit: VecDeque<&Name> = self.direct_dependents(id).collect();
        while let Some(dependent) = to_visit.pop_front() {
            if found.len() == limit {
                break;
            }
            if visited.insert(dependent) {
                found.push(dependent.clone());
                to_visit.extend(self.direct_dependents(dependent));
            }
        }
        found
    }

    /// Whether no job depends on another.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
