//! What a report says of one task.

use std::time::Instant;

use super::{ExitCause, Heartbeat, TaskState, TaskStatus};
use crate::cluster::{Assignment, Cluster, TaskPhase};
use crate::model::*;

impl Cluster {
    /// `fenced`: the report is under this term's token.  One that is not may be of any
    /// age, and this leader has nothing to hold it against.
    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn apply_task_status(&mut self, r: &Heartbeat, t: &TaskStatus, fenced: bool, now: Instant) {
        if let Some(h) = self.dependency.unblock(&t.task.job) {
            // a command leaves only after its start is stored, and that only
            // after the ends of all that the job needs
            self.release_blocked_job(h);
        }
        let over = self.jobs.get(&t.task.job).is_none_or(|j| j.outcome.is_some() || j.completed.contains(t.task.index));
        let finishing = self.jobs.get(&t.task.job).is_some_and(|j| j.completed_unstored.contains(t.task.index));
        let cache = self.types.get(&r.kind).map_or(f64::INFINITY, |x| x.cache_gb);
        let Some(m) = self.machines.get_mut(&r.machine) else { return };
        let known = m.tasks.get(&t.task).is_some_and(|p| p.attempt == t.attempt);
        if t.state == TaskState::Exited {
            if !known && m.exited.contains_key(&t.task) {
                return;
            }
            let cause = t.cause.unwrap_or(ExitCause::Unknown);
            if cause == ExitCause::Completed && !over {
                // completed under whatever attempt: the result is kept
                if let Some(p) = m.tasks.get_mut(&t.task).filter(|p| p.attempt == t.attempt) {
                    if p.phase != TaskPhase::Completed {
                        p.phase = TaskPhase::Completed;
                        let p = p.clone();
                        self.record_runtime(&r.machine, &p, now);
                    }
                }
                if !finishing {
                    self.mark_completed(&t.task, now);
                }
                self.queue_changed = true;
                return;
            }
            if let Some(p) = m.tasks.get(&t.task).filter(|_| known) {
                // a gang's task may have been started again here under the same attempt
                if !fenced && !p.confirmed && p.spec.shape == Shape::Gang {
                    return;
                }
                let since = p.assigned_at;
                self.release_assignment(&r.machine, &t.task, now);
                self.apply_task_exit(&r.machine, &t.task, cause, over, since, now);
            }
            if let Some(m) = self.machines.get_mut(&r.machine) {
                m.exited.insert(t.task.clone(), t.attempt);
            }
            return;
        }
        let phase = match t.state {
            TaskState::Pulling => TaskPhase::Pulling,
            TaskState::WaitingForGang => TaskPhase::WaitingForGang,
            TaskState::Running => TaskPhase::Running,
            _ => TaskPhase::Checkpointing,
        };
        if !known {
            if !fenced && m.tasks.contains_key(&t.task) {
                // old news of an attempt before the one that is on record here
                return;
            }
            // on the machine without a record of it: it counts as present
            // and, unless it is what the job is waiting for, is stopped
            let Some(job) = self.jobs.get_mut(&t.task.job) else {
                tracing::error!("{} has {}, of an unknown job", r.machine, t.task);
                return;
            };
            tracing::info!("{} has {} attempt {}, which is not recorded", r.machine, t.task, t.attempt);
            let free = !job.assignments.contains_key(&t.task.index) && !over && !finishing;
            job.pending.remove(t.task.index);
            let list = job.assignments.entry(t.task.index).or_default();
            if !list.contains(&r.machine) {
                list.push(r.machine.clone());
            }
            let keep = free && job.spec.shape != Shape::Gang;
            let halt = (!keep).then_some(0.0);
            let mut place = Assignment::new(job.spec.clone(), t.attempt, r.incarnation, now);
            (place.stop_grace_s, place.stop_requested_at) = (halt, halt.map(|_| now));
            m.idle_since = None;
            m.tasks.insert(t.task.clone(), place);
            self.machines_to_command.insert(r.machine.clone());
            self.queue_start_record(&t.task, &r.machine, t.attempt, r.incarnation);
        }
        let Some(m) = self.machines.get_mut(&r.machine) else { return };
        let Some(p) = m.tasks.get_mut(&t.task) else { return };
        p.inherited = false;
        p.confirmed |= fenced;
        if p.phase == TaskPhase::Completed {
            return;
        }
        p.phase = phase;
        if over {
            p.stop_grace_s = Some(0.0);
            p.stop_requested_at.get_or_insert(now);
            self.machines_to_command.insert(r.machine.clone());
        }
        // what fails everywhere does not run for long
        let proof = self.policy.failure_rest;
        if phase == TaskPhase::Running
            && p.stop_grace_s.is_none()
            && p.running_since.is_some_and(|t| now.duration_since(t) > proof)
        {
            if let Some(j) = self.jobs.get_mut(&t.task.job).filter(|j| j.quarantine.is_some()) {
                (j.quarantine, j.not_before) = (None, None);
            }
        }
        if phase == TaskPhase::Running && p.running_since.is_none() {
            p.running_since = Some(now);
            tracing::debug!(
                "{} runs on {}, {:.1} s after it was placed",
                t.task,
                r.machine,
                now.duration_since(p.assigned_at).as_secs_f64()
            );
            let (image, gb) = (p.spec.image.clone(), p.spec.image_gb);
            m.use_image(&image, gb, cache);
        }
    }
}
