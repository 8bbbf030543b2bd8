//! Whether a submitted job can ever run with the configured teams and machine types.

use coralnotch_policy::config::Team;

use crate::model::{JobSpec, MachineType, Shape};

/// Why a job can never run, if it cannot: its team, the machine types, their zones and the
/// team's limit speak against it.
pub fn unsatisfiable_reason(spec: &JobSpec, teams: &[Team], types: &[MachineType]) -> Option<&'static str> {
    let Some(team) = teams.iter().find(|t| *t.name == *spec.team) else {
        return Some("unknown team");
    };
    let allowed = |t: &&MachineType| spec.types.as_ref().is_none_or(|l| l.contains(&t.name));
    let mut fit = types.iter().filter(allowed).filter(|t| t.size().fits(&spec.size())).peekable();
    if fit.peek().is_none() {
        return Some("a task fits no allowed machine type");
    }
    if spec.zone.as_ref().is_some_and(|z| !fit.any(|t| t.zones.contains(z))) {
        return Some("no allowed machine type that a task fits is in its zone");
    }
    let together = spec.shape != Shape::Array;
    if together && (spec.zone.is_some() || spec.one_zone) && spec.tasks > spec.zone_cap() {
        return Some("its tasks are to be spread and to be in one zone");
    }
    let n = if together { f64::from(spec.tasks) } else { 1.0 };
    let over = |need: f64, most: f64| most > 0.0 && need * n > most + 1e-6;
    if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
        return Some("needs more than the team's limit");
    }
    None
}
