//! A token bucket.

use std::time::Instant;

/// A token bucket: so many tokens a second, up to a burst.
#[derive(Debug)]
pub struct Rate {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Rate {
    /// Creates a full bucket; an infinite rate allows everything.
    pub fn new(per_second: f64, burst: f64) -> Rate {
        Rate { per_second, burst, tokens: burst, refilled_at: None }
    }

    /// Takes `count` tokens if there are so many; returns whether there were.
    pub fn allows(&mut self, count: f64, now: Instant) -> bool {
        if self.per_second.is_infinite() {
            return true;
        }
        let elapsed_s = self.refilled_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(self.burst);
        self.refilled_at = Some(now);
        let is_allowed = self.tokens >= count;
        if is_allowed {
            self.tokens -= count;
        }
        is_allowed
    }
}
