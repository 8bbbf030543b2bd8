//! Safety rules, checked throughout.

use super::*;

/// How long after a confirmed cancellation a task may still start or run.
const CANCELLATION_GRACE: Ms = 60_000;
/// How long a leader may leave a job that depends on a cancelled one.
const CASCADE_GRACE: Ms = 40_000;

impl World {
    /// The rules at the moment a task starts on a machine.
    pub(super) fn check_task_start(&mut self, i: usize, task: &Task, spec: &JobSpec) {
        self.check_placement(i, task, spec);
        let confirmed_at = self.cancellation_confirmed_at.get(&task.job);
        self.statistics.starts_after_cancellation += u32::from(confirmed_at.is_some());
        if confirmed_at.is_some_and(|at| self.now - at > CANCELLATION_GRACE) {
            self.violations.push(format!("ran_cancelled: {task} starts"));
        }
        if let Some(id) = spec.needs.iter().find(|id| self.state_store.outcome(id) != Some(JobOutcome::Done)) {
            self.violations.push(format!("too_early: {task} starts before {id} is done"));
        }
    }

    /// A task runs once, within its team's quota, and where its job allows it.
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
                    violations.push(format!("ran_twice: {task} on {} and {}", worker.name, machine.name));
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
            violations.push(format!("quota: {} uses {used}", spec.team));
        }
        let is_allowed = spec.allows(&"t".into(), &machine.zone, machine.spot);
        let breaks_one_zone = spec.one_zone && tasks_in_zone.len() > 1;
        if !is_allowed || breaks_one_zone || tasks_in_zone[&machine.zone] > spec.zone_cap() {
            violations.push(format!("wrong_machine: {task} on {}", machine.name));
        }
        self.violations.extend(violations);
    }

    /// The rules that hold at any moment.
    pub(super) fn check_invariants(&mut self) {
        if !(0..3).any(|i| self.has_lease(i) && self.is_served(i)) {
            self.led_since = self.now;
        }
        self.check_cancelled_jobs();
        self.check_dependents_of_cancelled_jobs();
        self.check_done_jobs();
    }

    /// No task runs long after its cancellation was confirmed.
    fn check_cancelled_jobs(&mut self) {
        // a machine that hangs beyond its lease executes nothing any more; its tasks stay
        // listed so that a second start is found
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

    /// What is known of a task that runs though its job is cancelled.
    fn describe_cancelled_task(&self, worker: &Worker, task: &Task) -> String {
        let mut text = format!(
            "ran_cancelled: {task} on {}: confirmed at {}, outage until {}, zones cut off until {:?}, hung until {}, renewed at {}",
            worker.name,
            self.cancellation_confirmed_at[&task.job],
            self.faults.state_store_outage_until,
            self.faults.zone_partitioned_until,
            worker.hung_until,
            worker.renewed_at,
        );
        for controller in self.controllers.iter().flatten() {
            let (term, until) = (controller.cluster.term, controller.lease_until);
            text += &format!("; term {term}, lease until {until}: ");
            text += &match controller.cluster.machines.get(&worker.name) {
                None => "unknown machine".to_owned(),
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

    /// A job that depends on a cancelled one is neither reported as unfinished long after
    /// users knew of both, nor left without an outcome while somebody leads.
    fn check_dependents_of_cancelled_jobs(&mut self) {
        // since when users know that a dependency of a job is cancelled
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
            let Some(since) = spec.needs.iter().filter_map(cancelled_since).min() else { continue };
            let since = since.max(self.submitted_at[id]);
            let is_reported =
                self.now - since > CANCELLATION_GRACE && (0..3).any(|i| self.may_report_unfinished(i, id));
            let is_left =
                self.state_store.outcome(id).is_none() && self.now - since.max(self.led_since) > CASCADE_GRACE;
            if is_reported || is_left {
                violations.push(format!("orphaned: {id}, whose needs {:?} were cancelled at {since}", spec.needs));
            }
            known_since.insert(id, since);
        }
        self.violations.extend(violations);
    }

    /// Of a job that is done, each task has finished.
    fn check_done_jobs(&mut self) {
        let is_done = |id: &Name| self.state_store.outcome(id) == Some(JobOutcome::Done);
        let unfinished =
            self.jobs.iter().filter(|(id, job)| is_done(id) && !self.has_finished_all_tasks(id, &job.spec));
        let violations: Vec<String> = unfinished.map(|(id, _)| format!("not_done: {id}")).collect();
        self.violations.extend(violations);
    }
}
