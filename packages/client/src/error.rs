//! The errors that calls of the client return.

use coralnotch_wire::model::Name;

use crate::ids::RandomSourceError;
use crate::journal::JournalError;
use crate::settings::SettingsError;

/// An error of a call to the client.
///
/// It says nothing about the result of a job: the client keeps tracking every job
/// that it has recorded, even if a later call for that job fails.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A job has an invalid specification, which every controller would refuse.
    #[error("job {id} has an invalid value: {reason}")]
    InvalidJob {
        /// The id in the specification, which may itself be invalid.
        id: Name,
        /// The protocol's name of the invalid field, or a description of the error.
        reason: &'static str,
    },
    /// A batch has more jobs than the limit on unfinished jobs.
    #[error("the batch has {jobs} jobs, but at most {limit} jobs may be unfinished at once: split the batch")]
    BatchTooLarge {
        /// Number of jobs in the batch.
        jobs: usize,
        /// The value of [`Settings::max_unfinished_jobs`](crate::Settings::max_unfinished_jobs).
        limit: usize,
    },
    /// The journal can't be opened, read or written, or it already has a different
    /// job with the same id.
    #[error("{0}")]
    Journal(#[from] JournalError),
    /// The deadline has passed and the final answer is not known yet.  The client
    /// keeps tracking the job, and the caller can wait for it again.
    #[error("job {id} has no final answer yet; the client keeps tracking it")]
    Deadline {
        /// The id of the job.
        id: String,
    },
    /// The client is closed, or the job's answer has been acknowledged.  A client that
    /// opens the same journal resumes the unfinished jobs.
    #[error(
        "the client is closed or the job's answer has been acknowledged: \
         open a client with the same journal to resume unfinished jobs"
    )]
    Closed,
    /// A job id could not be generated.
    #[error("cannot generate a job id: no random bytes from the operating system: {0}")]
    Random(#[from] RandomSourceError),
}
