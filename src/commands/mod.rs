//! The commands of the program: one runs a controller, one validates its settings, and the others
//! send requests to a running controller.

pub mod cli;
pub mod client;
pub mod logging;
pub mod output;
pub mod submit;
pub mod text;
