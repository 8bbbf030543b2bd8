//! What room costs on a machine.

use super::pass::{Ask, Pass};
use super::preemption::{gives_way, loss};
use crate::cluster::{Assignment, Job};
use crate::model::*;

/// A job that found no machine where anything could give way to it.
pub(super) struct Hopeless<'a> {
    pub(super) job: &'a Job,
    pub(super) size: Resources,
    pub(super) allowed: Vec<bool>,
}

impl<'a> Pass<'a> {
    /// Whether a job like this one, but no larger and as urgent, found nothing
    /// that could give way to it.
    pub fn is_hopeless(&self, ask: &Ask) -> bool {
        let like = |h: &Hopeless| {
            h.job.queue_priority() == ask.job.queue_priority()
                && h.job.guaranteed == ask.job.guaranteed
                && h.job.spec.team == ask.job.spec.team
                && ask.size.fits(&h.size)
                && ask.allowed.iter().zip(&h.allowed).all(|(now, then)| *then || !*now)
        };
        self.hopeless.iter().any(like)
    }

    /// Nothing can give way to this job, whatever the zones.
    pub fn give_up_on(&mut self, ask: &Ask<'a>) {
        self.hopeless.push(Hopeless { job: ask.job, size: ask.size, allowed: ask.allowed.clone() });
    }

    /// Whether a machine could make room for the job at all.
    pub fn may_make_room(&self, ask: &Ask, slot: usize) -> bool {
        let s = &self.slots[slot];
        ask.allowed[s.pool]
            && (s.stopping || s.soon.fits(&ask.size) || s.latest.is_some_and(|l| l > ask.job.queue_priority()))
            && s.m.size.fits(&ask.size)
    }

    /// What room for one task costs on a machine, and the tasks that give way;
    /// nothing where stops under way free enough.
    pub fn cost(&mut self, ask: &Ask<'a>, slot: usize, patience: f64) -> Option<(f64, Vec<&'a Task>)> {
        if self.slots[slot].soon.fits(&ask.size) {
            return Some((0.0, Vec::new()));
        }
        // an image to fetch delays the start: prefer where it is
        let image = self.image_wait(ask, slot).0;
        let s = &self.slots[slot];
        let mut victims: Vec<(f64, &'a Task, &'a Assignment, Priority)> = Vec::new();
        for (t, p) in &s.m.tasks {
            let stays = !p.occupies_resources()
                || p.stop_grace_s.is_some()
                || p.inherited
                || p.spec.checkpoint_s > 0.0 && p.spec.save_s >= patience
                || self.stopped.contains(&(&s.m.name, t));
            let of = self.c.jobs.get(&p.spec.id).filter(|_| !stays);
            if of.is_some_and(|of| gives_way(ask.job, of, &self.c.teams, &self.used)) {
                // a gang goes as a whole
                let mates = of.map_or(1, |of| if of.spec.shape == Shape::Gang { of.assignments.len() } else { 1 });
                let rank = of.map_or(p.spec.priority, |of| of.urgency.priority);
                victims.push((loss(p, self.now) * mates.max(1) as f64, t, p, rank));
            }
        }
        victims.sort_by(|a, b| b.3.cmp(&a.3).then(a.0.total_cmp(&b.0)));
        let (mut room, mut cost, mut list) = (s.soon, 1e-3 + image * ask.size.cpus, Vec::new());
        for (c, t, p, _) in victims {
            if room.fits(&ask.size) {
                break;
            }
            room.add(&p.spec.size());
            cost += c;
            list.push(t);
        }
        room.fits(&ask.size).then_some((cost, list))
    }

    pub(super) fn move_victims(&mut self, slot: usize, victims: &[&'a Task], stop: bool) {
        let m = self.slots[slot].m;
        for t in victims {
            let Some(p) = m.tasks.get(*t) else { continue };
            let (size, team) = (p.spec.size(), self.used.entry(p.spec.team.clone()).or_default());
            if stop {
                self.slots[slot].soon.add(&size);
                team.subtract(&size);
                self.stopped.insert((&m.name, t));
            } else {
                self.slots[slot].soon.subtract(&size);
                team.add(&size);
                self.stopped.remove(&(&m.name, *t));
            }
        }
    }

    /// Plans to stop tasks and to give one of the job their room.
    pub fn promise(&mut self, ask: &Ask, slot: usize, victims: &[&'a Task]) {
        self.move_victims(slot, victims, true);
        self.slots[slot].soon.subtract(&ask.size);
    }

    /// Undoes [`Pass::promise`].
    pub fn withdraw(&mut self, ask: &Ask, slot: usize, victims: &[&'a Task]) {
        self.slots[slot].soon.add(&ask.size);
        self.move_victims(slot, victims, false);
    }

    /// Keeps what a promise needs out of the hands of later tasks.  The tasks
    /// that stop still count for their team until they are gone.
    pub fn hold(&mut self, ask: &Ask, slot: usize) {
        self.free_changes(slot, |free| free.subtract(&ask.size));
    }

    /// What is planned to stop does stop, gangs whole; until it is gone it
    /// counts for its team.
    pub fn stopped_with_mates(&mut self, victims: &[&'a Task]) {
        for t in victims {
            let Some(job) = self.c.jobs.get(&t.job) else { continue };
            if let Some(p) = job.assignments.get(&t.index).and_then(|l| self.c.machines.get(l.first()?)?.tasks.get(*t))
            {
                self.used.entry(p.spec.team.clone()).or_default().add(&p.spec.size());
            }
            if job.spec.shape == Shape::Gang {
                for (index, list) in &job.assignments {
                    for m in list.iter().filter_map(|n| self.c.machines.get(n)) {
                        let task = Task { job: t.job.clone(), index: *index };
                        if let Some((t, _)) = m.tasks.get_key_value(&task) {
                            self.stopped.insert((&m.name, t));
                        }
                    }
                }
            }
        }
    }

    /// The machine that a blocked head will fit into first is held for it.
    pub fn hold_first(&mut self, ask: &Ask, zones: &[u32]) {
        let fits = |i: &usize| {
            let s = &self.slots[*i];
            ask.allowed[s.pool] && s.m.size.fits(&ask.size) && self.zone_ok(ask, zones, *i)
        };
        let soon = |i: &usize| self.slots[*i].soon.cpus;
        if let Some(i) = (0..self.slots.len()).filter(fits).max_by(|a, b| soon(a).total_cmp(&soon(b))) {
            self.hold(ask, i);
            self.slots[i].soon.subtract(&ask.size);
        }
    }
}
