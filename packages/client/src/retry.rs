//! Retry timing: exponential backoff with full jitter, and a retry budget.

use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBuilder};

/// Exponential backoff with full jitter.
///
/// The upper bound of the delay doubles from `initial` to `maximum`.  Each delay is
/// a random fraction of its bound, so that clients whose requests failed at the
/// same time do not retry at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub initial: Duration,
    /// Upper bound of every delay.
    pub maximum: Duration,
}

/// Maximum number of doublings of the bound, which limits the iterations for a high
/// attempt number.
const MAX_DOUBLINGS: u32 = 24;

impl Backoff {
    /// Returns the delay before a retry.
    ///
    /// `attempt` is the number of the retry, from 1.  `jitter` is the random
    /// fraction of the bound, from 0 to 1; values outside are clamped.
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

/// Minimum time, in seconds, over which waiting retries are spread.  It keeps the
/// refill rate finite.
const MIN_DRAIN_S: f64 = 1e-3;
/// Minimum rate, in retries per second, that is used to compute a wait.  It keeps
/// the wait finite.
const MIN_RATE_PER_S: f64 = 1e-6;

/// A token bucket that limits retries to a fraction of first attempts, so that a
/// failing service gets little more than its normal load.
///
/// A minimum rate of retries is always allowed, because the client retries every
/// job until it has a final answer.  Once a retry succeeds, the waiting retries are
/// spread over the drain time.  Sending them all at once would cause the retry
/// storm that the budget prevents, and the minimum rate would delay them too long.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tokens that each first attempt adds.
    ratio: f64,
    /// Maximum number of tokens.
    capacity: f64,
    tokens: f64,
    /// Minimum refill rate, in tokens per second.
    min_rate: f64,
    /// Current refill rate, in tokens per second.
    rate: f64,
    /// Time over which waiting retries are sent once a retry succeeds.
    drain_time: Duration,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget that initially allows one retry.
    ///
    /// Each first attempt adds `ratio` tokens, and at least `min_rate` tokens are
    /// added per second, up to a total of `capacity` (at least 1).  A retry costs
    /// one token.  Retries that wait when the service recovers are spread over
    /// `drain_time`.
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

    /// Adds the tokens for the time since the last refill, and `extra` tokens.
    fn refill(&mut self, extra: f64, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate + extra).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Records a first attempt, which adds tokens to the budget.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.refill(self.ratio, now);
    }

    /// Records a successful retry and raises the refill rate so that the `waiting`
    /// other retries can be sent within the drain time.
    pub fn record_success(&mut self, waiting: usize, now: Instant) {
        self.refill(0.0, now);
        let drain_rate = waiting as f64 / self.drain_time.as_secs_f64().max(MIN_DRAIN_S);
        self.rate = self.rate.max(drain_rate);
    }

    /// Records a failed request, which resets the refill rate to its minimum.
    pub fn record_failure(&mut self, now: Instant) {
        self.refill(0.0, now);
        self.rate = self.min_rate;
    }

    /// Spends a token for a retry.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available if there is none now.
    pub fn try_spend(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(0.0, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.max(MIN_RATE_PER_S)))
    }
}

#[cfg(test)]
mod tests;
