use super::*;

/// With four thousand workers, heartbeats waited behind placement passes.  The leases of the
/// workers whose heartbeats were not read expired, and the tasks placed on them were lost.
#[test]
fn a_recorded_delay_is_reported_immediately_and_decays() {
    let (delay, ms) = (SchedulingDelay::default(), Duration::from_millis);
    delay.record(ms(800));
    assert_eq!(delay.recent(), ms(800));
    delay.record(ms(2000));
    assert_eq!(delay.recent(), ms(2000));
    for _ in 0..12 {
        delay.record(Duration::ZERO);
    }
    assert!(delay.recent() < ms(1));
}
