//! The list of tests that are known to fail: what stands in it is passed over by CI, so a
//! line that is malformed, names no test or is one too many must fail it.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

/// What `.ci/known-red` prints for such a list, or what it complains of.
fn read(list: Option<&str>) -> Result<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = std::env::temp_dir().join(format!("known-red-{}-{:?}", std::process::id(), std::thread::current().id()));
    let _ = std::fs::remove_file(&file);
    if let Some(text) = list {
        std::fs::write(&file, text).expect("room");
    }
    let script = root.join(".ci/known-red");
    let pipes = || Stdio::piped();
    let mut bash = Command::new("bash");
    let bash = bash.arg(script).arg(&file).stdin(pipes()).stdout(pipes()).stderr(pipes());
    let mut child = bash.spawn().expect("bash");
    let names = "sim::one\nsim::one_more\nanswers::tests::two\nthree\nfour\n";
    child.stdin.take().expect("a pipe").write_all(names.as_bytes()).expect("it reads");
    let out = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(&file);
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    if out.status.success() {
        Ok(text(&out.stdout))
    } else {
        Err(text(&out.stderr))
    }
}

#[test]
fn only_three_tests_that_exist_are_passed_over() {
    assert_eq!(read(None), Ok(String::new()));
    assert_eq!(read(Some("")), Ok(String::new()));
    let good = "sim::one: a lease outlasts it: 35\nanswers::tests::two: cause: with colons: #22\nthree: x: 1";
    assert_eq!(read(Some(good)), Ok("sim::one\nanswers::tests::two\nthree\n".into()));
    for (list, part) in [
        ("sim::one", "line 1: not"),
        ("sim::one: no issue", "line 1: not"),
        ("sim::one: cause: later", "line 1: not"),
        ("sim::one: : 3", "line 1: not"),
        ("# sim::one: cause: 3", "line 1: not"),
        ("\n", "line 1: not"),
        ("sim::on: a part of a name: 3", "no test sim::on"),
        ("sim: all of them: 3", "no test sim"),
        (".*: all of them: 3", "line 1: not"),
        ("three: x: 1\nthree: x: 1", "line 2: three stands there twice"),
        ("sim::one: x: 1\nsim::one_more: x: 1\nthree: x: 1\nfour: x: 1\n", "three lines at most"),
    ] {
        let why = read(Some(list)).expect_err(list);
        assert!(why.contains(part), "{list:?}: {why}");
    }
}

/// There is no other way to pass over a test: CI's script names none itself.
#[test]
fn ci_passes_over_nothing_else() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let run = std::fs::read_to_string(root.join(".ci/run")).expect("CI's script");
    assert_eq!(run.matches("--skip").count(), 1, "{run}");
    assert_eq!(run.matches("cargo test").count(), 2, "a list and a run");
    assert!(run.contains("cargo test --locked --workspace ${skip[@]+-- --exact \"${skip[@]}\"}"));
}
