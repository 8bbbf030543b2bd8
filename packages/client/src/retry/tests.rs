use super::*;

#[test]
fn delays_double_up_to_the_maximum() {
    let backoff = Backoff { initial: Duration::from_millis(100), maximum: Duration::from_secs(5) };
    let bounds: Vec<u128> = [1, 2, 3, 7, 40, u32::MAX].iter().map(|n| backoff.delay(*n, 1.0).as_millis()).collect();
    assert_eq!(bounds, [100, 200, 400, 5000, 5000, 5000]);
    assert_eq!(backoff.delay(3, 0.0), Duration::ZERO);
}

#[test]
fn retries_are_a_share_of_first_attempts_and_never_end() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(0.25, 2.0, 0.5, Duration::from_secs(5), start);
    assert!(budget.try_spend(start).is_ok());
    assert_eq!(budget.try_spend(start), Err(Duration::from_secs(2)));
    for _ in 0..4 {
        budget.record_first_attempt(start);
    }
    assert!(budget.try_spend(start).is_ok());
    assert!(budget.try_spend(start).is_err());
    assert!(budget.try_spend(start + Duration::from_secs(2)).is_ok(), "the minimum rate");
    // a retry succeeds while a hundred wait: they are sent over five seconds
    let mut now = start + Duration::from_secs(2);
    budget.record_success(100, now);
    let drain_start = now;
    for _ in 0..100 {
        while let Err(wait) = budget.try_spend(now) {
            now += wait;
        }
    }
    let took = now.duration_since(drain_start).as_secs_f64();
    assert!((4.5..5.5).contains(&took), "{took} s");
    budget.record_failure(now);
    assert!(budget.try_spend(now).is_err_and(|w| w > Duration::from_secs(1)), "the minimum rate again");
}
