//! Heartbeats of workers, and the commands that controllers send to workers in replies or directly.
//!
//! One worker runs on each machine.  A worker identifies the leader from which it takes commands by a
//! fencing token, and ignores replies and commands with a lower token than the highest it has seen.

use serde::{Deserialize, Serialize};

use crate::model::{Name, Task};

/// The status of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task whose status this is.
    #[serde(rename = "piece")]
    pub task: Task,
    /// Number of the attempt whose status this is.  It comes from the command that started the task.
    /// No leader uses a number for two attempts; all tasks of a gang share the number of one attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task on this machine.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why the task has exited; `None` if it has not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// `Some(true)` if the task has saved a checkpoint because of a stop command before it exited;
    /// `None` if the worker reports nothing about that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// State of a task on the machine to which it is assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The machine pulls the image of the task.
    Pulling,
    /// The task waits until all tasks of its gang are ready to run.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task runs.
    Running,
    /// The task saves a checkpoint because a command has stopped it.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has exited or was refused; [`TaskStatus::cause`] says why.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has exited, or why the worker has refused to start it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task has completed.
    #[serde(rename = "done")]
    Completed,
    /// A command has stopped the task.
    #[serde(rename = "stopped")]
    StoppedByCommand,
    /// Another task of the same gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of the gang were not ready within the time that workers wait for them.
    #[serde(rename = "alone")]
    GangTimeout,
    /// The task has failed.
    #[serde(rename = "error")]
    Failed,
    /// The worker has refused the task: the machine does not have enough free resources.
    NoRoom,
    /// The worker has refused the task: another attempt of it is on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The worker has refused the task: the worker does not know the job.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// Stands for every cause that this version does not know.  The task has exited nevertheless.
    #[serde(other)]
    Unknown,
}

/// The part of a heartbeat that is decoded to redirect a worker to the leader.
///
/// After a change of leader, the heartbeats of all workers reach controllers that have to redirect them.
/// Decoding only this part costs less than decoding whole heartbeats.
#[derive(Debug, Deserialize)]
pub struct HeartbeatOrigin {
    /// Name of the zone of the machine.
    #[serde(rename = "bay")]
    pub zone: Name,
}

/// A heartbeat: the periodic report of a worker on its machine and its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "polyp")]
    pub machine: Name,
    /// Address (`IP:PORT`) at which the worker accepts direct commands.  No direct commands are sent
    /// if it cannot be parsed.
    pub address: Name,
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: Name,
    /// Name of the zone of the machine, in which the worker runs.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Whether the machine is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Incarnation of the worker.  It increases whenever the worker has lost all of its tasks, for
    /// example because its lease has expired.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat, which increases within an incarnation.  A heartbeat that
    /// arrives after a later one is recognized by its lower number.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; 0 if it has seen none.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine, in seconds; `None` if the cloud has not announced
    /// that.
    #[serde(rename = "warningS", default)]
    pub reclaim_in_s: Option<f64>,
    /// Status of every task on the machine, including tasks whose exit has not been acknowledged.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.  A worker may receive the same command more than once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt of a task.
    #[serde(rename = "run")]
    Start {
        /// The task that the command is about.
        #[serde(rename = "piece")]
        task: Task,
        /// Number of the attempt.  A command does not apply to other attempts of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt of a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task that the command is about.
        #[serde(rename = "piece")]
        task: Task,
        /// Number of the attempt.  A command does not apply to other attempts of the task.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time in seconds that the task has to save a checkpoint; 0 stops the task without one.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Acknowledges that a task has exited: the worker removes it from later heartbeats.
    #[serde(rename = "reap")]
    Acknowledge {
        /// The task that the command is about.
        #[serde(rename = "piece")]
        task: Task,
        /// Number of the attempt.  A command does not apply to other attempts of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The reply to a heartbeat, which renews the lease of the worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token of the leader for this machine.  The worker rejects a token that is lower than the
    /// highest it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands in the order in which the worker has to execute them.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a request by which the leader sends commands to a worker without waiting for a
/// heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommandBody {
    /// Fencing token of the leader for this machine.  The worker rejects a token that is lower than the
    /// highest it has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker for which the commands are meant.  A worker in another incarnation rejects
    /// them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands in the order in which the worker has to execute them.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
