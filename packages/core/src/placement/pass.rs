//! The picture that a pass decides on: the usable machines with what is free,
//! what soon will be, and what may make room.  It is made once a pass and
//! brought forward with every decision; nothing here changes the state.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use super::machine_slot::Slot;
use super::preemption_cost::Hopeless;
use super::queue::Entry;
use super::ranking::Tier;
use super::tai2::{variance, Candidate, Classes, How, Weather};
use crate::cluster::{Cluster, Job};
use crate::model::*;

/// A job that asks for room.
pub(super) struct Ask<'a> {
    pub job: &'a Job,
    pub size: Resources,
    /// Which pools it may use.
    pub(super) allowed: Vec<bool>,
    /// Its image, as an index.
    pub(super) image: usize,
}

pub(super) struct Pass<'a> {
    pub(super) c: &'a Cluster,
    pub(super) now: Instant,
    pub slots: Vec<Slot<'a>>,
    pub(super) pools: Vec<(&'a Name, &'a Name, bool)>,
    pub(super) zones: Vec<&'a Name>,
    /// Slots that might hold some queued task.
    pub(super) open: Vec<usize>,
    /// The same by what is free on them, once a dry run has asked for it.
    pub(super) classes: Option<Classes>,
    /// The smallest queued task in each respect.
    pub(super) least: Resources,
    /// Looks when `open` was last gone through.
    pub(super) pruned: usize,
    /// What teams use; left empty where no team has a limit or a guarantee.
    pub(super) used: NameMap<Resources>,
    pub(super) variance: f64,
    pub(super) free_cpus: f64,
    pub(super) waiting: f64,
    pub(super) images: HashMap<&'a Name, usize>,
    /// Waits for each image by slot, as far as worked out; and whether it is
    /// being fetched.
    pub(super) waits: Vec<Vec<Option<(f64, bool)>>>,
    /// Where tasks of the job that asks now fit, the best tier first.  Gone
    /// through once for all of its tasks: while it asks, room only comes back
    /// where it was taken on trial.
    pub(super) fits: Option<Vec<(Tier, usize)>>,
    /// Of these, those whose tier its own starts have changed.
    pub(super) moved: Vec<(Tier, usize)>,
    /// Tasks that this pass stops.
    pub(super) stopped: HashSet<(&'a Name, &'a Task)>,
    /// Machines looked at so far: what a pass costs.
    pub looks: usize,
    /// What asked for room that nothing can make: the next ones like it need
    /// not look again, as a pass only takes room away.
    pub(super) hopeless: Vec<Hopeless<'a>>,
}

impl<'a> Pass<'a> {
    pub fn new(c: &'a Cluster, queue: &[Entry<'a>], now: Instant) -> Pass<'a> {
        let (mut pools, mut zones, mut slots) = (Vec::new(), Vec::new(), Vec::new());
        for m in c.machines.values() {
            let zone = index_of(&mut zones, &m.zone);
            if !m.is_schedulable(now, &c.policy) || m.size.cpus <= 0.0 {
                continue;
            }
            let pool = index_of(&mut pools, (&m.kind, &m.zone, m.spot));
            let (mut free, mut soon, mut stopping, mut latest) = (m.size, m.size, false, None);
            let mut lasting = m.size;
            for p in m.tasks.values().filter(|p| p.occupies_resources()) {
                free.subtract(&p.spec.size());
                if p.spec.shape == Shape::Service {
                    lasting.subtract(&p.spec.size());
                }
                if p.stop_grace_s.is_some() {
                    stopping = true;
                } else {
                    soon.subtract(&p.spec.size());
                    if let Some(of) = c.jobs.get(&p.spec.id).filter(|_| !p.inherited) {
                        latest = latest.max(Some(of.queue_priority()));
                    }
                }
            }
            let room = c.policy.most_tasks - (m.tasks.len() + m.exited.len());
            slots.push(Slot {
                m,
                pool,
                zone,
                free,
                soon,
                stopping,
                lasting,
                room,
                latest,
                fetches: Vec::new(),
                moved: false,
            });
        }
        let inf = Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory: f64::INFINITY };
        let least = queue.iter().map(|e| e.job.spec.size()).fold(inf, |a, b| Resources {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            memory: a.memory.min(b.memory),
        });
        let open = (0..slots.len()).filter(|i| slots[*i].free.fits(&least)).collect();
        Pass {
            c,
            now,
            pools,
            zones,
            open,
            classes: None,
            least,
            pruned: 0,
            used: if c.has_limits() { c.team_usage() } else { NameMap::default() },
            variance: variance(slots.iter().map(|s| s.m.speed)),
            free_cpus: slots.iter().map(|s| s.free.cpus.max(0.0)).sum(),
            waiting: queue.iter().map(|e| e.job.spec.cpus * f64::from(e.count)).sum(),
            images: HashMap::new(),
            waits: Vec::new(),
            fits: None,
            moved: Vec::new(),
            stopped: HashSet::new(),
            looks: 0,
            hopeless: Vec::new(),
            slots,
        }
    }

    /// Leaves out machines that this pass has filled, now and then: between two
    /// jobs, when nothing is taken on trial.
    pub(super) fn prune(&mut self) {
        if self.looks - self.pruned > self.open.len() * 8 {
            let (slots, least) = (&self.slots, self.least);
            self.open.retain(|i| slots[*i].room > 0 && slots[*i].free.fits(&least));
            self.pruned = self.looks;
        }
    }

    pub fn ask(&mut self, job: &'a Job) -> Ask<'a> {
        self.prune();
        self.fits = None;
        for (_, i) in self.moved.drain(..) {
            self.slots[i].moved = false;
        }
        let spec = &job.spec;
        let next = self.images.len();
        let image = *self.images.entry(&spec.image).or_insert(next);
        if image == self.waits.len() {
            self.waits.push(vec![None; self.slots.len()]);
        }
        let allowed = self.pools.iter().map(|(kind, zone, spot)| spec.allows(kind, zone, *spot)).collect();
        Ask { job, size: spec.size(), allowed, image }
    }

    pub(super) fn weather(&self) -> Weather {
        Weather {
            variance: self.variance,
            load: self.waiting / self.free_cpus.max(1.0),
            variance_threshold: self.c.policy.variance_threshold,
            load_threshold: self.c.policy.load_threshold,
        }
    }

    pub(super) fn candidate(&self, at: usize) -> Candidate {
        let s = &self.slots[at];
        Candidate { at, free: s.free, whole: s.m.size, speed: s.m.speed }
    }

    /// Changes the free room of a slot, and the sum over all with it.
    pub(super) fn free_changes(&mut self, slot: usize, change: impl FnOnce(&mut Resources)) {
        let before = self.candidate(slot);
        let free = &mut self.slots[slot].free;
        self.free_cpus -= free.cpus.max(0.0);
        change(free);
        self.free_cpus += free.cpus.max(0.0);
        let after = self.candidate(slot);
        if let Some(all) = self.classes.as_mut() {
            all.remove(&before);
            all.add(&after);
        }
    }

    /// Takes room away.
    pub fn take(&mut self, slot: usize, size: &Resources) {
        self.free_changes(slot, |free| free.subtract(size));
        let s = &mut self.slots[slot];
        s.soon.subtract(size);
        s.room = s.room.saturating_sub(1);
    }

    /// Undoes [`Pass::take`].
    pub fn give_back(&mut self, slot: usize, size: &Resources) {
        self.free_changes(slot, |free| free.add(size));
        let s = &mut self.slots[slot];
        s.soon.add(size);
        s.room += 1;
    }

    /// A task is started here.
    pub fn start(&mut self, ask: &Ask<'a>, slot: usize) {
        self.take(slot, &ask.size);
        if ask.job.spec.shape == Shape::Service {
            self.slots[slot].lasting.subtract(&ask.size);
        }
        self.used.entry(ask.job.spec.team.clone()).or_default().add(&ask.size);
        let s = &mut self.slots[slot];
        let spec = &ask.job.spec;
        if !s.m.has_image(&spec.image) && !s.fetches.iter().any(|f| f.0 == &spec.image) {
            s.fetches.push((&spec.image, spec.image_gb));
            for w in &mut self.waits {
                w[slot] = None;
            }
            let tier = self.tier(ask, slot);
            match self.moved.iter_mut().find(|m| m.1 == slot) {
                Some(m) => m.0 = tier,
                None => {
                    self.slots[slot].moved = true;
                    self.moved.push((tier, slot));
                }
            }
        }
    }

    /// Why a task goes where it does, for people.
    pub fn explain(&self, ask: &Ask, index: u32, slot: usize, how: How, image: f64) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let (spec, w) = (&ask.job.spec, self.weather());
        tracing::debug!(
            "{}/{index} ({}) goes to {} after {:.1} s: {how:?}, variance {:.3}, load {:.2}; image in {image:.0} s",
            spec.id,
            spec.class,
            self.slots[slot].m.name,
            self.now.duration_since(ask.job.first_seen).as_secs_f64(),
            w.variance,
            w.load,
        );
    }
}
