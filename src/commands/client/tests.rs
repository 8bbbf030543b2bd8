use super::*;

#[test]
fn a_job_says_what_it_waits_for() {
    let state = |stage: &str| JobState { id: "j-3".into(), stage: stage.into(), done: 0, running: 0 };
    let told = |e: &JobExplanation| {
        let back: JobExplanation = http::decode(&http::encode(e)).expect("our own bytes");
        assert_eq!(back, *e);
        explained_text(&back)
    };
    let waits = JobExplanation { state: state("pending"), waits_for: vec!["j-1".into()], cancelled_with: None };
    assert!(told(&waits).ends_with("; it waits for j-1"));
    let over = JobExplanation { state: state("cancelled"), waits_for: vec![], cancelled_with: Some("j-1".into()) };
    assert_eq!(told(&over), "j-3 is cancelled with j-1, which it needs");
    // a controller of an earlier version answers without the rest
    let plain: JobExplanation = http::decode(&http::encode(&state("pending"))).expect("an earlier answer");
    assert_eq!(plain.waits_for, [] as [crate::model::Name; 0]);
}

#[test]
fn ids_are_checked_before_anything_is_sent() {
    assert!(validate_id("j-000412").is_ok());
    assert!(validate_id("../x").is_err());
}
