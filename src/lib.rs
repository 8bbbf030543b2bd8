//! coralnotch is a cluster scheduler.  The leading controller places the tasks
//! at the head of the queue.  It chooses between the best-fit and the
//! fastest-first policy by the variance of the machines' speeds, the load, and
//! the lookahead score of the AI2 algorithm.

pub mod commands;
pub mod controller;
pub mod heartbeats;
pub mod http_api;
pub mod leader;
pub mod leadership;
pub mod operators;
pub mod peers;
pub mod run;
pub mod runtime;
pub mod state_store;
pub mod users;

pub use coralnotch_core::{cluster, commit, fleet, job_index, lookup, placement, workers};
pub use coralnotch_policy::{config, policy};
pub use coralnotch_wire::{http, model};
