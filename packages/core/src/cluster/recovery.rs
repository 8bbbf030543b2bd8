//! What a new leader reads of starts and completed tasks.

use std::collections::HashMap;
use std::time::Instant;

use super::{Assignment, Cluster, Machine, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;

impl Cluster {
    /// A stored page, read by a new leader: all of its starts are uncertain.
    pub fn add_shard(
        &mut self,
        id: u32,
        page: PlacementShard,
        machines: &HashMap<Name, MachineLocation>,
        now: Instant,
    ) {
        for (job, ranges) in &page.completed {
            let Some(j) = self.jobs.get_mut(job) else { continue };
            for n in ranges.iter().take_while(|n| *n < j.spec.tasks) {
                j.completed.insert(n);
                j.pending.remove(n);
            }
            if j.is_completing() {
                self.jobs_to_store.insert(job.clone());
            }
        }
        for s in &page.starts {
            if let Some(location) = machines.get(&s.machine) {
                self.add_start(s, location, now);
            }
        }
        self.shards.insert(id, page);
    }

    fn add_start(&mut self, s: &StartRecord, location: &MachineLocation, now: Instant) {
        let Some(job) = self.jobs.get_mut(&s.task.job) else {
            tracing::error!("a page names {}, whose job is unknown", s.task);
            return;
        };
        let MachineLocation { kind, zone, spot } = location;
        let m = self
            .machines
            .entry(s.machine.clone())
            .or_insert_with(|| Machine::new(s.machine.clone(), kind.clone(), zone.clone(), *spot, now));
        if let Some(t) = self.types.get(kind) {
            m.size = t.size();
        }
        // pages may still name an earlier start of the same task here, also of the same
        // attempt: a gang that lost its places with a worker's session gets them again
        if m.tasks.get(&s.task).is_some_and(|p| (p.attempt, p.incarnation) >= (s.attempt, s.incarnation)) {
            return;
        }
        let mut place = Assignment::new(job.spec.clone(), s.attempt, s.incarnation, now);
        (place.stored, place.inherited, place.confirmed) = (true, true, false);
        if job.outcome.is_some() {
            // a stop is due, and if its machine stays silent, a deletion: the
            // former leader may have had no time for either
            (place.stop_grace_s, place.stop_requested_at) = (Some(0.0), Some(now));
        }
        job.record_assignment(s.task.index, &s.machine);
        if job.spec.shape == Shape::Gang {
            job.attempt = job.attempt.max(s.attempt);
        }
        m.tasks.insert(s.task.clone(), place);
        m.idle_since = None;
    }
}
