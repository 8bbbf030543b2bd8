//! Why a call of the client could not be carried out.

use crate::ids::NoRandomness;
use crate::journal::JournalError;

/// Why something could not be done.  A job that was taken in is pursued
/// whatever happens; these are about the call, not the job.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// What was given can't be sent.
    #[error("{0}")]
    Input(String),
    /// The journal can't be used.
    #[error("{0}")]
    Journal(#[from] JournalError),
    /// The time is over and the answer not known *yet*: the job is pursued
    /// on, and its handle can be waited for again.
    #[error("{id} has no final answer yet; it is pursued on")]
    Deadline {
        /// The job.
        id: String,
    },
    /// The client was closed; jobs in a journal go on when it is opened again.
    #[error("the client is closed; open its journal again to go on")]
    Closed,
    /// No id could be made.
    #[error("no randomness for an id: {0}")]
    Random(#[from] NoRandomness),
}
