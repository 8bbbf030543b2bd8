//! Tracks which job cancellations a controller knows, the time as of which that knowledge is
//! complete, and for how long the controller may renew workers' leases based on it.  The
//! types here hold plain state: they do no I/O and must not depend on how the store or a peer
//! is reached.
//!
//! A task keeps running for as long as some controller renews the lease of its machine.  A
//! controller that renews leases must therefore know every cancellation that was confirmed
//! to a user.  Otherwise it must stop renewing early enough that the last lease expires within
//! `cancel` of the first cancellation that it may have missed.  For this purpose a
//! [`CancellationView`] records the time as of which it is complete.  This is the time at
//! which the request that filled the view was *sent*, not the time of the response: a
//! cancellation that was confirmed in between may be missing from the response.
//!
//! A view becomes complete in one of two ways:
//!
//! - The store's watch responds.
//! - Every peer responds.  Only controllers confirm cancellations to users.  Once every
//!   configured controller has sent all cancellations that it knows, no cancellation that was
//!   confirmed before the first of these requests can be missing.  The batches of a peer count
//!   only if they leave no gap, that is, if they start at a revision up to which the
//!   requesting controller knows all cancellations.

mod log;
mod notices;
mod renewal;
mod view;

pub use log::CancellationLog;
pub use notices::{CancellationNotices, PeerNotice};
pub use renewal::{leadership_window, may_lead, may_renew, renewal_window};
pub use view::CancellationView;

use crate::model::Name;

/// Maximum number of cancellations in one message to a peer.  The rest follows in later messages.
const MAX_BATCH_LEN: usize = 512;

/// A stored cancellation.
#[derive(Debug, Clone, PartialEq)]
pub struct Cancellation {
    /// Revision at which the job's outcome was stored; 0 if this controller does not know it.
    pub revision: u64,
    /// Id of the cancelled job.
    pub id: Name,
}

/// How far a controller has read the [`CancellationLog`] of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BatchCursor {
    /// Incarnation of the peer whose log was read; 0 before the first batch.
    pub incarnation: u64,
    /// Position in the peer's log at which the next batch begins.
    pub next: u64,
}

/// A part of a controller's [`CancellationLog`], as sent to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct CancellationBatch {
    /// Incarnation of the sending controller.
    pub incarnation: u64,
    /// Cancellations in the order in which the sender learned of them.
    pub cancellations: Vec<Cancellation>,
    /// Position in the sender's log at which the next batch begins.
    pub next: u64,
    /// Whether the batch reaches the end of the sender's log.
    pub complete: bool,
}

#[cfg(test)]
mod tests;
