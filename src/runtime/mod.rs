//! The single-threaded executor with two priorities, wake-ups, time limits, races, rate limits
//! and the measurement of scheduling delays.

pub mod executor;
pub mod race;
pub mod rate_limiter;
pub mod scheduling_delay;
pub mod wake_up;
