//! Tests of the history checker.

use super::*;
use proptest::prelude::*;
use ObservedState::*;

fn answer(id: &str, sent_at: u64, received_at: u64, state: ObservedState) -> Answer<u64> {
    Answer { id: id.into(), sent_at, received_at, state }
}

/// Adds one answer of each inconsistent kind to a consistent history, which passes by itself.
#[test]
fn each_kind_of_inconsistent_answer_is_reported_and_a_consistent_history_passes() {
    let submitted_at = HashMap::from([("j-1".into(), 0u64), ("j-2".into(), 30)]);
    let correct = [
        answer("j-1", 0, 4, Unfinished),
        // The request was sent before the answer that reports the acceptance was received.
        answer("j-1", 3, 5, NotAccepted),
        answer("j-1", 5, 9, Unfinished),
        answer("j-1", 6, 7, Done),
        answer("j-1", 8, 9, Done),
        answer("j-3", 8, 9, NotAccepted),
    ];
    assert_eq!(find_inconsistencies(&correct, &submitted_at), [] as [String; 0]);
    for (inconsistent, expected) in [
        (answer("j-1", 10, 11, Unfinished), "reported as Unfinished to a request sent at 10, after Done"),
        (answer("j-1", 5, 6, NotAccepted), "reported as NotAccepted to a request sent at 5, after Unfinished"),
        (answer("j-1", 1, 2, Cancelled), "done at 7 and as cancelled at 2"),
        (answer("j-2", 10, 29, Unfinished), "it had not been submitted by then"),
        (answer("j-9", 10, 29, Unfinished), "it had not been submitted by then"),
    ] {
        let found = find_inconsistencies(&[&correct[..], &[inconsistent]].concat(), &submitted_at).join("; ");
        assert!(found.contains(expected), "expected {expected} in {found}");
    }
}

proptest! {
    /// A history is consistent if each answer reports the state of the job at some time between the
    /// sending of the request and the receipt of the answer.  A stale answer makes it inconsistent.
    #[test]
    fn linearizable_answers_pass_and_a_later_stale_answer_is_reported(
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
        let mut answers: Vec<_> = requests
            .iter()
            .map(|(sent_at, read_delay, reply_delay)| answer(
                "j-1", *sent_at, sent_at + read_delay + reply_delay, state_at(sent_at + read_delay)
            ))
            .collect();
        let submitted_at = HashMap::from([("j-1".into(), 0u64)]);
        prop_assert!(find_inconsistencies(&answers, &submitted_at).is_empty());
        answers.push(answer("j-1", 200, 201, state_at(200)));
        answers.push(answer("j-1", 202, 203, Unfinished));
        prop_assert!(!find_inconsistencies(&answers, &submitted_at).is_empty());
    }
}
