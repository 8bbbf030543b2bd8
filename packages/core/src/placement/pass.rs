//! The picture that a pass decides on: the usable machines with what is free,
//! what soon will be, and what may make room.  It is made once a pass and
//! brought forward with every decision; nothing here changes the state.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use super::tai2::{variance, Candidate, Classes, How, Picks, Weather};
use super::{gives_way, loss, Entry};
use crate::cluster::{Assignment, Cluster, Job, Machine, QueuePriority, TaskPhase};
use crate::model::*;

/// A machine as a pass sees it.
pub(super) struct Slot<'a> {
    pub m: &'a Machine,
    /// Its type, zone and kind, as an index.
    pool: usize,
    /// Its zone, as an index.
    pub zone: usize,
    /// Free now, less what is held for blocked heads.
    free: Resources,
    /// Free once the stops under way are through, less what is held.
    soon: Resources,
    /// Stops are under way: `soon` is more than `free`.
    stopping: bool,
    /// Free once all but services have gone: services are packed by it, or
    /// each would sit where some short task just ended, and keep a machine of
    /// its own when those are through.
    lasting: Resources,
    /// Tasks that may yet be added.
    room: usize,
    /// The latest turn that work here can have; none without work.
    latest: Option<QueuePriority>,
    /// Images that starts of this pass will fetch.
    fetches: Vec<(&'a Name, f64)>,
    /// Its tier has changed for the job that asks now: `moved` has it.
    moved: bool,
}

/// What comes before the picks: a machine where the job has failed is last, then
/// the wait for the image where it matters, spot before ordinary for those that
/// may, the wait in full, and a fetch that is under way.
type Tier = (bool, u64, bool, u64, bool);

/// A job that asks for room.
pub(super) struct Ask<'a> {
    pub job: &'a Job,
    pub size: Resources,
    /// Which pools it may use.
    allowed: Vec<bool>,
    /// Its image, as an index.
    image: usize,
}

pub(super) struct Pass<'a> {
    c: &'a Cluster,
    now: Instant,
    pub slots: Vec<Slot<'a>>,
    pools: Vec<(&'a Name, &'a Name, bool)>,
    zones: Vec<&'a Name>,
    /// Slots that might hold some queued task.
    open: Vec<usize>,
    /// The same by what is free on them, once a dry run has asked for it.
    classes: Option<Classes>,
    /// The smallest queued task in each respect.
    least: Resources,
    /// Looks when `open` was last gone through.
    pruned: usize,
    /// What teams use; left empty where no team has a limit or a guarantee.
    used: NameMap<Resources>,
    variance: f64,
    free_cpus: f64,
    waiting: f64,
    images: HashMap<&'a Name, usize>,
    /// Waits for each image by slot, as far as worked out; and whether it is
    /// being fetched.
    waits: Vec<Vec<Option<(f64, bool)>>>,
    /// Where tasks of the job that asks now fit, the best tier first.  Gone
    /// through once for all of its tasks: while it asks, room only comes back
    /// where it was taken on trial.
    fits: Option<Vec<(Tier, usize)>>,
    /// Of these, those whose tier its own starts have changed.
    moved: Vec<(Tier, usize)>,
    /// Tasks that this pass stops.
    stopped: HashSet<(&'a Name, &'a Task)>,
    /// Machines looked at so far: what a pass costs.
    pub looks: usize,
    /// What asked for room that nothing can make: the next ones like it need
    /// not look again, as a pass only takes room away.
    hopeless: Vec<Hopeless<'a>>,
}

/// A job that found no machine where anything could give way to it.
struct Hopeless<'a> {
    job: &'a Job,
    size: Resources,
    allowed: Vec<bool>,
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
    fn prune(&mut self) {
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

    /// Tasks of a job that are or may be in each zone.  Only where the job
    /// cares for zones.
    pub fn zones_of(&self, ask: &Ask) -> Vec<u32> {
        let mut zones = vec![0; self.zones.len()];
        if !ask.job.spec.one_zone && !ask.job.spec.spread {
            return zones;
        }
        for (name, task) in ask.job.placed_tasks() {
            // exited tasks are off their machine
            let Some(m) = self.c.machines.get(&name) else { continue };
            if m.tasks.get(&task).is_some_and(|p| p.occupies_resources()) {
                if let Some(z) = self.zones.iter().position(|z| **z == m.zone) {
                    zones[z] += 1;
                }
            }
        }
        zones
    }

    pub fn by_name(&self, zones: &[u32]) -> BTreeMap<Name, u32> {
        zones.iter().zip(&self.zones).filter(|(n, _)| **n > 0).map(|(n, z)| ((*z).clone(), *n)).collect()
    }

    pub fn zone_ok(&self, ask: &Ask, zones: &[u32], slot: usize) -> bool {
        let spec = &ask.job.spec;
        let z = self.slots[slot].zone;
        if spec.one_zone && zones.iter().enumerate().any(|(o, n)| *n > 0 && o != z) {
            return false;
        }
        zones[z] < spec.zone_cap()
    }

    /// Whether the team's limit lets `n` more tasks run.
    pub fn allows(&self, ask: &Ask, n: u32) -> bool {
        let Some(limit) = self.c.teams.get(&ask.job.spec.team) else { return true };
        let used = self.used.get(&ask.job.spec.team).copied().unwrap_or_default();
        limit.allows(&used, &ask.size.scaled(f64::from(n)))
    }

    /// How many of so many tasks the team's limit lets run.
    pub fn room_in_limit(&self, ask: &Ask, most: u32) -> u32 {
        let team = &ask.job.spec.team;
        let Some(limit) = self.c.teams.get(team) else { return most };
        let used = self.used.get(team).copied().unwrap_or_default();
        let part = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::INFINITY };
        let left = Resources {
            cpus: part(limit.limit.cpus, used.cpus),
            gpus: part(limit.limit.gpus, used.gpus),
            memory: f64::INFINITY,
        };
        left.count_fitting(&ask.size, most as usize) as u32
    }

    /// How long a task would wait for its image on a machine, and whether the
    /// machine is fetching it already.
    pub fn image_wait(&mut self, ask: &Ask<'a>, slot: usize) -> (f64, bool) {
        if let Some(w) = self.waits[ask.image][slot] {
            return w;
        }
        let (spec, s) = (&ask.job.spec, &self.slots[slot]);
        let w = if s.m.has_image(&spec.image) {
            (0.0, false)
        } else {
            let rate = self.c.types.get(&s.m.kind).map_or(0.0, |t| t.fetch_gb_per_s).max(1e-3);
            let fetching =
                |p: &&Assignment| p.occupies_resources() && matches!(p.phase, TaskPhase::Assigned | TaskPhase::Pulling);
            let mut began = s.fetches.iter().any(|f| f.0 == &spec.image).then_some(self.now);
            // fetches at the same time share the rate
            let mut others: Vec<(&Name, f64)> = s.fetches.iter().filter(|f| f.0 != &spec.image).copied().collect();
            for p in s.m.tasks.values().filter(fetching) {
                if p.spec.image == spec.image {
                    began = Some(began.map_or(p.assigned_at, |b| b.min(p.assigned_at)));
                } else if !s.m.has_image(&p.spec.image) && !others.iter().any(|o| *o.0 == p.spec.image) {
                    others.push((&p.spec.image, p.spec.image_gb));
                }
            }
            let whole = (spec.image_gb + others.iter().map(|o| o.1).sum::<f64>()) / rate;
            let left = began.map_or(whole, |t| (whole - self.now.duration_since(t).as_secs_f64()).max(0.0));
            (left, began.is_some())
        };
        self.waits[ask.image][slot] = Some(w);
        w
    }

    fn weather(&self) -> Weather {
        Weather {
            variance: self.variance,
            load: self.waiting / self.free_cpus.max(1.0),
            variance_threshold: self.c.policy.variance_threshold,
            load_threshold: self.c.policy.load_threshold,
        }
    }

    fn candidate(&self, at: usize) -> Candidate {
        let s = &self.slots[at];
        Candidate { at, free: s.free, whole: s.m.size, speed: s.m.speed }
    }

    /// The tier of a machine for a job's tasks.
    fn tier(&mut self, ask: &Ask<'a>, slot: usize) -> Tier {
        let grain = self.c.policy.fetch_grain_s;
        // an image that takes a small part of the time within which the task should
        // start is no reason for a dear machine
        let patience = grain.max(self.c.wait_aim(ask.job).unwrap_or(0.0) * self.c.policy.image_share);
        let m = self.slots[slot].m;
        let failed = !ask.job.failed_on.is_empty() && ask.job.failed_on.contains(&m.name);
        // where a fetch is needed anyway, a fresh one warms a machine more
        let (wait, fetching) = self.image_wait(ask, slot);
        // under a deadline a task that is lost with its machine costs more than
        // the room that an ordinary one has left
        let dear = ask.job.spec.spot && m.spot == ask.job.has_deadline_in_chain();
        (failed, (wait / patience).floor() as u64, dear, (wait / grain).ceil() as u64, fetching)
    }

    /// Where the job's tasks fit at all, whatever the zones, by tier.
    fn fitting(&mut self, ask: &Ask<'a>) -> Vec<(Tier, usize)> {
        self.looks += self.open.len();
        let fits = |i: &usize| {
            let s = &self.slots[*i];
            s.room > 0 && ask.allowed[s.pool] && s.free.fits(&ask.size)
        };
        let all: Vec<usize> = self.open.iter().copied().filter(fits).collect();
        let mut all: Vec<(Tier, usize)> = all.into_iter().map(|i| (self.tier(ask, i), i)).collect();
        all.sort_unstable();
        all
    }

    /// The machine for one task: among the allowed ones those that start it
    /// soonest (the image is there), then spot before ordinary for jobs that
    /// may, and within these by the paper's switch.
    pub fn choose(
        &mut self,
        ask: &Ask<'a>,
        zones: &[u32],
        only: Option<usize>,
        later: &impl Fn() -> Vec<(Resources, usize)>,
    ) -> Option<(usize, How)> {
        let fits = match self.fits.take() {
            Some(f) => f,
            None => self.fitting(ask),
        };
        let mut picks = Picks::default();
        let mut best: Option<Tier> = None;
        let service = ask.job.spec.shape == Shape::Service;
        let moved = std::mem::take(&mut self.moved);
        for (n, &(tier, i)) in moved.iter().chain(&fits).enumerate() {
            if n >= moved.len() && best.is_some_and(|b| tier > b) {
                break;
            }
            self.looks += 1;
            let s = &self.slots[i];
            if best.is_some_and(|b| tier > b)
                || n >= moved.len() && s.moved
                || s.room == 0
                || only.is_some_and(|z| z != s.zone)
                || !s.free.fits(&ask.size)
                || !self.zone_ok(ask, zones, i)
            {
                continue;
            }
            if best.is_none_or(|b| tier < b) {
                picks.clear();
                best = Some(tier);
            }
            let left = if service { s.lasting } else { s.free };
            picks.show(Candidate { free: left, ..self.candidate(i) }, &ask.size);
        }
        (self.fits, self.moved) = (Some(fits), moved);
        let weather = self.weather();
        // the queue behind the head is looked at only where the dry run is
        let looks = (weather.variance >= weather.variance_threshold) == (weather.load >= weather.load_threshold);
        if !looks {
            return picks.decide(&ask.size, &weather, &Classes::default(), &[]);
        }
        let later = later();
        if self.classes.is_none() && !later.is_empty() {
            let mut all = Classes::default();
            self.open.iter().for_each(|i| all.add(&self.candidate(*i)));
            self.looks += self.open.len() * 4;
            self.classes = Some(all);
        }
        let none = Classes::default();
        let all = self.classes.as_ref().unwrap_or(&none);
        // two dry runs, each of which goes through the classes once a run
        self.looks += all.len() * 2 * later.len();
        picks.decide(&ask.size, &weather, all, &later)
    }

    /// Changes the free room of a slot, and the sum over all with it.
    fn free_changes(&mut self, slot: usize, change: impl FnOnce(&mut Resources)) {
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

    fn move_victims(&mut self, slot: usize, victims: &[&'a Task], stop: bool) {
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
