//! Execution of the leader's commands: starting and stopping tasks, and removing the records of
//! exited tasks.

use std::time::Instant;

use coralnotch_wire::model::{JobSpec, Resources, Shape, Task};
use coralnotch_wire::workers::{Command, ExitCause};
use fastrand::Rng;

use super::machine::{Machine, TaskPhase, TaskRecord};
use super::{duration_from_seconds, remove_task_machine, WorkerPool};

/// The checkpoint that determines how much of a stopped task's progress is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Checkpoint {
    /// The task saves a checkpoint when it is stopped, so all of its progress is kept.
    OnStop,
    /// Only the progress up to the last periodic checkpoint is kept.
    LastPeriodic,
}

impl WorkerPool {
    pub(super) fn execute_commands(&mut self, name: &str, commands: Vec<Command>, now: Instant) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(name, task, attempt, now),
                Command::Stop { task, attempt, grace_s } => self.stop_task(name, &task, attempt, grace_s, now),
                Command::Acknowledge { task, attempt } => self.remove_exited_task(name, &task, attempt),
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.next_change_at = now;
            self.mark_changed(name);
        }
    }

    /// Removes the record of an exited attempt after the leader has stored its exit.
    fn remove_exited_task(&mut self, name: &str, task: &Task, attempt: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_exited_attempt = |record: &TaskRecord| record.attempt == attempt && record.phase.has_exited();
        if machine.tasks.get(task).is_some_and(is_exited_attempt) {
            machine.tasks.remove(task);
            remove_task_machine(&mut self.machines_by_task, task, name);
        }
    }

    fn start_task(&mut self, name: &str, task: Task, attempt: u64, now: Instant) {
        let spec = self.specs.get(&task.job).filter(|spec| task.index < spec.tasks).cloned();
        let used_resources = self.used_resources(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.has_gang_tasks |= spec.as_ref().is_some_and(|spec| spec.shape == Shape::Gang);
        if machine.tasks.contains_key(&task) {
            // The command is a repetition, or another attempt of the task is on this machine; the next
            // heartbeat tells the leader which attempt it is.
            return;
        }
        let phase = match spec {
            None => TaskPhase::exited(ExitCause::UnknownJob),
            Some(spec) => {
                let mut free = machine.kind.resources();
                free.subtract(&used_resources);
                if free.fits(&spec.resources_per_task()) {
                    fetch_image(machine, &spec, &mut self.rng, now);
                    TaskPhase::Pulling
                } else {
                    TaskPhase::exited(ExitCause::NoRoom)
                }
            }
        };
        machine.tasks.insert(task.clone(), TaskRecord { attempt, phase });
        self.machines_by_task.entry(task).or_default().push(name.into());
    }

    /// Returns the resources of all tasks on a machine that have not exited.
    fn used_resources(&self, name: &str) -> Resources {
        let mut used_resources = Resources::default();
        let tasks = self.machines.get(name).into_iter().flat_map(|machine| &machine.tasks);
        for (task, _) in tasks.filter(|(_, record)| !record.phase.has_exited()) {
            if let Some(spec) = self.specs.get(&task.job) {
                used_resources.add(&spec.resources_per_task());
            }
        }
        used_resources
    }

    fn stop_task(&mut self, name: &str, task: &Task, attempt: u64, grace_s: f64, now: Instant) {
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let gang_deadline = now + duration_from_seconds(self.settings.gang_peer_s);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(phase) = machine.tasks.get(task).filter(|record| record.attempt == attempt).map(|record| record.phase)
        else {
            return;
        };
        let (next, checkpoint) = match phase {
            TaskPhase::Running { .. } if spec.checkpoint_interval_s > 0.0 && grace_s >= spec.checkpoint_duration_s => {
                let until = now + duration_from_seconds(spec.checkpoint_duration_s);
                (TaskPhase::Checkpointing { until, gang_deadline }, Checkpoint::OnStop)
            }
            TaskPhase::Checkpointing { .. } if grace_s > 0.0 => return,
            TaskPhase::Exited { .. } => return,
            _ => (TaskPhase::exited(ExitCause::StoppedByCommand), Checkpoint::LastPeriodic),
        };
        let work_done_s = match phase {
            TaskPhase::Running { since } => Some(machine.work_done_s(since, now)),
            _ => None,
        };
        machine.tasks.insert(task.clone(), TaskRecord { attempt, phase: next });
        if let Some(work_done_s) = work_done_s {
            self.save_progress(task, &spec, work_done_s, checkpoint);
        }
    }

    /// Returns the key of a task's entry in `saved_progress_s`, which the tasks of a gang share.
    fn progress_key(task: &Task, spec: &JobSpec) -> Task {
        let index = if spec.shape == Shape::Gang { 0 } else { task.index };
        Task { job: task.job.clone(), index }
    }

    /// Returns the seconds of the job's estimate that remain after the saved progress.
    pub(super) fn remaining_s(&self, task: &Task, spec: &JobSpec) -> f64 {
        spec.estimated_run_time_s - self.saved_progress_s.get(&Self::progress_key(task, spec)).copied().unwrap_or(0.0)
    }

    /// Saves the progress of a task that worked for `work_done_s` seconds since its start, as far as
    /// `checkpoint` covers it.
    fn save_progress(&mut self, task: &Task, spec: &JobSpec, work_done_s: f64, checkpoint: Checkpoint) {
        if spec.checkpoint_interval_s <= 0.0 {
            return;
        }
        let saved = self.saved_progress_s.entry(Self::progress_key(task, spec)).or_default();
        let total = *saved + work_done_s / self.runtime_factor.max(1e-9);
        let kept = match checkpoint {
            Checkpoint::OnStop => total,
            Checkpoint::LastPeriodic => (total / spec.checkpoint_interval_s).floor() * spec.checkpoint_interval_s,
        };
        *saved = saved.max(kept.min(spec.estimated_run_time_s));
    }
}

/// Starts the fetch of a job's image unless the image is in the machine's cache.
fn fetch_image(machine: &mut Machine, spec: &JobSpec, rng: &mut Rng, now: Instant) {
    if machine.images.ready_at(&spec.image).is_some() {
        return;
    }
    let gb_per_s = (machine.kind.fetch_gb_per_s * (0.67 + 0.66 * rng.f64())).max(1e-6);
    let ready_at = now + duration_from_seconds(spec.image_gb / gb_per_s);
    machine.images.insert(spec.image.clone(), spec.image_gb, ready_at, machine.kind.cache_gb);
}
