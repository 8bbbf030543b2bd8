//! The edges of the dependency graph.

use std::collections::{BTreeSet, VecDeque};

use crate::model::{Name, NameMap};

/// The direct dependents of each job, by the id of the job that they depend on.
#[derive(Debug, Default)]
pub struct DependencyEdges(NameMap<BTreeSet<Name>>);

impl DependencyEdges {
    /// Adds dependencies of the job `id`.
    pub fn add<'a>(&mut self, id: &Name, dependencies: impl IntoIterator<Item = &'a Name>) {
        for dependency in dependencies {
            self.0.entry(dependency.clone()).or_default().insert(id.clone());
        }
    }

    /// Removes these dependencies of the job `id`.
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

    /// Removes all dependencies on the job `id`, and returns its direct dependents.
    pub(super) fn take_dependents(&mut self, id: &str) -> BTreeSet<Name> {
        self.0.remove(id).unwrap_or_default()
    }

    /// Returns an iterator over the jobs that depend on the job `id` directly.
    pub fn direct_dependents(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.0.get(id).into_iter().flatten()
    }

    /// Returns at most `limit` jobs that depend on the job `id`, directly or through others, with
    /// the nearest first.  The search is iterative, because a chain of dependencies may contain
    /// thousands of jobs.
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

    /// Reports whether no job depends on another.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
