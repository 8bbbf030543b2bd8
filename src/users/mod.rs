//! Users' requests: submissions, queries and cancellations.

pub mod queues;
pub mod requests;
