//! Liveness: no job is left waiting for ever.

use std::collections::HashSet;

use super::*;

/// For how long there must be room before a job counts as waiting, and for how long it
/// may wait then.
const WINDOW_SECONDS: usize = 40;
/// The cores of a machine.
const MACHINE_CPUS: f64 = 8.0;
/// Cores of tasks that have ended, and that the leader still counts as it does not know.
const UNREPORTED_CPUS: f64 = 2.0;
/// How long a leader may take to learn of an outcome: a transaction may be without a
/// response for some seconds.
const UNBLOCK_GRACE: Ms = 15_000;

impl World {
    /// Jobs that a leader still blocks though all their dependencies were done a while
    /// ago: nothing else would show that they never start.
    pub(super) fn blocked_despite_done_dependencies(&self) -> Vec<String> {
        let is_long_done = |id: &Name| {
            let is_old = self.outcome_stored_at.get(id).is_some_and(|at| self.now - at > UNBLOCK_GRACE);
            is_old && self.state_store.outcome(id) == Some(JobOutcome::Done)
        };
        let leaders = self.controllers.iter().flatten().filter(|controller| controller.has_lease(self.now));
        let blocked = leaders.flat_map(|leader| leader.cluster.dependency.blocked());
        let overdue = blocked.filter(|job| job.spec.needs.iter().all(is_long_done));
        overdue.map(|job| job.spec.id.to_string()).collect()
    }

    /// Once all faults are over, no job is left waiting beside room that fits it, its team
    /// under its limit: at each second of a window, room that was there for a whole window
    /// before, eighty seconds in all.
    pub(super) fn check_starvation(&mut self) {
        let sample = self.sample_capacity();
        self.capacity_samples.push_back(sample);
        if self.capacity_samples.len() <= WINDOW_SECONDS {
            return;
        }
        self.capacity_samples.pop_front();
        let free = self.least_free();
        let on_machines: HashSet<&Name> =
            self.workers.iter().flat_map(|worker| worker.tasks.keys()).map(|task| &task.job).collect();
        let mut unplaced_since = HashMap::new();
        let mut violations = Vec::new();
        for (id, SubmittedJob { spec, .. }) in &self.jobs {
            if on_machines.contains(id) || !self.is_ready(id, spec) {
                continue;
            }
            let needed = if spec.shape == Shape::Gang { spec.tasks } else { 1 };
            let room = self.room_for(spec, &free);
            let requested = spec.cpus * f64::from(needed);
            if room < needed || self.most_used(&spec.team) + requested + UNREPORTED_CPUS > self.quota {
                continue;
            }
            let since = self.unplaced_since.get(id).copied().unwrap_or(self.now);
            if self.now - since >= WINDOW_SECONDS as u64 * 1000 {
                violations.push(format!("left_waiting: {id} of {needed} tasks, {room} would fit"));
            }
            unplaced_since.insert(id.clone(), since);
        }
        self.unplaced_since = unplaced_since;
        self.violations.extend(violations);
    }

    /// What the teams use and what is free on each machine now.
    fn sample_capacity(&self) -> CapacitySample {
        let mut used_by_team: HashMap<Name, f64> = HashMap::new();
        let mut free_on_worker = Vec::new();
        for worker in &self.workers {
            let is_up = worker.alive && self.now >= worker.hung_until;
            let mut free = if is_up { MACHINE_CPUS } else { 0.0 };
            let running = worker.tasks.iter().filter(|(_, current)| worker.alive && !current.progress.has_ended());
            for (task, _) in running {
                let spec = &self.jobs[&task.job].spec;
                free -= spec.cpus;
                *used_by_team.entry(spec.team.clone()).or_default() += spec.cpus;
            }
            free_on_worker.push(free);
        }
        CapacitySample { used_by_team, free_on_worker }
    }

    /// What was free on each machine throughout the window.
    fn least_free(&self) -> Vec<f64> {
        let free = |sample: &CapacitySample, i: usize| sample.free_on_worker.get(i).copied().unwrap_or(0.0);
        let least = |i| self.capacity_samples.iter().map(|sample| free(sample, i)).fold(MACHINE_CPUS, f64::min);
        (0..self.workers.len()).map(least).collect()
    }

    /// The most that a team used in the window.
    fn most_used(&self, team: &Name) -> f64 {
        self.capacity_samples.iter().filter_map(|sample| sample.used_by_team.get(team)).copied().fold(0.0, f64::max)
    }

    /// Whether a job should start: it has no outcome and no finished task, and its
    /// dependencies are done.  What fails everywhere is tried again seldom.
    fn is_ready(&self, id: &Name, spec: &JobSpec) -> bool {
        let is_done = |id: &Name| self.state_store.outcome(id) == Some(JobOutcome::Done);
        let has_finished_task = (0..spec.tasks).any(|index| self.has_finished(id, index));
        self.state_store.outcome(id).is_none()
            && !has_finished_task
            && spec.needs.iter().all(is_done)
            && !self.faulty_jobs.contains(id)
    }

    /// How many tasks of a job fit on the machines, by what is free on each.
    fn room_for(&self, spec: &JobSpec, free: &[f64]) -> u32 {
        let mut fitting: BTreeMap<&Name, u32> = BTreeMap::new();
        for (worker, free) in self.workers.iter().zip(free) {
            if spec.allows(&"t".into(), &worker.zone, worker.spot) && *free >= spec.cpus {
                *fitting.entry(&worker.zone).or_default() += (free / spec.cpus) as u32;
            }
        }
        let by_zone = fitting.values().map(|tasks| *tasks.min(&spec.zone_cap()));
        if spec.one_zone {
            by_zone.max().unwrap_or(0)
        } else {
            by_zone.sum()
        }
    }
}
