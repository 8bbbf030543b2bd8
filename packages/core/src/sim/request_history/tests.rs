//! Replies stay final, and each injected defect is found.

use super::*;

const SEEDS: std::ops::Range<u64> = 0..60;
const STEPS: u64 = 3000;

#[test]
fn answers_stay_final_though_ended_jobs_leave_memory() {
    let mut coverage = Coverage::default();
    let mut answers = [0; 4];
    for seed in SEEDS {
        let history = RequestHistory::new(seed, InjectedDefect::None).run(STEPS);
        assert!(history.violations.is_empty(), "seed {seed}: {:?}", history.violations);
        coverage += history.coverage;
        history.answers.iter().for_each(|answer| answers[answer.state as usize] += 1);
    }
    // there was something to check, of each situation and of each kind of answer
    assert!(coverage.counts().iter().all(|count| *count > 100), "{coverage:?}");
    assert!(answers.iter().all(|count| *count > 500), "{answers:?}");
}

#[test]
fn the_checker_finds_each_injected_defect() {
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
        assert!(found, "{defect:?} was not found");
    }
}
