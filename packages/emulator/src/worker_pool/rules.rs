//! Rules of the protocol that a start of a task must keep to.

use std::collections::BTreeMap;

use coralnotch_wire::model::{JobSpec, Name, Task};

use super::machine::{Machine, TaskPhase};
use super::WorkerPool;

impl WorkerPool {
    /// Records the violations in the start of a task: it runs elsewhere already, it may not run on
    /// this machine, or a dependency is not done.
    pub(super) fn check_start(&mut self, name: &Name, task: &Task, spec: &JobSpec) {
        let Some(machine) = self.machines.get(name) else { return };
        let machines = self.machines_by_task.get(task).into_iter().flatten();
        for other in machines.filter(|other| *other != name && is_started_on(&self.machines, other, task)) {
            self.violations.push(format!("ran_twice: {task} starts on {name} while it is on {other}"));
        }
        if !is_allowed(machine, spec) {
            self.violations.push(format!("wrong_place: {task} starts on {name}"));
        }
        if let Some(dependency) = spec.needs.iter().find(|job| !self.completed_at.contains_key(*job)) {
            self.violations.push(format!("too_early: {task} starts before {dependency} is done"));
        }
    }
}

/// Whether a task has started on a machine and not exited.
fn is_started_on(machines: &BTreeMap<Name, Machine>, name: &Name, task: &Task) -> bool {
    let record = machines.get(name).and_then(|machine| machine.tasks.get(task));
    record.is_some_and(|record| !record.phase.has_exited() && record.phase != TaskPhase::Pulling)
}

/// Whether a job's tasks may run on a machine of this type, in this zone, spot or not.
fn is_allowed(machine: &Machine, spec: &JobSpec) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&machine.kind.name))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}
