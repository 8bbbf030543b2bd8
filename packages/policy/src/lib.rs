//! Settings and policy of coralnotch: the platform's settings file, the policy files with their
//! expressions over the settings, and the tunables that the expressions evaluate to.
//!
//! This package does not depend on the types for jobs and machines.

pub mod config;
pub mod example;
pub mod policy;
