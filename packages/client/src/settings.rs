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
    /// Requests under way at once, at most.
    pub max_in_flight: usize,
    /// Idle connections kept for the next request.
    pub max_idle_connections: usize,
    /// Unfinished jobs at once; a submission beyond waits for one to end.
    pub max_unfinished_jobs: usize,
    /// Changes kept for a reader that is behind; older ones are dropped, and
    /// the reader is told how many.
    pub change_buffer: usize,
    /// How long one try may take.
    pub request_timeout: Duration,
    /// How quickly jobs are pursued.
    pub timing: Timing,
    /// Retries as a share of first tries.
    pub retry_ratio: f64,
    /// Retries a second in any case.
    pub min_retries_per_s: f64,
    /// Without the budget every retry goes out as soon as it is due.
    pub retry_budget: bool,
    /// How long an endpoint that keeps failing is left alone.
    pub endpoint_cooldown: Duration,
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

    pub(crate) fn validation_error(&self) -> Option<&'static str> {
        let p = &self.timing;
        match () {
            () if self.endpoints.is_empty() => Some("there is no endpoint to submit to"),
            () if self.max_in_flight == 0 || self.max_unfinished_jobs == 0 || self.change_buffer == 0 => {
                Some("a bound is 0")
            }
            () if self.request_timeout.is_zero() || p.max_poll_interval.is_zero() => Some("a time is 0"),
            () if p.min_poll_interval > p.max_poll_interval || p.backoff.initial > p.backoff.maximum => {
                Some("a first time is over its most")
            }
            () if !(self.retry_ratio >= 0.0 && self.min_retries_per_s > 0.0) => Some("the retry budget is not above 0"),
            () => None,
        }
    }
}
