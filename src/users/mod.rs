//! Users' requests: submissions, queries and cancellations.
//!
//! "Accepted", "done" and "cancelled" are replied only after the commit.  "Unfinished" is replied
//! only after the state service has confirmed that no outcome is stored; many queries share one
//! compare-and-swap.  So no controller ever gives an older answer than another one before it.

pub mod cancel;
pub mod confirmation;
pub mod lookup;
pub mod progress;
pub mod query;
pub mod queues;
pub mod request;
pub mod submit;
pub mod validation;
