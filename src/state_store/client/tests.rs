use super::*;

#[test]
fn a_budget_gives_its_burst_and_then_its_rate() {
    let t = Instant::now();
    let mut b = RateLimiter::new(10.0, 5.0, t);
    assert!(b.take(5.0, t).is_zero());
    assert_eq!(b.take(1.0, t), Duration::from_millis(100));
    // the debt is paid by time; the burst is never exceeded
    assert!(b.take(1.0, t + Duration::from_millis(300)).is_zero());
    assert!(b.take(5.0, t + Duration::from_secs(60)).is_zero());
    assert!(!b.take(0.5, t + Duration::from_secs(60)).is_zero());
}
