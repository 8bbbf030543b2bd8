//! Submits jobs to coralnotch, and gives exactly one final answer for each.
//!
//! A program hands over a job; the library writes it to its journal before
//! anything is sent, and pursues it through refusals, lost answers, dead
//! controllers and its own program's end until the job is done, cancelled or
//! refused for good.  docs/client.md has a complete program.
//!
//! Knows the protocol and nothing of how a controller decides.

mod blocking;
mod client;
mod endpoints;
mod ids;
mod job;
mod journal;
mod outcome;
mod retry;

pub use blocking::BlockingClient;
pub use client::{Change, Client, Counters, JobHandle, Settings};
pub use ids::{fresh_id, NoRandomness};
pub use job::{Action, Final, Job, Progress, Timing, Transition};
pub use journal::{JobRecord, Journal, JournalError};
pub use outcome::{outcome, parse_retry_after, Outcome};
pub use retry::{Backoff, RetryBudget};

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
