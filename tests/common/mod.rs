//! Support for integration tests that start real controller processes: a cluster that runs on a
//! thread of its own, a working directory for each test, and a small job.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use coralnotch::model::{JobSpec, Name};
use coralnotch_emulator::error::Error;
use coralnotch_emulator::up::{self, Options, Report, Size};
use smol::channel::Sender;

/// The controller program that Cargo built for this test run.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_coralnotch");
/// Seed of the emulated services; a fixed one, so that a failure can be repeated.
const SEED: u64 = 7;

/// Creates an empty directory that no other test process uses.
pub fn test_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a directory for the test");
    dir
}

/// What differs between the clusters of the tests.
pub struct ClusterConfig<'a> {
    /// Fault plan in TOML; see `coralnotch_emulator::faults`.
    pub faults: &'a str,
    /// Machines that can be rented of each type, in each zone, spot and on-demand apart.
    pub capacity: usize,
    /// Program that the controllers start with.
    pub controller: PathBuf,
    /// Program that a controller runs after an `upgrade` fault; `None` for the same one.
    pub upgrade: Option<PathBuf>,
    /// Limits of the emulated services and of the controllers.
    pub size: Size,
}

impl Default for ClusterConfig<'_> {
    fn default() -> Self {
        ClusterConfig { faults: "", capacity: 8, controller: PROGRAM.into(), upgrade: None, size: Size::default() }
    }
}

/// A running cluster.
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
        fs::write(&fault_file, config.faults).expect("the fault plan is written");
        let options = Options {
            port: 0,
            controller: Some(config.controller),
            upgrade: config.upgrade,
            dir: Some(dir.into()),
            seed: SEED,
            capacity: config.capacity,
            demo: false,
            faults: Some(fault_file),
            size: config.size,
            plan: Vec::new(),
            exit: false,
        };
        let (stop, stopped) = smol::channel::bounded(1);
        let (ready_sender, ready) = mpsc::channel();
        let thread = thread::spawn(move || {
            up::run(&options, stopped, move |addr| ready_sender.send(addr).expect("the test waits for the address"))
        });
        let addr = ready.recv().expect("the cluster gets ready");
        Cluster { addr, stop, thread }
    }

    /// Stops the cluster; panics if a rule of the protocol was seen broken.
    pub fn stop(self) -> Report {
        let _ = self.stop.try_send(());
        self.thread.join().expect("no panic").expect("no rule broken")
    }
}

/// A job of one task that runs for half a second.
pub fn small_job(id: Name) -> JobSpec {
    JobSpec {
        class: "demo".into(),
        team: "demo".into(),
        cpus: 0.5,
        image_gb: 0.1,
        estimate_s: 0.5,
        ..(*coralnotch_wire::example::spec(&id, 1)).clone()
    }
}
