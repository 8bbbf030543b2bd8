//! Workers' heartbeats, and the commands that answer them.
//!
//! Commands in the reply to a heartbeat are safe: a worker has one heartbeat in flight
//! and drops replies that are late or belong to an earlier incarnation, so that its
//! next heartbeat closes the reply before it.  Direct commands are quicker but may be
//! carried out minutes late: a start without a response leaves its machine in doubt.
//! Until a heartbeat shows a higher token, the absence of a task proves nothing there,
//! and no exit is acknowledged.

mod direct_commands;
mod failures;
mod heartbeat;
mod replies;
mod runtimes;
mod task_status;

pub use coralnotch_wire::workers::*;
pub use direct_commands::DirectCommand;
pub use heartbeat::{HeartbeatOutcome, HeartbeatSource};
pub use replies::lease_renewal_reply;

#[cfg(test)]
mod tests;
