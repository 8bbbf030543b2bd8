//! The view of one machine in a placement pass.

use crate::cluster::{Cluster, Machine, QueuePriority};
use crate::model::*;

/// The location of a machine, by the indices that the pass assigns to pools and zones.
pub(super) struct SlotLocation {
    pub(super) pool: usize,
    pub(super) zone: usize,
}

/// An image that a machine has to fetch.
#[derive(Clone, Copy)]
pub(super) struct ImageFetch<'a> {
    pub(super) image: &'a Name,
    pub(super) size_gb: f64,
}

/// A machine that tasks may be placed on, with its free resources.
pub(super) struct MachineSlot<'a> {
    pub(super) machine: &'a Machine,
    /// Index of the machine's pool.
    pub(super) pool: usize,
    /// Index of the machine's zone.
    pub(super) zone: usize,
    /// Resources that are free now, less those reserved for blocked jobs.
    pub(super) free: Resources,
    /// Resources that are free once the stopping tasks have ended, less those reserved.
    pub(super) free_after_stops: Resources,
    /// Whether tasks are stopping, so that more resources than `free` will become available.
    pub(super) has_stopping_tasks: bool,
    /// Resources that service replicas do not use.  Replicas are packed by this value.  Packed by
    /// `free`, each replica would be placed where a short task has just ended, and would occupy a
    /// machine alone once the other short tasks there have ended.
    pub(super) unused_by_replicas: Resources,
    /// Number of further tasks that the machine may take.
    pub(super) remaining_task_capacity: usize,
    /// Lowest queue priority (the last in queue order) among the tasks on the machine; `None` if
    /// there is no task that could be preempted.
    pub(super) lowest_priority: Option<QueuePriority>,
    /// Images that tasks started in this pass will fetch.
    pub(super) fetches: Vec<ImageFetch<'a>>,
    /// Whether the slot's tier has changed for the current job, so that it is listed in
    /// `Pass::reranked_slots`.
    pub(super) is_reranked: bool,
}

impl<'a> MachineSlot<'a> {
    /// Creates the slot of a schedulable machine.  Every task that is or may be on the machine
    /// counts against its free resources.
    pub(super) fn new(machine: &'a Machine, location: SlotLocation, cluster: &Cluster) -> MachineSlot<'a> {
        let mut slot = MachineSlot {
            machine,
            pool: location.pool,
            zone: location.zone,
            free: machine.size,
            free_after_stops: machine.size,
            has_stopping_tasks: false,
            unused_by_replicas: machine.size,
            remaining_task_capacity: cluster.policy.most_tasks - (machine.tasks.len() + machine.exited.len()),
            lowest_priority: None,
            fetches: Vec::new(),
            is_reranked: false,
        };
        for task in machine.tasks.values().filter(|task| task.occupies_resources()) {
            let size = task.spec.resources_per_task();
            slot.free.subtract(&size);
            if task.spec.shape == Shape::Service {
                slot.unused_by_replicas.subtract(&size);
            }
            if task.stop_grace_s.is_some() {
                slot.has_stopping_tasks = true;
                continue;
            }
            slot.free_after_stops.subtract(&size);
            if let Some(job) = cluster.jobs.get(&task.spec.id).filter(|_| !task.inherited) {
                slot.lowest_priority = slot.lowest_priority.max(Some(job.queue_priority()));
            }
        }
        slot
    }
}
