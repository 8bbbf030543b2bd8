use super::*;

#[test]
fn sticky_moved_on_failure_and_shut_for_a_while() {
    let now = Instant::now();
    let rest = Duration::from_secs(5);
    let [a, b] = [1, 2].map(|p| SocketAddr::from(([127, 0, 0, 1], p)));
    let mut e = Endpoints::new(&[a, b], 0, rest);
    assert_eq!([e.choose(now), e.choose(now)], [Ok(a), Ok(a)]);
    e.record_failure(a, now);
    assert_eq!(e.choose(now), Ok(b));
    // a late failure of the one that is left already moves nothing
    e.record_failure(a, now);
    assert_eq!(e.choose(now), Ok(b));
    e.record_failure(a, now);
    for _ in 0..3 {
        e.record_failure(b, now);
    }
    assert_eq!(e.choose(now), Err(rest));
    assert!(e.choose(now + rest).is_ok());
    e.record_failure(b, now + rest);
    e.record_success(a);
    assert_eq!(e.choose(now + rest), Ok(a));
}
