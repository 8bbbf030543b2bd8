//! The protocol: its types, and HTTP/1.1 with MessagePack as client and server.
//! Decides nothing, and knows neither settings nor state.

pub mod cloud;
pub mod example;
pub mod history;
pub mod http;
pub mod model;
pub mod state;
pub mod workers;
