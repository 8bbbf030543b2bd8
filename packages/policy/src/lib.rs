//! Settings and policy: the platform's settings, operators' expressions over
//! them, and the tunables that come of both.  Knows nothing of jobs or machines.

pub mod config;
pub mod example;
pub mod policy;
