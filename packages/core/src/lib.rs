//! The scheduling logic of coralnotch: the state that a controller keeps about its cluster, and the
//! decisions that it takes.  All of it depends only on the state and on `now`; this crate opens no
//! sockets, reads no clock and starts no threads.

pub mod cancellation;
pub mod cluster;
pub mod commit;
pub mod dependency;
pub mod feature_gate;
pub mod fleet;
pub mod heartbeat_forwarding;
pub mod job_index;
pub mod key;
pub mod lookup;
pub mod placement;
#[cfg(test)]
mod sim;
pub mod user_request;
pub mod workers;

pub use coralnotch_policy::{config, policy};
pub use coralnotch_wire::model;
