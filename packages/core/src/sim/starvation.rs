//! Liveness check: no job stays pending while there is room for it.

use std::collections::HashSet;

use super::*;

/// Time in seconds for which a pending job must have had room before the checker counts it as
/// waiting, and also the maximum time for which such a job may wait.
const WINDOW_SECONDS: usize = 40;
/// Number of cores of each machine.
const MACHINE_CPUS: f64 = 8.0;
/// Cores of ended tasks that the leader still counts as used because the tasks' exits have
/// not been reported to it.
const UNREPORTED_CPUS: f64 = 2.0;
/// Maximum time that a leader may take to learn of an outcome.  A transaction may stay without
/// a response for some seconds.
const UNBLOCK_GRACE: Ms = 15_000;

impl World {
    /// Returns the jobs that a leader still blocks although all their dependencies were done more
    /// than `UNBLOCK_GRACE` ago.  No other check detects that such jobs never start.
    pub(super) fn blocked_despite_done_dependencies(&self) -> Vec<String> {
        let is_done_past_grace = |id: &Name| {
            let is_past_grace = self.outcome_stored_at.get(id).is_some_and(|at| self.now - at > UNBLOCK_GRACE);
            is_past_grace && self.state_store.outcome(id) == Some(JobOutcome::Done)
        };
        let leaders = self.controllers.iter().flatten().filter(|controller| controller.has_lease(self.now));
        let blocked = leaders.flat_map(|leader| leader.cluster.dependencies.blocked());
        let overdue = blocked.filter(|job| job.spec.dependencies.iter().all(is_done_past_grace));
        overdue.map(|job| job.spec.id.to_string()).collect()
    }

    /// Checks, after all faults have ended, that no job stays pending while it fits on the
    /// machines and within the limit of its team.  A job counts as waiting while it has had room
    /// for a whole window of `WINDOW_SECONDS`.  A job that waits for another whole window, eighty
    /// seconds in all, is a violation.
    pub(super) fn check_starvation(&mut self) {
        let sample = self.sample_capacity();
        self.capacity_samples.push_back(sample);
        if self.capacity_samples.len() <= WINDOW_SECONDS {
            return;
        }
        self.capacity_samples.pop_front();
        let free = self.min_free_cpus();
        let jobs_on_machines: HashSet<&Name> =
            self.workers.iter().flat_map(|worker| worker.tasks.keys()).map(|task| &task.job).collect();
        let mut unplaced_since = HashMap::new();
        let mut violations = Vec::new();
        for (id, SubmittedJob { spec, .. }) in &self.jobs {
            if jobs_on_machines.contains(id) || !self.is_ready(id, spec) {
                continue;
            }
            let required_tasks = if spec.shape == Shape::Gang { spec.tasks } else { 1 };
            let fitting_tasks = self.count_fitting_tasks(spec, &free);
            let requested = spec.cpus * f64::from(required_tasks);
            if fitting_tasks < required_tasks
                || self.max_used_cpus(&spec.team) + requested + UNREPORTED_CPUS > self.quota
            {
                continue;
            }
            let since = self.unplaced_since.get(id).copied().unwrap_or(self.now);
            if self.now - since >= WINDOW_SECONDS as u64 * 1000 {
                violations.push(format!(
                    "left_waiting: {id} stays pending; it needs room for {required_tasks} tasks, and {fitting_tasks} would fit"
                ));
            }
            unplaced_since.insert(id.clone(), since);
        }
        self.unplaced_since = unplaced_since;
        self.violations.extend(violations);
    }

    /// Samples the cores that each team uses and those that are free on each machine.
    fn sample_capacity(&self) -> CapacitySample {
        let mut used_cpus_by_team: HashMap<Name, f64> = HashMap::new();
        let mut free_cpus_by_worker = Vec::new();
        for worker in &self.workers {
            let is_up = worker.alive && self.now >= worker.hung_until;
            let mut free = if is_up { MACHINE_CPUS } else { 0.0 };
            let running = worker.tasks.iter().filter(|(_, current)| worker.alive && !current.progress.has_ended());
            for (task, _) in running {
                let spec = &self.jobs[&task.job].spec;
                free -= spec.cpus;
                *used_cpus_by_team.entry(spec.team.clone()).or_default() += spec.cpus;
            }
            free_cpus_by_worker.push(free);
        }
        CapacitySample { used_cpus_by_team, free_cpus_by_worker }
    }

    /// Returns the cores that were free on each machine throughout the window.
    fn min_free_cpus(&self) -> Vec<f64> {
        let free = |sample: &CapacitySample, i: usize| sample.free_cpus_by_worker.get(i).copied().unwrap_or(0.0);
        let min_free = |i| self.capacity_samples.iter().map(|sample| free(sample, i)).fold(MACHINE_CPUS, f64::min);
        (0..self.workers.len()).map(min_free).collect()
    }

    /// Returns the maximum number of cores that a team used during the window.
    fn max_used_cpus(&self, team: &Name) -> f64 {
        self.capacity_samples
            .iter()
            .filter_map(|sample| sample.used_cpus_by_team.get(team))
            .copied()
            .fold(0.0, f64::max)
    }

    /// Reports whether a job should start: it has no outcome and no completed task, and its
    /// dependencies are done.  Jobs that fail on every machine are excluded, because the leader
    /// retries them rarely.
    fn is_ready(&self, id: &Name, spec: &JobSpec) -> bool {
        let is_done = |id: &Name| self.state_store.outcome(id) == Some(JobOutcome::Done);
        let has_finished_task = (0..spec.tasks).any(|index| self.has_finished(id, index));
        self.state_store.outcome(id).is_none()
            && !has_finished_task
            && spec.dependencies.iter().all(is_done)
            && !self.failing_jobs.contains(id)
    }

    /// Returns how many tasks of a job fit on the machines, given the free cores of each.
    fn count_fitting_tasks(&self, spec: &JobSpec, free: &[f64]) -> u32 {
        let mut fitting: BTreeMap<&Name, u32> = BTreeMap::new();
        for (worker, free) in self.workers.iter().zip(free) {
            if spec.allows(&"t".into(), &worker.zone, worker.spot) && *free >= spec.cpus {
                *fitting.entry(&worker.zone).or_default() += (free / spec.cpus) as u32;
            }
        }
        let by_zone = fitting.values().map(|tasks| *tasks.min(&spec.max_tasks_per_zone()));
        if spec.one_zone {
            by_zone.max().unwrap_or(0)
        } else {
            by_zone.sum()
        }
    }
}
