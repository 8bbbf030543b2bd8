//! Model of the progress of tasks on their machines.

use super::*;

/// Time for which a task of a gang waits for the other tasks.
const GANG_TIMEOUT: Ms = 20_000;
/// Length of a gang period.  The tasks of a gang run until the end of a period, so that all
/// of them end at the same time.
const GANG_PERIOD: Ms = 10_000;

impl World {
    /// Advances each task of a worker to its progress at the current time.
    pub(super) fn advance_tasks(&mut self, i: usize) {
        let tasks: Vec<Task> = self.workers[i].tasks.keys().cloned().collect();
        for task in tasks {
            let Some(current) = self.workers[i].tasks.get(&task).copied() else { continue };
            let Some(spec) = self.jobs.get(&task.job).map(|job| job.spec.clone()) else { continue };
            let progress = self.next_progress(i, &task, current, &spec);
            if progress != current.progress {
                let worker = &mut self.workers[i];
                worker.schedule_early_heartbeat(self.now);
                worker.tasks.insert(task, WorkerTask { progress, ..current });
            }
        }
    }

    fn next_progress(&mut self, i: usize, task: &Task, current: WorkerTask, spec: &JobSpec) -> TaskProgress {
        match current.progress {
            TaskProgress::Pulling { until } if until <= self.now => {
                self.check_task_start(i, task, spec);
                self.start_task(i, task, spec)
            }
            TaskProgress::WaitingForGang { since } => {
                if self.gang_size(task, current.attempt) >= spec.tasks as usize {
                    TaskProgress::Running { until: since / GANG_PERIOD * GANG_PERIOD + 4 * GANG_PERIOD }
                } else if self.now - since > GANG_TIMEOUT {
                    TaskProgress::Ended(ExitCause::GangTimeout)
                } else {
                    current.progress
                }
            }
            TaskProgress::Running { until } if until <= self.now && spec.shape != Shape::Service => {
                self.finish_task(task, spec);
                TaskProgress::Ended(ExitCause::Completed)
            }
            unchanged => unchanged,
        }
    }

    /// Starts a task whose image is pulled, and returns its progress.
    fn start_task(&mut self, i: usize, task: &Task, spec: &JobSpec) -> TaskProgress {
        if self.workers[i].tasks_fail || self.failing_jobs.contains(&task.job) {
            return TaskProgress::Ended(ExitCause::Failed);
        }
        if self.task_finished_at.contains_key(task) {
            return TaskProgress::Ended(ExitCause::Completed);
        }
        match spec.shape {
            Shape::Gang => TaskProgress::WaitingForGang { since: self.now },
            Shape::Service => TaskProgress::Running { until: self.now + Ms::MAX / 2 },
            Shape::Array => TaskProgress::Running { until: self.now + self.rng.u64(20..250) * STEP },
        }
    }

    /// Returns how many tasks of a gang are on their machines in the given attempt.
    fn gang_size(&self, task: &Task, attempt: u64) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        let is_member = |(other, current): &(&Task, &WorkerTask)| {
            other.job == task.job && current.attempt == attempt && current.progress.is_active()
        };
        tasks.filter(is_member).count()
    }

    /// Records that a task has completed.  All tasks of a gang complete with the first of them.
    fn finish_task(&mut self, task: &Task, spec: &JobSpec) {
        self.task_finished_at.insert(task.clone(), self.now);
        if spec.shape == Shape::Gang {
            for index in 0..spec.tasks {
                self.task_finished_at.entry(Task { job: task.job.clone(), index }).or_insert(self.now);
            }
        }
        if self.has_finished_all_tasks(&task.job, spec) {
            self.completing_jobs.push(task.job.clone());
        }
    }

    /// Reports whether every task of a job has completed.
    pub(super) fn has_finished_all_tasks(&self, id: &Name, spec: &JobSpec) -> bool {
        (0..spec.tasks).all(|index| self.has_finished(id, index))
    }

    /// Reports whether a task has completed.
    pub(super) fn has_finished(&self, id: &Name, index: u32) -> bool {
        self.task_finished_at.contains_key(&Task { job: id.clone(), index })
    }
}
