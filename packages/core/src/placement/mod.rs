//! Placement: which waiting tasks start, on which machines, and what is preempted for
//! them.
//!
//! The ordinary path is the design's.  The head of the arrival-ordered queue (`queue`)
//! is placed first.  Among the machines that fit and start it soonest (`ranking`), the
//! paper's switch takes the best fit or the fastest by the variance of the machines'
//! speeds and the load of queued to free cores, and AI2's lookahead over the waiting
//! queue decides where these disagree ([`tai2`]).  A head that finds no room reserves or
//! preempts it (`preemption`); later tasks may pass it.
//!
//! A pass decides everything on its own view of the machines (`pass`) and only then
//! changes the state.

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

use crate::cluster::{Cluster, Job, UnmetDemand, QUARANTINED};
use crate::model::*;
use pass::{Pass, PlacementRequest};
use preemption::WaitLimits;
use queue::lookahead;

/// An array makes room for at most this part of the tasks of a dry run at once.
const ARRAY_RESERVATION_DIVISOR: u32 = 4;

/// A task, by its index in the job, and the machine where it starts.
struct TaskStart {
    index: u32,
    machine: Name,
}

/// Starts of one job.
struct Start {
    job: Name,
    tasks: Vec<TaskStart>,
    /// The attempt of a gang that has not started yet and is completed by these tasks.
    attempt: Option<u64>,
}

/// A task that is stopped to make room.
struct Preemption {
    machine: Name,
    task: Task,
}

/// Why a job waits.
struct PendingReason {
    job: Name,
    reason: &'static str,
}

/// Tasks of a job that found no room.
struct BlockedTasks {
    count: u32,
    /// Tasks of the job that are or may be in each zone, by the index of the zone.
    zones: Vec<u32>,
}

/// What a pass has decided.
#[derive(Default)]
struct PlacementDecisions {
    starts: Vec<Start>,
    preemptions: Vec<Preemption>,
    pending_reasons: Vec<PendingReason>,
    unmet_demand: Vec<UnmetDemand>,
    /// The pass ended before the end of the queue.
    is_unfinished: bool,
}

impl PlacementDecisions {
    fn set_pending_reason(&mut self, job: &Job, reason: &'static str) {
        self.pending_reasons.push(PendingReason { job: job.spec.id.clone(), reason });
    }
}

impl Cluster {
    /// Runs one pass over the queue.  Decides starts and preemptions, and returns the
    /// tasks that found no machine.
    pub fn run_placement_pass(&mut self, now: Instant) -> Vec<UnmetDemand> {
        self.queue_changed = false;
        self.placement_waits.clear();
        self.mark_guaranteed();
        let decisions = self.decide_placement(now);
        self.queue_changed |= decisions.is_unfinished;
        for PendingReason { job, reason } in decisions.pending_reasons {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.pending_reason = reason;
            }
        }
        for start in decisions.starts {
            self.apply_start(start, now);
        }
        for Preemption { machine, task } in decisions.preemptions {
            self.evict_task(&machine, &task, now);
        }
        decisions.unmet_demand
    }

    /// Assigns the tasks of a start; all tasks of a gang share an attempt.
    fn apply_start(&mut self, start: Start, now: Instant) {
        let is_gang = self.jobs.get(&start.job).is_some_and(|job| job.spec.shape == Shape::Gang);
        let shared_attempt = is_gang.then(|| start.attempt.unwrap_or_else(|| self.new_attempt()));
        if let (Some(attempt), Some(job)) = (shared_attempt, self.jobs.get_mut(&start.job)) {
            job.attempt = attempt;
        }
        for TaskStart { index, machine } in start.tasks {
            let attempt = shared_attempt.unwrap_or_else(|| self.new_attempt());
            self.assign(&Task { job: start.job.clone(), index }, &machine, attempt, now);
        }
    }

    /// Decides a pass without changing the state.
    fn decide_placement(&self, now: Instant) -> PlacementDecisions {
        let mut decisions = PlacementDecisions::default();
        let queue = self.ordered_queue(now);
        let mut pass = Pass::new(self, &queue, now);
        let mut has_reserved_for_head = false;
        for (position, entry) in queue.iter().enumerate() {
            // a pass that takes too long keeps the leader from its lease: the rest of the
            // queue is left to the next one
            if pass.examined > self.policy.pass_looks {
                decisions.is_unfinished = true;
                break;
            }
            let request = pass.begin_request(entry.job);
            let later = || lookahead(&queue[position..], self.policy.dry_run_tasks);
            let blocked = match entry.job.spec.shape {
                Shape::Gang => self.place_gang(&request, &mut pass, later, &mut decisions),
                _ => self.place_single_tasks(&request, *entry, &mut pass, later, &mut decisions),
            };
            if let Some(blocked) = blocked {
                self.make_room(&request, blocked, &mut pass, &mut has_reserved_for_head, &mut decisions);
            }
        }
        decisions
    }

    /// For tasks that found no room: reserves what is being freed, or preempts.
    fn make_room<'a>(
        &self,
        request: &PlacementRequest<'a>,
        blocked: BlockedTasks,
        pass: &mut Pass<'a>,
        has_reserved_for_head: &mut bool,
        decisions: &mut PlacementDecisions,
    ) {
        let job = request.job;
        if job.quarantine.is_some() {
            // nothing is preempted, reserved or rented for the probe of a broken job
            decisions.set_pending_reason(job, QUARANTINED);
            return;
        }
        let BlockedTasks { count, zones } = blocked;
        let wanted = match job.spec.shape {
            Shape::Array => count.min(self.policy.dry_run_tasks as u32 / ARRAY_RESERVATION_DIVISOR),
            _ => count,
        };
        let reserved = self.reserve_or_preempt(request, wanted, &zones, pass, WaitLimits::UNLIMITED, decisions);
        if reserved < wanted && !*has_reserved_for_head {
            // a blocked head keeps its position: the room that it will fit into first is
            // not given to later tasks
            *has_reserved_for_head = true;
            pass.reserve_for_head(request, &zones);
        }
        let reason = if reserved > 0 { "room is being made" } else { "no machine has room" };
        decisions.set_pending_reason(job, reason);
        let zones = pass.zones_by_name(&zones);
        decisions.unmet_demand.push(UnmetDemand { spec: job.spec.clone(), count, zones });
    }
}

#[cfg(test)]
mod tests;
