//! The data types that the modules of the client share: job records, actions,
//! outcomes of requests and changes of jobs.

use std::time::Duration;

use coralnotch_wire::model::{JobSpec, JobState, Name};
use serde::{Deserialize, Serialize};

/// The final answer of a job.  Each job has exactly one, which never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// All tasks of the job completed.
    Done,
    /// The job was cancelled: by this client, by another one, or because a job
    /// that it depends on was cancelled.
    Cancelled,
    /// A controller permanently refused the job.  None of its tasks has run.
    Refused {
        /// HTTP status of the response: 400 or 422.
        status: u16,
        /// The reason that the controller gave; empty if it gave none.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// The record of a job in the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The specification under which the job is submitted, including its id.
    pub spec: JobSpec,
    /// Whether a controller has accepted the job.
    pub accepted: bool,
    /// Whether the user has requested the cancellation of the job.
    #[serde(rename = "withdrawn")]
    pub cancel_requested: bool,
    /// The final answer, or `None` while the job is unfinished.
    pub answer: Option<FinalAnswer>,
}

impl JobRecord {
    /// Returns the record of a job that has not been sent yet.
    pub fn new(spec: &JobSpec) -> JobRecord {
        JobRecord { spec: spec.clone(), accepted: false, cancel_requested: false, answer: None }
    }
}

/// An action that the client carries out for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Submit the job; repeating a submission is idempotent.
    Submit,
    /// Query the state of the job.
    Query,
    /// Request the cancellation of the job.
    Cancel,
    /// Write the final answer to the journal.
    RecordAnswer,
}

/// What the response to a request, or its absence, means for the job.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The controller knows the job and returned its state.
    State(JobState),
    /// The controller permanently refused the job.
    Refused {
        /// HTTP status of the response: 400 or 422.
        status: u16,
        /// The reason that the controller gave; empty if it gave none.
        reason: String,
    },
    /// The controller does not know the job.
    UnknownJob,
    /// The controller temporarily refused the request, or the response has an
    /// unexpected status.  The value is the minimum wait before a retry that the
    /// controller asked for, if any.
    RetryLater(Option<Duration>),
    /// There was no usable response; the request may have taken effect.
    Indeterminate,
}

/// The progress of a job, according to the latest query that the client accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// How an outcome changed a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// Nothing visible to the user has changed.
    Unchanged,
    /// A controller has accepted the job.
    Accepted,
    /// The numbers of completed or running tasks have changed.
    Progressed,
    /// The final answer was received but is not recorded yet.
    Ended,
}

/// A change of a job, as reported by [`Client::changes`](crate::Client::changes).
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The id of the job.
    pub id: Name,
    /// The progress of the job after the change.
    pub progress: Progress,
    /// The final answer, which only the last change of a job has.
    pub answer: Option<FinalAnswer>,
}
