//! The emulated cluster with real controller processes, as the README's first command runs it.

use std::path::PathBuf;

use coralnotch_emulator::error::Error;
use coralnotch_emulator::up::{self, Options, Size};

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
        size: Size::default(),
        plan: Vec::new(),
        exit: true,
    }
}

/// Three controllers get ready, and a job goes from submitted to done with no rule broken.
#[test]
fn a_job_runs_on_a_cluster_on_one_machine() {
    let (_stop, stopped) = smol::channel::bounded(1);
    up::run(&options("demo"), stopped, |_| ()).expect("a cluster that runs a job");
}

/// An unusable option is reported before anything starts.
#[test]
fn a_missing_controller_is_said_at_once() {
    let (_stop, stopped) = smol::channel::bounded(1);
    let options = Options { controller: Some("/no/such/program".into()), ..options("none") };
    assert!(matches!(up::run(&options, stopped, |_| ()), Err(Error::Input(why)) if why.contains("/no/such/program")));
}
