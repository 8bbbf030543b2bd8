//! Application of the status of one task, as a heartbeat lists it.

use std::time::Instant;

use super::failures::TaskExit;
use super::{ExitCause, Heartbeat, TaskState, TaskStatus};
use crate::cluster::{Assignment, Cluster, TaskPhase};
use crate::model::*;

/// The status of a task, with what the leader has on record of the task.
#[derive(Debug, Clone, Copy)]
struct ReportedTask<'a> {
    heartbeat: &'a Heartbeat,
    status: &'a TaskStatus,
    /// The heartbeat carries this term's token.  One that does not may be of any age,
    /// and this leader has nothing to compare it with.
    current_term: bool,
    /// The job is unknown or has ended, or the task's completion is stored.
    is_over: bool,
    /// The task has completed, which is not stored yet.
    completion_unstored: bool,
    /// This attempt of the task is assigned to the machine.
    is_recorded: bool,
}

impl Cluster {
    /// Applies the status of one task.  `current_term`: the heartbeat carries this
    /// term's token.
    pub(super) fn apply_task_status(
        &mut self,
        heartbeat: &Heartbeat,
        status: &TaskStatus,
        current_term: bool,
        now: Instant,
    ) {
        if let Some(blocked) = self.dependency.unblock(&status.task.job) {
            // a command is sent only after its start is stored, and that only after
            // the outcomes of all that the job needs
            self.release_blocked_job(blocked);
        }
        let reported = self.compare_with_records(heartbeat, status, current_term);
        if status.state == TaskState::Exited {
            self.apply_exited_task(reported, now);
        } else if reported.is_recorded || self.adopt_unrecorded_task(reported, now) {
            self.update_assignment(reported, now);
        }
    }

    /// Compares the status of a task with what is on record.
    fn compare_with_records<'a>(
        &self,
        heartbeat: &'a Heartbeat,
        status: &'a TaskStatus,
        current_term: bool,
    ) -> ReportedTask<'a> {
        let TaskStatus { task, attempt, .. } = status;
        let job = self.jobs.get(&task.job);
        let assignment = self.machines.get(&heartbeat.machine).and_then(|machine| machine.tasks.get(task));
        ReportedTask {
            heartbeat,
            status,
            current_term,
            is_over: job.is_none_or(|job| job.outcome.is_some() || job.completed.contains(task.index)),
            completion_unstored: job.is_some_and(|job| job.completed_unstored.contains(task.index)),
            is_recorded: assignment.is_some_and(|assignment| assignment.attempt == *attempt),
        }
    }

    /// Applies a task that has exited: its result is kept, or it is released, and the
    /// exit is acknowledged.
    fn apply_exited_task(&mut self, reported: ReportedTask, now: Instant) {
        let TaskStatus { task, attempt, .. } = reported.status;
        let Some(machine) = self.machines.get(&reported.heartbeat.machine) else { return };
        if !reported.is_recorded && machine.exited.contains_key(task) {
            return;
        }
        let cause = reported.status.cause.unwrap_or(ExitCause::Unknown);
        if cause == ExitCause::Completed && !reported.is_over {
            self.apply_completed_task(reported, now);
            return;
        }
        if reported.is_recorded && !self.release_exited_task(reported, cause, now) {
            return;
        }
        if let Some(machine) = self.machines.get_mut(&reported.heartbeat.machine) {
            machine.exited.insert(task.clone(), *attempt);
        }
    }

    /// Keeps the result of a completed task, whatever its attempt.  It is acknowledged
    /// once its completion is stored.
    fn apply_completed_task(&mut self, reported: ReportedTask, now: Instant) {
        let ReportedTask { heartbeat, status, .. } = reported;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let assignment = machine.tasks.get_mut(&status.task).filter(|assignment| assignment.attempt == status.attempt);
        if let Some(assignment) = assignment.filter(|assignment| assignment.phase != TaskPhase::Completed) {
            assignment.phase = TaskPhase::Completed;
            let assignment = assignment.clone();
            self.record_runtime(&heartbeat.machine, &assignment, now);
        }
        if !reported.completion_unstored {
            self.mark_completed(&status.task, now);
        }
        self.queue_changed = true;
    }

    /// Releases the assignment of a task that exited without completing.  Returns
    /// false if the heartbeat does not prove that this very start has exited.
    fn release_exited_task(&mut self, reported: ReportedTask, cause: ExitCause, now: Instant) -> bool {
        let ReportedTask { heartbeat, status, .. } = reported;
        let machine = self.machines.get(&heartbeat.machine);
        let Some(assignment) = machine.and_then(|machine| machine.tasks.get(&status.task)) else { return true };
        // a gang's task may have been started again here under the same attempt
        if !reported.current_term && !assignment.confirmed && assignment.spec.shape == Shape::Gang {
            return false;
        }
        let exit = TaskExit {
            machine: &heartbeat.machine,
            task: &status.task,
            cause,
            is_over: reported.is_over,
            assigned_at: assignment.assigned_at,
        };
        self.release_assignment(&heartbeat.machine, &status.task, now);
        self.apply_task_exit(&exit, now);
        true
    }

    /// Records a task that is on the machine without a record of it: it counts as
    /// present and, unless it is what the job is waiting for, is stopped.  Returns false
    /// if the status is too old to prove anything, or its job is unknown.
    fn adopt_unrecorded_task(&mut self, reported: ReportedTask, now: Instant) -> bool {
        let TaskStatus { task, attempt, .. } = reported.status;
        let Heartbeat { machine: name, incarnation, .. } = reported.heartbeat;
        let Some(machine) = self.machines.get_mut(name) else { return false };
        if !reported.current_term && machine.tasks.contains_key(task) {
            // a late heartbeat with an attempt before the one that is on record
            return false;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            tracing::error!(machine = %name, %task, "machine has a task of an unknown job");
            return false;
        };
        tracing::info!(machine = %name, %task, attempt, "machine has a task that is not on record");
        let is_awaited =
            !job.assignments.contains_key(&task.index) && !reported.is_over && !reported.completion_unstored;
        job.record_assignment(task.index, name);
        let mut assignment = Assignment::new(job.spec.clone(), *attempt, *incarnation, now);
        if !is_awaited || job.spec.shape == Shape::Gang {
            assignment.stop_grace_s = Some(0.0);
            assignment.stop_requested_at = Some(now);
        }
        machine.idle_since = None;
        machine.tasks.insert(task.clone(), assignment);
        self.machines_to_command.insert(name.clone());
        self.queue_start_record(task, name, *attempt, *incarnation);
        true
    }

    /// Updates the assignment of a task that is present on its machine.
    fn update_assignment(&mut self, reported: ReportedTask, now: Instant) {
        let ReportedTask { heartbeat, status, .. } = reported;
        let failure_rest = self.policy.failure_rest;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let Some(assignment) = machine.tasks.get_mut(&status.task) else { return };
        assignment.inherited = false;
        assignment.confirmed |= reported.current_term;
        if assignment.phase == TaskPhase::Completed {
            return;
        }
        assignment.phase = phase_of(status.state);
        if reported.is_over {
            assignment.stop_grace_s = Some(0.0);
            assignment.stop_requested_at.get_or_insert(now);
            self.machines_to_command.insert(heartbeat.machine.clone());
        }
        if assignment.phase != TaskPhase::Running {
            return;
        }
        match assignment.running_since {
            None => self.record_running(reported, now),
            // a task that fails on every machine does not run for so long
            Some(since) if assignment.stop_grace_s.is_none() && now.duration_since(since) > failure_rest => {
                self.lift_job_quarantine(&status.task.job);
            }
            Some(_) => {}
        }
    }

    /// Records that a task has begun to run: its machine holds its image now.
    fn record_running(&mut self, reported: ReportedTask, now: Instant) {
        let ReportedTask { heartbeat, status, .. } = reported;
        let cache_gb = self.types.get(&heartbeat.kind).map_or(f64::INFINITY, |machine_type| machine_type.cache_gb);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let Some(assignment) = machine.tasks.get_mut(&status.task) else { return };
        assignment.running_since = Some(now);
        let delay_s = now.duration_since(assignment.assigned_at).as_secs_f64();
        tracing::debug!(task = %status.task, machine = %heartbeat.machine, delay_s, "task is running");
        let image = assignment.spec.image.clone();
        let image_gb = assignment.spec.image_gb;
        machine.use_image(&image, image_gb, cache_gb);
    }
}

/// The phase of a task that is present on its machine.
fn phase_of(state: TaskState) -> TaskPhase {
    match state {
        TaskState::Pulling => TaskPhase::Pulling,
        TaskState::WaitingForGang => TaskPhase::WaitingForGang,
        TaskState::Running => TaskPhase::Running,
        TaskState::Checkpointing | TaskState::Exited => TaskPhase::Checkpointing,
    }
}
