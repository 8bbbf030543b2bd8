//! The single-threaded executor with two priorities, wake-ups, time limits and races.

pub mod executor;
pub mod race;
pub mod wake_up;
