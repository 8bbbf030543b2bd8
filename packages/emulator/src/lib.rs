//! Stand-ins for the systems that coralnotch serves: a state service, a cloud,
//! workers and a load balancer, over TCP on loopback; and a cluster on one
//! machine made of them and real controller processes.
//!
//! Knows the protocol and nothing of how a controller decides.

pub mod balancer;
pub mod capacity;
pub mod cloud;
pub mod environment;
pub mod error;
pub mod faults;
pub mod history;
pub mod load;
pub mod page;
pub mod scale;
pub mod settings;
pub mod state;
pub mod up;
pub mod worker_pool;
