//! The single-threaded executor with two priorities, wake-ups and time limits.

pub mod executor;
pub mod wake_up;
