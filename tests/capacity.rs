//! Checks that the committed capacity page is up to date with its result files.

use std::fs;
use std::path::Path;

use coralnotch_emulator::capacity;

/// After a change to a result file or to the computation of the page, the page must be generated again.
#[test]
fn committed_capacity_page_equals_the_generated_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let generated =
        capacity::page(&root.join("docs/capacity")).expect("the result files in docs/capacity are readable");
    let committed = fs::read_to_string(root.join("docs/CAPACITY.md")).expect("docs/CAPACITY.md is readable");
    let differing = generated.lines().zip(committed.lines()).find(|(generated, committed)| generated != committed);
    assert_eq!(
        differing, None,
        "docs/CAPACITY.md is outdated; run: coralnotch-emulator capacity docs/capacity --out docs/CAPACITY.md"
    );
    assert_eq!(generated.len(), committed.len());
}
