//! Workers' heartbeats between controllers: a controller that does not lead forwards them to the
//! leader in batches and passes the leader's replies on to the workers; the leader accepts batches.
//!
//! Enabled once all controllers have the feature and there are more machines than one leader serves
//! directly.  The leader replies to each heartbeat as if it had come directly, and checks its lease
//! at that moment; a worker drops a reply that comes later than it waits.
//!
//! Must not know what a heartbeat means: that is decided in core.

mod inbound;
mod outbound;

#[cfg(test)]
mod tests;
