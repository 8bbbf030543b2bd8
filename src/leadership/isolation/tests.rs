use super::*;
use crate::config::Config;
use coralnotch_policy::example::SETTINGS;
use proptest::prelude::*;

fn policy() -> Policy {
    Policy::new(&Config::parse("test", SETTINGS).expect("settings of the tests")).expect("the default policy")
}

/// Seen in an operations exercise: the leader alone lost the workers, and their leases expired
/// before it noticed.
#[test]
fn an_isolated_leader_steps_down_for_one_that_workers_reach() {
    let (policy, t0) = (policy(), Instant::now());
    let at = |seconds: f64| t0 + Duration::from_secs_f64(seconds);
    let interval = policy.deaf.as_secs_f64() * 2.0;
    // workers contact a peer, and do not arrive here
    let mut contact = WorkerContact::default();
    let lost_at =
        (0..200).map(|n| f64::from(n) * 0.1).find(|s| contact.is_lost(t0, Some(at(*s)), true, &policy, at(*s)));
    assert!(lost_at.is_some_and(|s| s < interval * 1.1), "{lost_at:?}");
    // that there are no workers at all is no reason, however long it lasts
    let mut contact = WorkerContact::default();
    assert!(!(0..999).any(|s| contact.is_lost(t0, None, true, &policy, at(f64::from(s)))));
    // no peer can be asked: only a long time without heartbeats counts
    let mut contact = WorkerContact::default();
    assert!(!contact.is_lost(t0, None, false, &policy, at(interval * 1.5)));
    assert!(contact.is_lost(t0, None, false, &policy, at(interval * 2.1)));
}

proptest! {
    /// A leader that receives heartbeats, from however few workers that peers redirect, never
    /// takes itself for isolated.
    #[test]
    fn redirected_workers_keep_contact(gaps in prop::collection::vec(0.1f64..6.0, 1..60)) {
        let (policy, mut now) = (policy(), Instant::now());
        let (mut contact, mut last) = (WorkerContact::default(), now);
        for gap in gaps {
            // a new worker contacts a peer, and arrives here half a second later
            now += Duration::from_secs_f64(gap);
            prop_assert!(!contact.is_lost(last, Some(now), true, &policy, now));
            now += Duration::from_millis(500);
            last = now;
            prop_assert!(!contact.is_lost(last, Some(now - Duration::from_millis(500)), true, &policy, now));
        }
    }
}

/// Cut off from the state store and its peers, but reached by workers and users: another
/// controller leads, and the zone's workers can contact it.  Once the other zones' workers had
/// gone, such a controller took its whole zone for partitioned.
#[test]
fn a_controller_that_users_reach_is_cut_off_alone() {
    let seconds = |n| Some(Duration::from_secs(n));
    let after = Duration::from_secs(6);
    let partitioned = PartitionSuspicion {
        since_store_answer: after * 2,
        any_answer: false,
        since_remote_zone_heartbeat: seconds(10),
        since_user_request: None,
    };
    assert!(partitioned.includes_own_zone(after));
    assert!(PartitionSuspicion { since_user_request: seconds(7), ..partitioned }.includes_own_zone(after));
    for alone in [
        PartitionSuspicion { since_user_request: seconds(1), ..partitioned },
        PartitionSuspicion { since_remote_zone_heartbeat: seconds(1), ..partitioned },
        PartitionSuspicion { any_answer: true, ..partitioned },
        PartitionSuspicion { since_store_answer: after / 2, ..partitioned },
    ] {
        assert!(!alone.includes_own_zone(after), "{alone:?}");
    }
}
