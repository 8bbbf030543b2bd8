//! coralnotch: a cluster scheduler.  The leading controller places the tasks
//! at the head of the queue, switching between best-fit and fastest-first
//! machines by speed variance, load and an AI2 lookahead.

pub mod authority;
pub mod cli;
pub mod client;
pub mod gates;
pub mod intake;
pub mod leader;
pub mod leadership;
pub mod node;
pub mod peers;
pub mod queues;
pub mod reports;
pub mod run;
pub mod siblings;
pub mod status;
pub mod store;
pub mod submit;
pub mod telemetry;
pub mod turns;
pub mod wait;
pub mod watch;

pub use coralnotch_core::{cluster, commit, fleet, job_index, lookup, placement, workers};
pub use coralnotch_policy::{config, policy};
pub use coralnotch_wire::{http, model};
