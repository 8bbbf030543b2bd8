//! How a client works, and the defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::job::Timing;
use crate::retry::Backoff;

/// How a client works.  The defaults are those of the protocol's users.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to submit: load balancers or controllers.
    pub endpoints: Vec<SocketAddr>,
    /// The journal's file; without one, jobs end with the program.
    pub journal: Option<PathBuf>,
    /// Most requests in flight at once.
    pub max_in_flight: usize,
    /// Most idle connections that are kept for later requests.
    pub max_idle_connections: usize,
    /// Most unfinished jobs at once; a submission beyond waits for one to end.
    pub max_unfinished_jobs: usize,
    /// Changes that are kept for a slow reader; older ones are dropped, and the
    /// reader gets their number.
    pub change_buffer: usize,
    /// Timeout of one attempt.
    pub request_timeout: Duration,
    /// When jobs are retried and queried.
    pub timing: Timing,
    /// Retries as a share of first attempts.
    pub retry_ratio: f64,
    /// Retries a second that are always allowed.
    pub min_retries_per_s: f64,
    /// Whether retries are limited by the budget; without it, each retry is sent
    /// as soon as it is due.
    pub retry_budget: bool,
    /// How long an endpoint that keeps failing is not used.
    pub endpoint_cooldown: Duration,
}

/// Why settings can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The list of endpoints is empty.
    #[error("there is no endpoint to submit to")]
    NoEndpoint,
    /// A limit is 0, so that nothing would ever be done.
    #[error("a bound is 0")]
    ZeroLimit,
    /// A duration is 0.
    #[error("a time is 0")]
    ZeroDuration,
    /// The least of two durations is over the most.
    #[error("a first time is over its most")]
    InvertedRange,
    /// The retry budget would stop all retries.
    #[error("the retry budget is not above 0")]
    EmptyRetryBudget,
}

impl Settings {
    /// The defaults, for these endpoints, without a journal.
    pub fn new(endpoints: Vec<SocketAddr>) -> Settings {
        Settings {
            endpoints,
            journal: None,
            max_in_flight: 32,
            max_idle_connections: 32,
            max_unfinished_jobs: 10_000,
            change_buffer: 1024,
            request_timeout: Duration::from_secs(5),
            timing: Timing {
                backoff: Backoff { initial: Duration::from_secs(1), maximum: Duration::from_secs(30) },
                min_poll_interval: Duration::from_secs(1),
                max_poll_interval: Duration::from_secs(30),
            },
            retry_ratio: 0.2,
            min_retries_per_s: 0.2,
            retry_budget: true,
            endpoint_cooldown: Duration::from_secs(3),
        }
    }

    /// Whether the settings can be used; the error is the first fault.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let Timing { backoff, min_poll_interval, max_poll_interval } = self.timing;
        if self.endpoints.is_empty() {
            return Err(SettingsError::NoEndpoint);
        }
        if self.max_in_flight == 0 || self.max_unfinished_jobs == 0 || self.change_buffer == 0 {
            return Err(SettingsError::ZeroLimit);
        }
        if self.request_timeout.is_zero() || max_poll_interval.is_zero() {
            return Err(SettingsError::ZeroDuration);
        }
        if min_poll_interval > max_poll_interval || backoff.initial > backoff.maximum {
            return Err(SettingsError::InvertedRange);
        }
        // written so that NaN is refused as well
        if !(self.retry_ratio >= 0.0 && self.min_retries_per_s > 0.0) {
            return Err(SettingsError::EmptyRetryBudget);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
