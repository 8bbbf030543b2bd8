use super::*;
use crate::http;

#[test]
fn a_job_says_what_it_waits_for() {
    let state = |stage: &str| JobState { id: "j-3".into(), stage: stage.into(), done: 0, running: 0 };
    let round_trip_text = |job: &JobExplanation| {
        let decoded: JobExplanation = http::decode(&http::encode(job)).expect("our own bytes");
        assert_eq!(decoded, *job);
        explained_text(&decoded)
    };
    let waiting = JobExplanation { state: state("pending"), waits_for: vec!["j-1".into()], cancelled_with: None };
    assert!(round_trip_text(&waiting).ends_with("; it waits for j-1"));
    let cancelled = JobExplanation { state: state("cancelled"), waits_for: vec![], cancelled_with: Some("j-1".into()) };
    assert_eq!(round_trip_text(&cancelled), "j-3 is cancelled with j-1, which it needs");
    // a controller of an earlier version answers without the rest
    let plain: JobExplanation = http::decode(&http::encode(&state("pending"))).expect("an earlier answer");
    assert_eq!(plain.waits_for, [] as [crate::model::Name; 0]);
}
