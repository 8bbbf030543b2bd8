//! Workers' heartbeats and the commands in the replies to them.

use serde::{Deserialize, Serialize};

use crate::model::{Name, Task};

/// The status of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: Task,
    /// Attempt to which the status belongs.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it has exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved before it exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being pulled.
    Pulling,
    /// It waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// It runs.
    Running,
    /// It saves its progress.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It has exited.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It has completed.
    #[serde(rename = "done")]
    Completed,
    /// It was stopped by a command.
    #[serde(rename = "stopped")]
    StoppedByCommand,
    /// Another task of its gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// It has failed.
    #[serde(rename = "error")]
    Failed,
    /// It was refused: the machine has not enough free resources.
    NoRoom,
    /// It was refused: another attempt of it is on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// It was refused: the job is not known.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A cause that this version does not know; the task has exited all the same.
    #[serde(other)]
    Unknown,
}

/// The part of a heartbeat that a controller reads to redirect its worker.
#[derive(Debug, Deserialize)]
pub struct HeartbeatOrigin {
    /// Zone of the machine.
    #[serde(rename = "bay")]
    pub zone: Name,
}

/// A heartbeat of a worker with the status of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "polyp")]
    pub machine: Name,
    /// Address of its worker.
    pub address: Name,
    /// Its type.
    #[serde(rename = "hull")]
    pub kind: Name,
    /// Its zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Whether it is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Incarnation of the worker.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine, in seconds, if it has announced that.
    #[serde(rename = "warningS", default)]
    pub reclaim_in_s: Option<f64>,
    /// Status of its tasks.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: Task,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: Task,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to save its progress, in seconds.
        #[serde(rename = "windDownS")]
        grace: f64,
    },
    /// Forget a task that has exited.
    #[serde(rename = "reap")]
    Acknowledge {
        /// The task.
        #[serde(rename = "piece")]
        task: Task,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands in the order in which they are to be carried out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a request that sends commands to a worker directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommandBody {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker for which the commands are meant.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands in the order in which they are to be carried out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
