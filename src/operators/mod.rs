//! Observability for operators: counters, latencies and the status.

pub mod status;
pub mod telemetry;
