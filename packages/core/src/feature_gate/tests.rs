use super::*;

/// A feature that is enabled in the record of an earlier version stays enabled, another is added
/// once all controllers support it, and the record is not written without a new feature.
#[test]
fn features_are_enabled_one_by_one_and_stay_enabled() {
    let names = |l: &[&str]| Some(l.iter().map(|f| (*f).to_owned()).collect::<Vec<_>>());
    assert_eq!(features_to_enable(|_| false, |_| false), None);
    assert_eq!(features_to_enable(|_| false, |f| f == JOB_DEPENDENCIES), names(&[JOB_DEPENDENCIES]));
    assert_eq!(
        features_to_enable(|f| f == JOB_DEPENDENCIES, |_| false),
        None,
        "a controller that returns with an earlier version disables no feature"
    );
    assert_eq!(
        features_to_enable(|f| f == JOB_DEPENDENCIES, |f| f == CONFIRMED_CANCELLATIONS),
        names(&[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS])
    );
    assert_eq!(
        features_to_enable(|f| f == CONFIRMED_CANCELLATIONS, |f| f == JOB_DEPENDENCIES),
        names(&[JOB_DEPENDENCIES, CONFIRMED_CANCELLATIONS])
    );
    assert_eq!(features_to_enable(|_| true, |_| true), None);
}

/// A feature is not enabled while a controller runs an earlier version, has stopped advertising
/// features or has never advertised any.
#[test]
fn all_have_requires_recent_support_from_every_controller() {
    let (start, max_age) = (Instant::now(), Duration::from_secs(4));
    let at = |seconds| start + Duration::from_secs(seconds);
    let advertised = |features: &[&str], seen_at| AdvertisedFeatures {
        features: features.iter().map(|feature| (*feature).to_owned()).collect(),
        version: String::new(),
        seen_at,
    };
    let mut members = MemberFeatures::default();
    let all_support =
        |members: &MemberFeatures, now| members.all_support(["a", "b"].into_iter(), JOB_DEPENDENCIES, max_age, now);
    assert!(!all_support(&members, at(0)));
    members.record("a", advertised(&[JOB_DEPENDENCIES, "other"], at(1)));
    assert!(!all_support(&members, at(1)), "b has advertised nothing");
    members.record("b", advertised(&[], at(2)));
    assert!(!all_support(&members, at(2)), "b has a version without feature gates");
    members.record("b", advertised(&[JOB_DEPENDENCIES], at(4)));
    assert!(all_support(&members, at(4)));
    assert!(!all_support(&members, at(6)), "the advertisement of a is too old");
    members.record("a", advertised(&[JOB_DEPENDENCIES], at(6)));
    assert!(all_support(&members, at(6)));
    // the stored record of b is older than the message of b
    members.record("b", advertised(&[], at(7)));
    members.record("b", advertised(&[JOB_DEPENDENCIES], at(5)));
    assert!(!all_support(&members, at(7)), "b has returned with an earlier version");
    assert!(
        members.all_support([].into_iter(), JOB_DEPENDENCIES, max_age, at(0)),
        "without other controllers there is nothing to wait for"
    );
}
