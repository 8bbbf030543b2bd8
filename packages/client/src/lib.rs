//! A client library that submits jobs to coralnotch and returns exactly one final
//! answer for each.
//!
//! When a program submits a job, the library writes it to its journal before it
//! sends the first request.  It then retries and queries until the job is done,
//! cancelled or permanently refused, despite temporary refusals, lost responses,
//! failed controllers and restarts of the program.  docs/client.md has a complete
//! program.
//!
//! The library depends only on the protocol, not on how a controller decides.
//!
//! | module | purpose |
//! | --- | --- |
//! | `model` | data types that the other modules share |
//! | `ids`, `retry`, `endpoints`, `outcome` | job ids, retry timing, choice of an endpoint, classification of responses |
//! | `job` | the state machine of one job |
//! | `journal` | durable storage of jobs |
//! | `settings`, `counters`, `error` | settings, counters and errors of the public interface |
//! | `client`, `blocking` | the asynchronous client with its driver, and its blocking wrapper |

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
pub use ids::{generate_job_id, RandomSourceError};
pub use job::{Job, Timing};
pub use journal::{Journal, JournalError};
pub use model::{Action, Change, FinalAnswer, JobRecord, Outcome, Progress, Transition};
pub use outcome::{classify_response, parse_retry_after};
pub use retry::{Backoff, RetryBudget};
pub use settings::{Settings, SettingsError};
