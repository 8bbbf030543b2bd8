//! Communication between controllers: connections, status, cancellation notices, relayed requests
//! and forwarded heartbeats.

pub mod cancellation_notices;
pub mod forwarding;
pub mod links;
pub mod machine_hints;
pub mod polling;
pub mod relay;
pub mod service;
