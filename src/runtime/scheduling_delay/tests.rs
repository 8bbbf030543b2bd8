use super::*;

/// Seen with four thousand workers: heartbeats waited behind decisions, and what was decided
/// before was lost with the leases of the workers whose heartbeats were not read.
#[test]
fn a_delay_shows_at_once_and_decays() {
    let (delay, ms) = (SchedulingDelay::default(), Duration::from_millis);
    delay.record(ms(800));
    assert_eq!(delay.now(), ms(800));
    delay.record(ms(2000));
    assert_eq!(delay.now(), ms(2000));
    for _ in 0..12 {
        delay.record(Duration::ZERO);
    }
    assert!(delay.now() < ms(1));
}
