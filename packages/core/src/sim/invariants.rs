//! Safety invariants, which are checked during the whole run.

use super::*;

/// Time after a confirmed cancellation during which tasks of the job may still start or run.
const CANCELLATION_GRACE: Ms = 60_000;
/// Maximum time that a leader may take to store the outcome of a job that depends on a
/// cancelled one.
const CASCADE_GRACE: Ms = 40_000;

impl World {
    /// Checks the invariants that apply when a task starts on a machine.
    pub(super) fn check_task_start(&mut self, i: usize, task: &Task, spec: &JobSpec) {
        self.check_placement(i, task, spec);
        let confirmed_at = self.cancellation_confirmed_at.get(&task.job);
        self.statistics.starts_after_cancellation += u32::from(confirmed_at.is_some());
        if confirmed_at.is_some_and(|at| self.now - at > CANCELLATION_GRACE) {
            self.violations.push(format!("ran_cancelled: {task} starts too long after its cancellation was confirmed"));
        }
        if let Some(id) = spec.dependencies.iter().find(|id| self.state_store.outcome(id) != Some(JobOutcome::Done)) {
            self.violations.push(format!("too_early: {task} starts before its dependency {id} is done"));
        }
    }

    /// Checks that a task runs only once, within its team's quota, and on a machine that its job
    /// allows.
    fn check_placement(&mut self, i: usize, task: &Task, spec: &JobSpec) {
        let machine = &self.workers[i];
        let mut used = spec.cpus;
        let mut tasks_in_zone: BTreeMap<&Name, u32> = BTreeMap::from([(&machine.zone, 1)]);
        let mut violations = Vec::new();
        for (j, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.alive) {
            for (other, _) in worker.tasks.iter().filter(|(_, current)| current.progress.is_active()) {
                if (j, other) == (i, task) {
                    continue;
                }
                if other == task {
                    violations.push(format!("ran_twice: {task} runs on {} and {}", worker.name, machine.name));
                }
                let other_spec = &self.jobs[&other.job].spec;
                if other_spec.team == spec.team {
                    used += other_spec.cpus;
                }
                if other.job == task.job {
                    *tasks_in_zone.entry(&worker.zone).or_insert(0) += 1;
                }
            }
        }
        if used > self.quota + 1e-6 {
            violations.push(format!("quota: team {} uses {used} cores, more than its limit", spec.team));
        }
        let is_allowed = spec.allows(&"t".into(), &machine.zone, machine.spot);
        let violates_one_zone = spec.one_zone && tasks_in_zone.len() > 1;
        if !is_allowed || violates_one_zone || tasks_in_zone[&machine.zone] > spec.max_tasks_per_zone() {
            violations
                .push(format!("wrong_machine: {task} starts on {}, where its job does not allow it", machine.name));
        }
        self.violations.extend(violations);
    }

    /// Checks the invariants that hold at any time.
    pub(super) fn check_invariants(&mut self) {
        if !(0..3).any(|i| self.has_lease(i) && self.is_served(i)) {
            self.served_leader_since = self.now;
        }
        self.check_cancelled_jobs();
        self.check_dependents_of_cancelled_jobs();
        self.check_done_jobs();
    }

    /// Checks that no task runs for too long after the cancellation of its job was confirmed.
    fn check_cancelled_jobs(&mut self) {
        // a machine that hangs and whose lease has expired no longer executes tasks; they stay
        // listed so that the checker finds a second start of the same task
        let is_lost = |worker: &Worker| self.now < worker.hung_until && worker.has_lost_lease(self.now);
        let mut violations = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.alive && !is_lost(worker)) {
            for (task, _) in worker.tasks.iter().filter(|(_, current)| current.progress.is_active()) {
                let confirmed_at = self.cancellation_confirmed_at.get(&task.job);
                if confirmed_at.is_some_and(|at| self.now - at > CANCELLATION_GRACE) {
                    violations.push(self.describe_cancelled_task(worker, task));
                }
            }
        }
        self.violations.extend(violations);
    }

    /// Describes a task that runs although its job is cancelled, with the state of the
    /// controllers.
    fn describe_cancelled_task(&self, worker: &Worker, task: &Task) -> String {
        let mut text = format!(
            "ran_cancelled: {task} runs on {}: cancellation confirmed at {}, state service outage until {}, zones partitioned until {:?}, machine hung until {}, worker lease renewed at {}",
            worker.name,
            self.cancellation_confirmed_at[&task.job],
            self.faults.state_store_outage_until,
            self.faults.zone_partitioned_until,
            worker.hung_until,
            worker.renewed_at,
        );
        for controller in self.controllers.iter().flatten() {
            let (term, until) = (controller.cluster.term, controller.lease_until);
            text += &format!("; controller of term {term}, leader lease until {until}: ");
            text += &match controller.cluster.machines.get(&worker.name) {
                None => "machine is unknown".to_owned(),
                Some(machine) => format!(
                    "has heartbeat: {}, is being deleted: {}, task: {:?}",
                    machine.last_heartbeat.is_some(),
                    machine.deletion_sent_at.is_some(),
                    machine.tasks.get(task),
                ),
            };
        }
        text
    }

    /// Checks that a job that depends on a cancelled one is not reported as unfinished long
    /// after the users were told of both, and is not left without an outcome while there is a
    /// leader.
    fn check_dependents_of_cancelled_jobs(&mut self) {
        // time since which users know that a dependency of the job is cancelled
        let mut known_since: HashMap<&Name, Ms> = HashMap::new();
        let mut violations = Vec::new();
        for (id, SubmittedJob { spec, .. }) in &self.jobs {
            let cancelled_since = |need: &Name| match self.state_store.outcome(need) {
                Some(JobOutcome::Cancelled) => {
                    known_since.get(need).or(self.cancellation_confirmed_at.get(need)).copied()
                }
                Some(JobOutcome::Done) => None,
                None => known_since.get(need).copied(),
            };
            let Some(since) = spec.dependencies.iter().filter_map(cancelled_since).min() else { continue };
            let since = since.max(self.submitted_at[id]);
            let is_reported_unfinished =
                self.now - since > CANCELLATION_GRACE && (0..3).any(|i| self.may_report_unfinished(i, id));
            let lacks_outcome = self.state_store.outcome(id).is_none()
                && self.now - since.max(self.served_leader_since) > CASCADE_GRACE;
            if is_reported_unfinished || lacks_outcome {
                violations.push(format!("orphaned: {id} is unfinished or reported as unfinished, although one of its dependencies {:?} was cancelled at {since}", spec.dependencies));
            }
            known_since.insert(id, since);
        }
        self.violations.extend(violations);
    }

    /// Checks that every task of a job with the outcome "done" has completed.
    fn check_done_jobs(&mut self) {
        let is_done = |id: &Name| self.state_store.outcome(id) == Some(JobOutcome::Done);
        let unfinished =
            self.jobs.iter().filter(|(id, job)| is_done(id) && !self.has_finished_all_tasks(id, &job.spec));
        let violations: Vec<String> = unfinished
            .map(|(id, _)| format!("not_done: {id} is stored as done, and not all its tasks have completed"))
            .collect();
        self.violations.extend(violations);
    }
}
