//! Answers stay final, and each injected defect is found.

use super::*;

#[test]
fn answers_stay_final_though_ended_jobs_leave_memory() {
    let (mut coverage, mut said) = ([0; 5], [0; 4]);
    for seed in 0..60 {
        let h = RequestHistory::new(seed, InjectedDefect::None).run(3000);
        assert!(h.violations.is_empty(), "seed {seed}: {:?}", h.violations);
        for (all, one) in coverage.iter_mut().zip(h.coverage) {
            *all += one;
        }
        h.answers.iter().for_each(|a| said[a.said as usize] += 1);
    }
    // there was something to check: answers from memory, from the store, watches that
    // were too old in the middle of a read, lost answers and late writes; and of each word
    assert!(coverage.iter().all(|n| *n > 100), "{coverage:?}");
    assert!(said.iter().all(|n| *n > 500), "{said:?}");
}

#[test]
fn the_checker_sees_what_answers_rest_on() {
    use self::InjectedDefect::*;
    for defect in [
        TreatEvictedAsUnknown,
        ApplyLateResponses,
        ScanIgnoresWatchedOutcomes,
        WatchFromScanEnd,
        SkipConfirmation,
        TreatOutageAsNotFound,
        ReuseLookupResult,
        AcceptUnknownSubmission,
        ConfirmUnknownCancellation,
        TrustLocalCancellation,
    ] {
        let coverage = (0..60).any(|seed| !RequestHistory::new(seed, defect).run(3000).violations.is_empty());
        assert!(coverage, "{defect:?} went unnoticed");
    }
}
