use super::*;

/// Guards against a fixed limit for the size of the fleet.  At four times the usual size, a
/// limit derived from a fixed time for each heartbeat let the fleet grow beyond what the leader
/// could process, and the leader lost its tasks.  A lower fixed limit left a third of the
/// machines unrented on a quieter day.
#[test]
fn heartbeat_capacity_grows_while_it_is_used_and_shrinks_with_lag() {
    let mut policy = Policy::clone(&crate::sim::new_cluster(1, Instant::now()).policy);
    policy.most_machines = 1000;
    let (mut fleet, mut now, high_lag) = (Fleet::default(), Instant::now(), policy.lag_most * 2);
    assert_eq!(fleet.machine_limit(&policy), 1000);
    let mut adapt = |fleet: &mut Fleet, times: u32, lag: Duration, machines: fn(usize) -> usize| {
        for _ in 0..times {
            now += Duration::from_millis(500);
            let machines = machines(fleet.machine_limit(&policy));
            fleet.adapt_heartbeat_capacity(lag, machines, &policy, now);
        }
        fleet.machine_limit(&policy)
    };
    // the capacity does not grow beyond what has been in use
    assert_eq!(adapt(&mut fleet, 100, Duration::ZERO, |_| 500), 1000);
    let more = adapt(&mut fleet, 100, Duration::ZERO, |limit| limit);
    assert_eq!(more, 1150);
    let fewer = adapt(&mut fleet, 40, high_lag, |limit| limit);
    assert!(fewer < more, "{fewer}");
    assert_eq!(adapt(&mut fleet, 2000, high_lag, |_| 4000), 500);
}

/// How the store handles an attempt to store a record of rentals.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteOutcome {
    Answered,
    /// The transaction is committed, and the response is lost.
    AnswerLost,
    /// There is no response, and the transaction is carried out at a later step.
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
    /// Guards against rentals that are lost or requested twice when responses are lost, writes
    /// are delayed and leaders end at any point.  A requested rental stays recorded until a
    /// leader knows the answer, no key holds two records, no request id is used for two
    /// different rentals, and a delayed write of an earlier term has no effect.
    #[test]
    fn requested_rentals_stay_recorded_until_answered(steps in proptest::collection::vec(
        (write_outcome(), write_outcome(), write_outcome(), 0u8..6), 1..40,
    )) {
        use crate::sim::RentalStore;
        use proptest::prelude::*;
        let now = Instant::now();
        let (mut store, mut term, mut fleet, mut request) = (RentalStore::default(), 1, Fleet::default(), 0);
        store.set_leader_term(term);
        let mut delayed: Vec<Txn> = Vec::new();
        // rentals that were requested, and ids of those whose answer a leader knows
        let (mut requested, mut answered): (BTreeMap<Name, Rental>, HashSet<Name>) = Default::default();
        for (first, second, third, next_event) in steps {
            request += 1;
            let wanted = [Rental {
                request_id: format!("{term}-{request}").into(),
                machine_type: "t".into(),
                zone: "a".into(),
                spot: false,
                count: request,
            }];
            if let Some(mut recording) = fleet.begin_recording(&wanted, term) {
                prop_assert!(!store.contains_key(&recording.key) || delayed.is_empty(), "the key of a new record is in use");
                let (mut progress, leader) = (RecordProgress::Repeat, store.leader_revision());
                if next_event == 3 {
                    // the leader key has changed, and this leader does not know yet
                    store.set_leader_term(term);
                }
                for outcome in [first, second, third] {
                    let txn = recording.txn(leader);
                    let attempt = match outcome {
                        WriteOutcome::Answered => match store.apply(&txn) {
                            Ok(_) => RecordAttempt::Committed,
                            Err(keys) => RecordAttempt::Conflict(keys),
                        },
                        WriteOutcome::AnswerLost => {
                            let _ = store.apply(&txn);
                            RecordAttempt::Indeterminate
                        }
                        WriteOutcome::Delayed => {
                            delayed.push(txn);
                            RecordAttempt::Indeterminate
                        }
                        WriteOutcome::Refused => RecordAttempt::Refused,
                    };
                    progress = recording.apply_attempt(&attempt);
                    if progress != RecordProgress::Repeat {
                        break;
                    }
                }
                if progress == RecordProgress::Stored {
                    prop_assert!(store.contains_key(&recording.key), "the record is reported as stored and is absent");
                    fleet.mark_recorded(recording.key.clone(), &recording.rentals);
                    for rental in &recording.rentals {
                        let previous = requested.insert(rental.request_id.clone(), rental.clone());
                        prop_assert!(
                            previous.is_none_or(|previous| previous == *rental),
                            "the request id is used for another rental"
                        );
                        if next_event % 2 == 0 {
                            fleet.mark_answered(&rental.request_id, now);
                            answered.insert(rental.request_id.clone());
                        }
                    }
                }
            }
            if next_event == 5 {
                // the leader ends, and the next one reads the stored records
                term += 1;
                store.set_leader_term(term);
                fleet = Fleet::default();
                store.rentals().into_iter().for_each(|(key, rentals)| fleet.add_inherited_record(key, rentals));
                for request in requested.keys().filter(|id| !answered.contains(*id)) {
                    prop_assert!(
                        fleet.open_rentals.iter().any(|open| open.request_id == *request),
                        "the open rental {request} is lost"
                    );
                }
            }
            if next_event == 4 {
                let previous: HashSet<String> = store.rentals().into_iter().map(|record| record.0).collect();
                delayed.drain(..).for_each(|txn| drop(store.apply(&txn)));
                let own_prefix = format!("{}{term}-", crate::key::RENTAL);
                let is_foreign = |key: &String| !previous.contains(key) && !key.starts_with(&own_prefix);
                prop_assert!(
                    !store.rentals().iter().any(|record| is_foreign(&record.0)),
                    "a delayed write of an earlier term is applied"
                );
            }
            let mut seen = HashSet::new();
            for rental in store.rentals().into_iter().flat_map(|(_, rentals)| rentals) {
                prop_assert!(seen.insert(rental.request_id.clone()), "{} is recorded twice", rental.request_id);
            }
        }
    }
}
