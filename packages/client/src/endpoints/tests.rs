use super::*;

#[test]
fn endpoint_is_kept_until_it_fails_and_skipped_while_its_circuit_breaker_is_open() {
    let now = Instant::now();
    let cooldown = Duration::from_secs(5);
    let [a, b] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let mut endpoints = Endpoints::new(&[a, b], 0, cooldown);
    assert_eq!([endpoints.choose(now), endpoints.choose(now)], [Ok(a), Ok(a)]);
    endpoints.record_failure(a, now);
    assert_eq!(endpoints.choose(now), Ok(b));
    // A late failure of an endpoint that is not current does not change the choice.
    endpoints.record_failure(a, now);
    assert_eq!(endpoints.choose(now), Ok(b));
    endpoints.record_failure(a, now);
    for _ in 0..3 {
        endpoints.record_failure(b, now);
    }
    assert_eq!(endpoints.choose(now), Err(cooldown));
    assert!(endpoints.choose(now + cooldown).is_ok());
    endpoints.record_failure(b, now + cooldown);
    endpoints.record_success(a);
    assert_eq!(endpoints.choose(now + cooldown), Ok(a));
}
