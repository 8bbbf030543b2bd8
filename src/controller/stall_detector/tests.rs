use super::*;
use proptest::prelude::*;

proptest! {
    /// A gap above the threshold is a stall and a shorter one is not, and the time without a stall
    /// counts from the end of the last stall.
    #[test]
    fn gaps_above_the_threshold_are_stalls(gaps_ms in prop::collection::vec(0u64..9000, 1..40)) {
        let (mut now, mut detector, threshold) = (Instant::now(), None, Duration::from_secs(2));
        let mut running_since = now;
        StallDetector::tick(&mut detector, threshold, now);
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            let stall = StallDetector::tick(&mut detector, threshold, now);
            prop_assert_eq!(stall.is_some(), gap_ms > 2000);
            if stall.is_some() {
                running_since = now;
            }
            prop_assert_eq!(detector.map(|d| d.running_since), Some(running_since));
        }
    }
}
