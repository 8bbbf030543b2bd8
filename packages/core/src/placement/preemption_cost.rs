//! What room costs on a machine, and the stops that a pass has planned.

use super::pass::{Pass, PlacementRequest};
use super::preemption::{may_preempt, preemption_loss};
use crate::cluster::{Assignment, Job};
use crate::model::*;

/// Least cost of a preemption, so that room without one comes first, in core seconds.
const MIN_PREEMPTION_COST: f64 = 1e-3;

/// A job that found no machine where it could preempt enough.
pub(super) struct Unplaceable<'a> {
    job: &'a Job,
    size: Resources,
    allowed_pools: Vec<bool>,
}

/// Room for one task on a machine.
pub(super) struct PreemptionCost<'a> {
    /// In core seconds; 0 where stops under way free enough.
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
    /// Whether a job like this one, but no larger and as urgent, found nothing that it
    /// could preempt.
    pub(super) fn is_unplaceable(&self, request: &PlacementRequest) -> bool {
        let is_alike = |earlier: &Unplaceable| {
            let allowed = request.allowed_pools.iter().zip(&earlier.allowed_pools);
            earlier.job.queue_priority() == request.job.queue_priority()
                && earlier.job.guaranteed == request.job.guaranteed
                && earlier.job.spec.team == request.job.spec.team
                && request.size.fits(&earlier.size)
                && allowed.into_iter().all(|(now, then)| *then || !*now)
        };
        self.unplaceable.iter().any(is_alike)
    }

    /// Notes that the job can preempt nothing, whatever the zones.
    pub(super) fn mark_unplaceable(&mut self, request: &PlacementRequest<'a>) {
        let allowed_pools = request.allowed_pools.clone();
        self.unplaceable.push(Unplaceable { job: request.job, size: request.size, allowed_pools });
    }

    /// Whether a machine could make room for the job at all.
    pub(super) fn may_make_room(&self, request: &PlacementRequest, slot: usize) -> bool {
        let slot = &self.slots[slot];
        let may_preempt_some = slot.last_priority.is_some_and(|last| last > request.job.queue_priority());
        request.allowed_pools[slot.pool]
            && (slot.has_stopping_tasks || slot.free_after_stops.fits(&request.size) || may_preempt_some)
            && slot.machine.size.fits(&request.size)
    }

    /// What room for one task costs on a machine, with the tasks to preempt; `None` where
    /// the room can't be made.  Tasks whose checkpoint takes `max_save_s` or longer are
    /// not preempted.
    pub(super) fn preemption_cost(
        &mut self,
        request: &PlacementRequest<'a>,
        slot: usize,
        max_save_s: f64,
    ) -> Option<PreemptionCost<'a>> {
        if self.slots[slot].free_after_stops.fits(&request.size) {
            return Some(PreemptionCost { cost: 0.0, victims: Vec::new() });
        }
        // an image to fetch delays the start: prefer machines that have it
        let image_wait_s = self.image_wait(request, slot).seconds;
        let mut room = self.slots[slot].free_after_stops;
        let mut cost = MIN_PREEMPTION_COST + image_wait_s * request.size.cpus;
        let mut victims = Vec::new();
        for victim in self.find_victims(request, slot, max_save_s) {
            if room.fits(&request.size) {
                break;
            }
            room.add(&victim.size);
            cost += victim.loss;
            victims.push(victim.task);
        }
        room.fits(&request.size).then_some(PreemptionCost { cost, victims })
    }

    /// Tasks on a machine that the job may preempt: those of the lowest priority first,
    /// then those that lose least.
    fn find_victims(&self, request: &PlacementRequest<'a>, slot: usize, max_save_s: f64) -> Vec<Victim<'a>> {
        let machine = self.slots[slot].machine;
        let mut victims: Vec<Victim<'a>> = Vec::new();
        for (task, assignment) in &machine.tasks {
            if !self.is_stoppable(&machine.name, task, assignment, max_save_s) {
                continue;
            }
            let Some(running) = self.cluster.jobs.get(&assignment.spec.id) else { continue };
            if may_preempt(request.job, running, &self.cluster.teams, &self.used) {
                // a gang is stopped as a whole
                let members = if running.spec.shape == Shape::Gang { running.assignments.len() } else { 1 };
                let loss = preemption_loss(assignment, self.now) * members.max(1) as f64;
                let (size, priority) = (assignment.spec.size(), running.urgency.priority);
                victims.push(Victim { loss, task, size, priority });
            }
        }
        victims.sort_by(|a, b| b.priority.cmp(&a.priority).then(a.loss.total_cmp(&b.loss)));
        victims
    }

    /// Whether a task runs that could be stopped, and is not stopping yet.
    fn is_stoppable(&self, machine: &'a Name, task: &'a Task, assignment: &Assignment, max_save_s: f64) -> bool {
        let saves_too_long = assignment.spec.checkpoint_s > 0.0 && assignment.spec.save_s >= max_save_s;
        assignment.occupies_resources()
            && assignment.stop_grace_s.is_none()
            && !assignment.inherited
            && !saves_too_long
            && !self.stopped.contains(&(machine, task))
    }

    /// Plans to preempt tasks, and gives a task of the job their room.
    pub(super) fn plan_preemption(&mut self, request: &PlacementRequest, slot: usize, victims: &[&'a Task]) {
        let machine = self.slots[slot].machine;
        for task in victims {
            let Some(assignment) = machine.tasks.get(*task) else { continue };
            let size = assignment.spec.size();
            self.slots[slot].free_after_stops.add(&size);
            self.used.entry(assignment.spec.team.clone()).or_default().subtract(&size);
            self.stopped.insert((&machine.name, task));
        }
        self.slots[slot].free_after_stops.subtract(&request.size);
    }

    /// Undoes [`Pass::plan_preemption`].
    pub(super) fn undo_preemption(&mut self, request: &PlacementRequest, slot: usize, victims: &[&'a Task]) {
        self.slots[slot].free_after_stops.add(&request.size);
        let machine = self.slots[slot].machine;
        for task in victims {
            let Some(assignment) = machine.tasks.get(*task) else { continue };
            let size = assignment.spec.size();
            self.slots[slot].free_after_stops.subtract(&size);
            self.used.entry(assignment.spec.team.clone()).or_default().add(&size);
            self.stopped.remove(&(&machine.name, *task));
        }
    }

    /// Keeps room that was planned for a task from later ones.  The tasks that stop still
    /// count for their team until they are gone.
    pub(super) fn reserve(&mut self, request: &PlacementRequest, slot: usize) {
        self.update_free(slot, |free| free.subtract(&request.size));
    }

    /// Notes that planned preemptions are carried out, gangs whole; until the tasks are
    /// gone they count for their team.
    pub(super) fn confirm_preemption(&mut self, victims: &[&'a Task]) {
        for task in victims {
            let Some(job) = self.cluster.jobs.get(&task.job) else { continue };
            let first_machine = job.assignments.get(&task.index).and_then(|machines| machines.first());
            let machine = first_machine.and_then(|name| self.cluster.machines.get(name));
            if let Some(assignment) = machine.and_then(|machine| machine.tasks.get(*task)) {
                self.used.entry(assignment.spec.team.clone()).or_default().add(&assignment.spec.size());
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
                    self.stopped.insert((&machine.name, task));
                }
            }
        }
    }

    /// Reserves the machine that a blocked head will fit into first.
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
