//! Access to the state service: its client, the initial read, and the watch that keeps a
//! controller's view current.

pub mod client;
pub mod initial_read;
pub mod watch;
