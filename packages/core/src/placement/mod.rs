//! The queue: who is next, where it may go, where it goes, and what has to
//! make room.  The ordinary path is the design's: the head by rank and
//! arrival, both picks, the threshold switch with AI2 ([`tai2`]).
//!
//! A pass decides everything on a picture of the machines ([`pass`]) and only
//! then changes the state.

mod pass;
pub mod tai2;

use std::collections::HashMap;
use std::time::Instant;

use crate::cluster::{Assignment, Cluster, Job, TaskPhase, TeamLimit, UnmetDemand};
use crate::model::*;
use pass::{Ask, Pass};

/// A place in the queue: a job, and those of its waiting tasks whose turn it is.
#[derive(Clone, Copy)]
struct Entry<'a> {
    job: &'a Job,
    /// Tasks from here on.
    from: u32,
    /// So many of them.
    count: u32,
    /// They were placed before.
    again: bool,
}

impl<'a> Entry<'a> {
    /// What waits of a job.  Tasks of an array that were lost or gave way had
    /// their turn once: they do not wait again behind all that came since.
    /// Where zones matter the job stays whole, as they are counted by job.
    fn of(job: &'a Job) -> impl Iterator<Item = Entry<'a>> {
        let (all, begun) = (job.waiting_tasks(), job.first_never_placed());
        let whole = job.spec.shape != Shape::Array || job.spec.one_zone || job.spec.spread || job.quarantine.is_some();
        let again = if whole { 0 } else { job.pending.below(begun) };
        let fresh = Entry { job, from: if again > 0 { begun } else { 0 }, count: all - again, again: false };
        [Entry { job, from: 0, count: again, again: true }, fresh].into_iter().filter(|e| e.count > 0)
    }

    fn tasks(&self) -> impl Iterator<Item = u32> + 'a {
        let from = self.from;
        self.job.pending.iter().skip_while(move |n| *n < from).take(self.count as usize)
    }
}

/// Starts of one job: which task on which machine.
struct Start {
    job: Name,
    tasks: Vec<(u32, Name)>,
    /// The attempt of a gang that has not started yet and is completed.
    attempt: Option<u64>,
}

/// What a pass comes to.
#[derive(Default)]
struct Decisions {
    starts: Vec<Start>,
    /// Tasks that give way, and to whom.
    stops: Vec<(Name, Task)>,
    /// Why a job waits.
    whys: Vec<(Name, &'static str)>,
    wants: Vec<UnmetDemand>,
    /// The end of the queue was not reached.
    unfinished: bool,
}

impl Cluster {
    /// One pass over the queue.  Decides starts and stops, and returns what
    /// found no place.
    pub fn run_placement_pass(&mut self, now: Instant) -> Vec<UnmetDemand> {
        self.queue_changed = false;
        self.placement_waits.clear();
        self.mark_guaranteed();
        let d = self.decide(now);
        self.queue_changed |= d.unfinished;
        for (id, why) in d.whys {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.pending_reason = why;
            }
        }
        for s in d.starts {
            let gang = self.jobs.get(&s.job).is_some_and(|j| j.spec.shape == Shape::Gang);
            // all tasks of a gang share an attempt
            let shared = gang.then(|| s.attempt.unwrap_or_else(|| self.new_attempt()));
            if let (Some(attempt), Some(j)) = (shared, self.jobs.get_mut(&s.job)) {
                j.attempt = attempt;
            }
            for (index, machine) in s.tasks {
                let attempt = shared.unwrap_or_else(|| self.new_attempt());
                self.assign(&Task { job: s.job.clone(), index }, &machine, attempt, now);
            }
        }
        for (machine, task) in d.stops {
            self.stop_to_move(&machine, &task, now);
        }
        d.wants
    }

    fn decide(&self, now: Instant) -> Decisions {
        let mut out = Decisions::default();
        let queue = self.ordered_queue(now);
        let mut pass = Pass::new(self, &queue, now);
        let mut head_holds = false;
        for (at, entry) in queue.iter().enumerate() {
            // a pass that takes too long keeps the leader from its lease: what
            // is left of the queue is the next one's
            if pass.looks > self.policy.pass_looks {
                out.unfinished = true;
                break;
            }
            let job = entry.job;
            let ask = pass.ask(job);
            let later = || lookahead(&queue[at..], self.policy.dry_run_tasks);
            let blocked = match job.spec.shape {
                Shape::Gang => self.place_gang(&ask, &mut pass, later, &mut out),
                _ => self.place_each(&ask, *entry, &mut pass, later, &mut out),
            };
            let Some((count, zones)) = blocked else { continue };
            if job.quarantine.is_some() {
                // nobody gives way to a probe, nothing is held or rented for it
                out.whys.push((job.spec.id.clone(), crate::cluster::QUARANTINED));
                continue;
            }
            // no room: hold what is being freed, or make room
            let most = match job.spec.shape {
                Shape::Array => count.min(self.policy.dry_run_tasks as u32 / 4),
                _ => count,
            };
            let held = self.hold_or_preempt(&ask, most, &zones, &mut pass, (f64::INFINITY, f64::INFINITY), &mut out);
            if held < most && !head_holds {
                // a blocked head keeps its turn: the room that it will fit
                // into first is not given to later tasks
                head_holds = true;
                pass.hold_first(&ask, &zones);
            }
            let why = if held > 0 { "room is being made" } else { "no machine has room" };
            out.whys.push((job.spec.id.clone(), why));
            out.wants.push(UnmetDemand { spec: job.spec.clone(), count, zones: pass.by_name(&zones) });
        }
        out
    }

    /// Marks the jobs that are within their team's guarantee: those that fit
    /// into it along with all that the team submitted before and is not over.
    fn mark_guaranteed(&mut self) {
        if !self.teams.values().any(|t| t.guarantee.cpus > 0.0 || t.guarantee.gpus > 0.0) {
            return;
        }
        let mut open: Vec<&mut Job> = self.jobs.values_mut().filter(|j| j.outcome.is_none()).collect();
        open.sort_by(|a, b| (a.revision, &a.spec.id).cmp(&(b.revision, &b.spec.id)));
        let mut used: NameMap<Resources> = NameMap::default();
        for j in open {
            let limit = self.teams.get(&j.spec.team).copied().unwrap_or_default();
            let team = used.entry(j.spec.team.clone()).or_default();
            let left = f64::from(j.spec.tasks - j.completed.len().min(j.spec.tasks));
            team.add(&j.spec.size().scaled(left));
            j.guaranteed = within(&limit.guarantee, team);
        }
    }

    /// The queue: production and work within its team's guarantee first, by
    /// rank, then as it arrived.
    fn ordered_queue(&self, now: Instant) -> Vec<Entry<'_>> {
        let waits = |j: &&Job| j.outcome.is_none() && j.waiting_tasks() > 0 && j.not_before.is_none_or(|t| t <= now);
        let entries = self.jobs.values().filter(waits).flat_map(Entry::of);
        let mut q: Vec<(f64, Entry)> = entries.map(|e| (self.arrival(&e), e)).collect();
        q.sort_by(|(at, a), (bt, b)| {
            let (a, b) = (a.job, b.job);
            (a.queue_priority().cmp(&b.queue_priority()))
                .then(at.total_cmp(bt))
                .then((a.revision, &a.spec.id).cmp(&(b.revision, &b.spec.id)))
        });
        q.into_iter().map(|(_, e)| e).collect()
    }

    /// When the next task of a job counts as arrived, in seconds.  The tasks
    /// of an array count as arriving one after another, or one large array
    /// would keep all that come after it waiting until it is through; and
    /// earlier by the time they take, for a long task that starts late makes
    /// its job late.
    fn arrival(&self, e: &Entry) -> f64 {
        let j = e.job;
        let known = j.first_seen.saturating_duration_since(self.term_started_at).as_secs_f64();
        if j.spec.shape != Shape::Array {
            return known;
        }
        let started = if e.again { 0.0 } else { f64::from(j.spec.tasks - j.pending.len().min(j.spec.tasks)) };
        let bias = self.runtime_bias.get(&j.spec.class).copied().unwrap_or(1.0);
        known + started * self.policy.task_spacing_s - j.spec.estimate_s * bias
    }

    /// How soon a job's tasks should start, if anything is said of it.
    pub fn wait_aim(&self, j: &Job) -> Option<f64> {
        let aims = [
            self.start_objectives.get(&j.spec.class).copied(),
            // the users of a service feel every second without a replica
            (j.spec.shape == Shape::Service).then_some(self.policy.fetch_grain_s),
            j.guaranteed.then_some(self.policy.guarantee_wait_s),
        ];
        aims.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Places tasks of an array or service one by one.  Returns how many
    /// found no room, and where the job's tasks are by zone; `None` if room
    /// is not what they lack.
    fn place_each<'a>(
        &self,
        ask: &Ask<'a>,
        entry: Entry<'a>,
        pass: &mut Pass<'a>,
        later: impl Fn() -> Vec<(Resources, usize)>,
        out: &mut Decisions,
    ) -> Option<(u32, Vec<u32>)> {
        let job = ask.job;
        let mut zones = pass.zones_of(ask);
        let aim = self.wait_aim(job);
        let mut tasks: Vec<(u32, Name)> = Vec::new();
        let mut blocked = false;
        for index in entry.tasks() {
            if !pass.allows(ask, 1) {
                out.whys.push((job.spec.id.clone(), "its team is at its limit"));
                break;
            }
            let Some((slot, how)) = pass.choose(ask, &zones, None, &later) else {
                blocked = true;
                break;
            };
            // fetching the image would make it late: rather take room, if that
            // may be, where the image is
            let wait = pass.image_wait(ask, slot).0;
            if job.quarantine.is_none() && aim.is_some_and(|aim| wait > aim) {
                let limits = (aim.unwrap_or(wait), wait);
                if self.hold_or_preempt(ask, 1, &zones, pass, limits, out) == 1 {
                    continue;
                }
            }
            pass.explain(ask, index, slot, how, wait);
            pass.start(ask, slot);
            zones[pass.slots[slot].zone] += 1;
            tasks.push((index, pass.slots[slot].m.name.clone()));
        }
        let left = entry.count - tasks.len() as u32;
        if !tasks.is_empty() {
            out.starts.push(Start { job: job.spec.id.clone(), tasks, attempt: None });
        }
        blocked.then(|| (pass.room_in_limit(ask, left), zones))
    }

    /// Places a gang: all of its tasks, or none.  Before its start, lost
    /// tasks are replaced under the same attempt.
    fn place_gang<'a>(
        &self,
        ask: &Ask<'a>,
        pass: &mut Pass<'a>,
        later: impl Fn() -> Vec<(Resources, usize)>,
        out: &mut Decisions,
    ) -> Option<(u32, Vec<u32>)> {
        let (job, spec) = (ask.job, &ask.job.spec);
        // what of it is still somewhere
        let placed = job.placed_tasks();
        let old: Vec<&Assignment> = placed.iter().filter_map(|(m, t)| self.machines.get(m)?.tasks.get(t)).collect();
        let keeps = |p: &&Assignment| {
            matches!(p.phase, TaskPhase::Assigned | TaskPhase::Pulling | TaskPhase::WaitingForGang)
                && p.stop_grace_s.is_none()
                && !p.inherited
                && p.attempt == job.attempt
        };
        if !old.iter().all(keeps) {
            // the last attempt must be off its machines first
            out.whys.push((spec.id.clone(), "its last attempt is not over"));
            return None;
        }
        let n = job.pending.len();
        if !pass.allows(ask, n) {
            out.whys.push((spec.id.clone(), "its team is at its limit"));
            return None;
        }
        let present = pass.zones_of(ask);
        // with one zone for all, each zone is tried; else any
        let free_choice = spec.one_zone && present.iter().all(|n| *n == 0);
        let tries: Vec<Option<usize>> = if free_choice { (0..present.len()).map(Some).collect() } else { vec![None] };
        let mut best: Option<(f64, Vec<(usize, tai2::How)>)> = None;
        for only in tries {
            let mut zones = present.clone();
            let (mut picks, mut slowest) = (Vec::new(), 0.0f64);
            for _ in 0..n {
                let Some((slot, how)) = pass.choose(ask, &zones, only, &later) else { break };
                pass.take(slot, &ask.size);
                zones[pass.slots[slot].zone] += 1;
                slowest = slowest.max(pass.image_wait(ask, slot).0);
                picks.push((slot, how));
            }
            for (slot, _) in &picks {
                pass.give_back(*slot, &ask.size);
            }
            if picks.len() as u32 == n && best.as_ref().is_none_or(|b| slowest < b.0) {
                best = Some((slowest, picks));
            }
        }
        let Some((slowest, picks)) = best else { return Some((n, present)) };
        if let Some(aim) = self.wait_aim(job).filter(|a| job.quarantine.is_none() && slowest > *a) {
            if self.hold_or_preempt(ask, n, &present, pass, (aim, slowest), out) == n {
                return None;
            }
        }
        let mut tasks = Vec::with_capacity(picks.len());
        for (index, (slot, how)) in job.pending.iter().zip(picks) {
            let wait = pass.image_wait(ask, slot).0;
            pass.explain(ask, index, slot, how, wait);
            pass.start(ask, slot);
            tasks.push((index, pass.slots[slot].m.name.clone()));
        }
        let attempt = (!old.is_empty()).then_some(job.attempt);
        out.starts.push(Start { job: spec.id.clone(), tasks, attempt });
        None
    }

    /// For tasks that found no room, on machines where the image takes no
    /// longer than `most_wait`, and of work that saves within `patience`: holds
    /// room that stops under way will free, or stops work that has to give
    /// way.  Returns how many tasks will have a place.
    ///
    /// Takes the cheapest machine again and again.  What stopping costs on a
    /// machine only grows while others are chosen, so only the machine about
    /// to be taken is reckoned anew.
    fn hold_or_preempt<'a>(
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

/// Sizes of the next tasks behind the head as runs of equal ones, for the dry
/// run: a hundred thousand tasks are one run.
fn lookahead(queue: &[Entry], most: usize) -> Vec<(Resources, usize)> {
    let mut runs: Vec<(Resources, usize)> = Vec::new();
    let mut left = most;
    for (i, e) in queue.iter().enumerate() {
        let j = e.job;
        let n = (e.count as usize).saturating_sub(usize::from(i == 0)).min(left);
        if n > 0 {
            runs.push((j.spec.size(), n));
        }
        left -= n;
        if left == 0 {
            break;
        }
    }
    runs
}

/// Whether this much lies within a guarantee; none is given where both are 0.
fn within(guarantee: &Resources, used: &Resources) -> bool {
    let ok = |g: f64, u: f64| g <= 0.0 || u <= g + 1e-6;
    (guarantee.cpus > 0.0 || guarantee.gpus > 0.0) && ok(guarantee.cpus, used.cpus) && ok(guarantee.gpus, used.gpus)
}

/// Whether a task of `of` has to give way to `to`: to a higher rank, or, where
/// it is work beyond its team's guarantee, to another team within its own.
fn gives_way(to: &Job, of: &Job, teams: &HashMap<Name, TeamLimit>, used: &NameMap<Resources>) -> bool {
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
fn loss(p: &Assignment, now: Instant) -> f64 {
    let here = now.duration_since(p.assigned_at).as_secs_f64();
    let ran = p.running_since.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
    let lost = if p.spec.checkpoint_s > 0.0 { p.spec.save_s } else { ran };
    1.0 + (lost + (here - ran) / (1.0 + ran)) * p.spec.cpus
}

#[cfg(test)]
mod tests;
