//! Checks the module order that docs/architecture.md describes: a module may import only the
//! modules that precede it.  The compiler enforces such an order between packages, but not between
//! the modules of one package.

use std::fs;
use std::path::{Path, PathBuf};

/// The modules of the controller, each after the modules that it may import.  A module in a folder is
/// listed with its folder.
const CONTROLLER_MODULES: &[&str] = &[
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

/// The modules of the core package, which makes the scheduling decisions: first the modules that hold
/// state, then the steps of the control loop.
const CORE_MODULES: &[&str] = &[
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
/// The steps, none of which may import another.
const CORE_STEPS: &[&str] = &["placement", "workers", "fleet", "commit"];

/// Returns the source code of a module without its tests.
fn module_source(src: &Path, module: &str) -> String {
    let path = module.replace("::", "/");
    let dir = fs::read_dir(src.join(&path)).into_iter().flatten().flatten().map(|e| e.path());
    let files =
        dir.chain([src.join(format!("{path}.rs"))]).filter(|file| file.is_file() && !file.ends_with("tests.rs"));
    let files: Vec<_> = files.collect();
    assert!(!files.is_empty(), "module {module} has no source file");
    files.iter().map(|file| fs::read_to_string(file).expect("a source file is readable")).collect()
}

/// Reports whether the text after a name continues that name, so that it is only the start of a longer
/// identifier.
fn continues_name(rest: &str) -> bool {
    rest.starts_with(|c: char| c.is_alphanumeric() || c == '_')
}

/// Reports whether source code names a module, by its full path or in the braces after its folder.
fn imports(source: &str, module: &str) -> bool {
    let path = format!("crate::{module}");
    if source.match_indices(&path).any(|(start, found)| !continues_name(&source[start + found.len()..])) {
        return true;
    }
    let Some((folder, name)) = module.rsplit_once("::") else { return false };
    let prefix = format!("crate::{folder}::{{");
    let lists = source.split(&prefix).skip(1).filter_map(|list| list.split(';').next());
    lists.flat_map(|list| list.split(|c: char| !c.is_alphanumeric() && c != '_')).any(|word| word == name)
}

/// Returns the public modules that a file declares.
fn public_modules(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap_or_default();
    text.lines().filter_map(|line| Some(line.strip_prefix("pub mod ")?.trim_end_matches(';').to_owned())).collect()
}

/// Asserts that each module imports none that follows it in `order`, and that `order` lists every public
/// module of the package.
fn assert_import_order(src: &Path, order: &[&str]) {
    for (index, module) in order.iter().enumerate() {
        let source = module_source(src, module);
        for later in &order[index + 1..] {
            assert!(!imports(&source, later), "{module} imports {later}, which follows it in the module order");
        }
    }
    for module in public_modules(&src.join("lib.rs")) {
        if order.contains(&module.as_str()) {
            continue;
        }
        // a folder is not listed itself: each of its modules must be
        let submodules = public_modules(&src.join(&module).join("mod.rs"));
        assert!(!submodules.is_empty(), "{module} is missing from the module order");
        for name in submodules {
            let path = format!("{module}::{name}");
            assert!(order.contains(&path.as_str()), "{path} is missing from the module order");
        }
    }
}

/// Appends all files below a folder to `files`.
fn collect_files(dir: &Path, files: &mut Vec<PathBuf>) {
    for path in fs::read_dir(dir).into_iter().flatten().flatten().map(|e| e.path()) {
        match path.is_dir() {
            true => collect_files(&path, files),
            false => files.push(path),
        }
    }
}

/// Reports whether a file may contain tests: the `tests.rs` of a module, or a file of the simulation in
/// `sim`, which is compiled for tests only.
fn may_contain_tests(path: &Path) -> bool {
    path.ends_with("tests.rs") || path.components().any(|c| c.as_os_str() == "sim")
}

/// Code that is compiled for tests only must be a module in a file of its own.
#[test]
fn tests_live_in_test_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_files(&root.join("src"), &mut files);
    for package in fs::read_dir(root.join("packages")).expect("the packages folder is readable").flatten() {
        collect_files(&package.path().join("src"), &mut files);
    }
    let (mut source_files, mut test_files) = (0, 0);
    for file in files.iter().filter(|file| file.extension().is_some_and(|e| e == "rs")) {
        let source = fs::read_to_string(file).expect("a source file is readable");
        if may_contain_tests(file) {
            test_files += usize::from(source.contains("#[test]"));
            continue;
        }
        source_files += 1;
        assert!(!source.contains("#[test]"), "{} contains a test", file.display());
        for part in source.split("#[cfg(test)]").skip(1) {
            let is_module =
                part.trim_start().lines().next().is_some_and(|line| line.starts_with("mod ") && line.ends_with(';'));
            assert!(is_module, "{}: move the code under #[cfg(test)] into a module with its own file", file.display());
        }
    }
    assert!(source_files > 60 && test_files > 30, "found only {source_files} source files and {test_files} test files");
}

#[test]
fn modules_import_only_preceding_modules() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    assert_import_order(&root.join("src"), CONTROLLER_MODULES);
    let core = root.join("packages/core/src");
    assert_import_order(&core, CORE_MODULES);
    for step in CORE_STEPS {
        let source = module_source(&core, step);
        for other in CORE_STEPS.iter().filter(|other| *other != step) {
            assert!(!imports(&source, other), "{step} imports {other}: move what both need to the module cluster");
        }
    }
}

/// Returns the words that a page has between backquotes.
fn backquoted_words(page: &str) -> impl Iterator<Item = &str> {
    page.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Reports whether a word looks like the name of a function, module or field: lower case with
/// underscores.
fn is_snake_case_name(word: &str) -> bool {
    word.contains('_') && word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// Each file path, and each function, module or field that the page mentions must exist.
#[test]
fn names_in_the_architecture_page_exist_in_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_files(&root.join("src"), &mut files);
    collect_files(&root.join("packages"), &mut files);
    let code: String = files
        .iter()
        .filter(|file| file.extension().is_some_and(|e| e == "rs" || e == "policy"))
        .map(|file| fs::read_to_string(file).expect("a source file is readable"))
        .collect();
    let page = fs::read_to_string(root.join("docs/architecture.md")).expect("docs/architecture.md is readable");
    let (mut paths, mut names) = (0, 0);
    for word in backquoted_words(&page) {
        let is_path = word.starts_with("src/") || word.starts_with("packages/") || word.starts_with("tests/");
        if is_path {
            paths += 1;
            assert!(root.join(word).exists(), "docs/architecture.md mentions {word}, which does not exist");
            continue;
        }
        let name = word.rsplit("::").next().unwrap_or(word);
        if is_snake_case_name(name) {
            names += 1;
            let declarations = [format!("fn {name}"), format!("mod {name}"), format!("{name}:"), format!("{name} =")];
            assert!(
                declarations.iter().any(|declaration| code.contains(declaration.as_str())),
                "docs/architecture.md mentions {word}, which the code does not declare"
            );
        }
    }
    assert!(paths > 20 && names > 40, "found only {paths} paths and {names} names in docs/architecture.md");
}
