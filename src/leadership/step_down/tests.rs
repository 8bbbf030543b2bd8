use super::*;

#[test]
fn two_isolated_controllers_do_not_alternate() {
    let t0 = Instant::now();
    let at = |seconds| t0 + Duration::from_secs(seconds);
    let backoff = StepDownBackoff::new(at(10), Duration::from_secs(10));
    assert!(backoff.is_active(None, at(11)) && backoff.is_active(Some(at(5)), at(11)));
    assert!(!backoff.is_active(Some(at(11)), at(12)), "a heartbeat is received again");
    assert!(!backoff.is_active(None, at(20)), "no other controller was elected");
}
