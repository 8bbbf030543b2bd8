//! What can be wrong with a fault plan.

use super::plan::LATEST_S;

/// Why a fault plan cannot be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The file is not TOML, or has no list of faults.
    #[error("{}", .0.to_string().trim())]
    Syntax(#[source] toml::de::Error),
    /// All problems of all faults, a line each.
    #[error("{}", lines(.0))]
    Invalid(Vec<InvalidFault>),
}

/// One problem of one fault.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("fault {number}: {problem}")]
pub struct InvalidFault {
    /// Position of the fault in the plan, from 1.
    pub number: usize,
    /// What is wrong with it.
    #[source]
    pub problem: FaultProblem,
}

/// What is wrong with a fault.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FaultProblem {
    /// A key that the kind of fault needs is missing.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// A time is no number, negative or too late.
    #[error("{key} = {value} is not a number of seconds from 0 to {LATEST_S}")]
    NotSeconds {
        /// The key.
        key: &'static str,
        /// Its value.
        value: toml::Value,
    },
    /// A number is not whole or out of its range.
    #[error("{key} = {value} is not a whole number from {min} to {max}")]
    NotWholeNumber {
        /// The key.
        key: &'static str,
        /// Its value.
        value: toml::Value,
        /// Least permitted value.
        min: i64,
        /// Greatest permitted value.
        max: i64,
    },
    /// There is no such kind of fault.
    #[error(
        "kind {kind:?} is none of crash, down, refused, delay, state-outage, state-limits, upgrade, cloud-outage, \
         kill-machines, spot-wave"
    )]
    UnknownKind {
        /// The kind.
        kind: String,
    },
    /// The duration is missing or no number of seconds.
    #[error("for_s is missing, or no number of seconds")]
    NoDuration,
    /// A key that this kind of fault does not have.
    #[error("{key} means nothing to {kind}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The kind of fault.
        kind: String,
    },
}

fn lines(problems: &[InvalidFault]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
