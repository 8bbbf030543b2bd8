//! The queue: who is next, where it may go, where it goes, and what has to
//! make room.  The ordinary path is the design's: the head by rank and
//! arrival, both picks, the threshold switch with AI2 ([`tai2`]).
//!
//! A pass decides everything on a picture of the machines ([`pass`]) and only
//! then changes the state.

mod candidate;
mod dry_run;
mod gang;
mod image_wait;
mod limits;
mod machine_classes;
mod machine_slot;
mod pass;
mod preemption;
mod preemption_cost;
mod queue;
mod ranking;
mod single_tasks;
pub mod tai2;

use std::time::Instant;

use crate::cluster::{Cluster, UnmetDemand};
use crate::model::*;
use pass::Pass;
use queue::lookahead;

/// Starts of one job: which task on which machine.
struct Start {
    job: Name,
    tasks: Vec<(u32, Name)>,
    /// The attempt of a gang that has not started yet and is completed.
    attempt: Option<u64>,
}

/// What a pass comes to.
#[derive(Default)]
struct Decisions {
    starts: Vec<Start>,
    /// Tasks that give way, and to whom.
    stops: Vec<(Name, Task)>,
    /// Why a job waits.
    whys: Vec<(Name, &'static str)>,
    wants: Vec<UnmetDemand>,
    /// The end of the queue was not reached.
    unfinished: bool,
}

impl Cluster {
    /// One pass over the queue.  Decides starts and stops, and returns what
    /// found no place.
    pub fn run_placement_pass(&mut self, now: Instant) -> Vec<UnmetDemand> {
        self.queue_changed = false;
        self.placement_waits.clear();
        self.mark_guaranteed();
        let d = self.decide(now);
        self.queue_changed |= d.unfinished;
        for (id, why) in d.whys {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.pending_reason = why;
            }
        }
        for s in d.starts {
            let gang = self.jobs.get(&s.job).is_some_and(|j| j.spec.shape == Shape::Gang);
            // all tasks of a gang share an attempt
            let shared = gang.then(|| s.attempt.unwrap_or_else(|| self.new_attempt()));
            if let (Some(attempt), Some(j)) = (shared, self.jobs.get_mut(&s.job)) {
                j.attempt = attempt;
            }
            for (index, machine) in s.tasks {
                let attempt = shared.unwrap_or_else(|| self.new_attempt());
                self.assign(&Task { job: s.job.clone(), index }, &machine, attempt, now);
            }
        }
        for (machine, task) in d.stops {
            self.stop_to_move(&machine, &task, now);
        }
        d.wants
    }

    fn decide(&self, now: Instant) -> Decisions {
        let mut out = Decisions::default();
        let queue = self.ordered_queue(now);
        let mut pass = Pass::new(self, &queue, now);
        let mut head_holds = false;
        for (at, entry) in queue.iter().enumerate() {
            // a pass that takes too long keeps the leader from its lease: what
            // is left of the queue is the next one's
            if pass.looks > self.policy.pass_looks {
                out.unfinished = true;
                break;
            }
            let job = entry.job;
            let ask = pass.ask(job);
            let later = || lookahead(&queue[at..], self.policy.dry_run_tasks);
            let blocked = match job.spec.shape {
                Shape::Gang => self.place_gang(&ask, &mut pass, later, &mut out),
                _ => self.place_each(&ask, *entry, &mut pass, later, &mut out),
            };
            let Some((count, zones)) = blocked else { continue };
            if job.quarantine.is_some() {
                // nobody gives way to a probe, nothing is held or rented for it
                out.whys.push((job.spec.id.clone(), crate::cluster::QUARANTINED));
                continue;
            }
            // no room: hold what is being freed, or make room
            let most = match job.spec.shape {
                Shape::Array => count.min(self.policy.dry_run_tasks as u32 / 4),
                _ => count,
            };
            let held = self.hold_or_preempt(&ask, most, &zones, &mut pass, (f64::INFINITY, f64::INFINITY), &mut out);
            if held < most && !head_holds {
                // a blocked head keeps its turn: the room that it will fit
                // into first is not given to later tasks
                head_holds = true;
                pass.hold_first(&ask, &zones);
            }
            let why = if held > 0 { "room is being made" } else { "no machine has room" };
            out.whys.push((job.spec.id.clone(), why));
            out.wants.push(UnmetDemand { spec: job.spec.clone(), count, zones: pass.by_name(&zones) });
        }
        out
    }
}

#[cfg(test)]
mod tests;
