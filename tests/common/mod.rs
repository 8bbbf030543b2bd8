//! Support for integration tests that start real controller processes: a cluster that runs on its
//! own thread, a working directory for each test, and a small job.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use coralnotch::model::{JobSpec, Name};
use coralnotch_emulator::error::Error;
use coralnotch_emulator::up::{self, ClusterLimits, Options, Report};
use smol::channel::Sender;

/// The controller program that Cargo built for this test run.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_coralnotch");
/// Seed of the emulated services; it is fixed so that a failure can be reproduced.
const SEED: u64 = 7;

/// Creates an empty directory whose name contains the process id, so that no other test process uses it.
pub fn test_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("the directory of the test is created");
    dir
}

/// Options of a test cluster.
pub struct ClusterConfig<'a> {
    /// Fault plan in TOML; see `coralnotch_emulator::faults`.  An empty one injects no fault.
    pub faults: &'a str,
    /// Number of machines that the cloud rents out of each machine type in each zone, counted separately for
    /// spot and on-demand machines.
    pub capacity: usize,
    /// Controller program that the cluster starts.
    pub controller: PathBuf,
    /// Program that a controller runs after an `upgrade` fault; `None` keeps [`ClusterConfig::controller`].
    pub upgrade: Option<PathBuf>,
    /// Limits of the emulated services and of the controllers.
    pub limits: ClusterLimits,
}

impl Default for ClusterConfig<'_> {
    fn default() -> Self {
        ClusterConfig {
            faults: "",
            capacity: 8,
            controller: PROGRAM.into(),
            upgrade: None,
            limits: ClusterLimits::default(),
        }
    }
}

/// A running cluster of controllers with emulated services and workers.
pub struct Cluster {
    /// Address of the load balancer, where users connect.
    pub addr: SocketAddr,
    stop: Sender<()>,
    thread: thread::JoinHandle<Result<Report, Error>>,
}

impl Cluster {
    /// Starts a cluster and waits until a controller serves users.
    pub fn start(dir: &Path, config: ClusterConfig<'_>) -> Cluster {
        let fault_file = dir.join("faults.toml");
        fs::write(&fault_file, config.faults).expect("the fault plan can be written");
        let options = Options {
            port: 0,
            controller: Some(config.controller),
            upgrade: config.upgrade,
            dir: Some(dir.into()),
            seed: SEED,
            capacity: config.capacity,
            demo: false,
            faults: Some(fault_file),
            limits: config.limits,
            plan: Vec::new(),
            exit: false,
        };
        let (stop, stopped) = smol::channel::bounded(1);
        let (ready_sender, ready) = mpsc::channel();
        let thread = thread::spawn(move || {
            up::run(&options, stopped, move |addr| ready_sender.send(addr).expect("the test waits for the address"))
        });
        let addr = ready.recv().expect("the cluster becomes ready");
        Cluster { addr, stop, thread }
    }

    /// Stops the cluster and returns its report.
    ///
    /// # Panics
    ///
    /// If the cluster failed or observed a violation of the protocol.
    pub fn stop(self) -> Report {
        let _ = self.stop.try_send(());
        self.thread
            .join()
            .expect("the cluster thread does not panic")
            .expect("the cluster observes no violation of the protocol")
    }
}

/// Returns a job with one task that runs for half a second.
pub fn small_job(id: Name) -> JobSpec {
    JobSpec {
        class: "demo".into(),
        team: "demo".into(),
        cpus: 0.5,
        image_gb: 0.1,
        estimated_run_time_s: 0.5,
        ..(*coralnotch_wire::example::job_array(&id, 1)).clone()
    }
}
