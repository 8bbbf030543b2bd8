//! The plain types of the client: what is recorded of a job, what is done for
//! it and what comes of that.

use std::time::Duration;

use coralnotch_wire::model::{JobSpec, JobState, Name};
use serde::{Deserialize, Serialize};

/// The one final answer of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// All tasks of the job completed.
    Done,
    /// The job was cancelled, by this client or elsewhere.
    Cancelled,
    /// The job can never run, and never did.
    Refused {
        /// HTTP status: 400 or 422.
        status: u16,
        /// The controller's reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A job as the journal keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission, with its id.
    pub spec: JobSpec,
    /// Whether a controller has accepted the job.
    pub accepted: bool,
    /// Whether the user has requested the cancellation of the job.
    #[serde(rename = "withdrawn")]
    pub cancel_requested: bool,
    /// The final answer.
    pub answer: Option<FinalAnswer>,
}

impl JobRecord {
    /// The record of a job that has not been sent yet.
    pub fn new(spec: &JobSpec) -> JobRecord {
        JobRecord { spec: spec.clone(), accepted: false, cancel_requested: false, answer: None }
    }
}

/// What to do for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Submit it; a repeated submission is idempotent.
    Submit,
    /// Query its state.
    Query,
    /// Cancel it.
    Cancel,
    /// Write its final answer to the journal.
    RecordAnswer,
}

/// What one request came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The controller knows the job and gives its state.
    State(JobState),
    /// The job can never run.
    Refused {
        /// HTTP status: 400 or 422.
        status: u16,
        /// The controller's reason.
        reason: String,
    },
    /// The controller does not know the job.
    UnknownJob,
    /// The controller refuses for now, with the least wait that it asks for.
    RetryLater(Option<Duration>),
    /// No usable response: the request may have been carried out.
    Indeterminate,
}

/// The progress of a job, as last shown to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// How an outcome changed a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// Nothing that a user can see has changed.
    Unchanged,
    /// A controller has accepted the job.
    Accepted,
    /// Tasks were started or completed.
    Progressed,
    /// The final answer has arrived; it is not recorded yet.
    Ended,
}

/// A change of a job, as readers of [`Client::changes`](crate::Client::changes)
/// get it.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The job.
    pub id: Name,
    /// Its progress.
    pub progress: Progress,
    /// Its final answer, with the last change.
    pub answer: Option<FinalAnswer>,
}
