//! What operators see: counters, latencies and the status answer.

pub mod status;
pub mod telemetry;
