//! What happens as time passes: leases expire, images arrive, gangs start, tasks complete.

use std::collections::HashMap;
use std::time::Instant;

use coralnotch_wire::model::{JobSpec, Name, Shape, Task};
use coralnotch_wire::workers::ExitCause;

use super::gang::{GangAttempt, GangProgress};
use super::machine::{Machine, TaskPhase, TaskRecord};
use super::{seconds, unlist, TimedStart, WorkerPool};

/// A task whose next phase is to be found.
struct Step<'a> {
    machine: &'a Name,
    task: &'a Task,
    spec: &'a JobSpec,
    /// How far its gang is, if it is one of a gang.
    gang: Option<GangProgress>,
    now: Instant,
}

impl WorkerPool {
    /// Brings all machines up to the present.
    pub fn step(&mut self, now: Instant) {
        self.expire_leases(now);
        let gangs = self.gang_progress();
        let due = |(name, machine): (&Name, &Machine)| {
            (machine.has_gang_tasks || machine.next_change <= now).then(|| name.clone())
        };
        for name in self.machines.iter().filter_map(due).collect::<Vec<_>>() {
            self.step_machine(&name, &gangs, now);
        }
    }

    /// Kills the tasks of workers whose lease expired; these begin a new incarnation.
    fn expire_leases(&mut self, now: Instant) {
        let lease = seconds(self.settings.lease_s);
        for (name, machine) in self.machines.iter_mut().filter(|(_, machine)| machine.is_lease_expired(lease, now)) {
            self.killed += machine.tasks.values().filter(|record| !record.phase.has_exited()).count() as u64;
            for task in machine.tasks.keys() {
                unlist(&mut self.machines_by_task, task, name);
            }
            machine.tasks.clear();
            machine.incarnation += 1;
            machine.lease_renewed = now;
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
            let step = Step { machine: name, task: &task, spec: &spec, gang, now };
            let next = self.next_phase(&step, phase);
            if next != phase {
                if let Some(machine) = self.machines.get_mut(name) {
                    has_changed = true;
                    machine.tasks.insert(task, TaskRecord { attempt, phase: next });
                }
            }
        }
        self.schedule(name, now);
        if has_changed {
            self.mark_changed(name);
        }
    }

    /// Notes when something on a machine next changes by itself, and whether it has tasks of gangs.
    fn schedule(&mut self, name: &Name, now: Instant) {
        let Some(machine) = self.machines.get(name) else { return };
        let mut next_change = now + seconds(self.settings.lease_s);
        let mut has_gang_tasks = false;
        for (task, record) in &machine.tasks {
            let Some(spec) = self.specs.get(&task.job) else { continue };
            has_gang_tasks |= spec.shape == Shape::Gang;
            if let Some(due) = self.phase_end(machine, task, spec, record.phase) {
                next_change = next_change.min(due);
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.next_change = next_change;
            machine.has_gang_tasks = has_gang_tasks;
        }
    }

    /// When a phase ends by itself, if it does.
    fn phase_end(&self, machine: &Machine, task: &Task, spec: &JobSpec, phase: TaskPhase) -> Option<Instant> {
        match phase {
            TaskPhase::Pulling => machine.images.ready_at(&spec.image),
            TaskPhase::Running { .. } if spec.shape == Shape::Service => None,
            TaskPhase::Running { since } => {
                Some(since + seconds(self.remaining_s(task, spec) * self.pace / machine.speed))
            }
            TaskPhase::GangMemberLost { until } | TaskPhase::Checkpointing { until, .. } => Some(until),
            TaskPhase::WaitingForGang { .. } | TaskPhase::Exited { .. } => None,
        }
    }

    /// The phase of a task at this time; the same one if nothing ended it.
    fn next_phase(&mut self, step: &Step<'_>, phase: TaskPhase) -> TaskPhase {
        match phase {
            TaskPhase::Pulling => self.after_pulling(step),
            TaskPhase::WaitingForGang { since } => self.after_gang_wait(step, since),
            TaskPhase::Running { since } => self.after_running(step, since),
            TaskPhase::GangMemberLost { until } if until <= step.now => TaskPhase::exited(ExitCause::GangMemberLost),
            TaskPhase::Checkpointing { until, gang_deadline } if until <= step.now => {
                // a gang's checkpoint counts once all of its tasks were stopped in time
                let is_complete = step.gang.is_none_or(|gang| gang.started >= step.spec.tasks);
                match is_complete {
                    true => TaskPhase::Exited { cause: ExitCause::StoppedByCommand, saved: Some(true) },
                    false if gang_deadline <= step.now => TaskPhase::exited(ExitCause::GangMemberLost),
                    false => phase,
                }
            }
            _ => phase,
        }
    }

    fn after_pulling(&mut self, step: &Step<'_>) -> TaskPhase {
        let Some(machine) = self.machines.get(step.machine) else { return TaskPhase::Pulling };
        if machine.images.ready_at(&step.spec.image).is_some_and(|ready_at| ready_at > step.now) {
            return TaskPhase::Pulling;
        }
        self.check_start(step.machine, step.task, step.spec);
        if self.is_completed(step.task) {
            TaskPhase::exited(ExitCause::Completed)
        } else if step.gang.is_some() {
            TaskPhase::WaitingForGang { since: step.now }
        } else {
            self.begin_running(step)
        }
    }

    fn after_gang_wait(&mut self, step: &Step<'_>, since: Instant) -> TaskPhase {
        if step.gang.unwrap_or_default().present() >= step.spec.tasks {
            self.begin_running(step)
        } else if step.now.saturating_duration_since(since) > seconds(self.settings.gang_wait_s) {
            TaskPhase::exited(ExitCause::GangTimeout)
        } else {
            TaskPhase::WaitingForGang { since }
        }
    }

    fn after_running(&mut self, step: &Step<'_>, since: Instant) -> TaskPhase {
        let Some(machine) = self.machines.get(step.machine) else { return TaskPhase::Running { since } };
        let work_done_s = machine.work_done_s(since, step.now);
        let is_finished = work_done_s >= self.remaining_s(step.task, step.spec) * self.pace;
        if step.spec.shape != Shape::Service && is_finished {
            self.record_completion(step);
            return TaskPhase::exited(ExitCause::Completed);
        }
        match step.gang {
            // another task of the gang completed all of it
            Some(_) if self.is_completed(step.task) => TaskPhase::exited(ExitCause::Completed),
            Some(gang) if gang.present() < step.spec.tasks => {
                TaskPhase::GangMemberLost { until: step.now + seconds(self.settings.gang_peer_s) }
            }
            _ => TaskPhase::Running { since },
        }
    }

    fn is_completed(&self, task: &Task) -> bool {
        self.completed_tasks.get(&task.job).is_some_and(|completed| completed.contains(&task.index))
    }

    /// Records that a task completed, or all tasks of its gang.
    fn record_completion(&mut self, step: &Step<'_>) {
        let job = &step.task.job;
        let completed = self.completed_tasks.entry(job.clone()).or_default();
        match step.gang {
            Some(_) => completed.extend(0..step.spec.tasks),
            None => drop(completed.insert(step.task.index)),
        }
        if completed.len() as u32 >= step.spec.tasks {
            self.completed_at.entry(job.clone()).or_insert(step.now);
        }
    }

    /// Counts a start, which is the last one of a timed job when no more are awaited.
    fn begin_running(&mut self, step: &Step<'_>) -> TaskPhase {
        let job = &step.task.job;
        self.started += 1;
        if let Some(left) = self.tasks_to_start.get_mut(job) {
            *left -= 1;
            if *left == 0 {
                self.tasks_to_start.remove(job);
                self.timed_starts.push(TimedStart { job: job.clone(), at: step.now });
            }
        }
        TaskPhase::Running { since: step.now }
    }
}
