//! What a controller knows of withdrawals, up to when that is whole, and how long
//! it may renew workers' leases on it.  It reads nothing and asks nobody; it must
//! not know how the store or a sibling is reached.
//!
//! A task runs on for as long as somebody renews its machine's lease.  Whoever
//! renews must therefore know of every withdrawal that a user was told of, or stop
//! early enough that the last lease is over within `cancel` of the first that it
//! may have missed.  CancellationView has an age: it is whole as of the hour at which the
//! request that showed it was *sent*, for that is all that its answer proves.
//!
//! Two ways make it whole.  The store's watch, when it answers.  And the word of
//! the siblings: a withdrawal is told to a user by a controller only, so if every
//! controller of the settings has accounted for all withdrawals that it knows, none
//! told before the first of these accounts was asked for is missing.  An account
//! counts without a gap only: from a revision up to which the asker knows them all.

mod log;
mod notices;
mod renewal;
mod view;

pub use log::CancellationLog;
pub use notices::CancellationNotices;
pub use renewal::{leadership_window, may_lead, may_renew, renewal_window};
pub use view::CancellationView;

use crate::model::Name;

/// Most withdrawals in one answer; the rest follows with the next.
const MOST_TOLD: usize = 512;

/// A withdrawal that is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Cancellation {
    /// Revision of its end.
    pub revision: u64,
    /// Job.
    pub id: Name,
}

/// What a controller tells a sibling: a part of the withdrawals that it knows.
#[derive(Debug, Clone, PartialEq)]
pub struct CancellationBatch {
    /// The life of the controller that tells it.
    pub incarnation: u64,
    /// In the order in which it learned of them.
    pub cancellations: Vec<Cancellation>,
    /// Where the next answer begins.
    pub next: u64,
    /// There is no more.
    pub complete: bool,
}

#[cfg(test)]
mod tests;
