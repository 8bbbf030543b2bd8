//! Checks whether a submitted job can ever run with the configured teams and machine types.

use coralnotch_policy::config::Team;

use crate::model::{JobSpec, MachineType, Shape};

/// Number of cores or GPUs by which a job may exceed its team's limit, so that rounding errors in
/// sums of decimal amounts do not cause a refusal.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Returns the reason why a job can never run, or `None` if it can.
///
/// The reason is one of: an unknown team, no machine type that is large enough and allowed, none
/// of these types in the job's zone, placement constraints that contradict each other, or the
/// team's limit.
pub fn unsatisfiable_reason(spec: &JobSpec, teams: &[Team], types: &[MachineType]) -> Option<&'static str> {
    let Some(team) = teams.iter().find(|team| *team.name == *spec.team) else {
        return Some("unknown team");
    };
    let is_allowed = |machine_type: &&MachineType| {
        spec.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
    };
    let is_large_enough = |machine_type: &&MachineType| machine_type.resources().fits(&spec.resources_per_task());
    let mut fitting = types.iter().filter(is_allowed).filter(is_large_enough).peekable();
    if fitting.peek().is_none() {
        return Some("a task fits no allowed machine type");
    }
    if spec.zone.as_ref().is_some_and(|zone| !fitting.any(|machine_type| machine_type.zones.contains(zone))) {
        return Some("no allowed machine type that a task fits is in its zone");
    }
    let runs_at_once = spec.shape != Shape::Array;
    if runs_at_once && (spec.zone.is_some() || spec.one_zone) && spec.tasks > spec.max_tasks_per_zone() {
        return Some("its tasks are to be spread and to be in one zone");
    }
    // The tasks of an array may run one after another, so each has to fit the limit alone.
    let tasks_at_once = if runs_at_once { f64::from(spec.tasks) } else { 1.0 };
    // A limit of 0 means that the team has no limit.
    let is_over = |per_task: f64, limit: f64| limit > 0.0 && per_task * tasks_at_once > limit + ROUNDING_TOLERANCE;
    if is_over(spec.cpus, team.cpus_max) || is_over(spec.gpus, team.gpus_max) {
        return Some("needs more than the team's limit");
    }
    None
}
