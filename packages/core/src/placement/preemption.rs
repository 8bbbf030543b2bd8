//! Work that has to make room.

use std::collections::HashMap;
use std::time::Instant;

use super::pass::{Ask, Pass};
use super::Decisions;
use crate::cluster::{Assignment, Cluster, Job, TeamLimit};
use crate::model::*;

impl Cluster {
    /// For tasks that found no room, on machines where the image takes no
    /// longer than `most_wait`, and of work that saves within `patience`: holds
    /// room that stops under way will free, or stops work that has to give
    /// way.  Returns how many tasks will have a place.
    ///
    /// Takes the cheapest machine again and again.  What stopping costs on a
    /// machine only grows while others are chosen, so only the machine about
    /// to be taken is reckoned anew.
    pub(super) fn hold_or_preempt<'a>(
        &self,
        ask: &Ask<'a>,
        count: u32,
        zones: &[u32],
        pass: &mut Pass<'a>,
        (most_wait, patience): (f64, f64),
        out: &mut Decisions,
    ) -> u32 {
        let anywhere = most_wait.is_infinite() && patience.is_infinite();
        if anywhere && pass.is_hopeless(ask) {
            return 0;
        }
        let mut options: Vec<(f64, usize)> = Vec::new();
        pass.looks += pass.slots.len();
        for i in 0..pass.slots.len() {
            if !pass.may_make_room(ask, i) || pass.image_wait(ask, i).0 > most_wait {
                continue;
            }
            if let Some((cost, _)) = pass.cost(ask, i, patience) {
                options.push((cost, i));
            }
        }
        if anywhere && options.is_empty() {
            pass.give_up_on(ask);
            return 0;
        }
        let mut zones = zones.to_vec();
        let mut plan: Vec<(usize, Vec<&'a Task>)> = Vec::new();
        while (plan.len() as u32) < count {
            let fits = options.iter().enumerate().filter(|(_, o)| pass.zone_ok(ask, &zones, o.1));
            let Some((at, &(cost, slot))) = fits.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            match pass.cost(ask, slot, patience) {
                None => {
                    options.swap_remove(at);
                }
                Some((grown, _)) if grown > cost => options[at].0 = grown,
                Some((_, victims)) => {
                    pass.promise(ask, slot, &victims);
                    zones[pass.slots[slot].zone] += 1;
                    plan.push((slot, victims));
                }
            }
        }
        // a gang is helped whole or not at all
        if ask.job.spec.shape == Shape::Gang && (plan.len() as u32) < count {
            for (slot, victims) in plan.iter().rev() {
                pass.withdraw(ask, *slot, victims);
            }
            return 0;
        }
        for (slot, victims) in &plan {
            pass.hold(ask, *slot);
            let machine = &pass.slots[*slot].m.name;
            for t in victims {
                tracing::info!("{t} on {machine} gives way to {}", ask.job.spec.id);
                out.stops.push((machine.clone(), (*t).clone()));
            }
        }
        for (_, victims) in &plan {
            pass.stopped_with_mates(victims);
        }
        plan.len() as u32
    }

    /// Stops a task that shall run elsewhere or later; a gang is stopped
    /// whole, so that all its tasks save together.
    pub fn stop_to_move(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(p) = self.machines.get(machine).and_then(|m| m.tasks.get(task)) else { return };
        let grace = if p.spec.checkpoint_s > 0.0 { p.spec.save_s + 1.0 } else { 0.0 };
        if p.spec.shape != Shape::Gang {
            self.request_stop(machine, task, grace, now);
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        for (m, t) in job.placed_tasks() {
            self.request_stop(&m, &t, grace, now);
        }
    }
}

/// Whether this much lies within a guarantee; none is given where both are 0.
pub(super) fn within(guarantee: &Resources, used: &Resources) -> bool {
    let ok = |g: f64, u: f64| g <= 0.0 || u <= g + 1e-6;
    (guarantee.cpus > 0.0 || guarantee.gpus > 0.0) && ok(guarantee.cpus, used.cpus) && ok(guarantee.gpus, used.gpus)
}

/// Whether a task of `of` has to give way to `to`: to a higher rank, or, where
/// it is work beyond its team's guarantee, to another team within its own.
pub(super) fn gives_way(to: &Job, of: &Job, teams: &HashMap<Name, TeamLimit>, used: &NameMap<Resources>) -> bool {
    if of.queue_priority() <= to.queue_priority() {
        return false;
    }
    if of.urgency.priority > to.urgency.priority {
        return true;
    }
    let team = used.get(&of.spec.team).copied().unwrap_or_default();
    let limit = teams.get(&of.spec.team).copied().unwrap_or_default();
    to.guaranteed && !of.guaranteed && of.spec.team != to.spec.team && !within(&limit.guarantee, &team)
}

/// What stopping a task now would cost, in core seconds: its work since the
/// last checkpoint, its image's fetch, and a start that has hardly begun.
pub(super) fn loss(p: &Assignment, now: Instant) -> f64 {
    let here = now.duration_since(p.assigned_at).as_secs_f64();
    let ran = p.running_since.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
    let lost = if p.spec.checkpoint_s > 0.0 { p.spec.save_s } else { ran };
    1.0 + (lost + (here - ran) / (1.0 + ran)) * p.spec.cpus
}
