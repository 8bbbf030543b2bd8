use super::*;
use coralnotch_wire::example::spec;

/// What needs a cancelled job must not be called queued for long: the end of a
/// chain is judged by all that it needs, also through others, and what is not
/// known is asked for.
#[test]
fn a_chain_is_spoilt_by_any_of_it() {
    let job = |id: &str, needs: &[&str]| {
        let needs = needs.iter().map(|n| Name::from(*n)).collect();
        Arc::new(JobSpec { needs, ..(*spec(id, 1)).clone() })
    };
    let mut l = JobIndex::new(2);
    l.insert_seen(job("j-1", &[]), 1);
    l.insert_seen(job("j-2", &["j-1"]), 2);
    l.insert_seen(job("j-3", &["j-2", "j-0"]), 3);
    assert_eq!(l.cancelled_dependency("j-2"), CancelledDependency::No);
    assert_eq!(l.cancelled_dependency("j-3"), CancelledDependency::Unknown(vec!["j-0".into()]));
    // it ended before this controller began, and is read
    assert!(!l.apply_outcome("j-0", JobOutcome::Done));
    assert_eq!(l.cancelled_dependency("j-3"), CancelledDependency::No);
    l.apply_outcome("j-1", JobOutcome::Cancelled);
    assert_eq!(
        (l.cancelled_dependency("j-2"), l.cancelled_dependency("j-3")),
        (CancelledDependency::Yes, CancelledDependency::Yes)
    );
    // ended jobs leave the memory, but not what is needed
    l.insert_ended(EndedJob { spec: job("j-8", &[]), revision: 8, outcome: JobOutcome::Done });
    l.insert_ended(EndedJob { spec: job("j-9", &[]), revision: 9, outcome: JobOutcome::Done });
    assert_eq!((l.outcome("j-1"), l.cancelled_dependency("j-2")), (None, CancelledDependency::Yes));
    assert_eq!(l.judged.len(), 2);
    l.apply_outcome("j-3", JobOutcome::Cancelled);
    l.apply_outcome("j-2", JobOutcome::Cancelled);
    assert!(l.judged.is_empty());
    // thousands deep: nothing recurs
    for n in 100..5100 {
        l.insert_seen(job(&format!("j-{n}"), &[&format!("j-{}", n - 1)]), n);
    }
    assert_eq!(l.cancelled_dependency("j-5099"), CancelledDependency::Unknown(vec!["j-99".into()]));
}
