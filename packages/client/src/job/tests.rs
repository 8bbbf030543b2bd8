use super::*;
use coralnotch_wire::example::spec;
use coralnotch_wire::model::JobState;
use proptest::prelude::*;

fn timing() -> Timing {
    Timing {
        backoff: Backoff { initial: Duration::from_millis(100), maximum: Duration::from_secs(10) },
        min_poll_interval: Duration::from_secs(1),
        max_poll_interval: Duration::from_secs(30),
    }
}

fn actions() -> impl Strategy<Value = Action> {
    prop_oneof![Just(Action::Submit), Just(Action::Query), Just(Action::Cancel)]
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    let stage = prop_oneof![4 => Just("pending"), 6 => Just("running"), 1 => Just("done"), 1 => Just("cancelled")];
    prop_oneof![
        6 => (stage, 0u32..5, 0u32..5).prop_map(|(stage, done, running)| {
            Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done, running })
        }),
        1 => Just(Outcome::Refused { status: 422, reason: "no".into() }),
        2 => Just(Outcome::UnknownJob),
        2 => (0u64..40).prop_map(|s| Outcome::RetryLater(Some(Duration::from_secs(s)))),
        2 => Just(Outcome::Indeterminate),
    ]
}

#[derive(Debug, Clone)]
enum Step {
    Receive(Option<Action>, Outcome),
    Cancel,
    WriteAnswer(bool),
    Wait(u64),
    /// The program dies and is started again with its journal.
    Restart,
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (prop::option::of(actions()), outcomes()).prop_map(|(a, o)| Step::Receive(a, o)),
        1 => Just(Step::Cancel),
        3 => any::<bool>().prop_map(Step::WriteAnswer),
        2 => (0u64..100_000).prop_map(Step::Wait),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    /// Against a server that answers anything, at any time, in any order:
    /// one final answer at most, never another, shown only when recorded;
    /// nothing shown goes back; an unfinished job is always due, and soon.
    #[test]
    fn one_final_answer_whatever_the_controllers_answer(steps in prop::collection::vec(steps(), 1..200), jitter in 0.0f64..1.0) {
        let timing = timing();
        let mut now = Instant::now();
        let mut job = Job::new(spec("j-1", 5), false, false, now);
        // what the journal has
        let mut recorded = JobRecord::new(&spec("j-1", 5));
        let mut given: Option<FinalAnswer> = None;
        for step in steps {
            let (old_progress, was_accepted) = (job.progress(), job.is_accepted());
            let mut restarted = false;
            match step {
                Step::Receive(asked, outcome) => {
                    let asked = asked.unwrap_or(job.action());
                    let refused = matches!(outcome, Outcome::Refused { .. });
                    if asked != Action::RecordAnswer {
                        let c = job.apply_outcome(asked, outcome, &timing, jitter, now);
                        prop_assert!(!(c == Transition::Ended && refused && was_accepted), "accepted, then refused");
                        if c == Transition::Accepted {
                            recorded.accepted = true;
                        }
                    }
                }
                Step::Cancel => {
                    if job.request_cancellation(now) {
                        recorded.cancel_requested = true;
                    }
                }
                Step::WriteAnswer(ok) => {
                    if let Some(a) = job.unrecorded_answer().cloned() {
                        if ok {
                            recorded.answer = Some(a);
                        }
                        match ok {
                            true => job.mark_recorded(),
                            false => job.retry_recording(&timing, jitter, now),
                        }
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Restart => {
                    if recorded.answer.is_none() {
                        job = Job::new(spec("j-1", 5), recorded.accepted, recorded.cancel_requested, now);
                        restarted = true;
                    }
                }
            }
            prop_assert!(restarted || job.progress().done >= old_progress.done);
            if let Some(a) = job.answer() {
                prop_assert_eq!(recorded.answer.as_ref(), Some(a), "shown before it was on record");
                prop_assert_eq!(given.get_or_insert(a.clone()), a, "another answer");
                prop_assert!(job.due_at().is_none());
            } else {
                prop_assert!(given.is_none());
                let due = job.due_at().expect("an unfinished job is due");
                prop_assert!(due <= now + Duration::from_secs(40), "due within the longest delay");
            }
        }
    }
}

/// Queries are rare while the end is far, and those of equal jobs are spread.
#[test]
fn queries_follow_the_expected_end() {
    let t0 = Instant::now();
    let long = Arc::new(JobSpec { estimate_s: 40.0, ..(*spec("j-1", 1)).clone() });
    let wait = |after: u64, jitter: f64| {
        let mut job = Job::new(long.clone(), true, false, t0);
        let now = t0 + Duration::from_secs(after);
        let s = JobState { id: "j-1".into(), stage: "running".into(), done: 0, running: 1 };
        job.apply_outcome(Action::Query, Outcome::State(s), &timing(), jitter, now);
        job.due_at().expect("a running job is due").duration_since(now).as_secs_f64()
    };
    assert_eq!(wait(0, 0.5), 20.0);
    assert_eq!(wait(39, 0.5), 1.0);
    assert_eq!(wait(60, 0.5), 10.0);
    assert_eq!(wait(1000, 0.5), 30.0);
    assert!(wait(0, 0.0) < wait(0, 1.0));
}

/// A cancellation is pursued until it is answered, also where the
/// submission before it was in doubt.
#[test]
fn a_cancellation_waits_for_the_acceptance() {
    let now = Instant::now();
    let mut job = Job::new(spec("j-1", 1), false, false, now);
    job.apply_outcome(Action::Submit, Outcome::Indeterminate, &timing(), 0.5, now);
    assert!(job.request_cancellation(now) && !job.request_cancellation(now));
    assert_eq!(job.action(), Action::Submit);
    let s = |stage: &str| Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done: 0, running: 0 });
    assert_eq!(job.apply_outcome(Action::Submit, s("pending"), &timing(), 0.5, now), Transition::Accepted);
    assert_eq!((job.action(), job.due_at()), (Action::Cancel, Some(now)));
    assert_eq!(job.apply_outcome(Action::Cancel, s("running"), &timing(), 0.5, now), Transition::Unchanged);
    assert_eq!(job.apply_outcome(Action::Cancel, s("done"), &timing(), 0.5, now), Transition::Ended);
    assert_eq!(job.unrecorded_answer(), Some(&FinalAnswer::Done));
}
