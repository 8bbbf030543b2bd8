//! Constraints on placing a job's tasks: its zone constraints and its team's limit.

use std::collections::BTreeMap;

use super::pass::{Pass, PlacementRequest};
use crate::model::*;

impl Pass<'_> {
    /// Counts the tasks of a job that are or may be in each zone, by zone index.  All counts are 0
    /// if the job has no zone constraint.
    pub(super) fn tasks_per_zone(&self, request: &PlacementRequest) -> Vec<u32> {
        let mut tasks_per_zone = vec![0; self.zones.len()];
        if !request.job.spec.one_zone && !request.job.spec.spread_by_zone {
            return tasks_per_zone;
        }
        for (name, task) in request.job.assigned_tasks() {
            let Some(machine) = self.cluster.machines.get(&name) else { continue };
            // Exited tasks are no longer on their machine.
            if machine.tasks.get(&task).is_some_and(|task| task.occupies_resources()) {
                if let Some(zone) = self.zones.iter().position(|zone| **zone == machine.zone) {
                    tasks_per_zone[zone] += 1;
                }
            }
        }
        tasks_per_zone
    }

    /// Converts counts by zone index to counts by zone name, without the zones that have no tasks.
    pub(super) fn tasks_by_zone_name(&self, tasks_per_zone: &[u32]) -> BTreeMap<Name, u32> {
        let zones = tasks_per_zone.iter().zip(&self.zones).filter(|(tasks, _)| **tasks > 0);
        zones.map(|(tasks, zone)| ((*zone).clone(), *tasks)).collect()
    }

    /// Reports whether the job's zone constraints allow one more task in the zone of a slot.
    pub(super) fn may_use_zone(&self, request: &PlacementRequest, tasks_per_zone: &[u32], slot: usize) -> bool {
        let spec = &request.job.spec;
        let zone = self.slots[slot].zone;
        let is_elsewhere = |(other, tasks): (usize, &u32)| *tasks > 0 && other != zone;
        if spec.one_zone && tasks_per_zone.iter().enumerate().any(is_elsewhere) {
            return false;
        }
        tasks_per_zone[zone] < spec.max_tasks_per_zone()
    }

    /// Reports whether the team's limit allows `count` more tasks of the job to run.
    pub(super) fn is_within_team_limit(&self, request: &PlacementRequest, count: u32) -> bool {
        let Some(limit) = self.cluster.teams.get(&request.job.spec.team) else { return true };
        let used = self.used_by_team.get(&request.job.spec.team).copied().unwrap_or_default();
        limit.allows(&used, &request.size.scaled(f64::from(count)))
    }

    /// Returns how many of `count` tasks of the job the team's limit allows to run.
    pub(super) fn count_within_team_limit(&self, request: &PlacementRequest, count: u32) -> u32 {
        let team = &request.job.spec.team;
        let Some(limit) = self.cluster.teams.get(team) else { return count };
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        // A value of 0 means that there is no limit.
        let remaining = |limit: f64, used: f64| if limit > 0.0 { limit - used } else { f64::INFINITY };
        let remaining = Resources {
            cpus: remaining(limit.limit.cpus, used.cpus),
            gpus: remaining(limit.limit.gpus, used.gpus),
            memory_gb: f64::INFINITY,
        };
        remaining.count_fitting(&request.size, count as usize) as u32
    }
}
