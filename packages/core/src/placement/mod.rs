//! Task placement: decides which waiting tasks start, on which machines, and which running
//! tasks are preempted for them.
//!
//! The head of the queue (`queue`) is placed first.  Among the machines that can hold the task and
//! start it soonest (`ranking`), the placement switch ([`tai2`]) selects the best-fit or the fastest
//! machine.  The switch compares the variance of the machine speeds and the ratio of queued to free
//! cores with one threshold each.  Where the thresholds do not decide, the AI2 lookahead over the
//! waiting queue does.  If no machine can hold the head, the pass reserves resources for it or
//! preempts running tasks (`preemption`).  Later tasks may start before a blocked head.
//!
//! A pass makes all its decisions on its own view of the machines (`pass`).  The cluster state
//! changes only after the last decision.

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

use crate::cluster::{Cluster, Job, UnmetDemand, QUARANTINED_REASON};
use crate::model::*;
use pass::{Pass, PlacementRequest};
use preemption::WaitLimits;
use queue::lookahead;

/// In one pass, an array reserves resources for at most `dry_run_tasks / ARRAY_RESERVATION_DIVISOR`
/// blocked tasks.
const ARRAY_RESERVATION_DIVISOR: u32 = 4;

/// The start of one task on a machine.
struct TaskStart {
    /// Index of the task in its job.
    index: u32,
    machine: Name,
}

/// The decision to start tasks of one job.
struct StartDecision {
    job: Name,
    tasks: Vec<TaskStart>,
    /// Attempt that these tasks join: that of a gang which has not started yet and replaces lost
    /// tasks.  `None` for a new attempt.
    attempt: Option<u64>,
}

/// A task that is stopped to free resources for another job.
struct Preemption {
    machine: Name,
    task: Task,
}

/// Why a job waits.
struct PendingReason {
    job: Name,
    reason: &'static str,
}

/// Tasks of a job that do not fit on any machine now.
struct BlockedTasks {
    count: u32,
    /// Number of tasks of the job that are or may be in each zone, by zone index.
    tasks_per_zone: Vec<u32>,
}

/// The decisions of one pass.
#[derive(Default)]
struct PlacementDecisions {
    starts: Vec<StartDecision>,
    preemptions: Vec<Preemption>,
    pending_reasons: Vec<PendingReason>,
    unmet_demand: Vec<UnmetDemand>,
    /// Whether the pass ended before the end of the queue.
    is_unfinished: bool,
}

impl PlacementDecisions {
    fn set_pending_reason(&mut self, job: &Job, reason: &'static str) {
        self.pending_reasons.push(PendingReason { job: job.spec.id.clone(), reason });
    }
}

impl Cluster {
    /// Runs one placement pass over the queue: decides starts and preemptions and applies them.
    /// Returns the tasks that do not fit on any machine now.
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

    /// Assigns the tasks of a start decision.  All tasks of a gang share one attempt.
    fn apply_start(&mut self, start: StartDecision, now: Instant) {
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

    /// Makes the decisions of a pass without changing the cluster state.
    fn decide_placement(&self, now: Instant) -> PlacementDecisions {
        let mut decisions = PlacementDecisions::default();
        let queue = self.ordered_queue(now);
        let mut pass = Pass::new(self, &queue, now);
        let mut has_reserved_for_head = false;
        for (position, entry) in queue.iter().enumerate() {
            // A long pass would delay the renewal of the leader's lease, so the rest of the
            // queue is left to the next pass.
            if pass.examined > self.policy.pass_looks {
                decisions.is_unfinished = true;
                break;
            }
            let request = pass.begin_request(entry.job);
            let later_tasks = || lookahead(&queue[position..], self.policy.dry_run_tasks);
            let blocked = match entry.job.spec.shape {
                Shape::Gang => self.place_gang(&request, &mut pass, later_tasks, &mut decisions),
                _ => self.place_single_tasks(&request, *entry, &mut pass, later_tasks, &mut decisions),
            };
            if let Some(blocked) = blocked {
                self.make_room(&request, blocked, &mut pass, &mut has_reserved_for_head, &mut decisions);
            }
        }
        decisions
    }

    /// Reserves resources that are being freed for the blocked tasks, or preempts running tasks.
    /// Records the job's pending reason and its unmet demand.
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
            // No resources are preempted, reserved or rented for the probe of a quarantined job.
            decisions.set_pending_reason(job, QUARANTINED_REASON);
            return;
        }
        let BlockedTasks { count, tasks_per_zone } = blocked;
        let wanted = match job.spec.shape {
            Shape::Array => count.min(self.policy.dry_run_tasks as u32 / ARRAY_RESERVATION_DIVISOR),
            _ => count,
        };
        let reserved =
            self.reserve_or_preempt(request, wanted, &tasks_per_zone, pass, WaitLimits::UNLIMITED, decisions);
        if reserved < wanted && !*has_reserved_for_head {
            // A blocked head keeps its position in the queue: the machine that it is expected
            // to fit on first is not given to later tasks.
            *has_reserved_for_head = true;
            pass.reserve_for_head(request, &tasks_per_zone);
        }
        let reason = if reserved > 0 { "room is being made" } else { "no machine has room" };
        decisions.set_pending_reason(job, reason);
        let zones = pass.tasks_by_zone_name(&tasks_per_zone);
        decisions.unmet_demand.push(UnmetDemand { spec: job.spec.clone(), count, zones });
    }
}

#[cfg(test)]
mod tests;
