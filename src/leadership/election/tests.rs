use super::*;
use std::time::Duration;

#[test]
fn two_deaf_ones_do_not_take_turns() {
    let t0 = Instant::now();
    let s = |n| t0 + Duration::from_secs(n);
    let d = StepDownBackoff { started_at: s(10), expires_at: s(20) };
    assert!(d.is_active(None, s(11)) && d.is_active(Some(s(5)), s(11)));
    assert!(!d.is_active(Some(s(11)), s(12)), "a worker is heard again");
    assert!(!d.is_active(None, s(20)), "nobody else leads");
}

/// The record of the last term, as every version stores it.
#[test]
fn the_term_record_keeps_its_form() {
    let golden = serde_json::json!({ "term": 3 });
    let read: TermRecord = crate::http::decode(&crate::http::encode(&golden)).expect("a record");
    assert_eq!(read.term, 3);
    let again: serde_json::Value = crate::http::decode(&crate::http::encode(&read)).expect("a record");
    assert_eq!(again, golden);
}
