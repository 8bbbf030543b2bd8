//! The command line: a controller, and commands against a running one.

pub mod cli;
pub mod client;
pub mod logging;
pub mod output;
pub mod submit;
pub mod text;
