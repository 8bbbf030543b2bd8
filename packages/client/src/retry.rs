//! When to retry: exponential backoff with full jitter, and a budget of retries.

use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBuilder};

/// Delays that double from `initial` to `maximum`, each a random part of its
/// bound: clients that failed together do not come back together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Bound of the first delay.
    pub initial: Duration,
    /// Largest bound of a delay.
    pub maximum: Duration,
}

/// Doublings after which the bound is the maximum in any case.
const MAX_DOUBLINGS: u32 = 24;

impl Backoff {
    /// The delay before a retry; `attempt` counts from 1, `jitter` is a random
    /// share of the bound, 0 to 1.
    pub fn delay(&self, attempt: u32, jitter: f64) -> Duration {
        let mut bounds = ExponentialBuilder::default()
            .with_min_delay(self.initial)
            .with_max_delay(self.maximum)
            .without_max_times()
            .build();
        let doublings = attempt.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = bounds.nth(doublings as usize).unwrap_or(self.maximum);
        bound.min(self.maximum).mul_f64(jitter.clamp(0.0, 1.0))
    }
}

/// Least time, in seconds, over which waiting retries are spread.
const MIN_DRAIN_S: f64 = 1e-3;
/// Least rate, in retries a second, by which a wait is computed.
const MIN_RATE: f64 = 1e-6;

/// A token bucket that limits retries to a share of first attempts, so that a
/// service that fails gets little more than its ordinary load.
///
/// A minimum rate is always left, as every job is pursued to its end.  Once a
/// retry succeeds, all that wait are sent over some seconds: neither at once,
/// which would be the retry storm that this is to prevent, nor at the minimum
/// rate.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tokens that a first attempt adds.
    ratio: f64,
    /// Most tokens at a time.
    capacity: f64,
    tokens: f64,
    /// Tokens a second that are always added.
    min_rate: f64,
    /// Tokens a second that are added now.
    rate: f64,
    /// Over what time waiting retries are sent once one succeeds.
    drain_time: Duration,
    refilled_at: Instant,
}

impl RetryBudget {
    /// A budget of `ratio` retries for each first attempt, at most `capacity`
    /// saved up, and `min_rate` a second in any case.  It begins with one retry.
    /// Retries that wait as the service recovers are spread over `drain_time`.
    pub fn new(ratio: f64, capacity: f64, min_rate: f64, drain_time: Duration, now: Instant) -> RetryBudget {
        RetryBudget {
            ratio,
            capacity: capacity.max(1.0),
            tokens: 1.0,
            min_rate,
            rate: min_rate,
            drain_time,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time since the last refill, and `extra` ones.
    fn refill(&mut self, extra: f64, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate + extra).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// A first attempt was made.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.refill(self.ratio, now);
    }

    /// A retry succeeded while `waiting` others wait.
    pub fn record_success(&mut self, waiting: usize, now: Instant) {
        self.refill(0.0, now);
        let drain_rate = waiting as f64 / self.drain_time.as_secs_f64().max(MIN_DRAIN_S);
        self.rate = self.rate.max(drain_rate);
    }

    /// A request failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.refill(0.0, now);
        self.rate = self.min_rate;
    }

    /// Spends a token for a retry; if there is none, the error is how long it
    /// takes until there is.
    pub fn try_spend(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(0.0, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.max(MIN_RATE)))
    }
}

#[cfg(test)]
mod tests;
