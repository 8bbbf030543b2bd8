//! Expected demand.  Job classes whose start objective is shorter than the boot time of a
//! machine need free capacity before their tasks are submitted.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use crate::cluster::{Cluster, Job, Machine, UnmetDemand};
use crate::model::*;

/// Maximum number of tasks that are counted on one machine.
pub(super) const MAX_TASKS_COUNTED: usize = 1000;

impl Cluster {
    /// Returns the shortest boot time of all machine types, in seconds; infinity while no type
    /// is known.
    fn shortest_boot_s(&self) -> f64 {
        self.machine_types.values().map(|machine_type| machine_type.boot_s).fold(f64::INFINITY, f64::min)
    }

    /// Returns the newest unfinished job of each urgent class, as a sample of the jobs that are
    /// likely to arrive.  A class is urgent if its start objective is shorter than the boot
    /// time of every machine type.
    pub(super) fn urgent_class_samples(&self) -> Vec<Arc<JobSpec>> {
        let boot_s = self.shortest_boot_s();
        let newest = |class: &Name| {
            let of_class = self.jobs.values().filter(|job| job.outcome.is_none() && job.spec.class == *class);
            of_class.max_by_key(|job| job.revision).map(|job| job.spec.clone())
        };
        let urgent = self.start_objectives.iter().filter(|(_, objective_s)| **objective_s < boot_s);
        urgent.filter_map(|(class, _)| newest(class)).collect()
    }

    /// Returns how many tasks of a job could start on a machine immediately.  The resources of
    /// tasks that the job may preempt count as free.
    fn startable_tasks_on(&self, machine: &Machine, spec: &JobSpec, now: Instant) -> usize {
        if !machine.is_schedulable(now, &self.policy)
            || !spec.allows(&machine.machine_type, &machine.zone, machine.spot)
        {
            return 0;
        }
        let mut room = machine.free_resources();
        let preemptible =
            machine.tasks.values().filter(|task| task.occupies_resources() && task.spec.priority > spec.priority);
        for task in preemptible {
            room.add(&task.spec.resources_per_task());
        }
        room.count_fitting(&spec.resources_per_task(), MAX_TASKS_COUNTED)
    }

    /// Returns how many tasks of a job could start immediately on all machines together.
    pub(super) fn startable_tasks(&self, spec: &JobSpec, now: Instant) -> usize {
        self.machines.values().map(|machine| self.startable_tasks_on(machine, spec, now)).sum()
    }

    /// Estimates from the recent arrival rate how many tasks of a job's class arrive while a
    /// machine boots.  Jobs that this leader first saw within the policy's `ttl` after the
    /// start of its term are not counted, because their actual time of arrival is unknown.
    fn expected_arrivals(&self, spec: &JobSpec, now: Instant) -> f64 {
        let boot_s = self.shortest_boot_s();
        let observed_from = self.term_started_at + self.policy.ttl;
        let seconds_since = |instant: Instant| now.saturating_duration_since(instant).as_secs_f64();
        let window_s = seconds_since(observed_from).min(self.policy.horizon_s);
        if window_s < boot_s / 2.0 || !boot_s.is_finite() {
            return 0.0;
        }
        let is_recent = |job: &&Job| {
            job.spec.class == spec.class && job.first_seen > observed_from && seconds_since(job.first_seen) < window_s
        };
        let arrived: u32 = self.jobs.values().filter(is_recent).map(|job| job.spec.tasks).sum();
        f64::from(arrived) * boot_s / window_s
    }

    /// Returns the expected tasks of urgent classes for which no machine has room, with one entry
    /// per class.  At least the policy's `urgent_room` tasks of each class are expected.
    pub(super) fn expected_demand(&self, now: Instant) -> impl Iterator<Item = UnmetDemand> + '_ {
        self.urgent_class_samples().into_iter().map(move |spec| {
            let room = self.startable_tasks(&spec, now);
            let expected = self.expected_arrivals(&spec, now).ceil() as usize;
            let count = expected.max(self.policy.urgent_room).saturating_sub(room).min(u32::MAX as usize) as u32;
            // The limit on tasks per zone is a share of the tasks of one job.  As the entry stands
            // for several jobs, the task count is raised so that the limit does not apply to it.
            let spec = Arc::new(JobSpec { tasks: count.max(spec.tasks), ..(*spec).clone() });
            UnmetDemand { spec, count, zones: Default::default() }
        })
    }

    /// Returns the names of the idle machines without which an urgent class would have room
    /// for fewer than `urgent_room` tasks.
    pub(super) fn idle_machines_needed(&self, now: Instant) -> HashSet<Name> {
        let mut needed = HashSet::new();
        for spec in self.urgent_class_samples() {
            let mut room = self.startable_tasks(&spec, now);
            for machine in self.machines.values().filter(|machine| machine.tasks.is_empty()) {
                let on_machine = self.startable_tasks_on(machine, &spec, now);
                if on_machine > 0 && room < self.policy.urgent_room + on_machine {
                    needed.insert(machine.name.clone());
                } else {
                    room -= on_machine;
                }
            }
        }
        needed
    }
}
