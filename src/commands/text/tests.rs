use super::*;
use crate::http;

#[test]
fn the_text_of_a_job_names_the_jobs_it_waits_for_or_was_cancelled_with() {
    let state = |stage: &str| JobState { id: "j-3".into(), stage: stage.into(), done: 0, running: 0 };
    let round_trip_text = |job: &JobExplanation| {
        let decoded: JobExplanation = http::decode(&http::encode(job)).expect("an encoded job is decoded");
        assert_eq!(decoded, *job);
        explained_text(&decoded)
    };
    let waiting =
        JobExplanation { state: state("pending"), unfinished_dependencies: vec!["j-1".into()], cancelled_with: None };
    assert!(round_trip_text(&waiting).ends_with("; it waits for j-1"));
    let cancelled = JobExplanation {
        state: state("cancelled"),
        unfinished_dependencies: vec![],
        cancelled_with: Some("j-1".into()),
    };
    assert_eq!(round_trip_text(&cancelled), "j-3 is cancelled, as its dependency j-1 is cancelled");
    // a controller of an earlier version answers without the dependencies
    let plain: JobExplanation =
        http::decode(&http::encode(&state("pending"))).expect("the answer of an earlier version is decoded");
    assert_eq!(plain.unfinished_dependencies, [] as [crate::model::Name; 0]);
}
