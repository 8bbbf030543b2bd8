use super::*;
use coralnotch_wire::example::job_array;

/// A job that depends on a cancelled one must not be reported as unfinished for long.  All its
/// dependencies count, including indirect ones, and unknown dependencies have to be read from the
/// store.
#[test]
fn direct_and_indirect_cancelled_dependencies_are_found() {
    let job = |id: &str, needs: &[&str]| {
        let dependencies = needs.iter().map(|need| Name::from(*need)).collect();
        Arc::new(JobSpec { dependencies, ..(*job_array(id, 1)).clone() })
    };
    let mut index = JobIndex::new(2);
    index.insert_seen(job("j-1", &[]), 1);
    index.insert_seen(job("j-2", &["j-1"]), 2);
    index.insert_seen(job("j-3", &["j-2", "j-0"]), 3);
    assert_eq!(index.cancelled_dependency("j-2"), CancelledDependency::No);
    assert_eq!(index.cancelled_dependency("j-3"), CancelledDependency::Unknown(vec!["j-0".into()]));
    // the dependency ended before this controller started, and its outcome is read from the store
    assert!(!index.apply_outcome("j-0", JobOutcome::Done));
    assert_eq!(index.cancelled_dependency("j-3"), CancelledDependency::No);
    index.apply_outcome("j-1", JobOutcome::Cancelled);
    assert_eq!(
        (index.cancelled_dependency("j-2"), index.cancelled_dependency("j-3")),
        (CancelledDependency::Yes, CancelledDependency::Yes)
    );
    // ended jobs are evicted, but not the outcomes of jobs that others depend on
    index.insert_ended(EndedJob { spec: job("j-8", &[]), revision: 8, outcome: JobOutcome::Done });
    index.insert_ended(EndedJob { spec: job("j-9", &[]), revision: 9, outcome: JobOutcome::Done });
    assert_eq!((index.outcome("j-1"), index.cancelled_dependency("j-2")), (None, CancelledDependency::Yes));
    assert_eq!(index.dependency_outcomes.len(), 2);
    index.apply_outcome("j-3", JobOutcome::Cancelled);
    index.apply_outcome("j-2", JobOutcome::Cancelled);
    assert!(index.dependency_outcomes.is_empty());
    // the search is not recursive, because chains of dependencies may be thousands of jobs long
    for n in 100..5100 {
        index.insert_seen(job(&format!("j-{n}"), &[&format!("j-{}", n - 1)]), n);
    }
    assert_eq!(index.cancelled_dependency("j-5099"), CancelledDependency::Unknown(vec!["j-99".into()]));
}
