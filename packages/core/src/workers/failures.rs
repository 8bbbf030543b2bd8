//! Failures of tasks, and whether the job or the machine is at fault.
//!
//! The tasks of many jobs fail on a faulty machine, and the tasks of a faulty job fail on many
//! machines.  Whichever of the two the failures have in common is at fault.  A faulty job is
//! quarantined: it runs one task at a time, as a probe.  A faulty machine is cordoned: no more
//! tasks are assigned to it.

use std::collections::BTreeMap;
use std::time::Instant;

use super::ExitCause;
use crate::cluster::{Cluster, Job, Quarantine, TaskPhase, QUARANTINED_REASON};
use crate::model::*;

/// Cordon reason of a machine on which the tasks of several jobs have failed.
pub(super) const CORDONED_FOR_FAILURES: &str = "fails its tasks";

/// Number of failed probes of a quarantined job after which the backoff stops growing.
const MAX_BACKOFF_STEPS: u32 = 5;
/// Minimum number of machines on which a job must have failed to be taken as faulty.
const MIN_FAILED_MACHINES: usize = 2;
/// Minimum number of jobs that must have failed on a machine for it to be cordoned.
const MIN_FAILED_JOBS: usize = 2;
/// Number of machines on which a job does not run yet that count as one on which it runs.
const STARTING_MACHINES_PER_RUNNING: usize = 4;

/// The exit of an assigned task that did not complete.
pub(super) struct TaskExit<'a> {
    /// Machine on which the task was.
    pub(super) machine: &'a Name,
    /// Task that has exited.
    pub(super) task: &'a Task,
    /// Cause that the worker reported; `Unknown` if it reported none.
    pub(super) cause: ExitCause,
    /// Whether the job is unknown or has ended, or the task's completion is stored.
    pub(super) is_finished: bool,
    /// When the task was assigned.
    pub(super) assigned_at: Instant,
}

impl Cluster {
    /// Applies the consequences of a task's exit for its job and its machine.
    pub(super) fn apply_task_exit(&mut self, exit: &TaskExit, now: Instant) {
        let TaskExit { machine: name, task, cause, .. } = *exit;
        if cause != ExitCause::StoppedByCommand {
            tracing::debug!(%task, machine = %name, ?cause, "task exited");
        }
        if exit.is_finished {
            return;
        }
        if cause == ExitCause::Failed {
            return self.apply_failure(exit, now);
        }
        let retry_at = now + self.policy.failure_rest;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        match cause {
            ExitCause::NoRoom | ExitCause::AttemptConflict => machine.cooldown_until = Some(retry_at),
            ExitCause::UnknownJob | ExitCause::Unknown => job.not_before = Some(retry_at),
            ExitCause::Failed
            | ExitCause::Completed
            | ExitCause::StoppedByCommand
            | ExitCause::GangMemberLost
            | ExitCause::GangTimeout => {}
        }
    }

    /// Attributes a task's failure to its job or to its machine.
    fn apply_failure(&mut self, exit: &TaskExit, now: Instant) {
        let TaskExit { machine, task, assigned_at, .. } = *exit;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.failed_on.insert(machine.clone());
        match job.quarantine {
            Some(quarantine) => {
                if assigned_at >= quarantine.next_probe_at {
                    self.apply_failed_probe(&task.job, quarantine, now);
                }
                self.clear_machine_failure(machine, &task.job);
            }
            None => match self.failed_machines_if_at_fault(&task.job) {
                Some(failed_machines) => self.quarantine_job(&task.job, failed_machines, now),
                None => self.record_machine_failure(machine, &task.job, now),
            },
        }
    }

    /// Returns on how many machines a job has failed if the job rather than the machines is at
    /// fault, and `None` otherwise.  Only machines count that are not cordoned and on which no
    /// other job has failed.  The job is at fault if none of its tasks has completed and it has
    /// failed on several such machines, and on more than it has not failed on.
    fn failed_machines_if_at_fault(&self, id: &Name) -> Option<usize> {
        let job = self.jobs.get(id).filter(|job| !job.has_completed_task())?;
        let has_no_other_failure = |name: &&Name| {
            self.machines.get(*name).is_some_and(|machine| {
                machine.cordon_reason.is_none() && machine.failed_jobs.iter().all(|failed| failed == id)
            })
        };
        let failed = job.failed_on.iter().filter(has_no_other_failure).count();
        (failed >= MIN_FAILED_MACHINES && failed > self.count_machines_without_failure(job)).then_some(failed)
    }

    /// Returns the number of machines to which a job is assigned and on which it has not failed.
    /// A machine on which the job does not run yet counts for a quarter, because the job may
    /// still fail there.
    fn count_machines_without_failure(&self, job: &Job) -> usize {
        let assigned = job.assigned_tasks();
        let mut is_running: BTreeMap<&Name, bool> = BTreeMap::new();
        for (name, task) in assigned.iter().filter(|(name, _)| !job.failed_on.contains(name)) {
            let assignment = self.machines.get(name).and_then(|machine| machine.tasks.get(task));
            *is_running.entry(name).or_default() |=
                assignment.is_some_and(|assignment| assignment.running_since.is_some());
        }
        let running = is_running.values().filter(|running| **running).count();
        running + (is_running.len() - running) / STARTING_MACHINES_PER_RUNNING
    }

    /// Applies the failure of a probe of a quarantined job: schedules the next probe after an
    /// exponential backoff.
    fn apply_failed_probe(&mut self, id: &Name, quarantine: Quarantine, now: Instant) {
        let failure_rest = self.policy.failure_rest;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let probes = quarantine.probes + 1;
        let next_probe = now + failure_rest * 2u32.pow(probes.min(MAX_BACKOFF_STEPS)) / 2;
        job.quarantine = Some(Quarantine { next_probe_at: next_probe, probes });
        job.not_before = Some(next_probe);
        let next_probe_in_s = (next_probe - now).as_secs_f64();
        tracing::info!(job = %id, probes, next_probe_in_s, "probe of a quarantined job failed");
    }

    /// Quarantines a job.  Its failures are no longer attributed to machines, and its tasks that
    /// have not begun to run are stopped.
    fn quarantine_job(&mut self, id: &Name, failed_machines: usize, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        tracing::info!(job = %id, failed_machines, "job quarantined: its tasks failed on several machines");
        job.quarantine = Some(Quarantine { next_probe_at: now, probes: 0 });
        job.pending_reason = QUARANTINED_REASON;
        let failed_on = job.failed_on.clone();
        let mut starting = job.assigned_tasks();
        starting.retain(|(name, task)| self.is_starting(name, task));
        for name in failed_on {
            self.clear_machine_failure(&name, id);
        }
        for (name, task) in starting {
            self.request_stop(&name, &task, 0.0, now);
        }
    }

    /// Ends the quarantine of a job after one of its tasks has run for long enough.
    pub(super) fn lift_job_quarantine(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| job.quarantine.is_some()) {
            job.quarantine = None;
            job.not_before = None;
        }
    }

    /// Reports whether an assigned task has not begun to run: its start is not reported yet, or
    /// its image is being pulled.
    fn is_starting(&self, machine: &Name, task: &Task) -> bool {
        let assignment = self.machines.get(machine).and_then(|machine| machine.tasks.get(task));
        assignment.is_some_and(|assignment| matches!(assignment.phase, TaskPhase::Assigned | TaskPhase::Pulling))
    }

    /// Attributes the failure of a job to a machine.  The machine gets no tasks during a
    /// cooldown, and is cordoned once several jobs have failed on it.
    fn record_machine_failure(&mut self, name: &Name, job: &Name, now: Instant) {
        let cooldown = self.policy.failure_rest * 2;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.failed_jobs.insert(job.clone());
        machine.cooldown_until = Some(now + cooldown);
        if machine.failed_jobs.len() >= MIN_FAILED_JOBS && machine.cordon_reason.is_none() {
            tracing::info!(
                machine = %name,
                failed_jobs = machine.failed_jobs.len(),
                "machine cordoned: tasks of several jobs failed on it"
            );
            machine.cordon_reason = Some(CORDONED_FOR_FAILURES);
        }
    }

    /// Removes the failures of a faulty job from those that are attributed to a machine, and ends
    /// a cooldown or cordon that was due to them.
    fn clear_machine_failure(&mut self, name: &Name, job: &Name) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.failed_jobs.remove(job);
        if machine.failed_jobs.is_empty() {
            machine.cooldown_until = None;
        }
        if machine.cordon_reason == Some(CORDONED_FOR_FAILURES) && machine.failed_jobs.len() < MIN_FAILED_JOBS {
            machine.cordon_reason = None;
        }
        self.queue_changed = true;
    }
}
