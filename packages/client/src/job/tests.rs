use super::*;
use coralnotch_wire::example::job_array;
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
    /// The program crashes and restarts with its journal.
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
    /// Guards against conflicting, premature or lost final answers when the
    /// controllers' responses arrive in any order and the program restarts.  A job
    /// has at most one final answer, which is visible only once it is recorded;
    /// its progress never decreases; an unfinished job always has a next action
    /// that is due within a bounded time.
    #[test]
    fn job_has_at_most_one_final_answer_for_any_sequence_of_responses(steps in prop::collection::vec(steps(), 1..200), jitter in 0.0f64..1.0) {
        let timing = timing();
        let mut now = Instant::now();
        let mut job = Job::new(job_array("j-1", 5), false, false, now);
        // The content of the journal.
        let mut recorded = JobRecord::new(&job_array("j-1", 5));
        let mut shown_answer: Option<FinalAnswer> = None;
        for step in steps {
            let (old_progress, was_accepted) = (job.progress(), job.is_accepted());
            let mut restarted = false;
            match step {
                Step::Receive(action, outcome) => {
                    let action = action.unwrap_or(job.action());
                    let refused = matches!(outcome, Outcome::Refused { .. });
                    if action != Action::RecordAnswer {
                        let transition = job.apply_outcome(action, outcome, &timing, jitter, now);
                        prop_assert!(
                            !(transition == Transition::Ended && refused && was_accepted),
                            "an accepted job was refused"
                        );
                        if transition == Transition::Accepted {
                            recorded.accepted = true;
                        }
                    }
                }
                Step::Cancel => {
                    if job.request_cancellation(now) {
                        recorded.cancel_requested = true;
                    }
                }
                Step::WriteAnswer(succeeds) => {
                    if let Some(answer) = job.unrecorded_answer().cloned() {
                        if succeeds {
                            recorded.answer = Some(answer);
                        }
                        match succeeds {
                            true => job.mark_recorded(),
                            false => job.retry_recording(&timing, jitter, now),
                        }
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Restart => {
                    if recorded.answer.is_none() {
                        job = Job::new(job_array("j-1", 5), recorded.accepted, recorded.cancel_requested, now);
                        restarted = true;
                    }
                }
            }
            prop_assert!(restarted || job.progress().done >= old_progress.done);
            if let Some(answer) = job.answer() {
                prop_assert_eq!(recorded.answer.as_ref(), Some(answer), "the answer is visible but not recorded");
                prop_assert_eq!(shown_answer.get_or_insert(answer.clone()), answer, "the final answer changed");
                prop_assert!(job.due_at().is_none());
            } else {
                prop_assert!(shown_answer.is_none());
                let due_at = job.due_at().expect("an unfinished job has a next action");
                prop_assert!(due_at <= now + Duration::from_secs(40), "the next action is due after the longest delay");
            }
        }
    }
}

/// Guards against polling too often while the expected end of a job is far away,
/// and against polling equal jobs at the same time.
#[test]
fn poll_delay_depends_on_the_expected_end_and_the_jitter() {
    let start = Instant::now();
    let long_spec = Arc::new(JobSpec { estimated_run_time_s: 40.0, ..(*job_array("j-1", 1)).clone() });
    let poll_delay_s = |elapsed_s: u64, jitter: f64| {
        let mut job = Job::new(long_spec.clone(), true, false, start);
        let now = start + Duration::from_secs(elapsed_s);
        let state = JobState { id: "j-1".into(), stage: "running".into(), done: 0, running: 1 };
        job.apply_outcome(Action::Query, Outcome::State(state), &timing(), jitter, now);
        job.due_at().expect("a running job has a next action").duration_since(now).as_secs_f64()
    };
    assert_eq!(poll_delay_s(0, 0.5), 20.0);
    assert_eq!(poll_delay_s(39, 0.5), 1.0);
    assert_eq!(poll_delay_s(60, 0.5), 10.0);
    assert_eq!(poll_delay_s(1000, 0.5), 30.0);
    assert!(poll_delay_s(0, 0.0) < poll_delay_s(0, 1.0));
}

/// Guards against losing a cancellation that is requested while the outcome of
/// the submission is unknown.  The cancellation is sent once the job is accepted,
/// and is repeated until a controller reports that the job has ended.
#[test]
fn cancellation_is_sent_once_the_job_is_accepted_and_repeated_until_it_ends() {
    let now = Instant::now();
    let mut job = Job::new(job_array("j-1", 1), false, false, now);
    job.apply_outcome(Action::Submit, Outcome::Indeterminate, &timing(), 0.5, now);
    assert!(job.request_cancellation(now) && !job.request_cancellation(now));
    assert_eq!(job.action(), Action::Submit);
    let state = |stage: &str| Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done: 0, running: 0 });
    assert_eq!(job.apply_outcome(Action::Submit, state("pending"), &timing(), 0.5, now), Transition::Accepted);
    assert_eq!((job.action(), job.due_at()), (Action::Cancel, Some(now)));
    assert_eq!(job.apply_outcome(Action::Cancel, state("running"), &timing(), 0.5, now), Transition::Unchanged);
    assert_eq!(job.apply_outcome(Action::Cancel, state("done"), &timing(), 0.5, now), Transition::Ended);
    assert_eq!(job.unrecorded_answer(), Some(&FinalAnswer::Done));
}
