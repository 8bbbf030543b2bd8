//! Commands of the leader: starting and stopping tasks, and removing exited ones from the list.

use std::time::Instant;

use coralnotch_wire::model::{JobSpec, Resources, Shape, Task};
use coralnotch_wire::workers::{Command, ExitCause};
use fastrand::Rng;

use super::machine::{Machine, TaskPhase, TaskRecord};
use super::{seconds, unlist, WorkerPool};

/// Which part of a stopped task's progress is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Checkpoint {
    /// All of it: the task saves a checkpoint when it is stopped.
    OnStop,
    /// The part up to the last periodic checkpoint.
    LastPeriodic,
}

impl WorkerPool {
    pub(super) fn execute(&mut self, name: &str, commands: Vec<Command>, now: Instant) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(name, task, attempt, now),
                Command::Stop { task, attempt, grace } => self.stop_task(name, &task, attempt, grace, now),
                Command::Acknowledge { task, attempt } => self.acknowledge(name, &task, attempt),
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.next_change = now;
            self.mark_changed(name);
        }
    }

    /// Removes an exited attempt, whose end the leader has recorded.
    fn acknowledge(&mut self, name: &str, task: &Task, attempt: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_recorded = |record: &TaskRecord| record.attempt == attempt && record.phase.has_exited();
        if machine.tasks.get(task).is_some_and(is_recorded) {
            machine.tasks.remove(task);
            unlist(&mut self.machines_by_task, task, name);
        }
    }

    fn start_task(&mut self, name: &str, task: Task, attempt: u64, now: Instant) {
        let spec = self.specs.get(&task.job).filter(|spec| task.index < spec.tasks).cloned();
        let used = self.used(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.has_gang_tasks |= spec.as_ref().is_some_and(|spec| spec.shape == Shape::Gang);
        if machine.tasks.contains_key(&task) {
            // a repeated command, or busy with another attempt: the next heartbeat shows which
            return;
        }
        let phase = match spec {
            None => TaskPhase::exited(ExitCause::UnknownJob),
            Some(spec) => {
                let mut free = machine.kind.size();
                free.subtract(&used);
                if free.fits(&spec.size()) {
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

    /// What the tasks on a machine use that have not exited.
    fn used(&self, name: &str) -> Resources {
        let mut used = Resources::default();
        let tasks = self.machines.get(name).into_iter().flat_map(|machine| &machine.tasks);
        for (task, _) in tasks.filter(|(_, record)| !record.phase.has_exited()) {
            if let Some(spec) = self.specs.get(&task.job) {
                used.add(&spec.size());
            }
        }
        used
    }

    fn stop_task(&mut self, name: &str, task: &Task, attempt: u64, grace_s: f64, now: Instant) {
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let gang_deadline = now + seconds(self.settings.gang_peer_s);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(phase) = machine.tasks.get(task).filter(|record| record.attempt == attempt).map(|record| record.phase)
        else {
            return;
        };
        let (next, checkpoint) = match phase {
            TaskPhase::Running { .. } if spec.checkpoint_s > 0.0 && grace_s >= spec.save_s => {
                let until = now + seconds(spec.save_s);
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

    /// Key of a task's progress: a gang has one for all of its tasks.
    fn progress_key(task: &Task, spec: &JobSpec) -> Task {
        let index = if spec.shape == Shape::Gang { 0 } else { task.index };
        Task { job: task.job.clone(), index }
    }

    /// Seconds of the estimate that are left after the saved progress.
    pub(super) fn remaining_s(&self, task: &Task, spec: &JobSpec) -> f64 {
        spec.estimate_s - self.saved_progress.get(&Self::progress_key(task, spec)).copied().unwrap_or(0.0)
    }

    /// Saves what a task did since its start.
    fn save_progress(&mut self, task: &Task, spec: &JobSpec, work_done_s: f64, checkpoint: Checkpoint) {
        if spec.checkpoint_s <= 0.0 {
            return;
        }
        let saved = self.saved_progress.entry(Self::progress_key(task, spec)).or_default();
        let total = *saved + work_done_s / self.pace.max(1e-9);
        let kept = match checkpoint {
            Checkpoint::OnStop => total,
            Checkpoint::LastPeriodic => (total / spec.checkpoint_s).floor() * spec.checkpoint_s,
        };
        *saved = saved.max(kept.min(spec.estimate_s));
    }
}

/// Begins to fetch a job's image unless the machine has it.
fn fetch_image(machine: &mut Machine, spec: &JobSpec, rng: &mut Rng, now: Instant) {
    if machine.images.ready_at(&spec.image).is_some() {
        return;
    }
    let gb_per_s = (machine.kind.fetch_gb_per_s * (0.67 + 0.66 * rng.f64())).max(1e-6);
    let ready_at = now + seconds(spec.image_gb / gb_per_s);
    machine.images.insert(spec.image.clone(), spec.image_gb, ready_at, machine.kind.cache_gb);
}
