//! The committed capacity page is the one that its result files give.

use std::fs;
use std::path::Path;

use coralnotch_emulator::capacity;

/// A change of a result file, or of how the page is computed, requires that the page is generated
/// again.
#[test]
fn the_page_is_made_from_its_results() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let generated = capacity::page(&root.join("docs/capacity")).expect("results that can be read");
    let committed = fs::read_to_string(root.join("docs/CAPACITY.md")).expect("the page");
    let differing = generated.lines().zip(committed.lines()).find(|(generated, committed)| generated != committed);
    assert_eq!(differing, None, "make it again: coralnotch-emulator capacity docs/capacity --out docs/CAPACITY.md");
    assert_eq!(generated.len(), committed.len());
}
