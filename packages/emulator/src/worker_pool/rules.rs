//! Checks of the protocol's rules at the start of a task.

use std::collections::BTreeMap;

use coralnotch_wire::model::{JobSpec, Name, Task};

use super::machine::{Machine, TaskPhase};
use super::WorkerPool;

impl WorkerPool {
    /// Records a violation if a starting task already runs on another machine, is not allowed on
    /// this machine, or has a dependency that is not done.
    pub(super) fn check_start(&mut self, name: &Name, task: &Task, spec: &JobSpec) {
        let Some(machine) = self.machines.get(name) else { return };
        let machines = self.machines_by_task.get(task).into_iter().flatten();
        for other in machines.filter(|other| *other != name && has_started_on(&self.machines, other, task)) {
            self.violations.push(format!("ran_twice: {task} starts on {name} while it has not exited on {other}"));
        }
        if !is_machine_allowed(machine, spec) {
            self.violations.push(format!("wrong_place: {task} starts on {name}, where its job must not run"));
        }
        if let Some(dependency) = spec.dependencies.iter().find(|job| !self.completed_at.contains_key(*job)) {
            self.violations.push(format!("too_early: {task} starts before its dependency {dependency} is done"));
        }
    }
}

/// Reports whether a task has started on a machine and has not exited.
fn has_started_on(machines: &BTreeMap<Name, Machine>, name: &Name, task: &Task) -> bool {
    let record = machines.get(name).and_then(|machine| machine.tasks.get(task));
    record.is_some_and(|record| !record.phase.has_exited() && record.phase != TaskPhase::Pulling)
}

/// Reports whether a job may run on a machine, judged by its type, its zone and whether it is a spot
/// instance.
fn is_machine_allowed(machine: &Machine, spec: &JobSpec) -> bool {
    spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine.kind.name))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}
