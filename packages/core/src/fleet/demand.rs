//! Classes whose tasks should start sooner than a machine boots.

use std::collections::HashSet;
use std::time::Instant;

use crate::cluster::{Cluster, Job, Machine};
use crate::model::*;

impl Cluster {
    /// One job of each class whose tasks should start sooner than a machine
    /// boots: room for the next ones has to be there before they come.
    pub(super) fn urgent(&self) -> Vec<std::sync::Arc<JobSpec>> {
        let boot = self.types.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        let newest = |class: &Name| {
            let of = self.jobs.values().filter(|j| j.outcome.is_none() && j.spec.class == *class);
            of.max_by_key(|j| j.revision).map(|j| j.spec.clone())
        };
        self.start_objectives.iter().filter(|(_, aim)| **aim < boot).filter_map(|(class, _)| newest(class)).collect()
    }

    /// How many tasks of a job a machine could take at once, counting what
    /// would give way to them.
    pub(super) fn ready_room(&self, m: &Machine, spec: &JobSpec, now: Instant) -> usize {
        if !m.is_schedulable(now, &self.policy) || !spec.allows(&m.kind, &m.zone, m.spot) {
            return 0;
        }
        let mut room = m.free_resources();
        for p in m.tasks.values().filter(|p| p.occupies_resources() && p.spec.priority > spec.priority) {
            room.add(&p.spec.size());
        }
        room.count_fitting(&spec.size(), 1000)
    }

    /// How many tasks of a job's class are likely to come while a machine boots, by
    /// what has come lately.  What was there when this leader began tells nothing:
    /// it may have come over any time.
    pub(super) fn likely(&self, spec: &JobSpec, now: Instant) -> f64 {
        let boot = self.types.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        let from = self.term_started_at + self.policy.ttl;
        let since = |t: Instant| now.saturating_duration_since(t).as_secs_f64();
        let window = since(from).min(self.policy.horizon_s);
        if window < boot / 2.0 || !boot.is_finite() {
            return 0.0;
        }
        let lately = |j: &&Job| j.spec.class == spec.class && j.first_seen > from && since(j.first_seen) < window;
        let came: u32 = self.jobs.values().filter(lately).map(|j| j.spec.tasks).sum();
        f64::from(came) * boot / window
    }

    pub(super) fn all_ready_room(&self, spec: &JobSpec, now: Instant) -> usize {
        self.machines.values().map(|m| self.ready_room(m, spec, now)).sum()
    }

    /// Idle machines without which an urgent class would lack room.
    pub(super) fn needed_idle(&self, now: Instant) -> HashSet<Name> {
        let mut needed = HashSet::new();
        for spec in self.urgent() {
            let mut room = self.all_ready_room(&spec, now);
            for m in self.machines.values().filter(|m| m.tasks.is_empty()) {
                let here = self.ready_room(m, &spec, now);
                if here > 0 && room < self.policy.urgent_room + here {
                    needed.insert(m.name.clone());
                } else {
                    room -= here;
                }
            }
        }
        needed
    }
}
