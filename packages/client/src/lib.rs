//! Submits jobs to coralnotch, and gives exactly one final answer for each.
//!
//! A program submits a job; the library writes it to its journal before anything
//! is sent, and pursues it through refusals, lost responses, dead controllers and
//! restarts of its own program until the job is done, cancelled or refused for
//! good.  docs/client.md has a complete program.
//!
//! The library knows the protocol and nothing of how a controller decides.
//!
//! | module | job |
//! | --- | --- |
//! | `model` | plain types that the other modules share |
//! | `ids`, `retry`, `endpoints`, `outcome` | ids, retry timing, choice of an endpoint, meaning of a response |
//! | `job` | the state machine of one job |
//! | `journal` | the jobs on disk |
//! | `settings`, `counters`, `error` | what a caller sets, reads and gets |
//! | `client` | the driver that carries out what the state machines ask for |

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
pub use ids::{fresh_id, RandomnessError};
pub use job::{Job, Timing};
pub use journal::{Journal, JournalError};
pub use model::{Action, Change, FinalAnswer, JobRecord, Outcome, Progress, Transition};
pub use outcome::{classify_response, parse_retry_after};
pub use retry::{Backoff, RetryBudget};
pub use settings::{Settings, SettingsError};
