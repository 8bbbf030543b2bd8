use super::*;

#[test]
fn latencies_are_summarised_in_milliseconds() {
    let telemetry = Telemetry::default();
    for ms in 1..=100 {
        telemetry.record(TimedOperation::Query, Duration::from_millis(ms));
    }
    telemetry.record(TimedOperation::Commit, Duration::from_secs(100_000));
    let all = telemetry.latencies();
    assert_eq!(all.len(), 2);
    let query = all["query"];
    assert_eq!(query.count, 100);
    assert!(
        (query.p50_ms - 50.0).abs() < 1.0 && (query.p99_ms - 99.0).abs() < 1.0 && (query.max_ms - 100.0).abs() < 1.0
    );
}
