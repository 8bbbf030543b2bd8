//! A machine in a placement pass.

use crate::cluster::{Cluster, Machine, QueuePriority};
use crate::model::*;

/// Where a machine belongs, by the indices of a pass.
pub(super) struct SlotLocation {
    pub(super) pool: usize,
    pub(super) zone: usize,
}

/// An image that a machine fetches.
#[derive(Clone, Copy)]
pub(super) struct ImageFetch<'a> {
    pub(super) image: &'a Name,
    pub(super) size_gb: f64,
}

/// A machine that tasks may be placed on, with what is free there.
pub(super) struct MachineSlot<'a> {
    pub(super) machine: &'a Machine,
    /// Index of its pool.
    pub(super) pool: usize,
    /// Index of its zone.
    pub(super) zone: usize,
    /// Free now, less what is reserved for blocked heads.
    pub(super) free: Resources,
    /// Free once the tasks that are stopping have gone, less what is reserved.
    pub(super) free_after_stops: Resources,
    /// Tasks are stopping: more than `free` will be free.
    pub(super) has_stopping_tasks: bool,
    /// Free once all but replicas have gone: replicas are packed by it, or each would
    /// run where some short task just ended, and keep a machine of its own when those
    /// are through.
    pub(super) free_of_replicas: Resources,
    /// Number of tasks that may yet be added.
    pub(super) open_task_slots: usize,
    /// The priority that comes last in the queue among the tasks here; `None` without
    /// tasks that could be preempted.
    pub(super) last_priority: Option<QueuePriority>,
    /// Images that tasks of this pass will fetch.
    pub(super) fetches: Vec<ImageFetch<'a>>,
    /// Its tier has changed for the job that is being placed: the pass keeps it apart.
    pub(super) is_reranked: bool,
}

impl<'a> MachineSlot<'a> {
    /// The slot of a schedulable machine, with all that may be present there counted.
    pub(super) fn new(machine: &'a Machine, location: SlotLocation, cluster: &Cluster) -> MachineSlot<'a> {
        let mut slot = MachineSlot {
            machine,
            pool: location.pool,
            zone: location.zone,
            free: machine.size,
            free_after_stops: machine.size,
            has_stopping_tasks: false,
            free_of_replicas: machine.size,
            open_task_slots: cluster.policy.most_tasks - (machine.tasks.len() + machine.exited.len()),
            last_priority: None,
            fetches: Vec::new(),
            is_reranked: false,
        };
        for task in machine.tasks.values().filter(|task| task.occupies_resources()) {
            let size = task.spec.size();
            slot.free.subtract(&size);
            if task.spec.shape == Shape::Service {
                slot.free_of_replicas.subtract(&size);
            }
            if task.stop_grace_s.is_some() {
                slot.has_stopping_tasks = true;
                continue;
            }
            slot.free_after_stops.subtract(&size);
            if let Some(job) = cluster.jobs.get(&task.spec.id).filter(|_| !task.inherited) {
                slot.last_priority = slot.last_priority.max(Some(job.queue_priority()));
            }
        }
        slot
    }
}
