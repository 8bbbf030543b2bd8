//! The plain types of the client: a job's record, what is done for it and
//! what comes of it.

use std::time::Duration;

use coralnotch_wire::model::{JobSpec, JobState, Name};
use serde::{Deserialize, Serialize};

/// The one final answer of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Final {
    /// All its tasks completed.
    Done,
    /// It was withdrawn, here or elsewhere.
    Cancelled,
    /// It can never run, and never did.
    Refused {
        /// 400 or 422.
        status: u16,
        /// The controller's reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A job on record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission, with its id.
    pub spec: JobSpec,
    /// A controller has it.
    pub accepted: bool,
    /// Its user wants it no more.
    #[serde(rename = "withdrawn")]
    pub cancel_requested: bool,
    /// Its final answer.
    pub answer: Option<Final>,
}

/// What to do for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Submit it, maybe again.
    Submit,
    /// Ask how it stands.
    Query,
    /// Withdraw it.
    Cancel,
    /// Write its final answer to the journal.
    RecordAnswer,
}

/// What one try came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The job is known, and stands so.
    State(JobState),
    /// It will never run.
    Refused {
        /// 400 or 422.
        status: u16,
        /// The controller's reason.
        reason: String,
    },
    /// The controller does not know the job.
    UnknownJob,
    /// Not now; with the least wait that the controller asks for.
    RetryLater(Option<Duration>),
    /// Nothing is known: it may have been carried out.
    Indeterminate,
}

/// How a job stands, as last shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// What changed, if anything a caller can see did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// Nothing.
    Unchanged,
    /// It is accepted now.
    Accepted,
    /// Tasks began or completed.
    Progressed,
    /// The final answer came; it is not recorded yet.
    Ended,
}

/// A job's state changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The job.
    pub id: Name,
    /// How it stands.
    pub progress: Progress,
    /// Its final answer, with the last change.
    pub answer: Option<Final>,
}
