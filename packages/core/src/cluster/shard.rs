//! Starts and completed tasks as pages of the store hold them.

use super::Assignment;
use crate::model::*;

/// A start as pages keep it.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRecord {
    /// Machine.
    pub machine: Name,
    /// Task.
    pub task: Task,
    /// Attempt.
    pub attempt: u64,
    /// The worker's session that the start is for.
    pub incarnation: u64,
}

impl StartRecord {
    /// Whether this is the start of an assignment of its task on its machine.  The same
    /// attempt for another incarnation is another start.
    pub fn is_of(&self, assignment: &Assignment) -> bool {
        assignment.attempt == self.attempt && assignment.incarnation == self.incarnation
    }
}

/// A page as last written.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementShard {
    /// Stamp of its key, 0 if it is not there.
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

/// The order in which starts are stored: by the turn of their jobs, then as
/// they were decided.
pub type QueueKey = ((bool, Priority), u64);
