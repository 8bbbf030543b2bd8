//! Gang scheduling: either all tasks of a gang are placed, or none.

use super::pass::{Pass, PlacementRequest};
use super::preemption::WaitLimits;
use super::tai2::{Selection, TaskRun};
use super::{BlockedTasks, PlacementDecisions, StartDecision, TaskStart};
use crate::cluster::{Assignment, Cluster, Job, TaskPhase};

/// Machines for all tasks of a gang.
struct GangPlan {
    /// Longest image wait among the tasks, in seconds.
    longest_image_wait_s: f64,
    selections: Vec<Selection>,
}

impl Cluster {
    /// Places the pending tasks of a gang.  In a gang that has not started yet, lost tasks are
    /// replaced under the same attempt.  Returns the tasks that do not fit on any machine now;
    /// `None` if they are not blocked by a lack of resources.
    pub(super) fn place_gang<'a>(
        &self,
        request: &PlacementRequest<'a>,
        pass: &mut Pass<'a>,
        later_tasks: impl Fn() -> Vec<TaskRun>,
        decisions: &mut PlacementDecisions,
    ) -> Option<BlockedTasks> {
        let job = request.job;
        let present = self.present_tasks(job);
        if !present.iter().all(|task| keeps_machine(task, job)) {
            // No task of the previous attempt may remain on a machine.
            decisions.set_pending_reason(job, "its last attempt is not over");
            return None;
        }
        let count = job.pending.len();
        if !pass.is_within_team_limit(request, count) {
            decisions.set_pending_reason(job, "its team is at its limit");
            return None;
        }
        let tasks_per_zone = pass.tasks_per_zone(request);
        let Some(plan) = plan_gang(request, count, &tasks_per_zone, pass, &later_tasks) else {
            return Some(BlockedTasks { count, tasks_per_zone });
        };
        let longest_wait_s = plan.longest_image_wait_s;
        let objective_s = self.start_objective_s(job);
        if let Some(max_image_wait_s) = objective_s.filter(|s| job.quarantine.is_none() && longest_wait_s > *s) {
            let limits = WaitLimits { max_image_wait_s, max_save_s: longest_wait_s };
            if self.reserve_or_preempt(request, count, &tasks_per_zone, pass, limits, decisions) == count {
                return None;
            }
        }
        let mut tasks = Vec::with_capacity(plan.selections.len());
        for (index, selection) in job.pending.iter().zip(plan.selections) {
            let image_wait_s = pass.image_wait(request, selection.slot).seconds;
            pass.log_start(request, index, selection, image_wait_s);
            pass.start_task(request, selection.slot);
            tasks.push(TaskStart { index, machine: pass.slots[selection.slot].machine.name.clone() });
        }
        let attempt = (!present.is_empty()).then_some(job.attempt);
        decisions.starts.push(StartDecision { job: job.spec.id.clone(), tasks, attempt });
        None
    }

    /// Returns the tasks of a job that are or may be on a machine.
    fn present_tasks(&self, job: &Job) -> Vec<&Assignment> {
        let placed = job.assigned_tasks();
        placed.iter().filter_map(|(machine, task)| self.machines.get(machine)?.tasks.get(task)).collect()
    }
}

/// Reports whether a task of a gang that has not started yet keeps its machine while lost tasks of
/// the gang are replaced.
fn keeps_machine(task: &Assignment, job: &Job) -> bool {
    matches!(task.phase, TaskPhase::Assigned | TaskPhase::Pulling | TaskPhase::WaitingForGang)
        && task.stop_grace_s.is_none()
        && !task.inherited
        && task.attempt == job.attempt
}

/// Finds machines for `count` tasks of a gang; returns `None` if not all fit.  If all tasks have to
/// be in one zone and none is placed yet, each zone is tried, and the one with the shortest image
/// wait for the whole gang is selected.
fn plan_gang<'a>(
    request: &PlacementRequest<'a>,
    count: u32,
    tasks_per_zone: &[u32],
    pass: &mut Pass<'a>,
    later_tasks: &impl Fn() -> Vec<TaskRun>,
) -> Option<GangPlan> {
    let may_choose_zone = request.job.spec.one_zone && tasks_per_zone.iter().all(|tasks| *tasks == 0);
    let zones_to_try: Vec<Option<usize>> =
        if may_choose_zone { (0..tasks_per_zone.len()).map(Some).collect() } else { vec![None] };
    let mut best: Option<GangPlan> = None;
    for only_zone in zones_to_try {
        let plan = plan_gang_tasks(request, count, tasks_per_zone, only_zone, pass, later_tasks);
        let is_complete = plan.selections.len() as u32 == count;
        if is_complete && best.as_ref().is_none_or(|best| plan.longest_image_wait_s < best.longest_image_wait_s) {
            best = Some(plan);
        }
    }
    best
}

/// Selects machines for the tasks of a gang by allocating their resources in the pass, and releases
/// the resources again.  The plan has fewer than `count` selections if not all tasks fit.
fn plan_gang_tasks<'a>(
    request: &PlacementRequest<'a>,
    count: u32,
    tasks_per_zone: &[u32],
    only_zone: Option<usize>,
    pass: &mut Pass<'a>,
    later_tasks: &impl Fn() -> Vec<TaskRun>,
) -> GangPlan {
    let mut tasks_per_zone = tasks_per_zone.to_vec();
    let mut plan = GangPlan { longest_image_wait_s: 0.0, selections: Vec::new() };
    for _ in 0..count {
        let Some(selection) = pass.select_slot(request, &tasks_per_zone, only_zone, later_tasks) else { break };
        let slot = selection.slot;
        pass.allocate(slot, &request.size);
        tasks_per_zone[pass.slots[slot].zone] += 1;
        plan.longest_image_wait_s = plan.longest_image_wait_s.max(pass.image_wait(request, slot).seconds);
        plan.selections.push(selection);
    }
    for selection in &plan.selections {
        pass.release(selection.slot, &request.size);
    }
    plan
}
