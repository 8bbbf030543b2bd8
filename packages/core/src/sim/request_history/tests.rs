//! Simulation tests of user requests: final replies are never contradicted, and the checker
//! detects each injected defect.

use super::*;

const SEEDS: std::ops::Range<u64> = 0..60;
const STEPS: u64 = 3000;

#[test]
fn replies_stay_final_after_ended_jobs_are_evicted() {
    let mut coverage = Coverage::default();
    let mut answers = [0; 4];
    for seed in SEEDS {
        let history = RequestHistory::new(seed, InjectedDefect::None).run(STEPS);
        assert!(history.violations.is_empty(), "seed {seed}: {:?}", history.violations);
        coverage += history.coverage;
        history.answers.iter().for_each(|answer| answers[answer.state as usize] += 1);
    }
    // the runs reached each situation, and each kind of reply, often enough
    assert!(coverage.counts().iter().all(|count| *count > 100), "{coverage:?}");
    assert!(answers.iter().all(|count| *count > 500), "{answers:?}");
}

#[test]
fn checker_detects_each_injected_defect() {
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
        let found = SEEDS.into_iter().any(|seed| !RequestHistory::new(seed, defect).run(STEPS).violations.is_empty());
        assert!(found, "no run reported a violation with the defect {defect:?}");
    }
}
