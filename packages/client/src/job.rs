//! One job on its way to its final answer: a plain state machine.  It says
//! what to do next and when, and takes in what came of it, in whatever order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{Shape, Spec};
use serde::{Deserialize, Serialize};

use crate::journal::Record;
use crate::outcome::Outcome;
use crate::retry::Backoff;

/// The one final answer of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Final {
    /// All its tasks completed.
    Done,
    /// It was withdrawn, here or elsewhere.
    Cancelled,
    /// It can never run, and never did.
    Refused {
        /// 400 or 422.
        status: u16,
        /// The controller's reason.
        why: String,
    },
}

/// What to do for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Submit it, maybe again.
    Submit,
    /// Ask how it stands.
    Query,
    /// Withdraw it.
    Withdraw,
    /// Write its final answer to the journal.
    Record,
}

/// How a job stands, as last shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// What changed, if anything a caller can see did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changed {
    /// Nothing.
    Nothing,
    /// It is accepted now.
    Accepted,
    /// Tasks began or completed.
    Progress,
    /// The final answer came; it is not recorded yet.
    Over,
}

/// How quickly jobs are pursued.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Between tries of what did not go through.
    pub backoff: Backoff,
    /// Least time between two polls.
    pub poll_least: Duration,
    /// Most time between two polls.
    pub poll_most: Duration,
}

/// Share of a job's expected rest after which it is asked about again.
const POLL_SHARE: f64 = 0.5;
/// A poll is so much earlier or later than its time at most: spread, so that
/// jobs that came together are not asked about together.
const POLL_SPREAD: f64 = 0.25;

/// A job that is pursued.
#[derive(Debug, Clone)]
pub struct Job {
    spec: Arc<Spec>,
    accepted: Option<Instant>,
    withdrawn: bool,
    answer: Option<Final>,
    recorded: bool,
    shown: Progress,
    tries: u32,
    due: Instant,
}

impl Job {
    /// A job that is on record: as it was when the journal was last written.
    pub fn new(spec: Arc<Spec>, accepted: bool, withdrawn: bool, now: Instant) -> Job {
        let accepted = accepted.then_some(now);
        Job { spec, accepted, withdrawn, answer: None, recorded: false, shown: Progress::default(), tries: 0, due: now }
    }

    /// A job as its record has it.  An answer on record is the answer.
    pub fn resumed(r: Record, now: Instant) -> Job {
        let recorded = r.answer.is_some();
        Job { answer: r.answer, recorded, ..Job::new(Arc::new(r.spec), r.accepted, r.withdrawn, now) }
    }

    /// The submission.
    pub fn spec(&self) -> &Arc<Spec> {
        &self.spec
    }

    /// Whether a controller has it.
    pub fn accepted(&self) -> bool {
        self.accepted.is_some()
    }

    /// Whether its final answer is known, on record or not.
    pub fn ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Whether its user wants it no more.
    pub fn withdrawn(&self) -> bool {
        self.withdrawn
    }

    /// The final answer, once it is on record; it never changes.
    pub fn answer(&self) -> Option<&Final> {
        self.answer.as_ref().filter(|_| self.recorded)
    }

    /// The final answer to be recorded.
    pub fn unrecorded(&self) -> Option<&Final> {
        self.answer.as_ref().filter(|_| !self.recorded)
    }

    /// How it stands, as last shown: never an older state than one before.
    pub fn shown(&self) -> Progress {
        self.shown
    }

    /// Whether the next try repeats one that did not go through.
    pub fn again(&self) -> bool {
        self.tries > 0
    }

    /// When there is something to do; `None` once it is over and recorded.
    pub fn due(&self) -> Option<Instant> {
        (!self.recorded).then_some(self.due)
    }

    /// What to do when it is due.
    pub fn action(&self) -> Action {
        match (&self.answer, self.accepted, self.withdrawn) {
            (Some(_), ..) => Action::Record,
            // a withdrawal waits for the acceptance: where a submission is in
            // doubt, nothing else tells whether there is a job to withdraw
            (None, None, _) => Action::Submit,
            (None, Some(_), true) => Action::Withdraw,
            (None, Some(_), false) => Action::Query,
        }
    }

    /// Its user wants it no more; true if that is news.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let news = !self.withdrawn && self.answer.is_none();
        self.withdrawn |= news;
        if news && self.accepted.is_some() {
            (self.due, self.tries) = (now, 0);
        }
        news
    }

    /// Puts the next try off, without counting it as one.
    pub fn put_off(&mut self, until: Instant) {
        self.due = self.due.max(until);
    }

    /// The final answer was written to the journal, or could not be.
    pub fn recorded(&mut self, ok: bool, pace: &Pace, chance: f64, now: Instant) {
        match ok {
            true => self.recorded = self.answer.is_some(),
            false => self.fails(None, pace, chance, now),
        }
    }

    /// What came of a try, whenever it comes.  `chance` is a random share.
    pub fn heard(&mut self, asked: Action, outcome: Outcome, pace: &Pace, chance: f64, now: Instant) -> Changed {
        if self.answer.is_some() {
            return Changed::Nothing;
        }
        let state = match outcome {
            Outcome::State(s) => s,
            Outcome::Refused { status, why } if asked == Action::Submit && self.accepted.is_none() => {
                return self.ends(Final::Refused { status, why }, now);
            }
            Outcome::Later(after) => {
                self.fails(after, pace, chance, now);
                return Changed::Nothing;
            }
            // a controller that knows less than another did before
            Outcome::Refused { .. } | Outcome::Unknown | Outcome::Doubt => {
                self.fails(None, pace, chance, now);
                return Changed::Nothing;
            }
        };
        let news = self.accepted.is_none();
        self.accepted.get_or_insert(now);
        match state.stage.as_str() {
            "done" => return self.ends(Final::Done, now),
            "cancelled" => return self.ends(Final::Cancelled, now),
            _ => {}
        }
        if asked == Action::Withdraw {
            // only "cancelled" and "done" answer that
            self.fails(None, pace, chance, now);
            return Changed::Nothing;
        }
        self.tries = 0;
        self.due = match self.withdrawn {
            true => now,
            false => now + self.poll_wait(pace, chance, now),
        };
        let shown = Progress { done: state.done, running: state.running };
        // fewer completed tasks than were shown before: an older state
        let newer = shown.done >= self.shown.done && shown != self.shown && asked == Action::Query;
        if newer {
            self.shown = shown;
        }
        match (news, newer) {
            (true, _) => Changed::Accepted,
            (false, true) => Changed::Progress,
            (false, false) => Changed::Nothing,
        }
    }

    fn ends(&mut self, answer: Final, now: Instant) -> Changed {
        self.answer = Some(answer);
        (self.due, self.tries) = (now, 0);
        Changed::Over
    }

    fn fails(&mut self, after: Option<Duration>, pace: &Pace, chance: f64, now: Instant) {
        self.tries = self.tries.saturating_add(1);
        self.due = now + pace.backoff.wait(self.tries, chance).max(after.unwrap_or_default());
    }

    /// How long until the next poll: less often while the expected end is far,
    /// and ever less often once it has long passed.
    fn poll_wait(&self, pace: &Pace, chance: f64, now: Instant) -> Duration {
        let since = self.accepted.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        let expected = match self.spec.shape {
            Shape::Service => f64::INFINITY,
            _ => self.spec.estimate_s,
        };
        let rest = (expected - since.as_secs_f64()).abs();
        let wait = (rest * POLL_SHARE).clamp(pace.poll_least.as_secs_f64(), pace.poll_most.as_secs_f64());
        Duration::from_secs_f64(wait * (1.0 - POLL_SPREAD + 2.0 * POLL_SPREAD * chance.clamp(0.0, 1.0)))
    }
}

#[cfg(test)]
mod tests {
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
        let long = Arc::new(Spec { estimate_s: 40.0, ..(*spec("j-1", 1)).clone() });
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
}
