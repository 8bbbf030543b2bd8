//! The capacity page is the one that its result files give.

use std::fs;
use std::path::Path;

use coralnotch_emulator::capacity;

/// Whoever changes a result, or how it is reckoned, makes the page again.
#[test]
fn the_page_is_made_from_its_results() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let made = capacity::page(&root.join("docs/capacity")).expect("results that can be read");
    let kept = fs::read_to_string(root.join("docs/CAPACITY.md")).expect("the page");
    let differs = made.lines().zip(kept.lines()).find(|(m, k)| m != k);
    assert_eq!(differs, None, "make it again: coralnotch-emulator capacity docs/capacity --out docs/CAPACITY.md");
    assert_eq!(made.len(), kept.len());
}
