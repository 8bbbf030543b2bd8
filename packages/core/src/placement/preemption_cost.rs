//! The cost of freeing resources on a machine, and the task stops that a pass has planned.

use super::pass::{Pass, PlacementRequest};
use super::preemption::{may_preempt, preemption_loss};
use crate::cluster::{Assignment, Job};
use crate::model::*;

/// Lower bound of the cost of a preemption, in core seconds.  It ranks machines that need no
/// preemption first.
const MIN_PREEMPTION_COST: f64 = 1e-3;

/// A job for which preemption cannot free enough resources on any machine.
pub(super) struct Unplaceable<'a> {
    job: &'a Job,
    size: Resources,
    allowed_pools: Vec<bool>,
}

/// The cost of freeing resources for one task on a machine.
pub(super) struct PreemptionCost<'a> {
    /// In core seconds; 0 if the resources are free or will be freed by tasks that are stopping.
    pub(super) cost: f64,
    /// Tasks to preempt.
    pub(super) victims: Vec<&'a Task>,
}

/// A task that may be preempted.
struct Victim<'a> {
    loss: f64,
    task: &'a Task,
    size: Resources,
    priority: Priority,
}

impl<'a> Pass<'a> {
    /// Reports whether an earlier job of the pass shows that this job cannot be placed by
    /// preemption.  The earlier job has the same queue priority, guarantee state and team, its
    /// tasks are no larger, and it may use every pool that this job may use.
    pub(super) fn is_unplaceable(&self, request: &PlacementRequest) -> bool {
        let covers_request = |earlier: &Unplaceable| {
            let allowed = request.allowed_pools.iter().zip(&earlier.allowed_pools);
            earlier.job.queue_priority() == request.job.queue_priority()
                && earlier.job.is_within_guarantee == request.job.is_within_guarantee
                && earlier.job.spec.team == request.job.spec.team
                && request.size.fits(&earlier.size)
                && allowed.into_iter().all(|(allowed_now, allowed_before)| *allowed_before || !*allowed_now)
        };
        self.unplaceable.iter().any(covers_request)
    }

    /// Records that preemption cannot free enough resources for the job, in any zone.
    pub(super) fn mark_unplaceable(&mut self, request: &PlacementRequest<'a>) {
        let allowed_pools = request.allowed_pools.clone();
        self.unplaceable.push(Unplaceable { job: request.job, size: request.size, allowed_pools });
    }

    /// Reports whether a machine may be able to free enough resources for a task of the job.  This
    /// is a quick check that rules machines out before the cost is computed.
    pub(super) fn may_make_room(&self, request: &PlacementRequest, slot: usize) -> bool {
        let slot = &self.slots[slot];
        let may_preempt_some = slot.lowest_priority.is_some_and(|lowest| lowest > request.job.queue_priority());
        request.allowed_pools[slot.pool]
            && (slot.has_stopping_tasks || slot.free_after_stops.fits(&request.size) || may_preempt_some)
            && slot.machine.size.fits(&request.size)
    }

    /// Returns the cost of freeing resources for one task on a machine, with the tasks to preempt;
    /// `None` if not enough resources can be freed.  Tasks whose checkpoint takes `max_save_s`
    /// seconds or longer to save are not preempted.
    pub(super) fn preemption_cost(
        &mut self,
        request: &PlacementRequest<'a>,
        slot: usize,
        max_save_s: f64,
    ) -> Option<PreemptionCost<'a>> {
        if self.slots[slot].free_after_stops.fits(&request.size) {
            return Some(PreemptionCost { cost: 0.0, victims: Vec::new() });
        }
        // An image fetch delays the start, so machines that have the image are preferred.
        let image_wait_s = self.image_wait(request, slot).seconds;
        let mut available = self.slots[slot].free_after_stops;
        let mut cost = MIN_PREEMPTION_COST + image_wait_s * request.size.cpus;
        let mut victims = Vec::new();
        for victim in self.find_victims(request, slot, max_save_s) {
            if available.fits(&request.size) {
                break;
            }
            available.add(&victim.size);
            cost += victim.loss;
            victims.push(victim.task);
        }
        available.fits(&request.size).then_some(PreemptionCost { cost, victims })
    }

    /// Returns the tasks on a machine that the job may preempt, ordered by ascending priority and
    /// then by ascending loss.
    fn find_victims(&self, request: &PlacementRequest<'a>, slot: usize, max_save_s: f64) -> Vec<Victim<'a>> {
        let machine = self.slots[slot].machine;
        let mut victims: Vec<Victim<'a>> = Vec::new();
        for (task, assignment) in &machine.tasks {
            if !self.is_stoppable(&machine.name, task, assignment, max_save_s) {
                continue;
            }
            let Some(running) = self.cluster.jobs.get(&assignment.spec.id) else { continue };
            if may_preempt(request.job, running, &self.cluster.teams, &self.used_by_team) {
                // A gang is stopped as a whole.
                let members = if running.spec.shape == Shape::Gang { running.assignments.len() } else { 1 };
                let loss = preemption_loss(assignment, self.now) * members.max(1) as f64;
                let (size, priority) = (assignment.spec.resources_per_task(), running.urgency.priority);
                victims.push(Victim { loss, task, size, priority });
            }
        }
        victims.sort_by(|a, b| b.priority.cmp(&a.priority).then(a.loss.total_cmp(&b.loss)));
        victims
    }

    /// Reports whether a task may be chosen for preemption.  It must be on the machine, not inherited
    /// from an earlier leader, and neither stopping nor planned to stop.  A task with checkpoints
    /// must also save one in less than `max_save_s` seconds.
    fn is_stoppable(&self, machine: &'a Name, task: &'a Task, assignment: &Assignment, max_save_s: f64) -> bool {
        let saves_too_long =
            assignment.spec.checkpoint_interval_s > 0.0 && assignment.spec.checkpoint_duration_s >= max_save_s;
        assignment.occupies_resources()
            && assignment.stop_grace_s.is_none()
            && !assignment.inherited
            && !saves_too_long
            && !self.planned_stops.contains(&(machine, task))
    }

    /// Plans the preemption of `victims`, and allocates the resources that will be free to a task
    /// of the job.
    pub(super) fn plan_preemption(&mut self, request: &PlacementRequest, slot: usize, victims: &[&'a Task]) {
        let machine = self.slots[slot].machine;
        for task in victims {
            let Some(assignment) = machine.tasks.get(*task) else { continue };
            let size = assignment.spec.resources_per_task();
            self.slots[slot].free_after_stops.add(&size);
            self.used_by_team.entry(assignment.spec.team.clone()).or_default().subtract(&size);
            self.planned_stops.insert((&machine.name, task));
        }
        self.slots[slot].free_after_stops.subtract(&request.size);
    }

    /// Reverts [`Pass::plan_preemption`].
    pub(super) fn undo_preemption(&mut self, request: &PlacementRequest, slot: usize, victims: &[&'a Task]) {
        self.slots[slot].free_after_stops.add(&request.size);
        let machine = self.slots[slot].machine;
        for task in victims {
            let Some(assignment) = machine.tasks.get(*task) else { continue };
            let size = assignment.spec.resources_per_task();
            self.slots[slot].free_after_stops.subtract(&size);
            self.used_by_team.entry(assignment.spec.team.clone()).or_default().add(&size);
            self.planned_stops.remove(&(&machine.name, *task));
        }
    }

    /// Subtracts the resources of one task from the free resources of a slot, so that later tasks
    /// cannot use them.
    pub(super) fn reserve(&mut self, request: &PlacementRequest, slot: usize) {
        self.update_free(slot, |free| free.subtract(&request.size));
    }

    /// Records that planned preemptions are carried out.  The tasks count towards their team's
    /// usage again, because they use resources until they have ended.  If a victim belongs to a
    /// gang, all tasks of the gang are marked as stopping.
    pub(super) fn confirm_preemption(&mut self, victims: &[&'a Task]) {
        for task in victims {
            let Some(job) = self.cluster.jobs.get(&task.job) else { continue };
            let first_machine = job.assignments.get(&task.index).and_then(|machines| machines.first());
            let machine = first_machine.and_then(|name| self.cluster.machines.get(name));
            if let Some(assignment) = machine.and_then(|machine| machine.tasks.get(*task)) {
                self.used_by_team
                    .entry(assignment.spec.team.clone())
                    .or_default()
                    .add(&assignment.spec.resources_per_task());
            }
            if job.spec.shape == Shape::Gang {
                self.mark_gang_stopped(job);
            }
        }
    }

    fn mark_gang_stopped(&mut self, gang: &Job) {
        for (index, machines) in &gang.assignments {
            for machine in machines.iter().filter_map(|name| self.cluster.machines.get(name)) {
                let task = Task { job: gang.spec.id.clone(), index: *index };
                if let Some((task, _)) = machine.tasks.get_key_value(&task) {
                    self.planned_stops.insert((&machine.name, task));
                }
            }
        }
    }

    /// Reserves resources for a blocked head on the machine where it is expected to fit first: of
    /// the machines large enough, the one with the most cores free once the stopping tasks have
    /// ended.
    pub(super) fn reserve_for_head(&mut self, request: &PlacementRequest, tasks_per_zone: &[u32]) {
        let may_fit = |index: &usize| {
            let slot = &self.slots[*index];
            request.allowed_pools[slot.pool]
                && slot.machine.size.fits(&request.size)
                && self.may_use_zone(request, tasks_per_zone, *index)
        };
        let free_cpus = |index: &usize| self.slots[*index].free_after_stops.cpus;
        let first = (0..self.slots.len()).filter(may_fit).max_by(|a, b| free_cpus(a).total_cmp(&free_cpus(b)));
        if let Some(slot) = first {
            self.reserve(request, slot);
            self.slots[slot].free_after_stops.subtract(&request.size);
        }
    }
}
