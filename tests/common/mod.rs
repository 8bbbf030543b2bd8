//! What tests with real processes share: a cluster on a thread, small jobs.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;

use coralnotch::model::{JobSpec, Name};
use coralnotch::state_store::client::key;
use coralnotch_emulator::up::{up, Options, Report, Size};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_coralnotch");

/// A directory of its own for a test.
pub fn dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a directory for the test");
    dir
}

/// A cluster on a thread of its own.
pub struct Cluster {
    pub addr: SocketAddr,
    stop: smol::channel::Sender<()>,
    thread: thread::JoinHandle<Result<Report, String>>,
}

impl Cluster {
    pub fn start(dir: &Path, faults: &str, capacity: usize) -> Cluster {
        Cluster::of(dir, faults, capacity, PROGRAM.into(), None)
    }

    /// One whose services and controllers have this size.
    pub fn sized(dir: &Path, faults: &str, capacity: usize, size: Size) -> Cluster {
        Cluster::with(dir, faults, capacity, PROGRAM.into(), None, size)
    }

    /// One that begins with one program and is upgraded to another.
    pub fn of(dir: &Path, faults: &str, capacity: usize, controller: PathBuf, upgrade: Option<PathBuf>) -> Cluster {
        Cluster::with(dir, faults, capacity, controller, upgrade, Size::default())
    }

    fn with(
        dir: &Path,
        faults: &str,
        capacity: usize,
        controller: PathBuf,
        upgrade: Option<PathBuf>,
        size: Size,
    ) -> Cluster {
        let file = dir.join("faults.toml");
        fs::write(&file, faults).expect("a plan");
        let options = Options {
            port: 0,
            controller: Some(controller),
            upgrade,
            dir: Some(dir.into()),
            seed: 7,
            capacity,
            demo: false,
            faults: Some(file),
            size,
            plan: Vec::new(),
            exit: false,
        };
        let (stop, stopped) = smol::channel::bounded(1);
        let (told, ready) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            up(&options, stopped, move |a| told.send(a).expect("it is awaited")).map_err(|e| e.to_string())
        });
        let addr = ready.recv().expect("the cluster gets ready");
        Cluster { addr, stop, thread }
    }

    pub fn stop(self) -> Report {
        let _ = self.stop.try_send(());
        self.thread.join().expect("no panic").expect("no rule broken")
    }
}

pub fn job(id: Name) -> JobSpec {
    JobSpec {
        class: "demo".into(),
        team: "demo".into(),
        cpus: 0.5,
        image_gb: 0.1,
        estimate_s: 0.5,
        ..(*coralnotch_wire::example::spec(&id, 1)).clone()
    }
}

pub fn stored(r: &Report) -> HashSet<Name> {
    r.keys.iter().filter_map(|k| k.strip_prefix(key::JOB)).map(Name::from).collect()
}
