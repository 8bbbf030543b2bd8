//! Options of the `up` command.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::faults::PlannedFault;
use crate::state::Limits;

/// Size limit of a value in the state service, in KiB.
const VALUE_KB: f64 = 16.0;
/// Limit of the puts and deletes in one transaction of the state service.
const TXN_OPS: usize = 24;

/// Options of `coralnotch-emulator up`.  Fields marked `skip` have no command-line argument; callers
/// in Rust set them.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Port of the load balancer, to which users connect; 0 selects a free port.
    #[arg(long, default_value_t = 7070)]
    pub port: u16,
    /// Path of the controller program; defaults to `coralnotch` in the directory of this program.
    #[arg(long)]
    pub controller: Option<PathBuf>,
    /// Path of the program that a controller runs after an `upgrade` fault; defaults to the
    /// controller program.
    #[arg(long)]
    pub upgrade: Option<PathBuf>,
    /// Directory for settings and logs; defaults to a new one in the system's directory for
    /// temporary files.
    #[arg(long)]
    pub dir: Option<PathBuf>,
    /// Seed of the random choices of the emulated services.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of machines of each type that can be rented in each zone, counted apart for spot and
    /// on-demand machines.
    #[arg(long, default_value_t = 4)]
    pub capacity: usize,
    /// Submit a demo job when the cluster is ready and print the changes of its state.
    #[arg(long)]
    pub demo: bool,
    /// TOML file with faults to inject at given times; see docs/emulator.md for the format.
    #[arg(long)]
    pub faults: Option<PathBuf>,
    /// Limits of the emulated services and of the controllers.
    #[arg(skip)]
    pub limits: ClusterLimits,
    /// Faults to inject in addition to those of the `faults` file.
    #[arg(skip)]
    pub plan: Vec<PlannedFault>,
    /// Stop the cluster when the demo job is over; requires --demo.
    #[arg(long, requires = "demo")]
    pub exit: bool,
}

/// Limits of the emulated services and of the controllers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClusterLimits {
    /// Rate limit of the state service, in requests per second.
    pub state_rps: f64,
    /// Rate limit of the state service, in puts and deletes per second.
    pub write_rps: f64,
    /// Number of sockets that each controller may open, as its settings say.
    pub sockets: usize,
    /// CPU quota in the settings of each controller, in cores; the emulator does not enforce it.
    pub cores: f64,
}

impl Default for ClusterLimits {
    fn default() -> ClusterLimits {
        ClusterLimits { state_rps: 300.0, write_rps: 100.0, sockets: 1000, cores: 0.5 }
    }
}

impl ClusterLimits {
    /// Returns the limits of the state service at the start of the cluster.
    pub(super) fn state_limits(&self) -> Limits {
        Limits { rps: self.state_rps, write_rps: self.write_rps, value_kb: VALUE_KB, txn_ops: TXN_OPS }
    }
}
