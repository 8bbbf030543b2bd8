//! Failures of tasks: whether the job or the machine is at fault.
//!
//! A faulty machine fails the tasks of many jobs, a faulty job fails on many machines:
//! whichever repeats is at fault.  A faulty job is quarantined: it runs one task at a
//! time, as a probe.  A faulty machine is cordoned.

use std::collections::BTreeMap;
use std::time::Instant;

use super::ExitCause;
use crate::cluster::{Cluster, Job, Quarantine, TaskPhase, QUARANTINED};
use crate::model::*;

/// Why a machine is cordoned that fails the tasks of several jobs.
pub(super) const CORDONED_FOR_FAILURES: &str = "fails its tasks";

/// Failed probes of a quarantined job after which the backoff grows no more.
const MAX_BACKOFF_STEPS: u32 = 5;
/// Machines that a job must have failed on before it can be at fault.
const MIN_FAILED_MACHINES: usize = 2;
/// Failed jobs that make a machine be cordoned.
const MIN_FAILED_JOBS: usize = 2;
/// So many machines where a job does not run yet count for one where it does.
const STARTING_PER_RUNNING: usize = 4;

/// The exit of an assigned task that did not complete.
pub(super) struct TaskExit<'a> {
    /// The machine it was on.
    pub(super) machine: &'a Name,
    /// The task.
    pub(super) task: &'a Task,
    /// Why it exited.
    pub(super) cause: ExitCause,
    /// Its job has ended, or the task's completion is stored.
    pub(super) is_over: bool,
    /// When it was assigned.
    pub(super) assigned_at: Instant,
}

impl Cluster {
    /// Decides what a task's exit means for its job and its machine.
    pub(super) fn apply_task_exit(&mut self, exit: &TaskExit, now: Instant) {
        let TaskExit { machine: name, task, cause, .. } = *exit;
        if cause != ExitCause::StoppedByCommand {
            tracing::debug!(%task, machine = %name, ?cause, "task exited");
        }
        if exit.is_over {
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

    /// Decides whether a task's failure is held against its job or its machine.
    fn apply_failure(&mut self, exit: &TaskExit, now: Instant) {
        let TaskExit { machine, task, assigned_at, .. } = *exit;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.failed_on.insert(machine.clone());
        match job.quarantine {
            Some(quarantine) => {
                if assigned_at >= quarantine.since {
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

    /// On how many machines that fail nothing else a job has failed, if the job rather
    /// than its machines is at fault: none of its tasks has completed, and it has failed
    /// on several such machines, and on more than it runs on.
    fn failed_machines_if_at_fault(&self, id: &Name) -> Option<usize> {
        let job = self.jobs.get(id).filter(|job| !job.has_completed_task())?;
        let fails_nothing_else = |name: &&Name| {
            self.machines.get(*name).is_some_and(|machine| {
                machine.cordon_reason.is_none() && machine.failed_jobs.iter().all(|failed| failed == id)
            })
        };
        let failed = job.failed_on.iter().filter(fails_nothing_else).count();
        (failed >= MIN_FAILED_MACHINES && failed > self.count_machines_without_failure(job)).then_some(failed)
    }

    /// How many machines a job has not failed on.  Those where it does not run yet count
    /// by a quarter, as they have still to show whether it fails there.
    fn count_machines_without_failure(&self, job: &Job) -> usize {
        let assigned = job.assigned_tasks();
        let mut is_running: BTreeMap<&Name, bool> = BTreeMap::new();
        for (name, task) in assigned.iter().filter(|(name, _)| !job.failed_on.contains(name)) {
            let assignment = self.machines.get(name).and_then(|machine| machine.tasks.get(task));
            *is_running.entry(name).or_default() |= assignment.is_some_and(|a| a.running_since.is_some());
        }
        let running = is_running.values().filter(|running| **running).count();
        running + (is_running.len() - running) / STARTING_PER_RUNNING
    }

    /// A probe of a quarantined job failed: the next one follows after a longer time.
    fn apply_failed_probe(&mut self, id: &Name, quarantine: Quarantine, now: Instant) {
        let failure_rest = self.policy.failure_rest;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let probes = quarantine.probes + 1;
        let next_probe = now + failure_rest * 2u32.pow(probes.min(MAX_BACKOFF_STEPS)) / 2;
        job.quarantine = Some(Quarantine { since: next_probe, probes });
        job.not_before = Some(next_probe);
        let next_probe_in_s = (next_probe - now).as_secs_f64();
        tracing::info!(job = %id, probes, next_probe_in_s, "probe of a quarantined job failed");
    }

    /// Quarantines a job: its machines are cleared of its failures, and its tasks that
    /// still wait for their image are stopped.
    fn quarantine_job(&mut self, id: &Name, failed_machines: usize, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        tracing::info!(job = %id, failed_machines, "job quarantined");
        job.quarantine = Some(Quarantine { since: now, probes: 0 });
        job.pending_reason = QUARANTINED;
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

    /// Lifts the quarantine of a job one of whose tasks has run for long enough.
    pub(super) fn lift_job_quarantine(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| job.quarantine.is_some()) {
            job.quarantine = None;
            job.not_before = None;
        }
    }

    /// Whether an assigned task has not begun to run: it is to be started, or waits
    /// for its image.
    fn is_starting(&self, machine: &Name, task: &Task) -> bool {
        let assignment = self.machines.get(machine).and_then(|machine| machine.tasks.get(task));
        assignment.is_some_and(|a| matches!(a.phase, TaskPhase::Assigned | TaskPhase::Pulling))
    }

    /// Holds a job's failure against the machine: it rests, and is cordoned when it has
    /// failed several jobs.
    fn record_machine_failure(&mut self, name: &Name, job: &Name, now: Instant) {
        let cooldown = self.policy.failure_rest * 2;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.failed_jobs.insert(job.clone());
        machine.cooldown_until = Some(now + cooldown);
        if machine.failed_jobs.len() >= MIN_FAILED_JOBS && machine.cordon_reason.is_none() {
            tracing::info!(machine = %name, failed_jobs = machine.failed_jobs.len(), "machine cordoned for failures");
            machine.cordon_reason = Some(CORDONED_FOR_FAILURES);
        }
    }

    /// Clears a machine of the failures of a job that is itself at fault.
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
