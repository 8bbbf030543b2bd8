use super::*;
use crate::config::Config;
use coralnotch_policy::example::SETTINGS;
use proptest::prelude::*;

fn policy() -> Policy {
    Policy::new(&Config::parse("test", SETTINGS).expect("settings of the tests")).expect("the default policy")
}

/// If only the leader loses contact with the workers, it has to step down before the leases of the
/// workers expire.
#[test]
fn a_leader_that_workers_cannot_reach_steps_down() {
    let (policy, t0) = (policy(), Instant::now());
    let at = |seconds: f64| t0 + Duration::from_secs_f64(seconds);
    let interval = policy.deaf.as_secs_f64() * 2.0;
    // Workers reach a peer but not the leader.
    let mut contact = WorkerContact::default();
    let lost_at =
        (0..200).map(|n| f64::from(n) * 0.1).find(|s| contact.is_lost(t0, Some(at(*s)), true, &policy, at(*s)));
    assert!(lost_at.is_some_and(|s| s < interval * 1.1), "{lost_at:?}");
    // A cluster without workers is no reason to step down, however long that lasts.
    let mut contact = WorkerContact::default();
    assert!(!(0..999).any(|s| contact.is_lost(t0, None, true, &policy, at(f64::from(s)))));
    // No peer responds, so only a long time without heartbeats counts.
    let mut contact = WorkerContact::default();
    assert!(!contact.is_lost(t0, None, false, &policy, at(interval * 1.5)));
    assert!(contact.is_lost(t0, None, false, &policy, at(interval * 2.1)));
}

proptest! {
    /// A leader that receives heartbeats from workers redirected by peers, however few, does not
    /// consider itself isolated.
    #[test]
    fn heartbeats_of_redirected_workers_prove_contact(gaps in prop::collection::vec(0.1f64..6.0, 1..60)) {
        let (policy, mut now) = (policy(), Instant::now());
        let (mut contact, mut last) = (WorkerContact::default(), now);
        for gap in gaps {
            // A new worker contacts a peer, and reaches the leader half a second later.
            now += Duration::from_secs_f64(gap);
            prop_assert!(!contact.is_lost(last, Some(now), true, &policy, now));
            now += Duration::from_millis(500);
            last = now;
            prop_assert!(!contact.is_lost(last, Some(now - Duration::from_millis(500)), true, &policy, now));
        }
    }
}

/// A controller that reaches neither the state service nor its peers, but is reached by users, is
/// isolated alone: another controller leads, and the zone's workers can reach it.  When no worker
/// of another zone contacts it any more, it must not assume that its whole zone is partitioned.
#[test]
fn a_controller_that_users_reach_does_not_assume_a_zone_partition() {
    let seconds = |n| Some(Duration::from_secs(n));
    let after = Duration::from_secs(6);
    let partitioned = PartitionSuspicion {
        since_store_response: after * 2,
        any_response: false,
        since_remote_zone_heartbeat: seconds(10),
        since_user_request: None,
    };
    assert!(partitioned.includes_own_zone(after));
    assert!(PartitionSuspicion { since_user_request: seconds(7), ..partitioned }.includes_own_zone(after));
    for isolated_alone in [
        PartitionSuspicion { since_user_request: seconds(1), ..partitioned },
        PartitionSuspicion { since_remote_zone_heartbeat: seconds(1), ..partitioned },
        PartitionSuspicion { any_response: true, ..partitioned },
        PartitionSuspicion { since_store_response: after / 2, ..partitioned },
    ] {
        assert!(!isolated_alone.includes_own_zone(after), "{isolated_alone:?}");
    }
}
