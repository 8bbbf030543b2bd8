//! Progress of gang attempts across all machines.

use std::collections::HashMap;

use coralnotch_wire::model::Name;
use coralnotch_wire::workers::ExitCause;

use super::machine::TaskPhase;
use super::WorkerPool;

/// One attempt of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct GangAttempt {
    pub(super) job: Name,
    pub(super) attempt: u64,
}

/// Numbers of the tasks of a gang attempt that wait or have started.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangProgress {
    /// Tasks that wait for the other tasks of the gang.
    pub(super) waiting: u32,
    /// Tasks that run, are saving a checkpoint, have completed, or have exited with a saved
    /// checkpoint.
    pub(super) started: u32,
}

impl GangProgress {
    /// Returns the number of tasks that wait or have started; lost tasks are not counted.
    pub(super) fn present(&self) -> u32 {
        self.waiting + self.started
    }
}

impl WorkerPool {
    pub(super) fn gang_progress(&self) -> HashMap<GangAttempt, GangProgress> {
        let mut gangs: HashMap<GangAttempt, GangProgress> = HashMap::new();
        let machines = self.machines.values().filter(|machine| machine.has_gang_tasks);
        for (task, record) in machines.flat_map(|machine| &machine.tasks) {
            let attempt = GangAttempt { job: task.job.clone(), attempt: record.attempt };
            let progress = gangs.entry(attempt).or_default();
            match record.phase {
                TaskPhase::WaitingForGang { .. } => progress.waiting += 1,
                TaskPhase::Running { .. }
                | TaskPhase::Checkpointing { .. }
                | TaskPhase::Exited { cause: ExitCause::Completed, .. }
                | TaskPhase::Exited { saved: Some(true), .. } => progress.started += 1,
                _ => {}
            }
        }
        gangs
    }
}
