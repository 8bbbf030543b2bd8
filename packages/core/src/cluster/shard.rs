//! Starts and completed tasks, as shards of the store hold them.

use super::{Assignment, QueuePriority};
use crate::model::*;

/// The record of a start.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRecord {
    /// The machine.
    pub machine: Name,
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
    /// The incarnation of the worker that the start is for.
    pub incarnation: u64,
}

impl StartRecord {
    /// Whether this is the start of an assignment of its task on its machine.  The same
    /// attempt for another incarnation is another start.
    pub fn is_of(&self, assignment: &Assignment) -> bool {
        assignment.attempt == self.attempt && assignment.incarnation == self.incarnation
    }
}

/// A shard as last written.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementShard {
    /// Revision of its key, 0 if the key is absent.
    pub revision: u64,
    /// Starts.
    pub starts: Vec<StartRecord>,
    /// Completed tasks by job.
    pub completed: Vec<(Name, Ranges)>,
}

/// What is known of a machine apart from its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineLocation {
    /// Its type.
    pub kind: Name,
    /// Its zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// The order in which starts are stored: by the priority of their jobs, then as they were
/// decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Priority of the job.
    pub priority: QueuePriority,
    /// Number of the decision.
    pub sequence: u64,
}
