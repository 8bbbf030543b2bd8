use super::*;

#[test]
fn lease_validity_counts_from_the_sending() {
    let sent = Instant::now();
    let until = lease_valid_until(sent, Duration::from_secs(4), 0.0005);
    assert!(until < sent + Duration::from_secs(4));
    assert!(until > sent + Duration::from_millis(3990));
}
