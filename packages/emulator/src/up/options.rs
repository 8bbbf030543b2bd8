//! Options of a cluster.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::faults::Planned;
use crate::state::Limits;

/// Limits of the small cluster's state service that no option changes: KiB a value, and puts and
/// deletes a transaction.
const VALUE_KB: f64 = 16.0;
const TXN_OPS: usize = 24;

/// Options of `coralnotch-emulator up`; the fields without an argument are for callers in Rust.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Where users come: port of the load balancer, 0 for any that is free.
    #[arg(long, default_value_t = 7070)]
    pub port: u16,
    /// The controller program; beside this program if not given.
    #[arg(long)]
    pub controller: Option<PathBuf>,
    /// The program that a controller comes back with after a fault `upgrade`;
    /// the same if not given.
    #[arg(long)]
    pub upgrade: Option<PathBuf>,
    /// Directory for settings and logs; a new one under the temporary
    /// directory if not given.
    #[arg(long)]
    pub dir: Option<PathBuf>,
    /// Seed of the stand-ins' chances.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Machines of each type, zone and kind that can be rented.
    #[arg(long, default_value_t = 4)]
    pub capacity: usize,
    /// Submit a job at once and follow it.
    #[arg(long)]
    pub demo: bool,
    /// Faults at given times, see docs/emulator.md.
    #[arg(long)]
    pub faults: Option<PathBuf>,
    /// How much the services allow.
    #[arg(skip)]
    pub size: Size,
    /// Faults beside those of the file.
    #[arg(skip)]
    pub plan: Vec<Planned>,
    /// With --demo: end when the job is done.
    #[arg(long, requires = "demo")]
    pub exit: bool,
}

/// Limits of the emulated services and of the controllers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Requests a second that the state service allows.
    pub state_rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Sockets of each controller.
    pub sockets: usize,
    /// Share of a core for each controller, as its settings say; nothing here
    /// enforces it.
    pub cores: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size { state_rps: 300.0, write_rps: 100.0, sockets: 1000, cores: 0.5 }
    }
}

impl Size {
    /// The state service's limits at the start.
    pub(super) fn limits(&self) -> Limits {
        Limits { rps: self.state_rps, write_rps: self.write_rps, value_kb: VALUE_KB, txn_ops: TXN_OPS }
    }
}
