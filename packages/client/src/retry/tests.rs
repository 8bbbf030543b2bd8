use super::*;

#[test]
fn delay_bounds_double_up_to_the_maximum() {
    let backoff = Backoff { initial: Duration::from_millis(100), maximum: Duration::from_secs(5) };
    let bounds: Vec<u128> =
        [1, 2, 3, 7, 40, u32::MAX].iter().map(|attempt| backoff.delay(*attempt, 1.0).as_millis()).collect();
    assert_eq!(bounds, [100, 200, 400, 5000, 5000, 5000]);
    assert_eq!(backoff.delay(3, 0.0), Duration::ZERO);
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts_and_a_minimum_rate() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(0.25, 2.0, 0.5, Duration::from_secs(5), start);
    assert!(budget.try_spend(start).is_ok());
    assert_eq!(budget.try_spend(start), Err(Duration::from_secs(2)));
    for _ in 0..4 {
        budget.record_first_attempt(start);
    }
    assert!(budget.try_spend(start).is_ok());
    assert!(budget.try_spend(start).is_err());
    assert!(budget.try_spend(start + Duration::from_secs(2)).is_ok(), "the minimum rate allows a retry after 2 s");
    // A retry succeeds while 100 others wait: they are sent within the drain time
    // of 5 s.
    let mut now = start + Duration::from_secs(2);
    budget.record_success(100, now);
    let drain_start = now;
    for _ in 0..100 {
        while let Err(wait) = budget.try_spend(now) {
            now += wait;
        }
    }
    let elapsed_s = now.duration_since(drain_start).as_secs_f64();
    assert!((4.5..5.5).contains(&elapsed_s), "100 retries took {elapsed_s} s instead of 5 s");
    budget.record_failure(now);
    assert!(
        budget.try_spend(now).is_err_and(|wait| wait > Duration::from_secs(1)),
        "the minimum rate applies again after a failure"
    );
}
