//! How far the attempts of gangs are, over all machines.

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

/// How many tasks of a gang's attempt are how far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangProgress {
    /// They wait for the others.
    pub(super) waiting: u32,
    /// They run, save a checkpoint, or have completed or saved one.
    pub(super) started: u32,
}

impl GangProgress {
    /// Tasks that are ready to start together or have started; one that was lost is not counted.
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
