//! Forwarding of workers' heartbeats between controllers.  A controller that does not lead forwards
//! heartbeats to the leader in batches, and passes the leader's replies on to the workers.
//!
//! Forwarding is enabled once all controllers support the feature and there are more machines than
//! one leader serves directly.  The leader replies to each heartbeat as if the worker had sent it
//! directly, and checks its lease when it makes the reply.  A worker drops a reply that arrives after
//! its timeout.
//!
//! This module must not interpret the content of heartbeats; `coralnotch_core` does that.

mod inbound;
mod outbound;

#[cfg(test)]
mod tests;
