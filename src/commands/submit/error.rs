//! Why the command could not be carried out, and its exit codes.

use std::fmt;
use std::io;
use std::path::PathBuf;

use coralnotch_client::RandomnessError;

use crate::commands::client::Error as RequestError;
use crate::commands::output::{EXIT_BAD_INPUT, EXIT_FAILURE};
use crate::model::Name;

/// Why the command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubmitError {
    /// The input can't be read.
    #[error("{file}: {source}")]
    ReadInput { file: String, source: io::Error },
    /// The input has faults.
    #[error(transparent)]
    Input(#[from] InputFaults),
    /// A controller could not be asked for the jobs that others need.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The answers' file can't be opened.
    #[error("{}: {source}", .path.display())]
    OpenAnswers { path: PathBuf, source: io::Error },
    /// The answers' file has a line that is no answer.
    #[error("{}: line {line}: {source}", .path.display())]
    InvalidAnswer { path: PathBuf, line: usize, source: serde_json::Error },
    /// An answer could not be written.
    #[error("the answers' file: {0}")]
    WriteAnswer(#[source] io::Error),
    /// The client library could not do its part.
    #[error(transparent)]
    Client(#[from] coralnotch_client::Error),
    /// Jobs without a final answer at the deadline.
    #[error("{jobs} jobs have no final answer yet; {}", resume_hint(.has_journal))]
    Unanswered { jobs: usize, has_journal: bool },
    /// Jobs that were not accepted at the deadline, with some of their ids.
    #[error("gave up: {jobs} jobs are not accepted yet ({} …); is a controller running there?", .examples.join(", "))]
    NotAccepted { jobs: usize, examples: Vec<String> },
}

fn resume_hint(has_journal: &bool) -> &'static str {
    match has_journal {
        true => "they are in the journal: the same command goes on with them",
        false => "with --journal the same command would go on with them",
    }
}

impl SubmitError {
    /// The command's exit code.
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

/// All faults of an input, printed a line each.
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

/// What is wrong with an input.
#[derive(Debug, thiserror::Error)]
pub(super) enum InputFault {
    /// The only job is invalid.
    #[error("{0}")]
    Job(JobFault),
    /// The job on a line is invalid.
    #[error("line {line}: {fault}")]
    Line { line: usize, fault: JobFault },
    /// Two jobs have the same id.
    #[error("line {line}: {id} is there twice")]
    DuplicateId { line: usize, id: Name },
    /// A service runs until it is cancelled, so the job would never start.
    #[error("{id} needs {dependency}, a service, which is never done")]
    NeedsService { id: Name, dependency: Name },
    /// The job is in a cycle of dependencies, or depends on one.
    #[error("{id} needs itself, or waits for jobs that do")]
    Cycle { id: Name },
    /// No controller knows the dependency, and the input does not have it.
    #[error("{id} needs {dependency}, which nobody submitted")]
    UnknownDependency { id: Name, dependency: Name },
}

/// What is wrong with one job.
#[derive(Debug, thiserror::Error)]
pub(super) enum JobFault {
    /// It is no JSON, or not in the form of the protocol.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// No id could be generated for it.
    #[error("{0}")]
    Id(#[from] RandomnessError),
    /// A value that every controller would refuse.
    #[error("bad value: {0}")]
    Value(&'static str),
}
