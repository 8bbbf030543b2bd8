//! Why a call of the client could not be carried out.

use coralnotch_wire::model::Name;

use crate::ids::RandomnessError;
use crate::journal::JournalError;
use crate::settings::SettingsError;

/// Why a call could not be carried out.  It says nothing about the job: one that
/// was recorded is pursued whatever happens.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings can't be used.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A job that every controller would refuse.
    #[error("{id}: bad value: {reason}")]
    InvalidJob {
        /// The job.
        id: Name,
        /// The field that is wrong, or what is wrong with one.
        reason: &'static str,
    },
    /// More jobs in one batch than may be unfinished at once.
    #[error("{jobs} jobs in one batch, {limit} may be unfinished at once")]
    BatchTooLarge {
        /// Jobs in the batch.
        jobs: usize,
        /// How many jobs may be unfinished at once.
        limit: usize,
    },
    /// The journal can't be used.
    #[error("{0}")]
    Journal(#[from] JournalError),
    /// The deadline has passed and the answer is not known *yet*: the client
    /// keeps pursuing the job, and its handle can be waited for again.
    #[error("{id} has no final answer yet; it is pursued on")]
    Deadline {
        /// The job.
        id: String,
    },
    /// The client was closed; jobs in a journal are pursued again when it is
    /// opened again.
    #[error("the client is closed; open its journal again to go on")]
    Closed,
    /// No id could be generated.
    #[error("no randomness for an id: {0}")]
    Random(#[from] RandomnessError),
}
