//! Decisions: what a leading controller knows of a cluster, and the steps on it.
//! Plain functions of state and `now`: no socket, no clock, no thread in here.

pub mod answers;
pub mod cluster;
pub mod commit;
pub mod dependency;
pub mod fleet;
pub mod gate;
pub mod key;
pub mod knowledge;
pub mod ledger;
pub mod lookup;
pub mod placement;
pub mod reporting;
#[cfg(test)]
mod sim;
pub mod workers;

pub use coralnotch_policy::{config, policy};
pub use coralnotch_wire::model;
