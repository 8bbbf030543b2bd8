//! The queue: who is next, where it may go, where it goes, and what has to
//! make room.  The ordinary path is the design's: the head by rank and
//! arrival, both picks, the threshold switch with AI2 ([`tai2`]).

pub mod tai2;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use crate::cluster::{Cluster, Job, Phase, Place, TeamLimit};
use crate::model::*;
use tai2::{Candidate, How, Weather};

/// Tasks that found no machine: what the fleet should grow by.
#[derive(Debug, Clone)]
pub struct Want {
    /// Their job.
    pub spec: Arc<Spec>,
    /// How many.
    pub count: u32,
    /// Tasks of the job that are or may be in each zone already.
    pub zones: BTreeMap<Name, u32>,
}

/// A machine as a pass sees it.
struct Slot {
    name: Name,
    kind: Name,
    zone: Name,
    spot: bool,
    whole: Size,
    speed: f64,
    /// Free now, less what is held for blocked heads.
    free: Size,
    /// Free once the stops under way are through, less what is held.
    soon: Size,
    room: usize,
}

/// Tasks that have to give way, with their machines.
type Victims = Vec<(Name, Task)>;

/// A start that a pass decides.
struct Pick {
    slot: usize,
    how: How,
}

impl Cluster {
    /// One pass over the queue.  Decides starts and stops, and returns what
    /// found no place.
    pub fn place(&mut self, now: Instant) -> Vec<Want> {
        self.stir = false;
        let policy = self.policy.clone();
        let mut slots: Vec<Slot> = self
            .machines
            .values()
            .filter(|m| m.usable(now, &policy) && m.size.cpus > 0.0)
            .map(|m| {
                let free = m.free();
                let mut soon = free;
                for p in m.tasks.values().filter(|p| p.present() && p.halt.is_some()) {
                    soon.give(&p.spec.size());
                }
                Slot {
                    name: m.name.clone(),
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    whole: m.size,
                    speed: m.speed,
                    free,
                    soon,
                    room: policy.most_tasks - (m.tasks.len() + m.exited.len()),
                }
            })
            .collect();
        let mut used = self.usage();
        self.mark_guaranteed();
        let queue = self.ordered_queue(now);
        let mut wants = Vec::new();
        let mut head_holds = false;
        let waiting: f64 =
            queue.iter().filter_map(|id| self.jobs.get(id)).map(|j| j.spec.cpus * f64::from(j.todo.len())).sum();
        for (at, id) in queue.iter().enumerate() {
            let Some(job) = self.jobs.get(id) else { continue };
            let spec = job.spec.clone();
            let weather = Weather {
                variance: tai2::variance(slots.iter().map(|s| s.speed)),
                load: waiting / slots.iter().map(|s| s.free.cpus.max(0.0)).sum::<f64>().max(1.0),
                variance_threshold: policy.variance_threshold,
                load_threshold: policy.load_threshold,
            };
            let later = self.lookahead(&queue[at..], policy.dry_run_tasks);
            let limit = self.teams.get(&spec.team).copied().unwrap_or_default();
            let left = match spec.shape {
                Shape::Gang => self.place_gang(id, &mut slots, &limit, &mut used, &weather, &later, now),
                _ => self.place_each(id, &mut slots, &limit, &mut used, &weather, &later, now),
            };
            let Some((count, zones)) = left else { continue };
            // no room: hold what is being freed, or make room
            let most = match spec.shape {
                Shape::Array => count.min(policy.dry_run_tasks as u32 / 4),
                _ => count,
            };
            let held =
                self.hold_or_preempt(&spec, most, &zones, &mut slots, &used, (f64::INFINITY, f64::INFINITY), now);
            if held < most && !head_holds {
                head_holds = true;
                // a blocked head keeps its turn: the room that it will fit
                // into first is not given to later tasks
                let fits = slots.iter_mut().filter(|s| {
                    spec.allows(&s.kind, &s.zone, s.spot)
                        && s.whole.holds(&spec.size())
                        && zone_ok(&spec, &s.zone, &zones)
                });
                if let Some(s) = fits.max_by(|a, b| a.soon.cpus.total_cmp(&b.soon.cpus)) {
                    s.free.take(&spec.size());
                    s.soon.take(&spec.size());
                }
            }
            if let Some(j) = self.jobs.get_mut(id) {
                j.why = if held > 0 { "room is being made" } else { "no machine has room" };
            }
            wants.push(Want { spec, count, zones });
        }
        wants
    }

    /// Marks the jobs that are within their team's guarantee: those that fit
    /// into it along with all that the team submitted before and is not over.
    fn mark_guaranteed(&mut self) {
        let mut open: Vec<&mut Job> = self.jobs.values_mut().filter(|j| j.fate.is_none()).collect();
        open.sort_by(|a, b| (a.stamp, &a.spec.id).cmp(&(b.stamp, &b.spec.id)));
        let mut used: HashMap<Name, Size> = HashMap::new();
        for j in open {
            let limit = self.teams.get(&j.spec.team).copied().unwrap_or_default();
            let team = used.entry(j.spec.team.clone()).or_default();
            let left = f64::from(j.spec.tasks - j.done.len().min(j.spec.tasks));
            team.give(&j.spec.size().times(left));
            j.guaranteed = within(&limit.guarantee, team);
        }
    }

    /// The queue: production and work within its team's guarantee first, by
    /// rank, then as it arrived.
    fn ordered_queue(&self, now: Instant) -> Vec<Name> {
        let mut q: Vec<&Job> = self.jobs.values().filter(|j| j.fate.is_none() && !j.todo.is_empty()).collect();
        q.retain(|j| j.wait_until.is_none_or(|t| t <= now));
        q.sort_by(|a, b| {
            (turn(a).cmp(&turn(b)))
                .then(self.arrival(a).total_cmp(&self.arrival(b)))
                .then((a.stamp, &a.spec.id).cmp(&(b.stamp, &b.spec.id)))
        });
        q.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// When the next task of a job counts as arrived, in seconds.  The tasks
    /// of an array count as arriving one after another, or one large array
    /// would keep all that come after it waiting until it is through; and
    /// earlier by the time they take, for a long task that starts late makes
    /// its job late.
    fn arrival(&self, j: &Job) -> f64 {
        let known = j.known.saturating_duration_since(self.began).as_secs_f64();
        if j.spec.shape != Shape::Array {
            return known;
        }
        let started = f64::from(j.spec.tasks - j.todo.len().min(j.spec.tasks));
        let bias = self.bias.get(&j.spec.class).copied().unwrap_or(1.0);
        known + started * self.policy.task_spacing_s - j.spec.estimate_s * bias
    }

    /// Sizes of the next tasks behind the head, for the dry run.
    fn lookahead(&self, queue: &[Name], most: usize) -> Vec<Size> {
        let mut sizes = Vec::new();
        for (i, id) in queue.iter().enumerate() {
            let Some(j) = self.jobs.get(id) else { continue };
            let n = (j.todo.len() as usize).saturating_sub(usize::from(i == 0));
            sizes.extend(std::iter::repeat_n(j.spec.size(), n.min(most - sizes.len())));
            if sizes.len() >= most {
                break;
            }
        }
        sizes
    }

    /// Tasks of a job that are or may be in each zone.
    fn zones_of(&self, id: &Name) -> BTreeMap<Name, u32> {
        let mut zones = BTreeMap::new();
        let Some(job) = self.jobs.get(id) else { return zones };
        for (name, task) in job.placed() {
            // exited tasks are off their machine
            if let Some(m) = self.machines.get(&name).filter(|m| m.tasks.get(&task).is_some_and(|p| p.present())) {
                *zones.entry(m.zone.clone()).or_insert(0) += 1;
            }
        }
        zones
    }

    /// How soon a job's tasks should start, if anything is said of it.
    fn wait_aim(&self, id: &Name) -> Option<f64> {
        let j = self.jobs.get(id)?;
        let aims = [
            self.wait_aims.get(&j.spec.class).copied(),
            // the users of a service feel every second without a replica
            (j.spec.shape == Shape::Service).then_some(self.policy.fetch_grain_s),
            j.guaranteed.then_some(self.policy.guarantee_wait_s),
        ];
        aims.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Places tasks of an array or service one by one.  Returns how many
    /// found no room, or `None` if room is not what they lack.
    #[allow(clippy::too_many_arguments)]
    fn place_each(
        &mut self,
        id: &Name,
        slots: &mut [Slot],
        limit: &TeamLimit,
        used: &mut HashMap<Name, Size>,
        weather: &Weather,
        later: &[Size],
        now: Instant,
    ) -> Option<(u32, BTreeMap<Name, u32>)> {
        let spec = self.jobs.get(id)?.spec.clone();
        let size = spec.size();
        let mut zones = self.zones_of(id);
        let aim = self.wait_aim(id);
        let mut held = 0;
        loop {
            let job = self.jobs.get_mut(id)?;
            let index = job.todo.iter().nth(held)?;
            let team = used.entry(spec.team.clone()).or_default();
            if !limit.allows(team, &size) {
                job.why = "its team is at its limit";
                return None;
            }
            let Some(p) = self.choose(&spec, slots, &zones, weather, later, now) else {
                let mut room = limit_room(limit, used.get(&spec.team), &size, self.jobs.get(id)?.todo.len());
                room = room.min(self.jobs.get(id)?.todo.len());
                return Some((room, zones));
            };
            // fetching the image would make it late: rather take room, if that
            // may be, where the image is
            let wait = self.image_wait(&spec, &slots[p.slot].name, now).0;
            if let Some(aim) = aim.filter(|a| wait > *a) {
                if self.hold_or_preempt(&spec, 1, &zones, slots, used, (aim, wait), now) == 1 {
                    held += 1;
                    continue;
                }
            }
            used.entry(spec.team.clone()).or_default().give(&size);
            let s = &mut slots[p.slot];
            s.free.take(&size);
            s.soon.take(&size);
            s.room -= 1;
            *zones.entry(s.zone.clone()).or_insert(0) += 1;
            let (name, attempt) = (s.name.clone(), self.new_attempt());
            let task = Task { job: id.clone(), index };
            self.explain(&task, &name, &spec, p.how, weather, now);
            if !self.assign(&task, &name, attempt, now) {
                return None;
            }
        }
    }

    /// Places a gang: all of its tasks, or none.  Before its start, lost
    /// tasks are replaced under the same attempt.
    #[allow(clippy::too_many_arguments)]
    fn place_gang(
        &mut self,
        id: &Name,
        slots: &mut [Slot],
        limit: &TeamLimit,
        used: &mut HashMap<Name, Size>,
        weather: &Weather,
        later: &[Size],
        now: Instant,
    ) -> Option<(u32, BTreeMap<Name, u32>)> {
        let job = self.jobs.get(id)?;
        let spec = job.spec.clone();
        let size = spec.size();
        // what of it is still somewhere
        let placed = job.placed();
        let old: Vec<&Place> = placed.iter().filter_map(|(m, t)| self.machines.get(m)?.tasks.get(t)).collect();
        let replace = !old.is_empty();
        let keeps = |p: &&Place| {
            matches!(p.phase, Phase::Ordered | Phase::Pulling | Phase::Gathering)
                && p.halt.is_none()
                && !p.former
                && p.attempt == job.attempt
        };
        if replace && !old.iter().all(keeps) {
            // the last attempt must be off its machines first
            self.jobs.get_mut(id)?.why = "its last attempt is not over";
            return None;
        }
        let todo: Vec<u32> = job.todo.iter().collect();
        let mut whole = used.get(&spec.team).copied().unwrap_or_default();
        for _ in 0..todo.len().saturating_sub(1) {
            whole.give(&size);
        }
        if !limit.allows(&whole, &size) {
            self.jobs.get_mut(id)?.why = "its team is at its limit";
            return None;
        }
        let present = self.zones_of(id);
        // with one zone for all, each zone is tried; else any
        let mut tries: Vec<Option<Name>> = vec![None];
        if spec.one_zone && present.is_empty() {
            let mut all: Vec<Name> = slots.iter().map(|s| s.zone.clone()).collect();
            all.sort();
            all.dedup();
            tries = all.into_iter().map(Some).collect();
        }
        let mut best: Option<(f64, Vec<Pick>)> = None;
        for only in tries {
            let mut trial: Vec<Slot> = slots
                .iter()
                .map(|s| Slot { name: s.name.clone(), kind: s.kind.clone(), zone: s.zone.clone(), ..*s })
                .collect();
            let mut zones = present.clone();
            let (mut picks, mut slowest) = (Vec::new(), 0.0f64);
            for _ in &todo {
                for s in trial.iter_mut().filter(|s| only.as_ref().is_some_and(|z| *z != s.zone)) {
                    s.room = 0;
                }
                let Some(p) = self.choose(&spec, &trial, &zones, weather, later, now) else { break };
                let s = &mut trial[p.slot];
                s.free.take(&size);
                s.room -= 1;
                *zones.entry(s.zone.clone()).or_insert(0) += 1;
                slowest = slowest.max(self.image_wait(&spec, &s.name, now).0);
                picks.push(p);
            }
            if picks.len() == todo.len() && best.as_ref().is_none_or(|b| slowest < b.0) {
                best = Some((slowest, picks));
            }
        }
        let Some((slowest, picks)) = best else {
            return Some((todo.len() as u32, present));
        };
        if let Some(aim) = self.wait_aim(id).filter(|a| slowest > *a) {
            let n = todo.len() as u32;
            if self.hold_or_preempt(&spec, n, &present, slots, used, (aim, slowest), now) == n {
                return None;
            }
        }
        let attempt = if replace { self.jobs.get(id)?.attempt } else { self.new_attempt() };
        self.jobs.get_mut(id)?.attempt = attempt;
        for (index, p) in todo.into_iter().zip(picks) {
            let s = &mut slots[p.slot];
            s.free.take(&size);
            s.soon.take(&size);
            s.room -= 1;
            used.entry(spec.team.clone()).or_default().give(&size);
            let task = Task { job: id.clone(), index };
            let name = s.name.clone();
            self.explain(&task, &name, &spec, p.how, weather, now);
            self.assign(&task, &name, attempt, now);
        }
        None
    }

    fn explain(&self, task: &Task, machine: &Name, spec: &Spec, how: How, w: &Weather, now: Instant) {
        let waited = self.jobs.get(&task.job).map_or(0.0, |j| now.duration_since(j.known).as_secs_f64());
        let (image, _) = self.image_wait(spec, machine, now);
        log::debug!(
            "{task} ({}) goes to {machine} after {waited:.1} s: {how:?}, variance {:.3}, load {:.2}; image in {image:.0} s",
            spec.class,
            w.variance,
            w.load,
        );
    }

    /// How long a task would wait for its image on a machine, and whether the
    /// machine is fetching it already.
    fn image_wait(&self, spec: &Spec, machine: &Name, now: Instant) -> (f64, bool) {
        let Some(m) = self.machines.get(machine) else { return (f64::INFINITY, false) };
        if m.has_image(&spec.image) {
            return (0.0, false);
        }
        let rate = self.types.get(&m.kind).map_or(0.0, |t| t.fetch_gb_per_s).max(1e-3);
        let fetching = |p: &&Place| p.present() && matches!(p.phase, Phase::Ordered | Phase::Pulling);
        let began = m.tasks.values().filter(fetching).filter(|p| p.spec.image == spec.image).map(|p| p.since).min();
        // fetches at the same time share the rate
        let mut others: Vec<(&Name, f64)> = m
            .tasks
            .values()
            .filter(fetching)
            .filter(|p| p.spec.image != spec.image && !m.has_image(&p.spec.image))
            .map(|p| (&p.spec.image, p.spec.image_gb))
            .collect();
        others.dedup_by(|a, b| a.0 == b.0);
        let whole = (spec.image_gb + others.iter().map(|o| o.1).sum::<f64>()) / rate;
        let left = began.map_or(whole, |t| (whole - now.duration_since(t).as_secs_f64()).max(0.0));
        (left, began.is_some())
    }

    /// The machine for one task: among the allowed ones those that start it
    /// soonest (the image is there), then spot before ordinary for jobs that
    /// may, and within these by the paper's switch.
    #[allow(clippy::too_many_arguments)]
    fn choose(
        &self,
        spec: &Spec,
        slots: &[Slot],
        zones: &BTreeMap<Name, u32>,
        weather: &Weather,
        later: &[Size],
        now: Instant,
    ) -> Option<Pick> {
        let size = spec.size();
        let failed = self.jobs.get(&spec.id).map(|j| &j.failed_on);
        let mut best: Vec<Candidate> = Vec::new();
        let mut tier = (true, u64::MAX, true, true);
        let candidate = |i: usize, s: &Slot| Candidate { at: i, free: s.free, whole: s.whole, speed: s.speed };
        for (i, s) in slots.iter().enumerate() {
            if s.room == 0
                || !s.free.holds(&size)
                || !spec.allows(&s.kind, &s.zone, s.spot)
                || !zone_ok(spec, &s.zone, zones)
            {
                continue;
            }
            // where a fetch is needed anyway, a fresh one warms a machine more
            let (wait, fetching) = self.image_wait(spec, &s.name, now);
            let wait = (wait / self.policy.fetch_grain_s).ceil() as u64;
            let failed = failed.is_some_and(|f| f.contains(&s.name));
            let t = (failed, wait, spec.spot && !s.spot, fetching);
            if t < tier || best.is_empty() {
                best.clear();
                tier = t;
            }
            if t == tier {
                best.push(candidate(i, s));
            }
        }
        let all: Vec<Candidate> = match best.len() {
            0 => return None,
            1 => Vec::new(),
            _ => slots.iter().enumerate().map(|(i, s)| candidate(i, s)).collect(),
        };
        let (c, how) = tai2::pick(&best, &all, &size, later, weather)?;
        Some(Pick { slot: c.at, how })
    }

    /// For tasks that found no room, on machines where the image takes no
    /// longer than `most_wait`, and of work that saves within `patience`: holds
    /// room that stops under way will free, or stops work that has to give way.  Returns how many tasks will
    /// have a place.
    #[allow(clippy::too_many_arguments)]
    fn hold_or_preempt(
        &mut self,
        spec: &Arc<Spec>,
        count: u32,
        zones: &BTreeMap<Name, u32>,
        slots: &mut [Slot],
        used: &HashMap<Name, Size>,
        (most_wait, patience): (f64, f64),
        now: Instant,
    ) -> u32 {
        let size = spec.size();
        let Some(job) = self.jobs.get(&spec.id) else { return 0 };
        let mut zones = zones.clone();
        let mut plan: Vec<(usize, Victims)> = Vec::new();
        let mut spared = used.clone();
        let mut soon: Vec<Size> = slots.iter().map(|s| s.soon).collect();
        let mut taken: std::collections::HashSet<(Name, Task)> = std::collections::HashSet::new();
        for _ in 0..count {
            let mut best: Option<(f64, usize, Victims)> = None;
            for (i, s) in slots.iter().enumerate() {
                if !spec.allows(&s.kind, &s.zone, s.spot) || !s.whole.holds(&size) || !zone_ok(spec, &s.zone, &zones) {
                    continue;
                }
                let image = self.image_wait(spec, &s.name, now).0;
                if image > most_wait {
                    continue;
                }
                if soon[i].holds(&size) {
                    if best.as_ref().is_none_or(|b| b.0 > 0.0) {
                        best = Some((0.0, i, Vec::new()));
                    }
                    continue;
                }
                let Some(m) = self.machines.get(&s.name) else { continue };
                let mut victims: Vec<(f64, &Task, &Place)> = m
                    .tasks
                    .iter()
                    .filter(|(t, p)| {
                        p.present() && p.halt.is_none() && !p.former && !taken.contains(&(s.name.clone(), (*t).clone()))
                    })
                    .filter(|(_, p)| p.spec.checkpoint_s == 0.0 || p.spec.save_s < patience)
                    .filter(|(_, p)| {
                        self.jobs.get(&p.spec.id).is_some_and(|of| gives_way(job, of, &self.teams, &spared))
                    })
                    .map(|(t, p)| (loss(p, now), t, p))
                    .collect();
                victims.sort_by(|a, b| b.2.spec.rank.cmp(&a.2.spec.rank).then(a.0.total_cmp(&b.0)));
                let (mut room, mut cost, mut list) = (soon[i], 1e-3, Vec::new());
                for (c, t, p) in victims {
                    if room.holds(&size) {
                        break;
                    }
                    room.give(&p.spec.size());
                    cost += c;
                    list.push((s.name.clone(), t.clone()));
                }
                // an image to fetch delays the start: prefer where it is
                cost += image * spec.cpus;
                if room.holds(&size) && best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, i, list));
                }
            }
            let Some((_, i, list)) = best else { break };
            for (n, t) in &list {
                if let Some(p) = self.machines.get(n).and_then(|m| m.tasks.get(t)) {
                    soon[i].give(&p.spec.size());
                    spared.entry(p.spec.team.clone()).or_default().take(&p.spec.size());
                    taken.insert((n.clone(), t.clone()));
                }
            }
            soon[i].take(&size);
            *zones.entry(slots[i].zone.clone()).or_insert(0) += 1;
            plan.push((i, list));
        }
        // a gang is helped whole or not at all
        if spec.shape == Shape::Gang && (plan.len() as u32) < count {
            return 0;
        }
        for (i, list) in &plan {
            let s = &mut slots[*i];
            s.free.take(&size);
            s.soon.take(&size);
            for (n, t) in list {
                log::info!("{t} on {n} gives way to {}", spec.id);
                if let Some(p) = self.machines.get(n).and_then(|m| m.tasks.get(t)) {
                    s.soon.give(&p.spec.size());
                }
                self.stop_to_move(n, t, now);
            }
        }
        plan.len() as u32
    }

    /// Stops a task that shall run elsewhere or later; a gang is stopped
    /// whole, so that all its tasks save together.
    pub fn stop_to_move(&mut self, machine: &Name, task: &Task, now: Instant) {
        let Some(p) = self.machines.get(machine).and_then(|m| m.tasks.get(task)) else { return };
        let grace = if p.spec.checkpoint_s > 0.0 { p.spec.save_s + 1.0 } else { 0.0 };
        if p.spec.shape != Shape::Gang {
            self.halt(machine, task, grace, now);
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        for (m, t) in job.placed() {
            self.halt(&m, &t, grace, now);
        }
    }
}

/// How many more tasks of this size the team's limit lets run.
fn limit_room(limit: &TeamLimit, used: Option<&Size>, size: &Size, most: u32) -> u32 {
    let mut used = used.copied().unwrap_or_default();
    let mut n = 0;
    while n < most.min(1000) && limit.allows(&used, size) {
        used.give(size);
        n += 1;
    }
    n
}

/// Whether this much lies within a guarantee; none is given where both are 0.
fn within(guarantee: &Size, used: &Size) -> bool {
    let ok = |g: f64, u: f64| g <= 0.0 || u <= g + 1e-6;
    (guarantee.cpus > 0.0 || guarantee.gpus > 0.0) && ok(guarantee.cpus, used.cpus) && ok(guarantee.gpus, used.gpus)
}

/// A job's turn.  Work gives way only to an earlier turn: with one order for
/// the queue and for giving way, nothing is stopped for work that is then
/// stopped for it.
fn turn(j: &Job) -> (bool, Rank) {
    (!j.guaranteed && j.spec.rank != Rank::Production, j.spec.rank)
}

/// Whether a task of `of` has to give way to `to`: to a higher rank, or, where
/// it is work beyond its team's guarantee, to another team within its own.
fn gives_way(to: &Job, of: &Job, teams: &HashMap<Name, TeamLimit>, used: &HashMap<Name, Size>) -> bool {
    if turn(of) <= turn(to) {
        return false;
    }
    if of.spec.rank > to.spec.rank {
        return true;
    }
    let team = used.get(&of.spec.team).copied().unwrap_or_default();
    let limit = teams.get(&of.spec.team).copied().unwrap_or_default();
    to.guaranteed && !of.guaranteed && of.spec.team != to.spec.team && !within(&limit.guarantee, &team)
}

/// What stopping a task now would cost, in core seconds: its work since the
/// last checkpoint, its image's fetch, and a start that has hardly begun.
fn loss(p: &Place, now: Instant) -> f64 {
    let here = now.duration_since(p.since).as_secs_f64();
    let ran = p.running_since.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
    let lost = if p.spec.checkpoint_s > 0.0 { p.spec.save_s } else { ran };
    1.0 + (lost + (here - ran) / (1.0 + ran)) * p.spec.cpus
}

/// Whether one more task of the job may be in this zone.
pub fn zone_ok(spec: &Spec, zone: &Name, zones: &BTreeMap<Name, u32>) -> bool {
    if spec.one_zone && zones.iter().any(|(z, n)| *n > 0 && z != zone) {
        return false;
    }
    zones.get(zone).copied().unwrap_or(0) < spec.zone_cap()
}
