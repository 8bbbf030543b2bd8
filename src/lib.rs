//! coralnotch: a cluster scheduler.  The leading controller places the tasks
//! at the head of the queue, switching between best-fit and fastest-first
//! machines by speed variance, load and an AI2 lookahead.

pub mod cli;
pub mod client;
pub mod cluster;
pub mod commit;
pub mod config;
pub mod fleet;
pub mod http;
pub mod intake;
pub mod leader;
pub mod leadership;
pub mod ledger;
pub mod model;
pub mod node;
pub mod peers;
pub mod placement;
pub mod policy;
#[cfg(test)]
mod sim;
pub mod store;
pub mod telemetry;
pub mod workers;
