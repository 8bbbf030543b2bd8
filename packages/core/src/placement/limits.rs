//! Limits of zones and teams.

use std::collections::BTreeMap;

use super::pass::{Ask, Pass};
use crate::model::*;

impl<'a> Pass<'a> {
    /// Tasks of a job that are or may be in each zone.  Only where the job
    /// cares for zones.
    pub fn zones_of(&self, ask: &Ask) -> Vec<u32> {
        let mut zones = vec![0; self.zones.len()];
        if !ask.job.spec.one_zone && !ask.job.spec.spread {
            return zones;
        }
        for (name, task) in ask.job.placed_tasks() {
            // exited tasks are off their machine
            let Some(m) = self.c.machines.get(&name) else { continue };
            if m.tasks.get(&task).is_some_and(|p| p.occupies_resources()) {
                if let Some(z) = self.zones.iter().position(|z| **z == m.zone) {
                    zones[z] += 1;
                }
            }
        }
        zones
    }

    pub fn by_name(&self, zones: &[u32]) -> BTreeMap<Name, u32> {
        zones.iter().zip(&self.zones).filter(|(n, _)| **n > 0).map(|(n, z)| ((*z).clone(), *n)).collect()
    }

    pub fn zone_ok(&self, ask: &Ask, zones: &[u32], slot: usize) -> bool {
        let spec = &ask.job.spec;
        let z = self.slots[slot].zone;
        if spec.one_zone && zones.iter().enumerate().any(|(o, n)| *n > 0 && o != z) {
            return false;
        }
        zones[z] < spec.zone_cap()
    }

    /// Whether the team's limit lets `n` more tasks run.
    pub fn allows(&self, ask: &Ask, n: u32) -> bool {
        let Some(limit) = self.c.teams.get(&ask.job.spec.team) else { return true };
        let used = self.used.get(&ask.job.spec.team).copied().unwrap_or_default();
        limit.allows(&used, &ask.size.scaled(f64::from(n)))
    }

    /// How many of so many tasks the team's limit lets run.
    pub fn room_in_limit(&self, ask: &Ask, most: u32) -> u32 {
        let team = &ask.job.spec.team;
        let Some(limit) = self.c.teams.get(team) else { return most };
        let used = self.used.get(team).copied().unwrap_or_default();
        let part = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::INFINITY };
        let left = Resources {
            cpus: part(limit.limit.cpus, used.cpus),
            gpus: part(limit.limit.gpus, used.gpus),
            memory: f64::INFINITY,
        };
        left.count_fitting(&ask.size, most as usize) as u32
    }
}
