//! Tests of the emulated cluster with real controller processes, with the options that the first
//! command of the README uses.

use std::path::PathBuf;

use coralnotch_emulator::error::Error;
use coralnotch_emulator::up::{self, ClusterLimits, Options};

fn options(dir: &str) -> Options {
    Options {
        upgrade: None,
        port: 0,
        controller: Some(PathBuf::from(env!("CARGO_BIN_EXE_coralnotch"))),
        dir: Some(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(dir)),
        seed: 1,
        capacity: 4,
        demo: true,
        faults: None,
        limits: ClusterLimits::default(),
        plan: Vec::new(),
        exit: true,
    }
}

/// Three controllers become ready and run the demo job to its end; `run` fails if the protocol is violated.
#[test]
fn demo_job_completes_on_a_local_cluster() {
    let (_stop, stopped) = smol::channel::bounded(1);
    up::run(&options("demo"), stopped, |_| ()).expect("the cluster runs the demo job");
}

/// The cluster reports an invalid option before it starts any process.
#[test]
fn missing_controller_program_is_rejected_before_start() {
    let (_stop, stopped) = smol::channel::bounded(1);
    let options = Options { controller: Some("/no/such/program".into()), ..options("none") };
    assert!(
        matches!(up::run(&options, stopped, |_| ()), Err(Error::Input(reason)) if reason.contains("/no/such/program"))
    );
}
