//! Failures: whether a job or a machine is to blame.

use std::collections::BTreeMap;
use std::time::Instant;

use super::ExitCause;
use crate::cluster::{Assignment, Cluster, Quarantine, TaskPhase, QUARANTINED};
use crate::model::*;

/// Why a machine that fails the tasks of several jobs is drained.
pub(super) const FAILS: &str = "fails its tasks";
/// Probes of a broken job after which their distance doubles no more.
const MOST_BACKOFF: u32 = 5;

impl Cluster {
    /// A task that was placed at `since` ended without completing.
    pub(super) fn apply_task_exit(
        &mut self,
        machine: &Name,
        task: &Task,
        cause: ExitCause,
        over: bool,
        since: Instant,
        now: Instant,
    ) {
        let rest = self.policy.failure_rest;
        if !matches!(cause, ExitCause::StoppedByCommand) {
            tracing::debug!("{task} on {machine} ended: {cause:?}");
        }
        if over {
            return;
        }
        if cause == ExitCause::Failed {
            return self.record_failure(machine, &task.job, since, now);
        }
        let (Some(m), Some(job)) = (self.machines.get_mut(machine), self.jobs.get_mut(&task.job)) else { return };
        match cause {
            ExitCause::NoRoom | ExitCause::AttemptConflict => m.cooldown_until = Some(now + rest),
            ExitCause::UnknownJob | ExitCause::Unknown => job.not_before = Some(now + rest),
            ExitCause::Failed
            | ExitCause::Completed
            | ExitCause::StoppedByCommand
            | ExitCause::GangMemberLost
            | ExitCause::GangTimeout => {}
        }
    }

    /// A task failed.  A faulty machine fails the tasks of many jobs, a faulty
    /// job fails on many machines: blame whichever repeats.  A job is taken for
    /// broken while none of its tasks has completed, once it has failed on
    /// several machines that fail nothing else: on more than it runs on, those
    /// that have yet to show counted by a quarter.  Then its machines are
    /// cleared of the blame, what of it still waits for its image is stopped,
    /// and single probes follow further and further apart.
    fn record_failure(&mut self, machine: &Name, id: &Name, since: Instant, now: Instant) {
        let rest = self.policy.failure_rest;
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.failed_on.insert(machine.clone());
        let sound = |n: &&Name| {
            let m = self.machines.get(*n);
            m.is_some_and(|m| m.cordon_reason.is_none() && m.failed_jobs.iter().all(|j| j == id))
        };
        let evidence = job.failed_on.iter().filter(sound).count();
        let place = |(n, t): &(Name, Task)| self.machines.get(n).and_then(|m| m.tasks.get(t));
        let placed = job.placed_tasks();
        let mut others: BTreeMap<&Name, bool> = BTreeMap::new();
        for p in placed.iter().filter(|p| !job.failed_on.contains(&p.0)) {
            *others.entry(&p.0).or_default() |= place(p).is_some_and(|p| p.running_since.is_some());
        }
        let runs = others.values().filter(|r| **r).count();
        let against = runs + (others.len() - runs) / 4;
        let proven = job.has_completed_task();
        match &mut job.quarantine {
            Some(s) if since >= s.since => {
                s.probes += 1;
                s.since = now + rest * 2u32.pow(s.probes.min(MOST_BACKOFF)) / 2;
                job.not_before = Some(s.since);
                tracing::info!("{id} fails again: next probe in {:.0} s", (s.since - now).as_secs_f64());
            }
            Some(_) => {}
            None if !proven && evidence >= 2 && evidence > against => {
                tracing::info!("{id} fails on {evidence} machines: taken for broken, probed one task at a time");
                job.quarantine = Some(Quarantine { since: now, probes: 0 });
                job.pending_reason = QUARANTINED;
                let fetches = |p: &Assignment| matches!(p.phase, TaskPhase::Assigned | TaskPhase::Pulling);
                let wait: Vec<_> = placed.iter().filter(|p| place(p).is_some_and(fetches)).cloned().collect();
                for n in job.failed_on.clone() {
                    self.clear_failure(&n, id);
                }
                for (m, t) in wait {
                    self.request_stop(&m, &t, 0.0, now);
                }
                return;
            }
            None => {
                let Some(m) = self.machines.get_mut(machine) else { return };
                m.failed_jobs.insert(id.clone());
                m.cooldown_until = Some(now + rest * 2);
                if m.failed_jobs.len() >= 2 && m.cordon_reason.is_none() {
                    tracing::info!("machine {machine} fails tasks of {} jobs: drained", m.failed_jobs.len());
                    m.cordon_reason = Some(FAILS);
                }
                return;
            }
        }
        self.clear_failure(machine, id);
    }

    /// A machine is not to blame for a broken job's failures.
    fn clear_failure(&mut self, machine: &Name, id: &Name) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.failed_jobs.remove(id);
        if m.failed_jobs.is_empty() {
            m.cooldown_until = None;
        }
        if m.cordon_reason == Some(FAILS) && m.failed_jobs.len() < 2 {
            m.cordon_reason = None;
        }
        self.queue_changed = true;
    }
}
