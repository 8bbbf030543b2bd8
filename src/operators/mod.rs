//! Observability for operators: counters, latencies, and the status of a controller.

pub mod status;
pub mod telemetry;
