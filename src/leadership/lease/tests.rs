use super::*;
use crate::config::Config;
use coralnotch_policy::example::SETTINGS;
use proptest::prelude::*;

fn policy() -> Policy {
    Policy::new(&Config::parse("test", SETTINGS).expect("settings of the tests")).expect("the default policy")
}

/// Seen on an operators' day: the leader lost the workers alone, and their
/// leases ran out before it noticed.
#[test]
fn a_deaf_leader_hands_over_to_one_that_hears() {
    let (p, t0) = (policy(), Instant::now());
    let at = |s: f64| t0 + Duration::from_secs_f64(s);
    let report = p.deaf.as_secs_f64() * 2.0;
    // workers turn to a sibling, and do not come on to here
    let mut e = WorkerContact::default();
    let when = (0..200).map(|n| f64::from(n) * 0.1).find(|s| e.is_lost(t0, Some(at(*s)), true, &p, at(*s)));
    assert!(when.is_some_and(|s| s < report * 1.1), "{when:?}");
    // a world without workers is no reason, however long
    let mut e = WorkerContact::default();
    assert!(!(0..999).any(|s| e.is_lost(t0, None, true, &p, at(f64::from(s)))));
    // nobody to ask: a long silence
    let mut e = WorkerContact::default();
    assert!(!e.is_lost(t0, None, false, &p, at(report * 1.5)));
    assert!(e.is_lost(t0, None, false, &p, at(report * 2.1)));
}

proptest! {
    /// A leader that is heard, by however few workers that siblings send
    /// on, never takes itself for deaf.
    #[test]
    fn redirected_workers_are_no_deafness(gaps in prop::collection::vec(0.1f64..6.0, 1..60)) {
        let (p, mut now) = (policy(), Instant::now());
        let (mut e, mut last) = (WorkerContact::default(), now);
        for g in gaps {
            // a new worker turns to a sibling, and comes here half a second later
            now += Duration::from_secs_f64(g);
            prop_assert!(!e.is_lost(last, Some(now), true, &p, now));
            now += Duration::from_millis(500);
            last = now;
            prop_assert!(!e.is_lost(last, Some(now - Duration::from_millis(500)), true, &p, now));
        }
    }
}

/// Cut from the state service and from its siblings, reached by workers and
/// users: another leads, and its zone's workers can turn to that one.  Once the
/// other zones' workers had gone, it took itself for cut off with its zone.
#[test]
fn one_that_users_reach_is_cut_off_alone() {
    let s = |n| Some(Duration::from_secs(n));
    let after = Duration::from_secs(6);
    let cut = PartitionSuspicion {
        since_store_answer: after * 2,
        any_answer: false,
        since_remote_zone_heartbeat: s(10),
        since_user_request: None,
    };
    assert!(cut.includes_own_zone(after));
    assert!(PartitionSuspicion { since_user_request: s(7), ..cut }.includes_own_zone(after));
    for alone in [
        PartitionSuspicion { since_user_request: s(1), ..cut },
        PartitionSuspicion { since_remote_zone_heartbeat: s(1), ..cut },
        PartitionSuspicion { any_answer: true, ..cut },
        PartitionSuspicion { since_store_answer: after / 2, ..cut },
    ] {
        assert!(!alone.includes_own_zone(after), "{alone:?}");
    }
}

#[test]
fn authority_counts_from_the_sending() {
    let sent = Instant::now();
    let until = lease_valid_until(sent, Duration::from_secs(4), 0.0005);
    assert!(until < sent + Duration::from_secs(4));
    assert!(until > sent + Duration::from_millis(3990));
}
