//! Errors of reading a fault plan.

use super::plan::MAX_TIME_S;

/// The reason why a fault plan cannot be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The text is not valid TOML, or `fault` is not an array of tables.
    #[error("{}", .0.to_string().trim())]
    Syntax(#[source] toml::de::Error),
    /// All problems of all faults; the message has one line for each.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<InvalidFault>),
}

/// One problem of one fault.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("fault {number}: {problem}")]
pub struct InvalidFault {
    /// Position of the fault in the file, counted from 1.
    pub number: usize,
    /// The problem of this fault.
    #[source]
    pub problem: FaultProblem,
}

/// A problem of one fault of a plan.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FaultProblem {
    /// A required key is missing.
    #[error("{key} is missing")]
    Missing {
        /// Name of the key.
        key: &'static str,
    },
    /// A time is not a number of seconds from 0 to 24 hours.
    #[error("{key} = {value} is not a number of seconds from 0 to {MAX_TIME_S}")]
    NotSeconds {
        /// Name of the key.
        key: &'static str,
        /// The rejected value of the key.
        value: toml::Value,
    },
    /// A value is not an integer or is outside the permitted range.
    #[error("{key} = {value} is not a whole number from {min} to {max}")]
    NotWholeNumber {
        /// Name of the key.
        key: &'static str,
        /// The rejected value of the key.
        value: toml::Value,
        /// Smallest permitted value.
        min: i64,
        /// Largest permitted value.
        max: i64,
    },
    /// The kind of the fault is missing or unknown.
    #[error(
        "kind {kind:?} is not one of crash, down, refused, delay, state-outage, state-limits, upgrade, cloud-outage, \
         kill-machines, spot-wave"
    )]
    UnknownKind {
        /// The value of `kind`; empty if the key is missing or not a string.
        kind: String,
    },
    /// The duration `for_s` is missing or is not a number of seconds from 0 to 24 hours.
    #[error("for_s is missing or is not a number of seconds from 0 to {MAX_TIME_S}")]
    InvalidDuration,
    /// A key does not belong to this kind of fault.
    #[error("unknown key {key} for a fault of kind {kind}")]
    UnknownKey {
        /// Name of the unknown key.
        key: String,
        /// The value of `kind`.
        kind: String,
    },
}

/// Joins the messages of the problems, one on each line.
fn join_lines(problems: &[InvalidFault]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
