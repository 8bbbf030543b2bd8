//! Emulators of the systems that coralnotch works with: a state service, a cloud, workers and a load
//! balancer, which communicate over TCP on loopback.  Together with real controller processes they form
//! a cluster on one machine.
//!
//! The emulators implement the protocol and do not depend on how a controller makes its decisions.

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
