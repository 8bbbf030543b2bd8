//! The command line: a controller, and commands against a running one.

pub mod cli;
pub mod client;
pub mod submit;
