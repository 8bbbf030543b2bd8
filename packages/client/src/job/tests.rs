use super::*;
use coralnotch_wire::example::spec;
use coralnotch_wire::model::JobState;
use proptest::prelude::*;

fn pace() -> Pace {
    Pace {
        backoff: Backoff { first: Duration::from_millis(100), most: Duration::from_secs(10) },
        poll_least: Duration::from_secs(1),
        poll_most: Duration::from_secs(30),
    }
}

fn actions() -> impl Strategy<Value = Action> {
    prop_oneof![Just(Action::Submit), Just(Action::Query), Just(Action::Withdraw)]
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    let stage = prop_oneof![4 => Just("pending"), 6 => Just("running"), 1 => Just("done"), 1 => Just("cancelled")];
    prop_oneof![
        6 => (stage, 0u32..5, 0u32..5).prop_map(|(stage, done, running)| {
            Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done, running })
        }),
        1 => Just(Outcome::Refused { status: 422, why: "no".into() }),
        2 => Just(Outcome::Unknown),
        2 => (0u64..40).prop_map(|s| Outcome::Later(Some(Duration::from_secs(s)))),
        2 => Just(Outcome::Doubt),
    ]
}

#[derive(Debug, Clone)]
enum Step {
    Hear(Option<Action>, Outcome),
    Withdraw,
    Record(bool),
    Wait(u64),
    /// The program dies and starts again from its journal.
    Die,
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (prop::option::of(actions()), outcomes()).prop_map(|(a, o)| Step::Hear(a, o)),
        1 => Just(Step::Withdraw),
        3 => any::<bool>().prop_map(Step::Record),
        2 => (0u64..100_000).prop_map(Step::Wait),
        1 => Just(Step::Die),
    ]
}

proptest! {
    /// Against a server that answers anything, at any time, in any order:
    /// one final answer at most, never another, shown only when recorded;
    /// nothing shown goes back; an unfinished job is always due, and soon.
    #[test]
    fn one_final_answer_whatever_is_answered(steps in prop::collection::vec(steps(), 1..200), chance in 0.0f64..1.0) {
        let pace = pace();
        let mut now = Instant::now();
        let mut job = Job::new(spec("j-1", 5), false, false, now);
        // what the journal has: accepted, withdrawn, answer
        let mut disk: (bool, bool, Option<Final>) = (false, false, None);
        let mut given: Option<Final> = None;
        for step in steps {
            let (was_shown, was_accepted) = (job.shown(), job.accepted());
            let mut died = false;
            match step {
                Step::Hear(asked, outcome) => {
                    let asked = asked.unwrap_or(job.action());
                    let refused = matches!(outcome, Outcome::Refused { .. });
                    if asked != Action::Record {
                        let c = job.heard(asked, outcome, &pace, chance, now);
                        prop_assert!(!(c == Changed::Over && refused && was_accepted), "accepted, then refused");
                        if c == Changed::Accepted {
                            disk.0 = true;
                        }
                    }
                }
                Step::Withdraw => {
                    if job.withdraw(now) {
                        disk.1 = true;
                    }
                }
                Step::Record(ok) => {
                    if let Some(a) = job.unrecorded().cloned() {
                        if ok {
                            disk.2 = Some(a);
                        }
                        job.recorded(ok, &pace, chance, now);
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Die => {
                    if disk.2.is_none() {
                        job = Job::new(spec("j-1", 5), disk.0, disk.1, now);
                        died = true;
                    }
                }
            }
            prop_assert!(died || job.shown().done >= was_shown.done);
            if let Some(a) = job.answer() {
                prop_assert_eq!(disk.2.as_ref(), Some(a), "shown before it was on record");
                prop_assert_eq!(given.get_or_insert(a.clone()), a, "another answer");
                prop_assert!(job.due().is_none());
            } else {
                prop_assert!(given.is_none());
                let due = job.due().expect("it is pursued");
                prop_assert!(due <= now + Duration::from_secs(40), "not for ever");
            }
        }
    }
}

/// Polls are rare while the end is far, and jobs of one kind are spread.
#[test]
fn polls_follow_the_expected_end() {
    let t0 = Instant::now();
    let long = Arc::new(JobSpec { estimate_s: 40.0, ..(*spec("j-1", 1)).clone() });
    let wait = |after: u64, chance: f64| {
        let mut j = Job::new(long.clone(), true, false, t0);
        let now = t0 + Duration::from_secs(after);
        let s = JobState { id: "j-1".into(), stage: "running".into(), done: 0, running: 1 };
        j.heard(Action::Query, Outcome::State(s), &pace(), chance, now);
        j.due().expect("it runs").duration_since(now).as_secs_f64()
    };
    assert_eq!(wait(0, 0.5), 20.0);
    assert_eq!(wait(39, 0.5), 1.0);
    assert_eq!(wait(60, 0.5), 10.0);
    assert_eq!(wait(1000, 0.5), 30.0);
    assert!(wait(0, 0.0) < wait(0, 1.0));
}

/// A withdrawal is pursued until it is answered, also where the
/// submission before it was in doubt.
#[test]
fn a_withdrawal_waits_for_the_acceptance() {
    let now = Instant::now();
    let mut j = Job::new(spec("j-1", 1), false, false, now);
    j.heard(Action::Submit, Outcome::Doubt, &pace(), 0.5, now);
    assert!(j.withdraw(now) && !j.withdraw(now));
    assert_eq!(j.action(), Action::Submit);
    let s = |stage: &str| Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done: 0, running: 0 });
    assert_eq!(j.heard(Action::Submit, s("pending"), &pace(), 0.5, now), Changed::Accepted);
    assert_eq!((j.action(), j.due()), (Action::Withdraw, Some(now)));
    assert_eq!(j.heard(Action::Withdraw, s("running"), &pace(), 0.5, now), Changed::Nothing);
    assert_eq!(j.heard(Action::Withdraw, s("done"), &pace(), 0.5, now), Changed::Over);
    assert_eq!(j.unrecorded(), Some(&Final::Done));
}
