//! Decisions: what a leading controller knows of a cluster, and the steps on it.
//! Plain functions of state and `now`: no socket, no clock, no thread in here.

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
