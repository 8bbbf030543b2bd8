use super::*;

/// All versions of the program exchange the term record, so its encoding must not change.
#[test]
fn term_record_encoding_is_unchanged() {
    let golden = serde_json::json!({ "term": 3 });
    let read: TermRecord = crate::http::decode(&crate::http::encode(&golden)).expect("decoded term record");
    assert_eq!(read.term, 3);
    let encoded: serde_json::Value = crate::http::decode(&crate::http::encode(&read)).expect("decoded JSON value");
    assert_eq!(encoded, golden);
}
