//! The protocol: its types, and an HTTP/1.1 client and server with MessagePack bodies.  This
//! package makes no decisions and knows neither settings nor state.

pub mod cloud;
pub mod example;
pub mod history;
pub mod http;
pub mod model;
pub mod state;
pub mod workers;
