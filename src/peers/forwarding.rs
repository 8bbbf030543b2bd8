//! Workers' reports between controllers: one that does not lead forwards them to the leader in
//! batches and hands the leader's answers to the workers; the leader takes batches in.
//!
//! On once all controllers have it and there are more machines than the leader hears by itself.
//! The leader answers each report as if it had come to it, and checks its right to at that
//! moment; an answer that comes later than a worker waits is dropped by the worker.
//!
//! Must not know what a report means: that is decided in core.

mod inbound;
mod outbound;

#[cfg(test)]
mod tests;
