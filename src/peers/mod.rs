//! The other controllers: connections to them, the service for them, and forwarded heartbeats.

pub mod forwarding;
pub mod links;
pub mod service;
