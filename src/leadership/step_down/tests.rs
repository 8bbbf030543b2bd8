use super::*;

/// Without the backoff, two isolated controllers would alternate as leaders.
#[test]
fn backoff_ends_with_a_heartbeat_or_at_its_limit() {
    let t0 = Instant::now();
    let at = |seconds| t0 + Duration::from_secs(seconds);
    let backoff = StepDownBackoff::new(at(10), Duration::from_secs(10));
    assert!(backoff.is_active(None, at(11)) && backoff.is_active(Some(at(5)), at(11)));
    assert!(!backoff.is_active(Some(at(11)), at(12)), "a heartbeat ends the backoff");
    assert!(!backoff.is_active(None, at(20)), "the backoff has expired");
}
