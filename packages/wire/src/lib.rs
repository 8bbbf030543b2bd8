//! The wire protocol of coralnotch: message types, and an HTTP/1.1 client and server with
//! MessagePack bodies.
//!
//! The messages are those between users, workers, controllers, the state service and the cloud.
//! This package contains no scheduling logic, reads no settings and keeps no cluster state.

pub mod cloud;
pub mod example;
pub mod history;
pub mod http;
pub mod model;
pub mod state;
pub mod workers;
