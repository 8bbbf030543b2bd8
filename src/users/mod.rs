//! Users' requests: submissions, queries and cancellations.

pub mod cancel;
pub mod confirmation;
pub mod lookup;
pub mod progress;
pub mod query;
pub mod queues;
pub mod request;
pub mod submit;
pub mod validation;
