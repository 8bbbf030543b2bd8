use super::*;

/// Seen at four times the size: a fleet as large as a fixed time for each
/// report would allow was more than the leader heard, and it lost its tasks;
/// a smaller bound for all left a third of a quieter day's machines unrented.
#[test]
fn a_leader_learns_how_many_machines_it_hears() {
    let mut policy = Policy::clone(&crate::sim::cluster(1, Instant::now()).policy);
    policy.most_machines = 1000;
    let (mut f, mut now, high) = (Fleet::default(), Instant::now(), policy.lag_most * 2);
    assert_eq!(f.machine_limit(&policy), 1000);
    let mut plans = |f: &mut Fleet, n: u32, lag: Duration, here: fn(usize) -> usize| {
        for _ in 0..n {
            now += Duration::from_millis(500);
            let here = here(f.machine_limit(&policy));
            f.adapt_heartbeat_capacity(lag, here, &policy, now);
        }
        f.machine_limit(&policy)
    };
    // what it has not been shown to hear it does not count on
    assert_eq!(plans(&mut f, 100, Duration::ZERO, |_| 500), 1000);
    let more = plans(&mut f, 100, Duration::ZERO, |most| most);
    assert_eq!(more, 1150);
    let fewer = plans(&mut f, 40, high, |most| most);
    assert!(fewer < more, "{fewer}");
    assert_eq!(plans(&mut f, 2000, high, |_| 4000), 500);
}

/// What happens to a try to put rentals on record.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Luck {
    Answered,
    /// Carried out, and the answer is lost.
    Lost,
    /// No answer, and carried out after all that follows.
    Late,
    Refused,
}

fn luck() -> impl proptest::strategy::Strategy<Value = Luck> {
    use proptest::prelude::*;
    prop_oneof![4 => Just(Luck::Answered), 2 => Just(Luck::Lost), 2 => Just(Luck::Late), 1 => Just(Luck::Refused)]
}

proptest::proptest! {
    /// The record of a rental, with answers lost, writes that come late and leaders that
    /// end at any of it: what was asked for is on record until a leader knows the answer,
    /// no key holds two records, no charter is ever asked for with another content, and a
    /// late write of an earlier term does nothing.
    #[test]
    fn what_is_asked_for_is_on_record(steps in proptest::collection::vec(
        (luck(), luck(), luck(), 0u8..6), 1..40,
    )) {
        use crate::sim::Records;
        use proptest::prelude::*;
        let now = Instant::now();
        let (mut store, mut term, mut fleet, mut charter) = (Records::default(), 1, Fleet::default(), 0);
        store.leads(term);
        let mut late: Vec<Txn> = Vec::new();
        // what the cloud was asked, and what a leader has heard the answer of
        let (mut asked, mut heard): (BTreeMap<Name, Rental>, HashSet<Name>) = Default::default();
        for (one, two, three, then) in steps {
            charter += 1;
            let wants = [Rental {
                request_id: format!("{term}-{charter}").into(),
                kind: "t".into(),
                zone: "a".into(),
                spot: false,
                count: charter,
            }];
            if let Some(mut r) = fleet.begin_recording(&wants, term) {
                prop_assert!(!store.has(&r.key) || late.is_empty(), "the key is new");
                let (mut on, leader) = (None, store.leader());
                if then == 3 {
                    // another leads meanwhile, and this one has not heard of it
                    store.leads(term);
                }
                for luck in [one, two, three] {
                    let txn = r.txn(leader);
                    let tried = match luck {
                        Luck::Answered => match store.apply(&txn) {
                            Ok(_) => RecordAttempt::Done,
                            Err(keys) => RecordAttempt::Conflict(keys),
                        },
                        Luck::Lost => {
                            let _ = store.apply(&txn);
                            RecordAttempt::Doubt
                        }
                        Luck::Late => {
                            late.push(txn);
                            RecordAttempt::Doubt
                        }
                        Luck::Refused => RecordAttempt::Refused,
                    };
                    on = r.apply_attempt(&tried);
                    if on.is_some() {
                        break;
                    }
                }
                if on == Some(true) {
                    prop_assert!(store.has(&r.key), "called on record, and is not");
                    fleet.mark_recorded(r.key.clone(), &r.rentals);
                    for rental in &r.rentals {
                        let before = asked.insert(rental.request_id.clone(), rental.clone());
                        prop_assert!(before.is_none_or(|b| b == *rental), "asked for with another content");
                        if then % 2 == 0 {
                            fleet.mark_answered(&rental.request_id, now);
                            heard.insert(rental.request_id.clone());
                        }
                    }
                }
            }
            if then == 5 {
                // the leader ends; the next one reads what is on record
                term += 1;
                store.leads(term);
                fleet = Fleet::default();
                store.rentals().into_iter().for_each(|(key, rentals)| fleet.inherit(key, rentals));
                for charter in asked.keys().filter(|c| !heard.contains(*c)) {
                    prop_assert!(fleet.open_rentals.iter().any(|o| o.request_id == *charter), "{charter} is forgotten");
                }
            }
            if then == 4 {
                let before: HashSet<String> = store.rentals().into_iter().map(|r| r.0).collect();
                late.drain(..).for_each(|txn| drop(store.apply(&txn)));
                let own = format!("{}{term}-", crate::key::RENTAL);
                let foreign = |k: &String| !before.contains(k) && !k.starts_with(&own);
                prop_assert!(!store.rentals().iter().any(|r| foreign(&r.0)), "a late write of an earlier term");
            }
            let mut seen = HashSet::new();
            for r in store.rentals().into_iter().flat_map(|(_, l)| l) {
                prop_assert!(seen.insert(r.request_id.clone()), "{} is on record twice", r.request_id);
            }
        }
    }
}
