use super::*;
use coralnotch_wire::example::spec;

/// A job that depends on a cancelled one must not be reported as unfinished for long: all its
/// dependencies count, also indirect ones, and what is not known is asked for.
#[test]
fn any_cancelled_dependency_counts() {
    let job = |id: &str, needs: &[&str]| {
        let needs = needs.iter().map(|need| Name::from(*need)).collect();
        Arc::new(JobSpec { needs, ..(*spec(id, 1)).clone() })
    };
    let mut index = JobIndex::new(2);
    index.insert_seen(job("j-1", &[]), 1);
    index.insert_seen(job("j-2", &["j-1"]), 2);
    index.insert_seen(job("j-3", &["j-2", "j-0"]), 3);
    assert_eq!(index.cancelled_dependency("j-2"), CancelledDependency::No);
    assert_eq!(index.cancelled_dependency("j-3"), CancelledDependency::Unknown(vec!["j-0".into()]));
    // it ended before this controller started, and its outcome is read
    assert!(!index.apply_outcome("j-0", JobOutcome::Done));
    assert_eq!(index.cancelled_dependency("j-3"), CancelledDependency::No);
    index.apply_outcome("j-1", JobOutcome::Cancelled);
    assert_eq!(
        (index.cancelled_dependency("j-2"), index.cancelled_dependency("j-3")),
        (CancelledDependency::Yes, CancelledDependency::Yes)
    );
    // ended jobs are evicted, but not the outcomes that others depend on
    index.insert_ended(EndedJob { spec: job("j-8", &[]), revision: 8, outcome: JobOutcome::Done });
    index.insert_ended(EndedJob { spec: job("j-9", &[]), revision: 9, outcome: JobOutcome::Done });
    assert_eq!((index.outcome("j-1"), index.cancelled_dependency("j-2")), (None, CancelledDependency::Yes));
    assert_eq!(index.dependency_outcomes.len(), 2);
    index.apply_outcome("j-3", JobOutcome::Cancelled);
    index.apply_outcome("j-2", JobOutcome::Cancelled);
    assert!(index.dependency_outcomes.is_empty());
    // chains may be thousands long: the search is not recursive
    for n in 100..5100 {
        index.insert_seen(job(&format!("j-{n}"), &[&format!("j-{}", n - 1)]), n);
    }
    assert_eq!(index.cancelled_dependency("j-5099"), CancelledDependency::Unknown(vec!["j-99".into()]));
}
