use super::*;

/// Seen at four times the size: a fleet as large as a fixed time for each
/// report would allow was more than the leader heard, and it lost its tasks;
/// a smaller bound for all left a third of a quieter day's machines unrented.
#[test]
fn a_leader_learns_how_many_machines_it_hears() {
    let mut policy = Policy::clone(&crate::sim::cluster(1, Instant::now()).policy);
    policy.most_machines = 1000;
    let (mut f, mut now, high) = (Fleet::default(), Instant::now(), policy.lag_most * 2);
    assert_eq!(f.most(&policy), 1000);
    let mut plans = |f: &mut Fleet, n: u32, lag: Duration, here: fn(usize) -> usize| {
        for _ in 0..n {
            now += Duration::from_millis(500);
            let here = here(f.most(&policy));
            f.listen(lag, here, &policy, now);
        }
        f.most(&policy)
    };
    // what it has not been shown to hear it does not count on
    assert_eq!(plans(&mut f, 100, Duration::ZERO, |_| 500), 1000);
    let more = plans(&mut f, 100, Duration::ZERO, |most| most);
    assert_eq!(more, 1150);
    let fewer = plans(&mut f, 40, high, |most| most);
    assert!(fewer < more, "{fewer}");
    assert_eq!(plans(&mut f, 2000, high, |_| 4000), 500);
}
