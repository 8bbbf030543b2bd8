//! What a controller knows of cancelled jobs, as of when that knowledge is complete, and for
//! how long it may renew workers' leases on it.  Plain state: it does no I/O and must not
//! know how the store or a peer is reached.
//!
//! A task keeps running for as long as some controller renews the lease of its machine.  A
//! controller that renews leases must therefore know every cancellation that was confirmed
//! to a user, or stop renewing early enough that the last lease has expired within `cancel`
//! of the first cancellation that it may have missed.  For this, a [`CancellationView`]
//! records as of when it is complete.  That is the time at which the request that filled it
//! was *sent*, not the time of the response, because the response proves no more than that.
//!
//! A view becomes complete in one of two ways.  The first is a response of the store's
//! watch.  The second is a response of every peer: only controllers confirm cancellations to
//! users, so once every configured controller has sent all cancellations that it knows, none
//! that was confirmed before the first of these requests can be missing.  A peer's batches
//! count only if they leave no gap, that is, if they start at a revision up to which the
//! requesting controller knows all cancellations.

mod log;
mod notices;
mod renewal;
mod view;

pub use log::CancellationLog;
pub use notices::{CancellationNotices, PeerNotice};
pub use renewal::{leadership_window, may_lead, may_renew, renewal_window};
pub use view::CancellationView;

use crate::model::Name;

/// Maximum number of cancellations in one message to a peer; the rest follows in the next.
const MAX_BATCH_LEN: usize = 512;

/// A stored cancellation.
#[derive(Debug, Clone, PartialEq)]
pub struct Cancellation {
    /// Revision at which the job's outcome was stored; 0 if it is not known here.
    pub revision: u64,
    /// The cancelled job.
    pub id: Name,
}

/// How far a controller has read the [`CancellationLog`] of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BatchCursor {
    /// Incarnation of the peer whose log was read; 0 before the first batch.
    pub incarnation: u64,
    /// Position in that log at which the next batch begins.
    pub next: u64,
}

/// Part of the cancellations that a controller knows, as it sends them to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct CancellationBatch {
    /// Incarnation of the sending controller.
    pub incarnation: u64,
    /// Cancellations in the order in which the sender learned of them.
    pub cancellations: Vec<Cancellation>,
    /// Position in the sender's log at which the next batch begins.
    pub next: u64,
    /// Whether this batch reaches the end of the sender's log.
    pub complete: bool,
}

#[cfg(test)]
mod tests;
