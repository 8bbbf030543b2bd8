//! Handling of users' requests: submissions, queries and cancellations.
//!
//! A controller replies that a job is accepted, done or cancelled only after that state is
//! committed.  It replies that a job is unfinished only after the state service has confirmed that no
//! outcome is stored; many queries share one compare-and-swap for this.  As a result, no reply shows
//! an older state of a job than an earlier reply of any controller.

pub mod cancel;
pub mod confirmation;
pub mod lookup;
pub mod progress;
pub mod query;
pub mod queues;
pub mod request;
pub mod submit;
pub mod validation;
