//! The order of the modules, as docs/architecture.md has it: each may import
//! only those before it.  The compiler keeps the order of packages, not this.

use std::fs;
use std::path::Path;

/// The daemon's modules, from the ground up.
const DAEMON: &[&str] = &[
    "wait",
    "turns",
    "store",
    "telemetry",
    "authority",
    "queues",
    "siblings",
    "node",
    "gates",
    "watch",
    "status",
    "peers",
    "intake",
    "leader",
    "leadership",
    "run",
    "client",
    "submit",
    "cli",
];

/// The decisions: state first, then the steps, which share nothing sideways.
const CORE: &[&str] = &[
    "key",
    "gate",
    "knowledge",
    "dependency",
    "cluster",
    "ledger",
    "lookup",
    "placement",
    "workers",
    "fleet",
    "commit",
];
const STEPS: &[&str] = &["placement", "workers", "fleet", "commit"];

/// The files of a module, without their tests.
fn text(src: &Path, module: &str) -> String {
    let dir = fs::read_dir(src.join(module)).into_iter().flatten().flatten().map(|e| e.path());
    let files: Vec<_> = dir.chain([src.join(format!("{module}.rs"))]).filter(|f| f.is_file()).collect();
    assert!(!files.is_empty(), "there is no module {module}");
    let code =
        |f| fs::read_to_string(f).expect("a source file").split("#[cfg(test)]").next().unwrap_or_default().to_owned();
    files.iter().map(code).collect()
}

fn imports(text: &str, module: &str) -> bool {
    text.match_indices(&format!("crate::{module}"))
        .any(|(i, m)| !text[i + m.len()..].starts_with(|c: char| c.is_alphanumeric() || c == '_'))
}

fn ordered(src: &Path, order: &[&str]) {
    for (n, module) in order.iter().enumerate() {
        let text = text(src, module);
        for above in &order[n + 1..] {
            assert!(!imports(&text, above), "{module} imports {above}, which stands on it");
        }
    }
    let root = fs::read_to_string(src.join("lib.rs")).expect("lib.rs");
    for line in root.lines().filter_map(|l| l.strip_prefix("pub mod ")) {
        let module = line.trim_end_matches(';');
        assert!(order.contains(&module), "{module} has no place in the order");
    }
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
