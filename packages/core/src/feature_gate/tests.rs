use super::*;

/// A record of the version before this one has its one feature on: that stays, the
/// next comes when all have it, and nothing is written without need.
#[test]
fn features_come_on_one_by_one_and_stay() {
    let names = |l: &[&str]| Some(l.iter().map(|f| (*f).to_owned()).collect::<Vec<_>>());
    assert_eq!(next_enabled(|_| false, |_| false), None);
    assert_eq!(next_enabled(|_| false, |f| f == JOB_DEPENDENCIES), names(&[JOB_DEPENDENCIES]));
    assert_eq!(next_enabled(|f| f == JOB_DEPENDENCIES, |_| false), None, "who comes back old takes nothing away");
    assert_eq!(
        next_enabled(|f| f == JOB_DEPENDENCIES, |f| f == CONFIRMED_CANCELLATIONS),
        names(&[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS])
    );
    assert_eq!(
        next_enabled(|f| f == CONFIRMED_CANCELLATIONS, |f| f == JOB_DEPENDENCIES),
        names(&[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS])
    );
    assert_eq!(next_enabled(|_| true, |_| true), None);
}

/// An old controller that comes back, one that is silent and one that was
/// never heard of each keep a feature off.
#[test]
fn a_feature_needs_every_controller() {
    let (t0, lately) = (Instant::now(), Duration::from_secs(4));
    let s = |n| t0 + Duration::from_secs(n);
    let shown = |knows: &[&str], at| AdvertisedFeatures {
        features: knows.iter().map(|k| (*k).to_owned()).collect(),
        version: String::new(),
        seen_at: at,
    };
    let mut r = MemberFeatures::default();
    let all = |r: &MemberFeatures, at| r.all_have(["a", "b"].into_iter(), JOB_DEPENDENCIES, lately, at);
    assert!(!all(&r, s(0)));
    r.record("a", shown(&[JOB_DEPENDENCIES, "other"], s(1)));
    assert!(!all(&r, s(1)), "b was never heard of");
    r.record("b", shown(&[], s(2)));
    assert!(!all(&r, s(2)), "b is of a version before the gates");
    r.record("b", shown(&[JOB_DEPENDENCIES], s(4)));
    assert!(all(&r, s(4)));
    assert!(!all(&r, s(6)), "a was silent for too long");
    r.record("a", shown(&[JOB_DEPENDENCIES], s(6)));
    assert!(all(&r, s(6)));
    // its record in the store is older than its own word
    r.record("b", shown(&[], s(7)));
    r.record("b", shown(&[JOB_DEPENDENCIES], s(5)));
    assert!(!all(&r, s(7)), "b came back as it was before");
    assert!(r.all_have([].into_iter(), JOB_DEPENDENCIES, lately, s(0)), "one alone needs nobody");
}
