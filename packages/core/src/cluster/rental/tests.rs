use super::*;

/// Seen at four times the size: a fleet as large as a fixed time for each
/// heartbeat would allow was more than the leader could process, and it lost its
/// tasks; a smaller bound for all left a third of a quieter day's machines unrented.
#[test]
fn a_leader_adapts_its_heartbeat_capacity() {
    let mut policy = Policy::clone(&crate::sim::cluster(1, Instant::now()).policy);
    policy.most_machines = 1000;
    let (mut fleet, mut now, high) = (Fleet::default(), Instant::now(), policy.lag_most * 2);
    assert_eq!(fleet.machine_limit(&policy), 1000);
    let mut adapt = |fleet: &mut Fleet, times: u32, lag: Duration, machines: fn(usize) -> usize| {
        for _ in 0..times {
            now += Duration::from_millis(500);
            let machines = machines(fleet.machine_limit(&policy));
            fleet.adapt_heartbeat_capacity(lag, machines, &policy, now);
        }
        fleet.machine_limit(&policy)
    };
    // capacity that has not been in use is not counted on
    assert_eq!(adapt(&mut fleet, 100, Duration::ZERO, |_| 500), 1000);
    let more = adapt(&mut fleet, 100, Duration::ZERO, |most| most);
    assert_eq!(more, 1150);
    let fewer = adapt(&mut fleet, 40, high, |most| most);
    assert!(fewer < more, "{fewer}");
    assert_eq!(adapt(&mut fleet, 2000, high, |_| 4000), 500);
}

/// What happens to an attempt to store a record of rentals.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteOutcome {
    Answered,
    /// Committed, and the answer is lost.
    AnswerLost,
    /// No answer, and committed after all that follows.
    Delayed,
    Refused,
}

fn write_outcome() -> impl proptest::strategy::Strategy<Value = WriteOutcome> {
    use proptest::prelude::*;
    prop_oneof![
        4 => Just(WriteOutcome::Answered),
        2 => Just(WriteOutcome::AnswerLost),
        2 => Just(WriteOutcome::Delayed),
        1 => Just(WriteOutcome::Refused),
    ]
}

proptest::proptest! {
    /// Records of rentals, with answers lost, writes that come late and leaders that end
    /// at any point: a requested rental is recorded until a leader knows the answer, no key
    /// holds two records, no request id is ever used with another content, and a late write
    /// of an earlier term does nothing.
    #[test]
    fn what_is_asked_for_is_on_record(steps in proptest::collection::vec(
        (write_outcome(), write_outcome(), write_outcome(), 0u8..6), 1..40,
    )) {
        use crate::sim::Records;
        use proptest::prelude::*;
        let now = Instant::now();
        let (mut store, mut term, mut fleet, mut request) = (Records::default(), 1, Fleet::default(), 0);
        store.leads(term);
        let mut late: Vec<Txn> = Vec::new();
        // the rentals that the cloud was asked for, and those that a leader has the answer of
        let (mut requested, mut answered): (BTreeMap<Name, Rental>, HashSet<Name>) = Default::default();
        for (one, two, three, then) in steps {
            request += 1;
            let wants = [Rental {
                request_id: format!("{term}-{request}").into(),
                kind: "t".into(),
                zone: "a".into(),
                spot: false,
                count: request,
            }];
            if let Some(mut r) = fleet.begin_recording(&wants, term) {
                prop_assert!(!store.has(&r.key) || late.is_empty(), "the key is new");
                let (mut stored, leader) = (RecordProgress::Repeat, store.leader());
                if then == 3 {
                    // another leads meanwhile, and this one does not know yet
                    store.leads(term);
                }
                for outcome in [one, two, three] {
                    let txn = r.txn(leader);
                    let tried = match outcome {
                        WriteOutcome::Answered => match store.apply(&txn) {
                            Ok(_) => RecordAttempt::Done,
                            Err(keys) => RecordAttempt::Conflict(keys),
                        },
                        WriteOutcome::AnswerLost => {
                            let _ = store.apply(&txn);
                            RecordAttempt::Indeterminate
                        }
                        WriteOutcome::Delayed => {
                            late.push(txn);
                            RecordAttempt::Indeterminate
                        }
                        WriteOutcome::Refused => RecordAttempt::Refused,
                    };
                    stored = r.apply_attempt(&tried);
                    if stored != RecordProgress::Repeat {
                        break;
                    }
                }
                if stored == RecordProgress::Stored {
                    prop_assert!(store.has(&r.key), "called stored, and is not");
                    fleet.mark_recorded(r.key.clone(), &r.rentals);
                    for rental in &r.rentals {
                        let before = requested.insert(rental.request_id.clone(), rental.clone());
                        prop_assert!(before.is_none_or(|b| b == *rental), "asked for with another content");
                        if then % 2 == 0 {
                            fleet.mark_answered(&rental.request_id, now);
                            answered.insert(rental.request_id.clone());
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
                for request in requested.keys().filter(|c| !answered.contains(*c)) {
                    prop_assert!(fleet.open_rentals.iter().any(|o| o.request_id == *request), "{request} is forgotten");
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
