//! Placement of tasks that start independently of one another: those of arrays and services.

use super::pass::{Pass, PlacementRequest};
use super::preemption::WaitLimits;
use super::queue::QueueEntry;
use super::tai2::TaskRun;
use super::{BlockedTasks, PlacementDecisions, StartDecision, TaskStart};
use crate::cluster::Cluster;

impl Cluster {
    /// Places the tasks of an array or service one by one.  Returns the tasks that do not fit
    /// on any machine now; `None` if no task is blocked by a lack of resources.
    pub(super) fn place_single_tasks<'a>(
        &self,
        request: &PlacementRequest<'a>,
        entry: QueueEntry<'a>,
        pass: &mut Pass<'a>,
        later_tasks: impl Fn() -> Vec<TaskRun>,
        decisions: &mut PlacementDecisions,
    ) -> Option<BlockedTasks> {
        let job = request.job;
        let mut tasks_per_zone = pass.tasks_per_zone(request);
        let objective_s = self.start_objective_s(job);
        let mut tasks: Vec<TaskStart> = Vec::new();
        let mut is_blocked = false;
        for index in entry.tasks() {
            if !pass.is_within_team_limit(request, 1) {
                decisions.set_pending_reason(job, "its team is at its limit");
                break;
            }
            let Some(selection) = pass.select_slot(request, &tasks_per_zone, None, &later_tasks) else {
                is_blocked = true;
                break;
            };
            let slot = selection.slot;
            // If the image fetch would miss the start objective, reserve or preempt on a machine
            // where the image is available in time, as far as preemption rules allow.
            let image_wait_s = pass.image_wait(request, slot).seconds;
            let missed_objective_s =
                objective_s.filter(|objective_s| job.quarantine.is_none() && image_wait_s > *objective_s);
            if let Some(objective_s) = missed_objective_s {
                let limits = WaitLimits { max_image_wait_s: objective_s, max_save_s: image_wait_s };
                if self.reserve_or_preempt(request, 1, &tasks_per_zone, pass, limits, decisions) == 1 {
                    continue;
                }
            }
            pass.log_start(request, index, selection, image_wait_s);
            pass.start_task(request, slot);
            tasks_per_zone[pass.slots[slot].zone] += 1;
            tasks.push(TaskStart { index, machine: pass.slots[slot].machine.name.clone() });
        }
        let unplaced = entry.count - tasks.len() as u32;
        if !tasks.is_empty() {
            decisions.starts.push(StartDecision { job: job.spec.id.clone(), tasks, attempt: None });
        }
        is_blocked.then(|| BlockedTasks { count: pass.count_within_team_limit(request, unplaced), tasks_per_zone })
    }
}
