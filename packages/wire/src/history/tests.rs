use super::*;
use proptest::prelude::*;
use Said::*;

fn answer(id: &str, sent: u64, had: u64, said: Said) -> Answer<u64> {
    Answer { id: id.into(), sent, had, said }
}

/// Each thing that the checker is for is found, and a good history passes.
#[test]
fn every_older_answer_is_found() {
    let submitted = HashMap::from([("j-1".into(), 0u64), ("j-2".into(), 30)]);
    let good = [
        answer("j-1", 0, 4, Unfinished),
        // asked before the acceptance was had, by whoever was quicker
        answer("j-1", 3, 5, Never),
        answer("j-1", 5, 9, Unfinished),
        answer("j-1", 6, 7, Done),
        answer("j-1", 8, 9, Done),
        answer("j-3", 8, 9, Never),
    ];
    assert_eq!(older(&good, &submitted), [] as [String; 0]);
    for (strange, part) in [
        (answer("j-1", 10, 11, Unfinished), "called Unfinished, asked at 10, after Done"),
        (answer("j-1", 5, 6, Never), "called Never, asked at 5, after Unfinished"),
        (answer("j-1", 1, 2, Cancelled), "done at 7 and cancelled at 2"),
        (answer("j-2", 10, 29, Unfinished), "nobody had submitted"),
        (answer("j-9", 10, 29, Unfinished), "nobody had submitted"),
    ] {
        let found = older(&[&good[..], &[strange]].concat(), &submitted).join("; ");
        assert!(found.contains(part), "{part} is missing in {found}");
    }
}

proptest! {
    /// Any number of users who ask one true state at any moment between sending and
    /// having make a good history; one stale answer spoils it.
    #[test]
    fn true_answers_are_a_good_history(
        asks in prop::collection::vec((0u64..100, 0u64..20, 0u64..20), 1..60),
        end in 10u64..90,
        cancelled in any::<bool>(),
    ) {
        let state = |t: u64| match t {
            0..5 => Never,
            t if t < end => Unfinished,
            _ if cancelled => Cancelled,
            _ => Done,
        };
        let mut all: Vec<_> = asks.iter().map(|(s, a, b)| answer("j-1", *s, s + a + b, state(s + a))).collect();
        let submitted = HashMap::from([("j-1".into(), 0u64)]);
        prop_assert!(older(&all, &submitted).is_empty());
        all.push(answer("j-1", 200, 201, state(200)));
        all.push(answer("j-1", 202, 203, Unfinished));
        prop_assert!(!older(&all, &submitted).is_empty());
    }
}
