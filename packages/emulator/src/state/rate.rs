//! Rate limiting with a token bucket.

use std::time::Instant;

/// A token bucket that is refilled at a constant rate up to its burst size.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// Creates a full bucket; with an infinite rate, it never runs out of tokens.
    pub fn new(per_second: f64, burst: f64) -> TokenBucket {
        TokenBucket { per_second, burst, tokens: burst, refilled_at: None }
    }

    /// Takes `count` tokens and returns `true`, or returns `false` and takes none if fewer are left.
    pub fn try_take(&mut self, count: f64, now: Instant) -> bool {
        if self.per_second.is_infinite() {
            return true;
        }
        let elapsed_s = self.refilled_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(self.burst);
        self.refilled_at = Some(now);
        let is_available = self.tokens >= count;
        if is_available {
            self.tokens -= count;
        }
        is_available
    }
}
