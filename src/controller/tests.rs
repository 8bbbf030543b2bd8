use super::*;
use proptest::prelude::*;

proptest! {
    /// Gaps are told from ticks, and counted from the wake.
    #[test]
    fn the_pulse_tells_gaps(ticks in prop::collection::vec(0u64..9000, 1..40)) {
        let (mut now, mut pulse, most) = (Instant::now(), None, Duration::from_secs(2));
        let mut since = now;
        StallDetector::tick(&mut pulse, most, now);
        for t in ticks {
            now += Duration::from_millis(t);
            let gap = StallDetector::tick(&mut pulse, most, now);
            prop_assert_eq!(gap.is_some(), t > 2000);
            if gap.is_some() {
                since = now;
            }
            prop_assert_eq!(pulse.map(|p| p.running_since), Some(since));
        }
    }
}
