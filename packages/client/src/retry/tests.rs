use super::*;

#[test]
fn waits_double_up_to_the_most() {
    let b = Backoff { initial: Duration::from_millis(100), maximum: Duration::from_secs(5) };
    let bounds: Vec<u128> = [1, 2, 3, 7, 40, u32::MAX].iter().map(|n| b.delay(*n, 1.0).as_millis()).collect();
    assert_eq!(bounds, [100, 200, 400, 5000, 5000, 5000]);
    assert_eq!(b.delay(3, 0.0), Duration::ZERO);
}

#[test]
fn retries_are_a_share_of_first_tries_and_never_end() {
    let t0 = Instant::now();
    let mut b = RetryBudget::new(0.25, 2.0, 0.5, Duration::from_secs(5), t0);
    assert!(b.try_spend(t0).is_ok());
    assert_eq!(b.try_spend(t0), Err(Duration::from_secs(2)));
    for _ in 0..4 {
        b.record_first_attempt(t0);
    }
    assert!(b.try_spend(t0).is_ok());
    assert!(b.try_spend(t0).is_err());
    assert!(b.try_spend(t0 + Duration::from_secs(2)).is_ok(), "the trickle");
    // a retry succeeds while a hundred wait: they go over five seconds
    let mut now = t0 + Duration::from_secs(2);
    b.record_success(100, now);
    let began = now;
    for _ in 0..100 {
        while let Err(wait) = b.try_spend(now) {
            now += wait;
        }
    }
    let took = now.duration_since(began).as_secs_f64();
    assert!((4.5..5.5).contains(&took), "{took} s");
    b.record_failure(now);
    assert!(b.try_spend(now).is_err_and(|w| w > Duration::from_secs(1)), "the trickle again");
}
