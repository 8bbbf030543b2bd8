//! What became of a transaction.

use std::time::Instant;

use super::{read_shard, CommitBatch};
use crate::cluster::{Cluster, PlacementShard, TaskPhase};
use crate::key;
use crate::model::*;
use coralnotch_wire::state::{read_value, KeyValue};

impl Cluster {
    /// The transaction was carried out at this revision.  Returns the jobs
    /// that ended by it.
    pub fn apply_commit(&mut self, b: CommitBatch, revision: u64, now: Instant) -> Vec<(Name, JobOutcome)> {
        for (_, s) in &b.starts {
            let Some(m) = self.machines.get_mut(&s.machine) else { continue };
            if let Some(p) =
                m.tasks.get_mut(&s.task).filter(|p| p.attempt == s.attempt && p.incarnation == s.incarnation)
            {
                p.stored = true;
                self.machines_to_command.insert(s.machine.clone());
            }
        }
        for (id, ranges) in &b.done {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            for n in ranges.iter() {
                job.completed.insert(n);
                job.completed_unstored.remove(n);
            }
            self.clear_completed(id, Some(ranges), now);
        }
        for (id, mut page) in b.pages {
            page.revision = revision;
            self.shards.insert(id, page);
        }
        if let Some((id, rest)) = b.divided {
            self.shards.insert(id, rest);
        }
        for (id, outcome) in &b.ends {
            self.clear_completed(id, None, now);
            self.set_outcome(id, *outcome, now);
        }
        b.ends
    }

    /// Completed tasks whose completion is stored are off their machines, and
    /// may be acknowledged there.
    fn clear_completed(&mut self, id: &Name, which: Option<&Ranges>, now: Instant) {
        let Some(job) = self.jobs.get(id) else { return };
        let places: Vec<(Name, Task)> = match which {
            None => job.placed_tasks(),
            Some(r) => {
                let at = |n| job.assignments.get(&n).into_iter().flatten().map(move |m| (m.clone(), n));
                let task = |(m, index)| (m, Task { job: id.clone(), index });
                r.iter().flat_map(at).map(task).collect()
            }
        };
        for (name, task) in places {
            let place = self.machines.get(&name).and_then(|m| m.tasks.get(&task));
            let Some(attempt) = place.filter(|p| p.phase == TaskPhase::Completed).map(|p| p.attempt) else { continue };
            self.release_assignment(&name, &task, now);
            if let Some(m) = self.machines.get_mut(&name) {
                m.exited.insert(task, attempt);
            }
        }
    }

    /// The transaction was not, or may not have been, carried out: all of it
    /// is to be written again.
    pub fn restore_uncommitted(&mut self, b: CommitBatch) {
        self.jobs_to_store.extend(b.done.into_iter().map(|d| d.0));
        // those that end with a cancelled job are still known to
        self.jobs_to_store.extend(b.ends.into_iter().filter(|e| e.1 == JobOutcome::Done).map(|e| e.0));
        self.unstored_starts.extend(b.starts);
    }

    /// What a key in conflict really holds: an earlier transaction of ours in
    /// doubt was carried out after all, or a user withdrew a job.
    pub fn reconcile_key(&mut self, path: &str, item: Option<&KeyValue>, now: Instant) {
        if let Some(id) = path.strip_prefix(key::SHARD).and_then(|p| p.parse().ok()) {
            // only a try of our own, in doubt until now, can have written it: it
            // may hold what this page never did, as one that divided another, and
            // to write over that would lose starts
            let stored = match item {
                None => Some(PlacementShard::default()),
                Some(i) => read_shard(path, i).map(|p| p.1),
            };
            if let Some(page) = stored {
                self.shards.insert(id, page);
            }
        } else if let Some(id) = path.strip_prefix(key::OUTCOME) {
            let outcome = item.and_then(|i| read_value::<OutcomeRecord>(path, i.value.clone()));
            if let Some(f) = outcome {
                self.set_outcome(id, f.outcome, now);
            }
        }
    }
}
