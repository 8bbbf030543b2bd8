use super::*;
use std::time::Duration;

/// Guards against a checker that misses a kind of violation, or that rejects a valid history.
#[test]
fn find_violations_reports_each_kind_of_violation_and_accepts_a_valid_history() {
    let t0 = Instant::now();
    let given = |id: &str, answer: &str, s: u64| UserAnswer {
        id: id.into(),
        answer: answer.into(),
        first_seen_at: Some(t0 + Duration::from_secs(s)),
    };
    let ids = |list: &[&str]| list.iter().map(|id| Name::from(*id)).collect::<HashSet<_>>();
    let completed_at = HashMap::from([("j-1".into(), t0 + Duration::from_secs(5)), ("j-2".into(), t0)]);
    let valid = [given("j-1", "done", 6), given("j-2", "done", 6)];
    let find_problems = |answers: &[UserAnswer], stored: &[&str]| {
        find_violations(2, answers, Some(&ids(stored)), &completed_at).join("; ")
    };
    assert_eq!(find_problems(&valid, &["j-1", "j-2"]), "");
    for (answers, stored, part) in [
        (valid.to_vec(), vec!["j-1", "j-2", "j-3"], "3 jobs are stored, 2 were handed out"),
        (valid.to_vec(), vec!["j-1", "j-2", "j-3"], "j-3 is stored but has no final answer"),
        (vec![valid[0].clone()], vec!["j-1", "j-2"], "1 jobs have a final answer"),
        (
            [&valid[..], &[given("j-1", "cancelled", 7)]].concat(),
            vec!["j-1", "j-2"],
            "answered twice: done, then cancelled",
        ),
        (
            vec![given("j-1", "done", 4), valid[1].clone()],
            vec!["j-1", "j-2"],
            "j-1 was answered done before all of its tasks completed",
        ),
        (
            vec![given("j-9", "done", 4), valid[1].clone()],
            vec!["j-1", "j-2"],
            "j-9 has a final answer but is not stored",
        ),
    ] {
        let found = find_problems(&answers, &stored);
        assert!(found.contains(part), "{part} is missing in {found}");
    }
}
