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
mod counters;
mod endpoints;
mod error;
mod ids;
mod job;
mod journal;
mod model;
mod outcome;
mod retry;
mod settings;

pub use blocking::BlockingClient;
pub use client::{Client, JobHandle};
pub use counters::Counters;
pub use error::Error;
pub use ids::{fresh_id, NoRandomness};
pub use job::{Job, Timing};
pub use journal::{Journal, JournalError};
pub use model::{Action, Change, Final, JobRecord, Outcome, Progress, Transition};
pub use outcome::{outcome, parse_retry_after};
pub use retry::{Backoff, RetryBudget};
pub use settings::Settings;
