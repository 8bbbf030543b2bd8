//! Records of starts and completed tasks, which are stored in shards.

use super::{Assignment, QueuePriority};
use crate::model::*;

/// The record of the start of a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRecord {
    /// Machine on which the task is started.
    pub machine: Name,
    /// Task that is started.
    pub task: Task,
    /// Attempt number of the start; the tasks of a gang share one.
    pub attempt: u64,
    /// Incarnation of the worker to which the start is addressed.
    pub incarnation: u64,
}

impl StartRecord {
    /// Reports whether this start belongs to an assignment of the same task on the same
    /// machine.  The same attempt for another incarnation of the worker is another start.
    pub fn matches_assignment(&self, assignment: &Assignment) -> bool {
        assignment.attempt == self.attempt && assignment.incarnation == self.incarnation
    }
}

/// A shard of start records and completed tasks, as last written.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementShard {
    /// Revision of the key of the shard; 0 if the key is absent.
    pub revision: u64,
    /// Records of starts.
    pub starts: Vec<StartRecord>,
    /// Completed tasks, by job.
    pub completed: Vec<(Name, TaskIndexSet)>,
}

/// The properties of a machine that are stored and listed apart from its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineLocation {
    /// Machine type.
    pub machine_type: Name,
    /// Zone in which the machine runs.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
}

/// The position of a start among those to be stored.  Starts are stored by the queue priority
/// of their jobs, and within a priority in the order in which they were queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Queue priority of the job.
    pub priority: QueuePriority,
    /// Sequence number, which grows with each start that is queued.
    pub sequence: u64,
}
