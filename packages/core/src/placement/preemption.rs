//! Preemption: running work is stopped for waiting work of a higher priority, or of a
//! team within its guarantee.

use std::collections::HashMap;
use std::time::Instant;

use super::pass::{Pass, PlacementRequest};
use super::{PlacementDecisions, Preemption};
use crate::cluster::{Assignment, Cluster, Job, TeamLimit};
use crate::model::*;

/// Difference in cores or GPUs that a guarantee does not count.
const GUARANTEE_TOLERANCE: f64 = 1e-6;

/// How long a task may wait in the room that is made for it.
#[derive(Clone, Copy)]
pub(super) struct WaitLimits {
    /// Longest wait for the image, in seconds.
    pub(super) image_s: f64,
    /// Tasks whose checkpoint takes this long or longer are not preempted, in seconds.
    pub(super) save_s: f64,
}

impl WaitLimits {
    pub(super) const UNLIMITED: WaitLimits = WaitLimits { image_s: f64::INFINITY, save_s: f64::INFINITY };

    fn are_unlimited(&self) -> bool {
        self.image_s.is_infinite() && self.save_s.is_infinite()
    }
}

/// A machine that can make room, and what that costs.
struct RoomOffer {
    cost: f64,
    slot: usize,
}

/// Room for one task on a machine, and the tasks that are preempted for it.
struct PlannedRoom<'a> {
    slot: usize,
    victims: Vec<&'a Task>,
}

impl Cluster {
    /// For tasks that found no room: reserves room that stops under way will free, or
    /// preempts work.  Returns how many of `count` tasks will have room; for a gang all
    /// or none.
    pub(super) fn reserve_or_preempt<'a>(
        &self,
        request: &PlacementRequest<'a>,
        count: u32,
        zones: &[u32],
        pass: &mut Pass<'a>,
        limits: WaitLimits,
        decisions: &mut PlacementDecisions,
    ) -> u32 {
        if limits.are_unlimited() && pass.is_unplaceable(request) {
            return 0;
        }
        let offers = find_offers(request, pass, limits);
        if limits.are_unlimited() && offers.is_empty() {
            pass.mark_unplaceable(request);
            return 0;
        }
        let plan = plan_room(request, count, zones, pass, offers, limits.save_s);
        if request.job.spec.shape == Shape::Gang && (plan.len() as u32) < count {
            for room in plan.iter().rev() {
                pass.undo_preemption(request, room.slot, &room.victims);
            }
            return 0;
        }
        for room in &plan {
            pass.reserve(request, room.slot);
            let machine = &pass.slots[room.slot].machine.name;
            for task in &room.victims {
                tracing::info!(%task, %machine, preempting_job = %request.job.spec.id, "preempting task");
                decisions.preemptions.push(Preemption { machine: machine.clone(), task: (*task).clone() });
            }
        }
        for room in &plan {
            pass.confirm_preemption(&room.victims);
        }
        plan.len() as u32
    }

    /// Stops a task that shall run elsewhere or later; a gang is stopped whole, so that
    /// all its tasks write their checkpoints together.
    pub fn evict_task(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(assignment) = self.machines.get(machine).and_then(|machine| machine.tasks.get(task)) else { return };
        let spec = &assignment.spec;
        let grace_s = if spec.checkpoint_s > 0.0 { spec.save_s + 1.0 } else { 0.0 };
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

/// All machines that can make room for one task within the limits.
fn find_offers<'a>(request: &PlacementRequest<'a>, pass: &mut Pass<'a>, limits: WaitLimits) -> Vec<RoomOffer> {
    let mut offers: Vec<RoomOffer> = Vec::new();
    pass.examined += pass.slots.len();
    for slot in 0..pass.slots.len() {
        if !pass.may_make_room(request, slot) || pass.image_wait(request, slot).seconds > limits.image_s {
            continue;
        }
        if let Some(room) = pass.preemption_cost(request, slot, limits.save_s) {
            offers.push(RoomOffer { cost: room.cost, slot });
        }
    }
    offers
}

/// Plans room for up to `count` tasks on the cheapest machines.
///
/// Takes the cheapest machine again and again.  What preemption costs on a machine only
/// grows while others are chosen, so only the cost of the machine about to be taken is
/// computed anew.
fn plan_room<'a>(
    request: &PlacementRequest<'a>,
    count: u32,
    zones: &[u32],
    pass: &mut Pass<'a>,
    mut offers: Vec<RoomOffer>,
    max_save_s: f64,
) -> Vec<PlannedRoom<'a>> {
    let mut zones = zones.to_vec();
    let mut plan: Vec<PlannedRoom> = Vec::new();
    while (plan.len() as u32) < count {
        let allowed = offers.iter().enumerate().filter(|(_, offer)| pass.may_use_zone(request, &zones, offer.slot));
        let Some((index, &RoomOffer { cost, slot })) = allowed.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost)) else {
            break;
        };
        match pass.preemption_cost(request, slot, max_save_s) {
            None => {
                offers.swap_remove(index);
            }
            Some(room) if room.cost > cost => offers[index].cost = room.cost,
            Some(room) => {
                pass.plan_preemption(request, slot, &room.victims);
                zones[pass.slots[slot].zone] += 1;
                plan.push(PlannedRoom { slot, victims: room.victims });
            }
        }
    }
    plan
}

/// Whether this much lies within a guarantee; there is none where both of its parts
/// are 0.
pub(super) fn is_within_guarantee(guarantee: &Resources, used: &Resources) -> bool {
    let is_within = |guarantee: f64, used: f64| guarantee <= 0.0 || used <= guarantee + GUARANTEE_TOLERANCE;
    let has_guarantee = guarantee.cpus > 0.0 || guarantee.gpus > 0.0;
    has_guarantee && is_within(guarantee.cpus, used.cpus) && is_within(guarantee.gpus, used.gpus)
}

/// Whether tasks of a waiting job may preempt those of a running one: a job of a higher
/// priority may, and a job within its team's guarantee may preempt those that are beyond
/// the guarantee of another team.
pub(super) fn may_preempt(
    waiting: &Job,
    running: &Job,
    teams: &HashMap<Name, TeamLimit>,
    used: &NameMap<Resources>,
) -> bool {
    if running.queue_priority() <= waiting.queue_priority() {
        return false;
    }
    if running.urgency.priority > waiting.urgency.priority {
        return true;
    }
    let team_usage = used.get(&running.spec.team).copied().unwrap_or_default();
    let limit = teams.get(&running.spec.team).copied().unwrap_or_default();
    waiting.guaranteed
        && !running.guaranteed
        && running.spec.team != waiting.spec.team
        && !is_within_guarantee(&limit.guarantee, &team_usage)
}

/// What stopping a task now would cost, in core seconds: its work since the last
/// checkpoint, its image's fetch, and a start that has hardly begun.
pub(super) fn preemption_loss(task: &Assignment, now: Instant) -> f64 {
    let assigned_s = now.duration_since(task.assigned_at).as_secs_f64();
    let ran_s = task.running_since.map_or(0.0, |since| now.duration_since(since).as_secs_f64());
    let lost_s = if task.spec.checkpoint_s > 0.0 { task.spec.save_s } else { ran_s };
    1.0 + (lost_s + (assigned_s - ran_s) / (1.0 + ran_s)) * task.spec.cpus
}
