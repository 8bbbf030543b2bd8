//! Tests of the list of tests that are known to fail.  CI skips the listed tests, so CI must fail if a
//! line is malformed or names no test, or if the list has too many lines.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

/// Runs `.ci/known-red` on a list (`None` for an absent file).  Returns its standard output, or its
/// standard error if it fails.
fn run_known_red(list: Option<&str>) -> Result<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = std::env::temp_dir().join(format!("known-red-{}-{:?}", std::process::id(), std::thread::current().id()));
    let _ = std::fs::remove_file(&file);
    if let Some(text) = list {
        std::fs::write(&file, text).expect("the list can be written");
    }
    let script = root.join(".ci/known-red");
    let pipes = || Stdio::piped();
    let mut bash = Command::new("bash");
    let bash = bash.arg(script).arg(&file).stdin(pipes()).stdout(pipes()).stderr(pipes());
    let mut child = bash.spawn().expect("bash starts");
    let names = "sim::one\nsim::one_more\nanswers::tests::two\nthree\nfour\n";
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(names.as_bytes())
        .expect("the script reads its input");
    let out = child.wait_with_output().expect("the script exits");
    let _ = std::fs::remove_file(&file);
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    if out.status.success() {
        Ok(text(&out.stdout))
    } else {
        Err(text(&out.stderr))
    }
}

#[test]
fn list_accepts_at_most_three_existing_tests() {
    assert_eq!(run_known_red(None), Ok(String::new()));
    assert_eq!(run_known_red(Some("")), Ok(String::new()));
    let good = "sim::one: a lease outlasts it: 35\nanswers::tests::two: cause: with colons: #22\nthree: x: 1";
    assert_eq!(run_known_red(Some(good)), Ok("sim::one\nanswers::tests::two\nthree\n".into()));
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
        ("three: x: 1\nthree: x: 1", "line 2: three is listed twice"),
        ("sim::one: x: 1\nsim::one_more: x: 1\nthree: x: 1\nfour: x: 1\n", "more than three lines"),
    ] {
        let message = run_known_red(Some(list)).expect_err(list);
        assert!(message.contains(part), "{list:?}: {message}");
    }
}

/// The list is the only way to skip a test: the CI script itself names none.
#[test]
fn ci_skips_only_listed_tests() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let run = std::fs::read_to_string(root.join(".ci/run")).expect("the CI script is readable");
    assert_eq!(run.matches("--skip").count(), 1, "{run}");
    assert_eq!(run.matches("cargo test").count(), 2, "one command lists the tests and one runs them");
    assert!(run.contains("cargo test --locked --workspace ${skip[@]+-- --exact \"${skip[@]}\"}"));
}
