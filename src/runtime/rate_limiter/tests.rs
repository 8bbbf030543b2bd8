use super::*;

#[test]
fn limiter_allows_the_burst_then_the_rate() {
    let start = Instant::now();
    let limiter = RateLimiter::new(10.0, 5.0, start);
    assert!(limiter.reserve(5.0, start).is_zero());
    assert_eq!(limiter.reserve(1.0, start), Duration::from_millis(100));
    // Time refills the bucket after an early reservation, but never above the burst.
    assert!(limiter.reserve(1.0, start + Duration::from_millis(300)).is_zero());
    assert!(limiter.reserve(5.0, start + Duration::from_secs(60)).is_zero());
    assert!(!limiter.reserve(0.5, start + Duration::from_secs(60)).is_zero());
}
