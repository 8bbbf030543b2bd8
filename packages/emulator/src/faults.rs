//! Faults to inject into a cluster, and the fault plan that sets the time of each fault.
//!
//! A fault plan is a TOML file.  Reading it reports all of its problems at once:
//!
//! ```toml
//! [[fault]]
//! kind = "crash"      # kill a controller; it is restarted
//! at_s = 3.5          # seconds after the cluster is ready
//! node = 0            # index of the controller
//! ```

mod error;
mod plan;

use std::time::Duration;

pub use self::error::{FaultProblem, InvalidFault, PlanError};
pub use self::plan::{parse, plan};

/// A fault to inject into a cluster.  The emulator prints the `Debug` form of each fault when it injects
/// the fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The process of one controller is killed and restarted.
    Crash {
        /// Index of the controller.
        node: usize,
    },
    /// All controllers are killed; none is restarted before the fault ends.
    Down {
        /// Duration of the fault.
        duration: Duration,
    },
    /// The state service refuses all requests.
    StateOutage {
        /// Duration of the fault.
        duration: Duration,
    },
    /// The state service refuses the requests of one controller.
    Refused {
        /// Index of the controller.
        node: usize,
        /// Duration of the fault.
        duration: Duration,
    },
    /// The responses of the state service are delayed.
    Delay {
        /// Additional latency of each response.
        latency: Duration,
        /// Duration of the fault.
        duration: Duration,
    },
    /// The cloud refuses all requests.
    CloudOutage {
        /// Duration of the fault.
        duration: Duration,
    },
    /// The limits of the state service change without notice.  The settings of all controllers
    /// announce the new limits from the start, in the section `deployment.state.next`.
    StateLimits {
        /// Limit of puts and deletes per second.
        write_rps: usize,
        /// Size limit of a value, in KiB.
        value_kb: usize,
        /// Limit of puts and deletes in one transaction.
        txn_ops: usize,
    },
    /// The process of one controller is killed and restarted with the upgrade program.
    Upgrade {
        /// Index of the controller.
        node: usize,
    },
    /// Machines fail without notice.
    KillMachines {
        /// Number of machines.
        count: usize,
    },
    /// The cloud reclaims spot machines after a notice.
    SpotWave {
        /// Number of machines.
        count: usize,
    },
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Time after the cluster became ready.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

#[cfg(test)]
mod tests;
