//! Faults at given times, from a file that is checked with all its errors at once.
//!
//! ```toml
//! [[fault]]
//! kind = "crash"      # of a controller, which is started again
//! at_s = 3.5
//! node = 0
//! ```

mod error;
mod plan;

use std::time::Duration;

pub use self::error::{FaultProblem, InvalidFault, PlanError};
pub use self::plan::{parse, plan};

/// A fault that is injected into a cluster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A controller's process is killed and started again.
    Crash {
        /// Index of the controller.
        node: usize,
    },
    /// All controllers are killed and stay down for a while.
    Down {
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The state service refuses everything for a while.
    StateOutage {
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The state service refuses one controller for a while.
    Refused {
        /// Index of the controller.
        node: usize,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The state service's answers take longer for a while.
    Delay {
        /// Additional time of each answer.
        by: Duration,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The cloud refuses everything for a while.
    CloudOutage {
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The state service's limits are changed without notice.  The settings of all controllers say
    /// so from the start, as `state.next`.
    StateLimits {
        /// Puts and deletes a second.
        write_rps: usize,
        /// KiB a value.
        value_kb: usize,
        /// Puts and deletes a transaction.
        txn_ops: usize,
    },
    /// A controller's process is killed and started again with the new program.
    Upgrade {
        /// Index of the controller.
        node: usize,
    },
    /// Machines die without notice.
    KillMachines {
        /// Number of machines.
        count: usize,
    },
    /// The cloud reclaims spot machines, with notice.
    SpotWave {
        /// Number of machines.
        count: usize,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// Time after the cluster got ready.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

#[cfg(test)]
mod tests;
