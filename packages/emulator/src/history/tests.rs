use super::*;
use std::time::Duration;

/// Each thing that the checker is for is found, and a good history passes.
#[test]
fn every_fault_is_found() {
    let t0 = Instant::now();
    let given = |id: &str, answer: &str, s: u64| Given {
        id: id.into(),
        answer: answer.into(),
        seen: Some(t0 + Duration::from_secs(s)),
    };
    let ids = |l: &[&str]| l.iter().map(|i| Name::from(*i)).collect::<HashSet<_>>();
    let ran = HashMap::from([("j-1".into(), t0 + Duration::from_secs(5)), ("j-2".into(), t0)]);
    let good = [given("j-1", "done", 6), given("j-2", "done", 6)];
    let find = |answers: &[Given], stored: &[&str]| check(2, answers, Some(&ids(stored)), &ran).join("; ");
    assert_eq!(find(&good, &["j-1", "j-2"]), "");
    for (answers, stored, part) in [
        (good.to_vec(), vec!["j-1", "j-2", "j-3"], "3 jobs are stored, 2 were handed out"),
        (good.to_vec(), vec!["j-1", "j-2", "j-3"], "j-3 is stored and has no answer"),
        (vec![good[0].clone()], vec!["j-1", "j-2"], "1 jobs have an answer"),
        (
            [&good[..], &[given("j-1", "cancelled", 7)]].concat(),
            vec!["j-1", "j-2"],
            "answered twice: done, then cancelled",
        ),
        (vec![given("j-1", "done", 4), good[1].clone()], vec!["j-1", "j-2"], "j-1 is called done before it is"),
        (vec![given("j-9", "done", 4), good[1].clone()], vec!["j-1", "j-2"], "j-9 is answered and not stored"),
    ] {
        let found = find(&answers, &stored);
        assert!(found.contains(part), "{part} is missing in {found}");
    }
}
