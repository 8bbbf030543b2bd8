//! Recovery of assignments by a new leader, from the shards in the store.

use std::collections::HashMap;
use std::time::Instant;

use super::{Assignment, Cluster, Machine, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;

impl Cluster {
    /// Adds a shard that a new leader has read from the store.  `locations` has the locations of
    /// the machines in it; a start on a machine without a location is ignored.  It is uncertain
    /// whether the tasks of the starts are present until their machines report.
    pub fn add_shard(
        &mut self,
        id: u32,
        shard: PlacementShard,
        locations: &HashMap<Name, MachineLocation>,
        now: Instant,
    ) {
        for (job, ranges) in &shard.completed {
            self.add_stored_completion(job, ranges);
        }
        for start in &shard.starts {
            if let Some(location) = locations.get(&start.machine) {
                self.add_stored_start(start, location, now);
            }
        }
        self.shards.insert(id, shard);
    }

    /// Adds the stored completed tasks of a job.
    fn add_stored_completion(&mut self, id: &Name, ranges: &TaskIndexSet) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in ranges.iter().take_while(|index| *index < job.spec.tasks) {
            job.completed.insert(index);
            job.pending.remove(index);
        }
        if job.is_completing() {
            self.jobs_to_store.insert(id.clone());
        }
    }

    /// Adds the stored start of an earlier leader.
    fn add_stored_start(&mut self, start: &StartRecord, location: &MachineLocation, now: Instant) {
        let Some(job) = self.jobs.get_mut(&start.task.job) else {
            tracing::error!(task = %start.task, "ignoring a stored start: its job is unknown");
            return;
        };
        let MachineLocation { machine_type, zone, spot } = location;
        let machine = self
            .machines
            .entry(start.machine.clone())
            .or_insert_with(|| Machine::new(start.machine.clone(), machine_type.clone(), zone.clone(), *spot, now));
        if let Some(machine_type) = self.machine_types.get(machine_type) {
            machine.size = machine_type.resources();
        }
        // Shards may still hold an earlier start of the same task on this machine, even with
        // the same attempt number: when a worker's incarnation ends, the tasks of a gang that
        // it ran are assigned again under the same attempt.  The latest start counts.
        let order = (start.attempt, start.incarnation);
        if machine.tasks.get(&start.task).is_some_and(|known| (known.attempt, known.incarnation) >= order) {
            return;
        }
        let mut assignment = Assignment::new(job.spec.clone(), start.attempt, start.incarnation, now);
        assignment.stored = true;
        assignment.inherited = true;
        assignment.confirmed = false;
        if job.outcome.is_some() {
            // The task is to stop, and its machine is to be deleted if it does not respond: the
            // earlier leader may have ended before it did either.
            assignment.stop_grace_s = Some(0.0);
            assignment.stop_requested_at = Some(now);
        }
        job.record_assignment(start.task.index, &start.machine);
        if job.spec.shape == Shape::Gang {
            job.attempt = job.attempt.max(start.attempt);
        }
        machine.tasks.insert(start.task.clone(), assignment);
        machine.idle_since = None;
    }
}
