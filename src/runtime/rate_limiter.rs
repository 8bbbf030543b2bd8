//! A token bucket that limits the rate of calls to another service.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::runtime::wake_up::pause;

/// A token bucket with a refill rate and a maximum burst.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens added per second.
    rate: f64,
    /// Largest number of tokens in the bucket.
    burst: f64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens in the bucket at `updated_at`; negative if tokens were reserved before they were
    /// added.
    tokens: f64,
    updated_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter with a full bucket.  `rate` is in tokens per second, `burst` in tokens.
    pub fn new(rate: f64, burst: f64, now: Instant) -> RateLimiter {
        RateLimiter { rate, burst, bucket: Mutex::new(Bucket { tokens: burst, updated_at: now }) }
    }

    /// Takes tokens, even if the bucket does not hold them yet; returns how long the caller has to
    /// wait before using them.
    pub fn reserve(&self, tokens: f64, now: Instant) -> Duration {
        let mut bucket = self.bucket.lock().unwrap_or_else(|e| e.into_inner());
        let added = now.duration_since(bucket.updated_at).as_secs_f64() * self.rate;
        bucket.tokens = (bucket.tokens + added).min(self.burst);
        bucket.updated_at = now;
        bucket.tokens -= tokens;
        if bucket.tokens >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-bucket.tokens / self.rate)
        }
    }

    /// Takes tokens and waits until they may be used.
    pub async fn acquire(&self, tokens: f64) {
        pause(self.reserve(tokens, Instant::now())).await;
    }
}

#[cfg(test)]
mod tests;
