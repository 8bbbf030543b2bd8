//! The roles that the processes of a scale run take.
//!
//! The state service, the cloud and the workers of a region run in one process each, so that
//! processor time can be attributed to a role.  The process of a controller replaces itself with the
//! controller program; like the others, it is killed when the run ends.

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

/// Number of open files that each process of a scale run must be allowed.
const REQUIRED_FILE_LIMIT: u64 = 20_000;
/// Time between a reclaim notice and the reclaim of a spot machine, in seconds.
const RECLAIM_NOTICE_S: f64 = 5.0;

/// The role of a process, with its parameters.  The run passes the role as JSON on the command line.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// The state service of a region, with a listener for each controller.
    State {
        /// IP address to listen on; the ports are assigned by the operating system.
        host: IpAddr,
        /// Number of listeners, one for each controller.
        listeners: usize,
        /// Request rates and sizes that the service allows.
        limits: StateLimits,
    },
    /// The cloud of a region.
    Cloud {
        /// IP address to listen on; the ports are assigned by the operating system.
        host: IpAddr,
        /// Machine types that can be rented.
        types: Vec<MachineType>,
        /// Number of machines available for each combination of type, zone, and spot or on-demand.
        capacity: usize,
        /// Requests per second that the cloud allows.
        rps: f64,
        /// Age of the machine list that the cloud returns, in seconds.
        list_lag_s: f64,
        /// Address of the control interface of the workers' process, which receives the machine events.
        workers: SocketAddr,
        /// Seed of the cloud's random choices.
        seed: u64,
    },
    /// The workers of a region.
    Workers {
        /// IP address to listen on; the port is assigned by the operating system.
        host: IpAddr,
        /// Machine types that the cloud rents out.
        types: Vec<MachineType>,
        /// Names and addresses of the controllers.
        controllers: Vec<(String, SocketAddr)>,
        /// Interval between two heartbeats of a worker, in seconds.
        report_s: f64,
        /// Duration of a worker's lease, in seconds.
        lease_s: f64,
        /// How long a task of a gang waits for the other tasks to start, in seconds.
        gang_wait_s: f64,
        /// Time within which a gang detects the loss of a task, in seconds.
        gang_peer_s: f64,
        /// Seed of the workers' random choices.
        seed: u64,
    },
    /// A controller of a region.
    Controller {
        /// Path of the controller program.
        program: PathBuf,
        /// Path of the controller's settings file.
        settings: PathBuf,
        /// Path of the file to which standard error is appended.
        log: PathBuf,
    },
}

/// The limits of a state service, as written in scenario files and roles.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Largest size of a value, in KiB.
    pub value_kb: f64,
    /// Largest number of puts and deletes in a transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// Converts the limits to the type that the state service uses.
    pub fn limits(&self) -> Limits {
        let StateLimits { rps, write_rps, value_kb, txn_ops } = *self;
        Limits { rps, write_rps, value_kb, txn_ops }
    }
}

/// Runs the role given as JSON until the process is killed, which happens at the latest when the
/// process `parent` ends.
///
/// # Errors
///
/// Returns [`Error::Input`] if `role` cannot be parsed, and another error if the parent has already
/// ended, the limit of open files is too low, or the role cannot be started.
pub fn run(role: &str, parent: u32) -> Result<(), Error> {
    // The kernel kills this process when the parent ends, also if the parent crashes.
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|error| failed("cannot set the parent death signal", error))?;
    if getppid().is_none_or(|pid| pid.as_raw_nonzero().get().unsigned_abs() != parent) {
        return Err(Error::Failed("the run that started this process has already ended".into()));
    }
    let role: Role = serde_json::from_str(role).map_err(|error| Error::Input(format!("invalid role: {error}")))?;
    raise_file_limit()?;
    let executor = Rc::new(LocalExecutor::new());
    match role {
        Role::State { host, listeners, limits } => {
            smol::block_on(executor.clone().run(state::serve(executor, host, listeners, limits)))
        }
        Role::Cloud { host, types, capacity, rps, list_lag_s, workers, seed } => {
            let settings = CloudSettings {
                types,
                capacity,
                rps,
                list_lag_s,
                reclaim_notice_s: RECLAIM_NOTICE_S,
                boot_failure_share: 0.0,
            };
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

/// Raises the limit of open files of this process to the number that a scale run requires.
///
/// # Errors
///
/// Fails if the limit cannot be changed or the hard limit is too low.
pub fn raise_file_limit() -> Result<(), Error> {
    let limit = rlimit::increase_nofile_limit(REQUIRED_FILE_LIMIT)
        .map_err(|error| failed("cannot raise the limit of open files", error))?;
    if limit < REQUIRED_FILE_LIMIT {
        return Err(Error::Failed(format!(
            "{limit} open files are allowed but {REQUIRED_FILE_LIMIT} are needed; raise the hard limit (ulimit -Hn)"
        )));
    }
    Ok(())
}

/// Replaces this process with the controller program; returns only on failure.
fn become_controller(program: &Path, settings: &Path, log: &Path) -> Result<(), Error> {
    let open = std::fs::OpenOptions::new().create(true).append(true).open(log);
    let log = open.context(log.display().to_string())?;
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(settings);
    // The parent death signal set above stays in effect across exec.
    let error = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).exec();
    Err(Error::Io { what: program.display().to_string(), error })
}

/// Prints the listen addresses of a role on standard output, where the run reads them.
fn print_ready(addresses: &[SocketAddr]) {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut out = io::stdout();
    let _ = writeln!(out, "ready {}", list.join(" "));
    let _ = out.flush();
}

/// A listener with the address that it is bound to.
struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
}

async fn listen(host: IpAddr) -> Result<BoundListener, Error> {
    let listener = TcpListener::bind((host, 0)).await.map_err(|error| failed("cannot open a listener", error))?;
    let address = listener.local_addr().map_err(|error| failed("cannot get the address of a listener", error))?;
    Ok(BoundListener { listener, address })
}

/// Returns the server limits of a control interface, which only processes of the run use.
fn control_limits() -> ServerLimits {
    ServerLimits {
        max_connections: 64,
        scarce_connections: 64,
        idle_timeout: Duration::from_secs(600),
        transfer_timeout: Duration::from_secs(60),
        response_timeout: Duration::from_secs(60),
    }
}

/// Returns an empty cloud, for the environment of roles other than the cloud.
fn no_cloud() -> Cloud {
    Cloud::new(CloudSettings {
        types: Vec::new(),
        capacity: 0,
        rps: f64::INFINITY,
        list_lag_s: 0.0,
        reclaim_notice_s: 0.0,
        boot_failure_share: 0.0,
    })
}

/// Returns an empty worker pool, for the environment of roles other than the workers.
fn no_workers(rng: &mut Rng) -> WorkerPool {
    WorkerPool::new(worker_pool::Settings { lease_s: 0.0, gang_wait_s: 0.0, gang_peer_s: 0.0 }, 1.0, rng.fork())
}

fn failed(what: &str, error: impl std::fmt::Display) -> Error {
    Error::Failed(format!("{what}: {error}"))
}
