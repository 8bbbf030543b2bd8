//! When to try again: full-jitter backoff, under a budget of retries.

use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBuilder};

/// Waits that double from the first to the most, each a random part of its
/// bound: clients that failed together do not come back together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Bound of the first wait.
    pub first: Duration,
    /// Bound of all further waits.
    pub most: Duration,
}

/// Doublings after which the bound is the most in any case.
const DOUBLINGS: u32 = 24;

impl Backoff {
    /// The wait before try `n` (from 1); `chance` is a random share, 0 to 1.
    pub fn wait(&self, n: u32, chance: f64) -> Duration {
        let mut bounds = ExponentialBuilder::default()
            .with_min_delay(self.first)
            .with_max_delay(self.most)
            .without_max_times()
            .build();
        let bound = bounds.nth(n.saturating_sub(1).min(DOUBLINGS) as usize).unwrap_or(self.most);
        bound.min(self.most).mul_f64(chance.clamp(0.0, 1.0))
    }
}

/// Retries as a share of first tries, so that a service that fails gets little
/// more than its ordinary load.  A trickle is always left, as every job is
/// pursued to its end.  Once a retry succeeds, all that wait are let go over
/// some seconds: neither at once, which would be the storm that this is to
/// prevent, nor at the trickle.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    most: f64,
    have: f64,
    trickle: f64,
    /// Retries a second now.
    rate: f64,
    spread: Duration,
    at: Instant,
}

impl Budget {
    /// So many retries a first try, at most `most` saved up, and `trickle` a
    /// second in any case.  There is one to begin with.  What waits as the
    /// service returns is spread over `spread`.
    pub fn new(ratio: f64, most: f64, trickle: f64, spread: Duration, now: Instant) -> Budget {
        Budget { ratio, most: most.max(1.0), have: 1.0, trickle, rate: trickle, spread, at: now }
    }

    fn give(&mut self, n: f64, now: Instant) {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.have = (self.have + since * self.rate + n).min(self.most);
        self.at = self.at.max(now);
    }

    /// A first try was made.
    pub fn first(&mut self, now: Instant) {
        self.give(self.ratio, now);
    }

    /// A retry succeeded while so many wait.
    pub fn worked(&mut self, waiting: usize, now: Instant) {
        self.give(0.0, now);
        self.rate = self.rate.max(waiting as f64 / self.spread.as_secs_f64().max(1e-3));
    }

    /// A request failed.
    pub fn failed(&mut self, now: Instant) {
        self.give(0.0, now);
        self.rate = self.trickle;
    }

    /// A retry, if there is one left; else how long until there is.
    pub fn retry(&mut self, now: Instant) -> Result<(), Duration> {
        self.give(0.0, now);
        if self.have >= 1.0 {
            self.have -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.have) / self.rate.max(1e-6)))
    }
}

#[cfg(test)]
mod tests;
