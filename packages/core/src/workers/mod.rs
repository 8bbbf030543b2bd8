//! Reports and the commands that answer them.
//!
//! Commands in answers to reports are safe: a worker has one report in flight
//! and drops answers that come late or for an earlier session, so its next
//! report closes the answer before it.  DirectCommand commands are quicker but may be
//! carried out minutes late: an unanswered start leaves its machine in doubt,
//! and until a report shows a higher token, absence proves nothing there and
//! nothing is reaped.

mod direct_commands;
mod failures;
mod heartbeat;
mod replies;
mod runtimes;
mod task_status;

pub use coralnotch_wire::workers::*;
pub use direct_commands::DirectCommand;
pub use replies::lease_renewal_reply;

#[cfg(test)]
mod tests;
