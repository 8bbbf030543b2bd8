//! Workers' reports and the commands that answer them.

use serde::{Deserialize, Serialize};

use crate::model::{Name, Task};

/// A task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reported {
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
    pub cause: Option<Cause>,
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
    Gathering,
    /// Runs.
    Running,
    /// Saves.
    Flushing,
    /// Ended.
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Another task of the gang is gone.
    MatesGone,
    /// The gang was not complete in time.
    Alone,
    /// Failed.
    Error,
    /// Refused: no room.
    NoRoom,
    /// Refused: here with another attempt.
    Busy,
    /// Refused: no such job.
    NoSuch,
    /// A cause this version does not know; the task has ended all the same.
    #[serde(other)]
    Unknown,
}

/// Where a report comes from: as much of it as a controller reads that sends its
/// worker on.
#[derive(Debug, Deserialize)]
pub struct Origin {
    /// Zone.
    #[serde(rename = "bay")]
    pub zone: Name,
}

/// A report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
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
    pub session: u64,
    /// Number of the report.
    pub tally: u64,
    /// Highest token seen.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// Tasks.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<Reported>,
}

/// A command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start.
    Run {
        /// Task.
        #[serde(rename = "piece")]
        task: Task,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop.
    Halt {
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
    Reap {
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
pub struct Answer {
    /// Token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, in order.
    pub orders: Vec<Command>,
}

/// A direct command's body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectBody {
    /// Token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Session.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Commands, in order.
    pub orders: Vec<Command>,
}
