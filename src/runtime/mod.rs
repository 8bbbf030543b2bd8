//! The single-threaded executor with two priorities, wake-ups, time limits, races and rate limits.

pub mod executor;
pub mod race;
pub mod rate_limiter;
pub mod wake_up;
