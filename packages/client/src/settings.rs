//! The settings of a client, their defaults and their validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::job::Timing;
use crate::retry::Backoff;

/// The settings of a client.
///
/// [`Settings::new`] sets the defaults, which are those of the protocol's users.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Addresses of the load balancers or controllers that requests are sent to.
    /// There must be at least one.
    pub endpoints: Vec<SocketAddr>,
    /// Path of the journal file.  With `None`, the client forgets its jobs when the
    /// program ends.
    pub journal: Option<PathBuf>,
    /// Maximum number of requests in flight; at least 1.
    pub max_in_flight: usize,
    /// Maximum number of idle connections that are kept for reuse.
    pub max_idle_connections: usize,
    /// Maximum number of unfinished jobs; at least 1.  A submission that would
    /// exceed the limit waits until enough jobs have ended.
    pub max_unfinished_jobs: usize,
    /// Maximum number of changes that are buffered for slow readers; at least 1.
    /// Older changes are dropped, and the reader's next read reports how many.
    pub change_buffer: usize,
    /// Timeout of one attempt to send a request and receive the response.
    /// Waiting retries are spread over the same time when the service recovers.
    pub request_timeout: Duration,
    /// Delays before retries and between queries.
    pub timing: Timing,
    /// Number of retries allowed for each first attempt; at least 0.
    pub retry_ratio: f64,
    /// Number of retries per second that are always allowed; above 0.
    pub min_retries_per_s: f64,
    /// Whether the retry budget limits retries.  If `false`, each retry is sent as
    /// soon as its backoff delay has passed.
    pub retry_budget: bool,
    /// How long the circuit breaker of an endpoint stays open, so that no requests
    /// are sent to it, after consecutive failures.
    pub endpoint_cooldown: Duration,
}

/// The reason why settings are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The list of endpoints is empty.
    #[error("the settings have no endpoint: add at least one")]
    NoEndpoint,
    /// A limit is 0, so that the client could not send requests, accept jobs or
    /// report changes.
    #[error("max_in_flight, max_unfinished_jobs and change_buffer must be greater than 0")]
    ZeroLimit,
    /// The request timeout or the maximum poll interval is 0.
    #[error("request_timeout and max_poll_interval must be greater than 0")]
    ZeroDuration,
    /// A minimum duration exceeds the corresponding maximum.
    #[error("min_poll_interval must not exceed max_poll_interval, nor backoff.initial exceed backoff.maximum")]
    InvertedRange,
    /// The rates of the retry budget are out of range, so that it could stop all
    /// retries.
    #[error("retry_ratio must be at least 0, and min_retries_per_s must be greater than 0")]
    EmptyRetryBudget,
}

impl Settings {
    /// Returns the default settings for `endpoints`, without a journal.
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

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
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
        // The negated condition also rejects NaN.
        if !(self.retry_ratio >= 0.0 && self.min_retries_per_s > 0.0) {
            return Err(SettingsError::EmptyRetryBudget);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
