use super::*;

#[test]
fn latencies_are_told_in_milliseconds() {
    let t = Telemetry::default();
    for ms in 1..=100 {
        t.record(TimedOperation::Query, Duration::from_millis(ms));
    }
    t.record(TimedOperation::Commit, Duration::from_secs(100_000));
    let all = t.latencies();
    assert_eq!(all.len(), 2);
    let q = all["query"];
    assert_eq!(q.count, 100);
    assert!((q.p50_ms - 50.0).abs() < 1.0 && (q.p99_ms - 99.0).abs() < 1.0 && (q.max_ms - 100.0).abs() < 1.0);
}
