//! coralnotch: a cluster scheduler.  The leading controller places the tasks
//! at the head of the queue, switching between best-fit and fastest-first
//! machines by speed variance, load and an AI2 lookahead.

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
