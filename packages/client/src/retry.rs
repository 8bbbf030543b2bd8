//! When to try again: full-jitter backoff, under a budget of retries.

use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBuilder};

/// Waits that double from the first to the most, each a random part of its
/// bound: clients that failed together do not come back together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Bound of the first wait.
    pub initial: Duration,
    /// Bound of all further waits.
    pub maximum: Duration,
}

/// Doublings after which the bound is the most in any case.
const DOUBLINGS: u32 = 24;

impl Backoff {
    /// The wait before try `n` (from 1); `jitter` is a random share, 0 to 1.
    pub fn delay(&self, n: u32, jitter: f64) -> Duration {
        let mut bounds = ExponentialBuilder::default()
            .with_min_delay(self.initial)
            .with_max_delay(self.maximum)
            .without_max_times()
            .build();
        let bound = bounds.nth(n.saturating_sub(1).min(DOUBLINGS) as usize).unwrap_or(self.maximum);
        bound.min(self.maximum).mul_f64(jitter.clamp(0.0, 1.0))
    }
}

/// Retries as a share of first tries, so that a service that fails gets little
/// more than its ordinary load.  A trickle is always left, as every job is
/// pursued to its end.  Once a retry succeeds, all that wait are let go over
/// some seconds: neither at once, which would be the storm that this is to
/// prevent, nor at the trickle.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
    min_rate: f64,
    /// Retries a second now.
    rate: f64,
    drain_time: Duration,
    refilled_at: Instant,
}

impl RetryBudget {
    /// So many retries a first try, at most `most` saved up, and `trickle` a
    /// second in any case.  There is one to begin with.  What waits as the
    /// service returns is spread over `spread`.
    pub fn new(ratio: f64, most: f64, trickle: f64, spread: Duration, now: Instant) -> RetryBudget {
        RetryBudget {
            ratio,
            capacity: most.max(1.0),
            tokens: 1.0,
            min_rate: trickle,
            rate: trickle,
            drain_time: spread,
            refilled_at: now,
        }
    }

    fn refill(&mut self, n: f64, now: Instant) {
        let since = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + since * self.rate + n).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// A first try was made.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.refill(self.ratio, now);
    }

    /// A retry succeeded while so many wait.
    pub fn record_success(&mut self, waiting: usize, now: Instant) {
        self.refill(0.0, now);
        self.rate = self.rate.max(waiting as f64 / self.drain_time.as_secs_f64().max(1e-3));
    }

    /// A request failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.refill(0.0, now);
        self.rate = self.min_rate;
    }

    /// A retry, if there is one left; else how long until there is.
    pub fn try_spend(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(0.0, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.max(1e-6)))
    }
}

#[cfg(test)]
mod tests;
