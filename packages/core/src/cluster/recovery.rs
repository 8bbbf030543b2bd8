//! Recovery of assignments by a new leader, from the shards in the store.

use std::collections::HashMap;
use std::time::Instant;

use super::{Assignment, Cluster, Machine, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;

impl Cluster {
    /// Adds a shard that a new leader has read, with the locations of the machines that it
    /// names.  All of its starts are uncertain.
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

    /// Adds completed tasks of a job.
    fn add_stored_completion(&mut self, id: &Name, ranges: &Ranges) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in ranges.iter().take_while(|index| *index < job.spec.tasks) {
            job.completed.insert(index);
            job.pending.remove(index);
        }
        if job.is_completing() {
            self.jobs_to_store.insert(id.clone());
        }
    }

    /// Adds a start of an earlier leader.
    fn add_stored_start(&mut self, start: &StartRecord, location: &MachineLocation, now: Instant) {
        let Some(job) = self.jobs.get_mut(&start.task.job) else {
            tracing::error!(task = %start.task, "shard has a start of an unknown job");
            return;
        };
        let MachineLocation { kind, zone, spot } = location;
        let machine = self
            .machines
            .entry(start.machine.clone())
            .or_insert_with(|| Machine::new(start.machine.clone(), kind.clone(), zone.clone(), *spot, now));
        if let Some(machine_type) = self.types.get(kind) {
            machine.size = machine_type.size();
        }
        // Shards may still have an earlier start of the same task here, also of the same
        // attempt: a gang that lost its assignments with a worker's incarnation gets them
        // again under the same attempt.
        let order = (start.attempt, start.incarnation);
        if machine.tasks.get(&start.task).is_some_and(|known| (known.attempt, known.incarnation) >= order) {
            return;
        }
        let mut assignment = Assignment::new(job.spec.clone(), start.attempt, start.incarnation, now);
        assignment.stored = true;
        assignment.inherited = true;
        assignment.confirmed = false;
        if job.outcome.is_some() {
            // A stop is due, and if its machine does not answer, a deletion: the former
            // leader may have had no time for either.
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
