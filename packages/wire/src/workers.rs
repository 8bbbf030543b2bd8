//! Workers' reports and the commands that answer them.

use serde::{Deserialize, Serialize};

use crate::model::{Name, Task};

/// A task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Task.
    #[serde(rename = "piece")]
    pub task: Task,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// States of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waits for its image.
    Pulling,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    Running,
    /// Saves.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    #[serde(rename = "done")]
    Completed,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    StoppedByCommand,
    /// Another task of the gang is gone.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// Failed.
    #[serde(rename = "error")]
    Failed,
    /// Refused: no room.
    NoRoom,
    /// Refused: here with another attempt.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// Refused: no such job.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A cause this version does not know; the task has ended all the same.
    #[serde(other)]
    Unknown,
}

/// Where a report comes from: as much of it as a controller reads that sends its
/// worker on.
#[derive(Debug, Deserialize)]
pub struct HeartbeatOrigin {
    /// Zone.
    #[serde(rename = "bay")]
    pub zone: Name,
}

/// A report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine.
    #[serde(rename = "polyp")]
    pub machine: Name,
    /// Its address.
    pub address: Name,
    /// Its type.
    #[serde(rename = "hull")]
    pub kind: Name,
    /// Its zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Spot or ordinary.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Number of the report.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warningS", default)]
    pub reclaim_in_s: Option<f64>,
    /// Tasks.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start.
    #[serde(rename = "run")]
    Start {
        /// Task.
        #[serde(rename = "piece")]
        task: Task,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop.
    #[serde(rename = "halt")]
    Stop {
        /// Task.
        #[serde(rename = "piece")]
        task: Task,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save.
        #[serde(rename = "windDownS")]
        grace: f64,
    },
    /// Forget an exited task.
    #[serde(rename = "reap")]
    Acknowledge {
        /// Task.
        #[serde(rename = "piece")]
        task: Task,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// An answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// A direct command's body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommandBody {
    /// Token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Session.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
