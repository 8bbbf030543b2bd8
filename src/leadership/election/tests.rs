use super::*;

/// The record of the last term, as every version stores it.
#[test]
fn the_term_record_keeps_its_form() {
    let golden = serde_json::json!({ "term": 3 });
    let read: TermRecord = crate::http::decode(&crate::http::encode(&golden)).expect("a record");
    assert_eq!(read.term, 3);
    let again: serde_json::Value = crate::http::decode(&crate::http::encode(&read)).expect("a record");
    assert_eq!(again, golden);
}
