//! The order of the modules, as docs/architecture.md has it: each may import
//! only those before it.  The compiler keeps the order of packages, not this.

use std::fs;
use std::path::{Path, PathBuf};

/// The daemon's modules, from the ground up; what stands in a folder is named with it.
const DAEMON: &[&str] = &[
    "runtime::wake_up",
    "runtime::executor",
    "runtime::race",
    "runtime::rate_limiter",
    "runtime::scheduling_delay",
    "state_store::client",
    "operators::telemetry",
    "leadership::lease",
    "leadership::isolation",
    "leadership::step_down",
    "users::queues",
    "peers::links",
    "peers::machine_hints",
    "controller",
    "leadership::feature_gate",
    "state_store::initial_read",
    "state_store::watch",
    "operators::status",
    "peers::cancellation_notices",
    "peers::polling",
    "peers::relay",
    "peers::service",
    "users::request",
    "users::lookup",
    "users::confirmation",
    "users::validation",
    "users::submit",
    "users::progress",
    "users::query",
    "users::cancel",
    "heartbeats",
    "peers::forwarding",
    "http_api",
    "leader",
    "leadership::renewal",
    "leadership::election",
    "run",
    "commands::output",
    "commands::logging",
    "commands::client",
    "commands::text",
    "commands::submit",
    "commands::cli",
];

/// The decisions: state first, then the steps, which share nothing sideways.
const CORE: &[&str] = &[
    "key",
    "feature_gate",
    "cancellation",
    "dependency",
    "heartbeat_forwarding",
    "cluster",
    "job_index",
    "lookup",
    "user_request",
    "placement",
    "workers",
    "fleet",
    "commit",
];
const STEPS: &[&str] = &["placement", "workers", "fleet", "commit"];

/// The files of a module, without their tests.
fn text(src: &Path, module: &str) -> String {
    let path = module.replace("::", "/");
    let dir = fs::read_dir(src.join(&path)).into_iter().flatten().flatten().map(|e| e.path());
    let files = dir.chain([src.join(format!("{path}.rs"))]).filter(|f| f.is_file() && !f.ends_with("tests.rs"));
    let files: Vec<_> = files.collect();
    assert!(!files.is_empty(), "there is no module {module}");
    files.iter().map(|f| fs::read_to_string(f).expect("a source file")).collect()
}

/// Whether a text goes on after a name, so that the name is a part of a longer one.
fn continues_name(rest: &str) -> bool {
    rest.starts_with(|c: char| c.is_alphanumeric() || c == '_')
}

/// Whether a text names a module, by its whole path or in a list after its folder.
fn imports(text: &str, module: &str) -> bool {
    let path = format!("crate::{module}");
    if text.match_indices(&path).any(|(i, m)| !continues_name(&text[i + m.len()..])) {
        return true;
    }
    let Some((folder, name)) = module.rsplit_once("::") else { return false };
    let prefix = format!("crate::{folder}::{{");
    let lists = text.split(&prefix).skip(1).filter_map(|l| l.split(';').next());
    lists.flat_map(|l| l.split(|c: char| !c.is_alphanumeric() && c != '_')).any(|word| word == name)
}

/// The modules that a file declares for others.
fn declared(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap_or_default();
    text.lines().filter_map(|l| Some(l.strip_prefix("pub mod ")?.trim_end_matches(';').to_owned())).collect()
}

fn ordered(src: &Path, order: &[&str]) {
    for (n, module) in order.iter().enumerate() {
        let text = text(src, module);
        for above in &order[n + 1..] {
            assert!(!imports(&text, above), "{module} imports {above}, which stands on it");
        }
    }
    for module in declared(&src.join("lib.rs")) {
        if order.contains(&module.as_str()) {
            continue;
        }
        // a folder whose modules stand in the order one by one holds nothing else
        let inner = declared(&src.join(&module).join("mod.rs"));
        assert!(!inner.is_empty(), "{module} has no place in the order");
        for name in inner {
            let path = format!("{module}::{name}");
            assert!(order.contains(&path.as_str()), "{path} has no place in the order");
        }
    }
}

/// All source files below a folder.
fn sources(dir: &Path, into: &mut Vec<PathBuf>) {
    for path in fs::read_dir(dir).into_iter().flatten().flatten().map(|e| e.path()) {
        match path.is_dir() {
            true => sources(&path, into),
            false => into.push(path),
        }
    }
}

/// Whether a file may hold tests: `tests.rs` of a module, or the seeded world, which is
/// compiled for tests only.
fn holds_tests(path: &Path) -> bool {
    path.ends_with("tests.rs") || path.components().any(|c| c.as_os_str() == "sim")
}

/// Tests live in test files: what is compiled for tests is a module in a file of its own.
#[test]
fn tests_live_in_test_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    for package in fs::read_dir(root.join("packages")).expect("packages").flatten() {
        sources(&package.path().join("src"), &mut files);
    }
    let (mut code, mut tests) = (0, 0);
    for f in files.iter().filter(|f| f.extension().is_some_and(|e| e == "rs")) {
        let text = fs::read_to_string(f).expect("a source file");
        if holds_tests(f) {
            tests += usize::from(text.contains("#[test]"));
            continue;
        }
        code += 1;
        assert!(!text.contains("#[test]"), "{} holds a test", f.display());
        for part in text.split("#[cfg(test)]").skip(1) {
            let own = part.trim_start().lines().next().is_some_and(|l| l.starts_with("mod ") && l.ends_with(';'));
            assert!(own, "{}: what is compiled for tests belongs into a file of its own", f.display());
        }
    }
    assert!(code > 60 && tests > 30, "{code} source files and {tests} test files are too few");
}

#[test]
fn modules_import_only_what_is_below() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    ordered(&root.join("src"), DAEMON);
    let core = root.join("packages/core/src");
    ordered(&core, CORE);
    for step in STEPS {
        let text = text(&core, step);
        for other in STEPS.iter().filter(|o| *o != step) {
            assert!(!imports(&text, other), "{step} imports {other}: what both need goes down to cluster");
        }
    }
}

/// The words in backquotes of a page.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Whether a word is the name of a function of the code, as the page writes them.
fn is_function_name(word: &str) -> bool {
    word.contains('_') && word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// The page names files, functions and types that exist.
#[test]
fn the_architecture_page_is_true_to_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("packages"), &mut files);
    let code: String = files
        .iter()
        .filter(|f| f.extension().is_some_and(|e| e == "rs" || e == "policy"))
        .map(|f| fs::read_to_string(f).expect("a source file"))
        .collect();
    let page = fs::read_to_string(root.join("docs/architecture.md")).expect("the page");
    let (mut paths, mut names) = (0, 0);
    for word in quoted(&page) {
        let file = word.starts_with("src/") || word.starts_with("packages/") || word.starts_with("tests/");
        if file {
            paths += 1;
            assert!(root.join(word).exists(), "there is no {word}");
            continue;
        }
        let name = word.rsplit("::").next().unwrap_or(word);
        if is_function_name(name) {
            names += 1;
            let known = [format!("fn {name}"), format!("mod {name}"), format!("{name}:"), format!("{name} =")];
            assert!(known.iter().any(|k| code.contains(k.as_str())), "the code has no {word}");
        }
    }
    assert!(paths > 20 && names > 40, "{paths} paths and {names} names are too few");
}
