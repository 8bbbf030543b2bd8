//! Utilities for asynchronous tasks: the single-threaded executor with two priorities, wake-ups,
//! timeouts, races, rate limiters and the measurement of scheduling delays.

pub mod executor;
pub mod race;
pub mod rate_limiter;
pub mod scheduling_delay;
pub mod wake_up;
