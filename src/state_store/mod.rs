//! The state service: its client, and the watch that keeps a controller's view current.

pub mod client;
pub mod watch;
