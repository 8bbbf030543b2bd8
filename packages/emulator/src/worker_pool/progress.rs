//! Time-driven changes: leases expire, image fetches complete, gangs start and tasks complete.

use std::collections::HashMap;
use std::time::Instant;

use coralnotch_wire::model::{JobSpec, Name, Shape, Task};
use coralnotch_wire::workers::ExitCause;

use super::gang::{GangAttempt, GangProgress};
use super::machine::{Machine, TaskPhase, TaskRecord};
use super::{duration_from_seconds, remove_task_machine, TimedStart, WorkerPool};

/// A task and the inputs that determine its next phase.
struct TaskContext<'a> {
    machine: &'a Name,
    task: &'a Task,
    spec: &'a JobSpec,
    /// Progress of the task's gang; `None` if the job is not a gang.
    gang: Option<GangProgress>,
    now: Instant,
}

impl WorkerPool {
    /// Advances all machines to the time `now`.
    pub fn step(&mut self, now: Instant) {
        self.expire_leases(now);
        let gangs = self.gang_progress();
        let due = |(name, machine): (&Name, &Machine)| {
            (machine.has_gang_tasks || machine.next_change_at <= now).then(|| name.clone())
        };
        for name in self.machines.iter().filter_map(due).collect::<Vec<_>>() {
            self.step_machine(&name, &gangs, now);
        }
    }

    /// Kills the tasks of workers whose lease has expired, and starts a new incarnation of these
    /// workers.
    fn expire_leases(&mut self, now: Instant) {
        let lease = duration_from_seconds(self.settings.lease_s);
        for (name, machine) in self.machines.iter_mut().filter(|(_, machine)| machine.is_lease_expired(lease, now)) {
            self.killed += machine.tasks.values().filter(|record| !record.phase.has_exited()).count() as u64;
            for task in machine.tasks.keys() {
                remove_task_machine(&mut self.machines_by_task, task, name);
            }
            machine.tasks.clear();
            machine.incarnation += 1;
            machine.lease_renewed_at = now;
            machine.has_changed = true;
            self.changed_machines.push(name.clone());
        }
    }

    fn step_machine(&mut self, name: &Name, gangs: &HashMap<GangAttempt, GangProgress>, now: Instant) {
        let Some(machine) = self.machines.get(name) else { return };
        let tasks: Vec<(Task, TaskRecord)> =
            machine.tasks.iter().map(|(task, record)| (task.clone(), record.clone())).collect();
        let mut has_changed = false;
        for (task, TaskRecord { attempt, phase }) in tasks {
            let Some(spec) = self.specs.get(&task.job).cloned() else { continue };
            let gang_attempt = GangAttempt { job: task.job.clone(), attempt };
            let gang = (spec.shape == Shape::Gang).then(|| gangs.get(&gang_attempt).copied().unwrap_or_default());
            let context = TaskContext { machine: name, task: &task, spec: &spec, gang, now };
            let next = self.next_phase(&context, phase);
            if next != phase {
                if let Some(machine) = self.machines.get_mut(name) {
                    has_changed = true;
                    machine.tasks.insert(task, TaskRecord { attempt, phase: next });
                }
            }
        }
        self.update_next_change(name, now);
        if has_changed {
            self.mark_changed(name);
        }
    }

    /// Updates the time at which a task on a machine next changes its phase by itself, and whether
    /// the machine has tasks of gangs.
    fn update_next_change(&mut self, name: &Name, now: Instant) {
        let Some(machine) = self.machines.get(name) else { return };
        let mut next_change_at = now + duration_from_seconds(self.settings.lease_s);
        let mut has_gang_tasks = false;
        for (task, record) in &machine.tasks {
            let Some(spec) = self.specs.get(&task.job) else { continue };
            has_gang_tasks |= spec.shape == Shape::Gang;
            if let Some(due) = self.phase_end(machine, task, spec, record.phase) {
                next_change_at = next_change_at.min(due);
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.next_change_at = next_change_at;
            machine.has_gang_tasks = has_gang_tasks;
        }
    }

    /// Returns when a phase ends by itself; `None` if it does not.
    fn phase_end(&self, machine: &Machine, task: &Task, spec: &JobSpec, phase: TaskPhase) -> Option<Instant> {
        match phase {
            TaskPhase::Pulling => machine.images.ready_at(&spec.image),
            TaskPhase::Running { .. } if spec.shape == Shape::Service => None,
            TaskPhase::Running { since } => {
                Some(since + duration_from_seconds(self.remaining_s(task, spec) * self.runtime_factor / machine.speed))
            }
            TaskPhase::GangMemberLost { until } | TaskPhase::Checkpointing { until, .. } => Some(until),
            TaskPhase::WaitingForGang { .. } | TaskPhase::Exited { .. } => None,
        }
    }

    /// Returns the phase that follows `phase`, or `phase` itself if it has not ended.
    fn next_phase(&mut self, context: &TaskContext<'_>, phase: TaskPhase) -> TaskPhase {
        match phase {
            TaskPhase::Pulling => self.after_pulling(context),
            TaskPhase::WaitingForGang { since } => self.after_gang_wait(context, since),
            TaskPhase::Running { since } => self.after_running(context, since),
            TaskPhase::GangMemberLost { until } if until <= context.now => TaskPhase::exited(ExitCause::GangMemberLost),
            TaskPhase::Checkpointing { until, gang_deadline } if until <= context.now => {
                // A gang's checkpoint counts only once all of its tasks were stopped in time.
                let is_complete = context.gang.is_none_or(|gang| gang.started >= context.spec.tasks);
                match is_complete {
                    true => TaskPhase::Exited { cause: ExitCause::StoppedByCommand, saved: Some(true) },
                    false if gang_deadline <= context.now => TaskPhase::exited(ExitCause::GangMemberLost),
                    false => phase,
                }
            }
            _ => phase,
        }
    }

    fn after_pulling(&mut self, context: &TaskContext<'_>) -> TaskPhase {
        let Some(machine) = self.machines.get(context.machine) else { return TaskPhase::Pulling };
        if machine.images.ready_at(&context.spec.image).is_some_and(|ready_at| ready_at > context.now) {
            return TaskPhase::Pulling;
        }
        self.check_start(context.machine, context.task, context.spec);
        if self.is_completed(context.task) {
            TaskPhase::exited(ExitCause::Completed)
        } else if context.gang.is_some() {
            TaskPhase::WaitingForGang { since: context.now }
        } else {
            self.begin_running(context)
        }
    }

    fn after_gang_wait(&mut self, context: &TaskContext<'_>, since: Instant) -> TaskPhase {
        if context.gang.unwrap_or_default().present() >= context.spec.tasks {
            self.begin_running(context)
        } else if context.now.saturating_duration_since(since) > duration_from_seconds(self.settings.gang_wait_s) {
            TaskPhase::exited(ExitCause::GangTimeout)
        } else {
            TaskPhase::WaitingForGang { since }
        }
    }

    fn after_running(&mut self, context: &TaskContext<'_>, since: Instant) -> TaskPhase {
        let Some(machine) = self.machines.get(context.machine) else { return TaskPhase::Running { since } };
        let work_done_s = machine.work_done_s(since, context.now);
        let is_finished = work_done_s >= self.remaining_s(context.task, context.spec) * self.runtime_factor;
        if context.spec.shape != Shape::Service && is_finished {
            self.record_completion(context);
            return TaskPhase::exited(ExitCause::Completed);
        }
        match context.gang {
            // Another task of the gang has completed, which completes all of them.
            Some(_) if self.is_completed(context.task) => TaskPhase::exited(ExitCause::Completed),
            Some(gang) if gang.present() < context.spec.tasks => {
                TaskPhase::GangMemberLost { until: context.now + duration_from_seconds(self.settings.gang_peer_s) }
            }
            _ => TaskPhase::Running { since },
        }
    }

    fn is_completed(&self, task: &Task) -> bool {
        self.completed_tasks.get(&task.job).is_some_and(|completed| completed.contains(&task.index))
    }

    /// Records the completion of a task or, if it is one of a gang, of all tasks of the gang.
    fn record_completion(&mut self, context: &TaskContext<'_>) {
        let job = &context.task.job;
        let completed = self.completed_tasks.entry(job.clone()).or_default();
        match context.gang {
            Some(_) => completed.extend(0..context.spec.tasks),
            None => drop(completed.insert(context.task.index)),
        }
        if completed.len() as u32 >= context.spec.tasks {
            self.completed_at.entry(job.clone()).or_insert(context.now);
        }
    }

    /// Counts the start of a task and returns its running phase.  If it was the last task of a timed
    /// job to start, the start of the job is recorded.
    fn begin_running(&mut self, context: &TaskContext<'_>) -> TaskPhase {
        let job = &context.task.job;
        self.started += 1;
        if let Some(remaining) = self.tasks_to_start.get_mut(job) {
            *remaining -= 1;
            if *remaining == 0 {
                self.tasks_to_start.remove(job);
                self.timed_starts.push(TimedStart { job: job.clone(), at: context.now });
            }
        }
        TaskPhase::Running { since: context.now }
    }
}
