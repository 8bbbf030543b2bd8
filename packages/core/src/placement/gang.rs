//! Gang scheduling: all tasks of a gang are placed, or none.

use super::pass::{Pass, PlacementRequest};
use super::preemption::WaitLimits;
use super::tai2::{Selection, TaskRun};
use super::{BlockedTasks, PlacementDecisions, Start, TaskStart};
use crate::cluster::{Assignment, Cluster, Job, TaskPhase};

/// Machines for all tasks of a gang.
struct GangPlan {
    /// Longest wait for the image among the tasks, in seconds.
    slowest_image_s: f64,
    selections: Vec<Selection>,
}

impl Cluster {
    /// Places a gang.  Before its start, lost tasks are replaced under the same
    /// attempt.  Returns the tasks that found no room; `None` if room is not what they
    /// lack.
    pub(super) fn place_gang<'a>(
        &self,
        request: &PlacementRequest<'a>,
        pass: &mut Pass<'a>,
        later: impl Fn() -> Vec<TaskRun>,
        decisions: &mut PlacementDecisions,
    ) -> Option<BlockedTasks> {
        let job = request.job;
        let present = self.present_tasks(job);
        if !present.iter().all(|task| is_kept(task, job)) {
            // the last attempt must be off its machines first
            decisions.set_pending_reason(job, "its last attempt is not over");
            return None;
        }
        let count = job.pending.len();
        if !pass.is_within_team_limit(request, count) {
            decisions.set_pending_reason(job, "its team is at its limit");
            return None;
        }
        let zones = pass.tasks_per_zone(request);
        let Some(plan) = plan_gang(request, count, &zones, pass, &later) else {
            return Some(BlockedTasks { count, zones });
        };
        let slowest_s = plan.slowest_image_s;
        let objective_s = self.start_objective_s(job);
        if let Some(image_s) = objective_s.filter(|s| job.quarantine.is_none() && slowest_s > *s) {
            let limits = WaitLimits { image_s, save_s: slowest_s };
            if self.reserve_or_preempt(request, count, &zones, pass, limits, decisions) == count {
                return None;
            }
        }
        let mut tasks = Vec::with_capacity(plan.selections.len());
        for (index, selection) in job.pending.iter().zip(plan.selections) {
            let image_wait_s = pass.image_wait(request, selection.at).seconds;
            pass.log_start(request, index, selection, image_wait_s);
            pass.start_task(request, selection.at);
            tasks.push(TaskStart { index, machine: pass.slots[selection.at].machine.name.clone() });
        }
        let attempt = (!present.is_empty()).then_some(job.attempt);
        decisions.starts.push(Start { job: job.spec.id.clone(), tasks, attempt });
        None
    }

    /// Tasks of a job that are or may be on a machine.
    fn present_tasks(&self, job: &Job) -> Vec<&Assignment> {
        let placed = job.assigned_tasks();
        placed.iter().filter_map(|(machine, task)| self.machines.get(machine)?.tasks.get(task)).collect()
    }
}

/// Whether a task of a gang that has not started yet keeps its machine while lost tasks
/// are replaced.
fn is_kept(task: &Assignment, job: &Job) -> bool {
    matches!(task.phase, TaskPhase::Assigned | TaskPhase::Pulling | TaskPhase::WaitingForGang)
        && task.stop_grace_s.is_none()
        && !task.inherited
        && task.attempt == job.attempt
}

/// Finds machines for `count` tasks of a gang.  With one zone for all, each zone is
/// tried, and the one that starts the gang soonest is taken.
fn plan_gang<'a>(
    request: &PlacementRequest<'a>,
    count: u32,
    zones: &[u32],
    pass: &mut Pass<'a>,
    later: &impl Fn() -> Vec<TaskRun>,
) -> Option<GangPlan> {
    let is_zone_free = request.job.spec.one_zone && zones.iter().all(|tasks| *tasks == 0);
    let zones_to_try: Vec<Option<usize>> = if is_zone_free { (0..zones.len()).map(Some).collect() } else { vec![None] };
    let mut best: Option<GangPlan> = None;
    for only_zone in zones_to_try {
        let plan = try_gang(request, count, zones, only_zone, pass, later);
        let is_whole = plan.selections.len() as u32 == count;
        if is_whole && best.as_ref().is_none_or(|best| plan.slowest_image_s < best.slowest_image_s) {
            best = Some(plan);
        }
    }
    best
}

/// Takes room for the tasks of a gang on trial, and returns it.  The plan holds fewer
/// tasks if not all fit.
fn try_gang<'a>(
    request: &PlacementRequest<'a>,
    count: u32,
    zones: &[u32],
    only_zone: Option<usize>,
    pass: &mut Pass<'a>,
    later: &impl Fn() -> Vec<TaskRun>,
) -> GangPlan {
    let mut zones = zones.to_vec();
    let mut plan = GangPlan { slowest_image_s: 0.0, selections: Vec::new() };
    for _ in 0..count {
        let Some(selection) = pass.select_slot(request, &zones, only_zone, later) else { break };
        let slot = selection.at;
        pass.take_room(slot, &request.size);
        zones[pass.slots[slot].zone] += 1;
        plan.slowest_image_s = plan.slowest_image_s.max(pass.image_wait(request, slot).seconds);
        plan.selections.push(selection);
    }
    for selection in &plan.selections {
        pass.return_room(selection.at, &request.size);
    }
    plan
}
