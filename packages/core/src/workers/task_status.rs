//! Application of the status of one task in a heartbeat.

use std::time::Instant;

use super::failures::TaskExit;
use super::{ExitCause, Heartbeat, TaskState, TaskStatus};
use crate::cluster::{Assignment, Cluster, TaskPhase};
use crate::model::*;

/// The status of a task in a heartbeat, with what the leader knows of the task.
#[derive(Debug, Clone, Copy)]
struct ReportedTask<'a> {
    heartbeat: &'a Heartbeat,
    status: &'a TaskStatus,
    /// Whether the heartbeat carries a token of this term.  A heartbeat without one may be of any
    /// age, and this leader has nothing to compare it with.
    current_term: bool,
    /// Whether the job is unknown or has ended, or the task's completion is stored.
    is_finished: bool,
    /// Whether the task has completed and the completion is not stored yet.
    completion_unstored: bool,
    /// Whether this attempt of the task is assigned to the machine.
    is_assigned: bool,
}

impl Cluster {
    /// Applies the status of one task.  `current_term` says whether the heartbeat carries a token
    /// of this term.
    pub(super) fn apply_task_status(
        &mut self,
        heartbeat: &Heartbeat,
        status: &TaskStatus,
        current_term: bool,
        now: Instant,
    ) {
        if let Some(blocked) = self.dependencies.unblock(&status.task.job) {
            // the command was sent after the start was stored, and the start was stored after
            // the outcomes of all dependencies of the job
            self.release_blocked_job(blocked);
        }
        let reported = self.compare_with_assignments(heartbeat, status, current_term);
        if status.state == TaskState::Exited {
            self.apply_exited_task(reported, now);
        } else if reported.is_assigned || self.adopt_unassigned_task(reported, now) {
            self.update_assignment(reported, now);
        }
    }

    /// Compares the status of a task with the assignments that the leader knows.
    fn compare_with_assignments<'a>(
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
            is_finished: job.is_none_or(|job| job.outcome.is_some() || job.completed.contains(task.index)),
            completion_unstored: job.is_some_and(|job| job.completed_unstored.contains(task.index)),
            is_assigned: assignment.is_some_and(|assignment| assignment.attempt == *attempt),
        }
    }

    /// Applies the exit of a task.  If the task has completed, the completion is kept to be stored;
    /// otherwise its assignment is released and the exit is to be acknowledged.
    fn apply_exited_task(&mut self, reported: ReportedTask, now: Instant) {
        let TaskStatus { task, attempt, .. } = reported.status;
        let Some(machine) = self.machines.get(&reported.heartbeat.machine) else { return };
        if !reported.is_assigned && machine.exited.contains_key(task) {
            return;
        }
        let cause = reported.status.cause.unwrap_or(ExitCause::Unknown);
        if cause == ExitCause::Completed && !reported.is_finished {
            self.apply_completed_task(reported, now);
            return;
        }
        if reported.is_assigned && !self.release_exited_task(reported, cause, now) {
            return;
        }
        if let Some(machine) = self.machines.get_mut(&reported.heartbeat.machine) {
            machine.exited.insert(task.clone(), *attempt);
        }
    }

    /// Applies the completion of a task, whichever attempt it is of.  The exit is acknowledged once
    /// the completion is stored.
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

    /// Releases the assignment of a task that exited without completing.  Returns false if the
    /// heartbeat does not prove that the latest start of the task has exited.
    fn release_exited_task(&mut self, reported: ReportedTask, cause: ExitCause, now: Instant) -> bool {
        let ReportedTask { heartbeat, status, .. } = reported;
        let machine = self.machines.get(&heartbeat.machine);
        let Some(assignment) = machine.and_then(|machine| machine.tasks.get(&status.task)) else { return true };
        // the task of a gang may have been started here again under the same attempt
        if !reported.current_term && !assignment.confirmed && assignment.spec.shape == Shape::Gang {
            return false;
        }
        let exit = TaskExit {
            machine: &heartbeat.machine,
            task: &status.task,
            cause,
            is_finished: reported.is_finished,
            assigned_at: assignment.assigned_at,
        };
        self.release_assignment(&heartbeat.machine, &status.task, now);
        self.apply_task_exit(&exit, now);
        true
    }

    /// Adds an assignment for a task attempt that is on the machine and not assigned to it.  It is
    /// stopped unless it is still to be run, is assigned nowhere else, and belongs to no gang.
    /// Returns false if the status may be outdated or the job is unknown.
    fn adopt_unassigned_task(&mut self, reported: ReportedTask, now: Instant) -> bool {
        let TaskStatus { task, attempt, .. } = reported.status;
        let Heartbeat { machine: name, incarnation, .. } = reported.heartbeat;
        let Some(machine) = self.machines.get_mut(name) else { return false };
        if !reported.current_term && machine.tasks.contains_key(task) {
            // a delayed heartbeat may list an attempt before the one that is assigned
            return false;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            tracing::error!(machine = %name, %task, "ignoring a reported task: its job is unknown");
            return false;
        };
        tracing::info!(machine = %name, %task, attempt, "adopting a task attempt that is not assigned to its machine");
        let is_needed =
            !job.assignments.contains_key(&task.index) && !reported.is_finished && !reported.completion_unstored;
        job.record_assignment(task.index, name);
        let mut assignment = Assignment::new(job.spec.clone(), *attempt, *incarnation, now);
        if !is_needed || job.spec.shape == Shape::Gang {
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
        if reported.is_finished {
            assignment.stop_grace_s = Some(0.0);
            assignment.stop_requested_at.get_or_insert(now);
            self.machines_to_command.insert(heartbeat.machine.clone());
        }
        if assignment.phase != TaskPhase::Running {
            return;
        }
        match assignment.running_since {
            None => self.record_running(reported, now),
            // a task of a job that fails on every machine would have failed by now
            Some(since) if assignment.stop_grace_s.is_none() && now.duration_since(since) > failure_rest => {
                self.lift_job_quarantine(&status.task.job);
            }
            Some(_) => {}
        }
    }

    /// Records that a task has begun to run, which means that its machine has the image.
    fn record_running(&mut self, reported: ReportedTask, now: Instant) {
        let ReportedTask { heartbeat, status, .. } = reported;
        let cache_gb =
            self.machine_types.get(&heartbeat.machine_type).map_or(f64::INFINITY, |machine_type| machine_type.cache_gb);
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

/// Returns the phase of a present task for the state that its worker reports.
fn phase_of(state: TaskState) -> TaskPhase {
    match state {
        TaskState::Pulling => TaskPhase::Pulling,
        TaskState::WaitingForGang => TaskPhase::WaitingForGang,
        TaskState::Running => TaskPhase::Running,
        TaskState::Checkpointing | TaskState::Exited => TaskPhase::Checkpointing,
    }
}
