use super::*;
use proptest::prelude::*;
use ObservedState::*;

fn answer(id: &str, sent_at: u64, received_at: u64, state: ObservedState) -> Answer<u64> {
    Answer { id: id.into(), sent_at, received_at, state }
}

/// Each kind of fault is found, and a correct history passes.
#[test]
fn every_stale_answer_is_found() {
    let submitted_at = HashMap::from([("j-1".into(), 0u64), ("j-2".into(), 30)]);
    let correct = [
        answer("j-1", 0, 4, Unfinished),
        // asked before the acceptance was received
        answer("j-1", 3, 5, NotAccepted),
        answer("j-1", 5, 9, Unfinished),
        answer("j-1", 6, 7, Done),
        answer("j-1", 8, 9, Done),
        answer("j-3", 8, 9, NotAccepted),
    ];
    assert_eq!(find_stale_answers(&correct, &submitted_at), [] as [String; 0]);
    for (stale, part) in [
        (answer("j-1", 10, 11, Unfinished), "called Unfinished, asked at 10, after Done"),
        (answer("j-1", 5, 6, NotAccepted), "called NotAccepted, asked at 5, after Unfinished"),
        (answer("j-1", 1, 2, Cancelled), "done at 7 and cancelled at 2"),
        (answer("j-2", 10, 29, Unfinished), "nobody had submitted"),
        (answer("j-9", 10, 29, Unfinished), "nobody had submitted"),
    ] {
        let found = find_stale_answers(&[&correct[..], &[stale]].concat(), &submitted_at).join("; ");
        assert!(found.contains(part), "{part} is missing in {found}");
    }
}

proptest! {
    /// If each answer reports the state of some moment between sending and receipt, the history
    /// is correct; one stale answer makes it incorrect.
    #[test]
    fn true_answers_are_a_correct_history(
        requests in prop::collection::vec((0u64..100, 0u64..20, 0u64..20), 1..60),
        end in 10u64..90,
        cancelled in any::<bool>(),
    ) {
        let state_at = |time: u64| match time {
            0..5 => NotAccepted,
            time if time < end => Unfinished,
            _ if cancelled => Cancelled,
            _ => Done,
        };
        let mut all: Vec<_> = requests.iter().map(|(s, a, b)| answer("j-1", *s, s + a + b, state_at(s + a))).collect();
        let submitted_at = HashMap::from([("j-1".into(), 0u64)]);
        prop_assert!(find_stale_answers(&all, &submitted_at).is_empty());
        all.push(answer("j-1", 200, 201, state_at(200)));
        all.push(answer("j-1", 202, 203, Unfinished));
        prop_assert!(!find_stale_answers(&all, &submitted_at).is_empty());
    }
}
