//! Preemption: running tasks are stopped for waiting tasks of a higher priority, or for those of a
//! team that is within its guarantee.

use std::collections::HashMap;
use std::time::Instant;

use super::pass::{Pass, PlacementRequest};
use super::{PlacementDecisions, Preemption};
use crate::cluster::{Assignment, Cluster, Job, TeamLimit};
use crate::model::*;

/// Excess over a guarantee that still counts as within it, in cores or GPUs.
const GUARANTEE_TOLERANCE: f64 = 1e-6;

/// Limits on how long a task may wait on the machine where resources are freed for it.
#[derive(Clone, Copy)]
pub(super) struct WaitLimits {
    /// Longest acceptable image wait, in seconds.
    pub(super) max_image_wait_s: f64,
    /// Tasks that take this long or longer to save a checkpoint are not preempted, in seconds.
    pub(super) max_save_s: f64,
}

impl WaitLimits {
    pub(super) const UNLIMITED: WaitLimits = WaitLimits { max_image_wait_s: f64::INFINITY, max_save_s: f64::INFINITY };

    fn are_unlimited(&self) -> bool {
        self.max_image_wait_s.is_infinite() && self.max_save_s.is_infinite()
    }
}

/// A machine that can free enough resources for one task, with the cost of the preemptions.
struct ReservationCandidate {
    /// In core seconds.
    cost: f64,
    slot: usize,
}

/// A planned reservation for one task on a machine, with the tasks that are preempted for it.
struct PlannedReservation<'a> {
    slot: usize,
    victims: Vec<&'a Task>,
}

impl Cluster {
    /// Reserves resources that stopping tasks will free, or preempts running tasks, for `count`
    /// tasks of a job.  Returns for how many tasks resources are reserved; for a gang, this is
    /// `count` or 0.
    pub(super) fn reserve_or_preempt<'a>(
        &self,
        request: &PlacementRequest<'a>,
        count: u32,
        tasks_per_zone: &[u32],
        pass: &mut Pass<'a>,
        limits: WaitLimits,
        decisions: &mut PlacementDecisions,
    ) -> u32 {
        if limits.are_unlimited() && pass.is_unplaceable(request) {
            return 0;
        }
        let candidates = find_reservation_candidates(request, pass, limits);
        if limits.are_unlimited() && candidates.is_empty() {
            pass.mark_unplaceable(request);
            return 0;
        }
        let plan = plan_reservations(request, count, tasks_per_zone, pass, candidates, limits.max_save_s);
        if request.job.spec.shape == Shape::Gang && (plan.len() as u32) < count {
            for reservation in plan.iter().rev() {
                pass.undo_preemption(request, reservation.slot, &reservation.victims);
            }
            return 0;
        }
        for reservation in &plan {
            pass.reserve(request, reservation.slot);
            let machine = &pass.slots[reservation.slot].machine.name;
            for task in &reservation.victims {
                tracing::info!(%task, %machine, preempting_job = %request.job.spec.id, "preempting task");
                decisions.preemptions.push(Preemption { machine: machine.clone(), task: (*task).clone() });
            }
        }
        for reservation in &plan {
            pass.confirm_preemption(&reservation.victims);
        }
        plan.len() as u32
    }

    /// Requests the stop of a task that is to run elsewhere or later.  If the task belongs to a
    /// gang, all tasks of the gang are stopped, so that they write their checkpoints together.
    pub fn evict_task(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(assignment) = self.machines.get(machine).and_then(|machine| machine.tasks.get(task)) else { return };
        let spec = &assignment.spec;
        let grace_s = if spec.checkpoint_interval_s > 0.0 { spec.checkpoint_duration_s + 1.0 } else { 0.0 };
        if spec.shape != Shape::Gang {
            self.request_stop(machine, task, grace_s, now);
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        for (machine, task) in job.assigned_tasks() {
            self.request_stop(&machine, &task, grace_s, now);
        }
    }
}

/// Returns all machines that can free enough resources for one task within the limits.
fn find_reservation_candidates<'a>(
    request: &PlacementRequest<'a>,
    pass: &mut Pass<'a>,
    limits: WaitLimits,
) -> Vec<ReservationCandidate> {
    let mut candidates: Vec<ReservationCandidate> = Vec::new();
    pass.examined += pass.slots.len();
    for slot in 0..pass.slots.len() {
        if !pass.may_make_room(request, slot) || pass.image_wait(request, slot).seconds > limits.max_image_wait_s {
            continue;
        }
        if let Some(preemption) = pass.preemption_cost(request, slot, limits.max_save_s) {
            candidates.push(ReservationCandidate { cost: preemption.cost, slot });
        }
    }
    candidates
}

/// Plans reservations for up to `count` tasks on the machines with the lowest cost.
///
/// Repeatedly selects the cheapest machine.  The cost of preemption on a machine only increases
/// while other machines are selected, so only the cost of the machine about to be selected is
/// recomputed.
fn plan_reservations<'a>(
    request: &PlacementRequest<'a>,
    count: u32,
    tasks_per_zone: &[u32],
    pass: &mut Pass<'a>,
    mut candidates: Vec<ReservationCandidate>,
    max_save_s: f64,
) -> Vec<PlannedReservation<'a>> {
    let mut tasks_per_zone = tasks_per_zone.to_vec();
    let mut plan: Vec<PlannedReservation> = Vec::new();
    while (plan.len() as u32) < count {
        let allowed = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| pass.may_use_zone(request, &tasks_per_zone, candidate.slot));
        let Some((index, &ReservationCandidate { cost, slot })) = allowed.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
        else {
            break;
        };
        match pass.preemption_cost(request, slot, max_save_s) {
            None => {
                candidates.swap_remove(index);
            }
            Some(preemption) if preemption.cost > cost => candidates[index].cost = preemption.cost,
            Some(preemption) => {
                pass.plan_preemption(request, slot, &preemption.victims);
                tasks_per_zone[pass.slots[slot].zone] += 1;
                plan.push(PlannedReservation { slot, victims: preemption.victims });
            }
        }
    }
    plan
}

/// Reports whether the used resources are within a guarantee.  A guarantee of 0 cores and 0 GPUs
/// means that there is none.  If only one of the two is 0, the other alone counts.
pub(super) fn is_within_guarantee(guarantee: &Resources, used: &Resources) -> bool {
    let is_within = |guarantee: f64, used: f64| guarantee <= 0.0 || used <= guarantee + GUARANTEE_TOLERANCE;
    let has_guarantee = guarantee.cpus > 0.0 || guarantee.gpus > 0.0;
    has_guarantee && is_within(guarantee.cpus, used.cpus) && is_within(guarantee.gpus, used.gpus)
}

/// Reports whether tasks of a waiting job may preempt those of a running job.
///
/// The waiting job must come before the running one in queue order.  It must also have a higher
/// priority, or be within its team's guarantee while the running job and its team are beyond the
/// guarantee of another team.
pub(super) fn may_preempt(
    waiting: &Job,
    running: &Job,
    teams: &HashMap<Name, TeamLimit>,
    used_by_team: &NameMap<Resources>,
) -> bool {
    if running.queue_priority() <= waiting.queue_priority() {
        return false;
    }
    if running.urgency.priority > waiting.urgency.priority {
        return true;
    }
    let team_usage = used_by_team.get(&running.spec.team).copied().unwrap_or_default();
    let limit = teams.get(&running.spec.team).copied().unwrap_or_default();
    waiting.is_within_guarantee
        && !running.is_within_guarantee
        && running.spec.team != waiting.spec.team
        && !is_within_guarantee(&limit.guarantee, &team_usage)
}

/// Returns the cost of stopping a task now, in core seconds.
///
/// A task with checkpoints loses the time to save one; any other task loses all its work.  The
/// time from the assignment to the running state, which includes the image fetch, is added.  This
/// part counts less the longer the task has run.
pub(super) fn preemption_loss(task: &Assignment, now: Instant) -> f64 {
    let assigned_s = now.duration_since(task.assigned_at).as_secs_f64();
    let ran_s = task.running_since.map_or(0.0, |since| now.duration_since(since).as_secs_f64());
    let lost_s = if task.spec.checkpoint_interval_s > 0.0 { task.spec.checkpoint_duration_s } else { ran_s };
    1.0 + (lost_s + (assigned_s - ran_s) / (1.0 + ran_s)) * task.spec.cpus
}
