//! The processes of a scale run.  The state service, the cloud and the workers of a region have one
//! each, so that their processor time is known by role; a controller's is one that replaces itself
//! by the controller program and ends with the run.

mod cloud;
mod state;
mod workers;

use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use coralnotch_wire::http::ServerLimits;
use coralnotch_wire::model::MachineType;
use fastrand::Rng;
use rustix::process::{getppid, set_parent_process_death_signal, Signal};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use smol::LocalExecutor;

use crate::cloud::{Cloud, Settings as CloudSettings};
use crate::error::{Error, IoContext};
use crate::settings::WorkerTimes;
use crate::state::Limits;
use crate::worker_pool::{self, WorkerPool};

/// Files that a process of a scale run may have open at once.
const REQUIRED_FILE_LIMIT: u64 = 20_000;
/// Notice that the cloud gives before it reclaims a spot machine, in seconds.
const RECLAIM_NOTICE_S: f64 = 5.0;

/// What a process of a run does.  The run that starts it passes it as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// The state service of a region, with a listener for each controller.
    State {
        /// Address to listen on.
        host: IpAddr,
        /// Number of controllers.
        listeners: usize,
        /// Limits of the service.
        limits: StateLimits,
    },
    /// The cloud of a region.
    Cloud {
        /// Address to listen on.
        host: IpAddr,
        /// Machine types.
        types: Vec<MachineType>,
        /// Machines of each type, in each zone, spot and on-demand apart.
        capacity: usize,
        /// Requests a second that it allows.
        rps: f64,
        /// Age of its list of machines, in seconds.
        list_lag_s: f64,
        /// Address at which the workers' process takes machine events.
        workers: SocketAddr,
        /// Seed of its random choices.
        seed: u64,
    },
    /// The workers of a region.
    Workers {
        /// Address to listen on.
        host: IpAddr,
        /// Machine types.
        types: Vec<MachineType>,
        /// Names and addresses of the controllers.
        controllers: Vec<(String, SocketAddr)>,
        /// Interval of heartbeats, in seconds.
        report_s: f64,
        /// Lease, in seconds.
        lease_s: f64,
        /// How long a gang's task waits, in seconds.
        gang_wait_s: f64,
        /// How quickly a gang notices a loss, in seconds.
        gang_peer_s: f64,
        /// Seed of their random choices.
        seed: u64,
    },
    /// A controller.
    Controller {
        /// The program.
        program: PathBuf,
        /// Its settings.
        settings: PathBuf,
        /// Its log file.
        log: PathBuf,
    },
}

/// The state service's limits, as scenarios and roles have them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB a value.
    pub value_kb: f64,
    /// Puts and deletes a transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// The limits in the state service's form.
    pub fn limits(&self) -> Limits {
        let StateLimits { rps, write_rps, value_kb, txn_ops } = *self;
        Limits { rps, write_rps, value_kb, txn_ops }
    }
}

/// Runs a role until the process is ended, at the latest with its parent.
pub fn run(role: &str, parent: u32) -> Result<(), Error> {
    // however the parent ends, this process is killed then
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|error| failed("the parent's end", error))?;
    if getppid().is_none_or(|pid| pid.as_raw_nonzero().get().unsigned_abs() != parent) {
        return Err(Error::Failed("the run that started this has ended".into()));
    }
    let role: Role = serde_json::from_str(role).map_err(|error| Error::Input(format!("role: {error}")))?;
    raise_file_limit()?;
    let executor = Rc::new(LocalExecutor::new());
    match role {
        Role::State { host, listeners, limits } => {
            smol::block_on(executor.clone().run(state::serve(executor, host, listeners, limits)))
        }
        Role::Cloud { host, types, capacity, rps, list_lag_s, workers, seed } => {
            let settings =
                CloudSettings { types, capacity, rps, list_lag_s, notice_s: RECLAIM_NOTICE_S, boot_fail: 0.0 };
            smol::block_on(executor.clone().run(cloud::serve(executor, host, settings, workers, seed)))
        }
        Role::Workers { host, types, controllers, report_s, lease_s, gang_wait_s, gang_peer_s, seed } => {
            let times = WorkerTimes { report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s: lease_s };
            let workers = workers::Workers { host, types, controllers, times, seed };
            smol::block_on(executor.clone().run(workers.serve(executor)))
        }
        Role::Controller { program, settings, log } => become_controller(&program, &settings, &log),
    }
}

/// Raises this process's limit of open files as far as it may; an error if that is too little.
pub fn raise_file_limit() -> Result<(), Error> {
    let limit =
        rlimit::increase_nofile_limit(REQUIRED_FILE_LIMIT).map_err(|error| failed("limit of open files", error))?;
    if limit < REQUIRED_FILE_LIMIT {
        return Err(Error::Failed(format!(
            "{limit} open files are allowed and {REQUIRED_FILE_LIMIT} needed: raise the hard limit (ulimit -Hn)"
        )));
    }
    Ok(())
}

/// Replaces this process by a controller; returns only if that fails.
fn become_controller(program: &Path, settings: &Path, log: &Path) -> Result<(), Error> {
    let open = std::fs::OpenOptions::new().create(true).append(true).open(log);
    let log = open.context(log.display().to_string())?;
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(settings);
    // the death signal is kept by exec
    let error = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).exec();
    Err(Error::Io { what: program.display().to_string(), error })
}

/// Prints the addresses at which a role listens, for the run that started it.
fn print_ready(addresses: &[SocketAddr]) {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut out = io::stdout();
    let _ = writeln!(out, "ready {}", list.join(" "));
    let _ = out.flush();
}

/// A listener with its address.
struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
}

async fn listen(host: IpAddr) -> Result<BoundListener, Error> {
    let listener = TcpListener::bind((host, 0)).await.map_err(|error| failed("a listener", error))?;
    let address = listener.local_addr().map_err(|error| failed("a listener", error))?;
    Ok(BoundListener { listener, address })
}

/// Limits of the control interface, which only the run uses.
fn control_limits() -> ServerLimits {
    ServerLimits {
        connections: 64,
        scarce: 64,
        idle: Duration::from_secs(600),
        arrive: Duration::from_secs(60),
        answer: Duration::from_secs(60),
    }
}

/// A cloud for roles that have none.
fn no_cloud() -> Cloud {
    Cloud::new(CloudSettings {
        types: Vec::new(),
        capacity: 0,
        rps: f64::INFINITY,
        list_lag_s: 0.0,
        notice_s: 0.0,
        boot_fail: 0.0,
    })
}

/// Workers for roles that have none.
fn no_workers(rng: &mut Rng) -> WorkerPool {
    WorkerPool::new(worker_pool::Settings { lease_s: 0.0, gang_wait_s: 0.0, gang_peer_s: 0.0 }, 1.0, rng.fork())
}

fn failed(what: &str, error: impl std::fmt::Display) -> Error {
    Error::Failed(format!("{what}: {error}"))
}
