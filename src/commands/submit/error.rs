//! Errors of `coralnotch submit`, and their exit codes.

use std::fmt;
use std::io;
use std::path::PathBuf;

use coralnotch_client::RandomSourceError;

use crate::commands::client::Error as RequestError;
use crate::commands::output::{EXIT_BAD_INPUT, EXIT_FAILURE};
use crate::model::Name;

/// An error that ends `coralnotch submit`.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubmitError {
    /// The input cannot be read.
    #[error("{file}: cannot read the jobs: {source}")]
    ReadInput { file: String, source: io::Error },
    /// The input has invalid jobs or dependencies.
    #[error(transparent)]
    Input(#[from] InputFaults),
    /// The request for the state of a dependency failed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The answers file cannot be opened.
    #[error("{}: cannot open the answers file: {source}", .path.display())]
    OpenAnswers { path: PathBuf, source: io::Error },
    /// A line of the answers file is not an answer.
    #[error("{}: line {line} is not an answer: {source}", .path.display())]
    InvalidAnswer { path: PathBuf, line: usize, source: serde_json::Error },
    /// Writing to the answers file failed.
    #[error("cannot write to the answers file: {0}")]
    WriteAnswer(#[source] io::Error),
    /// The client library reported an error.
    #[error(transparent)]
    Client(#[from] coralnotch_client::Error),
    /// Some jobs have no final answer at the deadline.
    #[error("{jobs} jobs have no final answer yet; {}", resume_hint(.has_journal))]
    Unanswered { jobs: usize, has_journal: bool },
    /// Some jobs are not accepted at the deadline; `examples` has the ids of a few of them.
    #[error("{jobs} jobs were not accepted in time (such as {}); check that a controller is running", .examples.join(", "))]
    NotAccepted { jobs: usize, examples: Vec<String> },
}

fn resume_hint(has_journal: &bool) -> &'static str {
    match has_journal {
        true => "they are in the journal; run the same command again to continue",
        false => "with --journal, the same command can be run again to continue",
    }
}

impl SubmitError {
    /// Returns the exit code of a command that ends with this error.
    pub(super) fn exit_code(&self) -> u8 {
        use coralnotch_client::Error as ClientError;
        match self {
            SubmitError::ReadInput { .. }
            | SubmitError::Input(_)
            | SubmitError::OpenAnswers { .. }
            | SubmitError::InvalidAnswer { .. } => EXIT_BAD_INPUT,
            SubmitError::Client(error) => match error {
                ClientError::Settings(_)
                | ClientError::InvalidJob { .. }
                | ClientError::BatchTooLarge { .. }
                | ClientError::Journal(_) => EXIT_BAD_INPUT,
                ClientError::Deadline { .. } | ClientError::Closed | ClientError::Random(_) => EXIT_FAILURE,
            },
            SubmitError::Request(_)
            | SubmitError::WriteAnswer(_)
            | SubmitError::Unanswered { .. }
            | SubmitError::NotAccepted { .. } => EXIT_FAILURE,
        }
    }
}

/// All errors of an input.  They are printed on one line each, with the name of the file.
#[derive(Debug)]
pub(super) struct InputFaults {
    pub(super) file: String,
    pub(super) faults: Vec<InputFault>,
}

impl fmt::Display for InputFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {fault}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for InputFaults {}

/// An error of an input: an invalid job or an invalid dependency.
#[derive(Debug, thiserror::Error)]
pub(super) enum InputFault {
    /// The only job of the input is invalid.
    #[error("{0}")]
    Job(JobFault),
    /// The job on this line is invalid.
    #[error("line {line}: {fault}")]
    Line { line: usize, fault: JobFault },
    /// The job on this line has the id of an earlier job.
    #[error("line {line}: duplicate job id {id}")]
    DuplicateId { line: usize, id: Name },
    /// The job depends on a service.  A service runs until it is cancelled, so the job would never
    /// start.
    #[error("{id} depends on {dependency}, a service, which never completes")]
    DependsOnService { id: Name, dependency: Name },
    /// The job is in a dependency cycle, or depends on a job that is in one.
    #[error("{id} depends on itself, directly or through other jobs, or on a job that does")]
    Cycle { id: Name },
    /// The dependency is not in the input, and the controller does not know it.
    #[error("{id} depends on {dependency}, which is neither in the input nor submitted")]
    UnknownDependency { id: Name, dependency: Name },
}

/// An error of a single job.
#[derive(Debug, thiserror::Error)]
pub(super) enum JobFault {
    /// The job is not valid JSON, or not in the format of the API.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Generating an id for the job failed.
    #[error("{0}")]
    Id(#[from] RandomSourceError),
    /// The job has a value that every controller refuses, for this reason.
    #[error("invalid value: {0}")]
    Value(&'static str),
}
