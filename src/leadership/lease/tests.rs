use super::*;

#[test]
fn lease_validity_counts_from_when_the_request_was_sent() {
    let sent_at = Instant::now();
    let valid_until = lease_valid_until(sent_at, Duration::from_secs(4), 0.0005);
    assert!(valid_until < sent_at + Duration::from_secs(4));
    assert!(valid_until > sent_at + Duration::from_millis(3990));
}
