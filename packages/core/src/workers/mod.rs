//! Application of workers' heartbeats to the leader's state, and the commands to workers.
//!
//! Commands in the reply to a heartbeat cannot be carried out late.  A worker has one heartbeat
//! in flight and drops replies that are late or belong to an earlier incarnation, so once its
//! next heartbeat has been sent, the previous reply can no longer have an effect.
//!
//! Direct commands are faster, but a worker may carry them out minutes late.  A direct start
//! without a response is therefore *in doubt* until a heartbeat shows that the worker has seen
//! a higher fencing token.  Until then, the absence of a task from that machine's heartbeats
//! proves nothing, and no exit on that machine is acknowledged.

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
