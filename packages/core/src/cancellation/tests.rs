use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

fn default_policy() -> Policy {
    Policy::new(&Config::parse("test", SETTINGS).expect("settings")).expect("the default policy")
}

/// The last lease expires in time, whatever the clocks do within their drift.
#[test]
fn the_last_lease_expires_within_cancel() {
    let policy_with = |cancel: f64, lease: f64| {
        let text = SETTINGS.replace("cancel_s = 60.0", &format!("cancel_s = {cancel:?}"));
        let text = text.replace("lease_s = 30.0", &format!("lease_s = {lease:?}"));
        Policy::new(&Config::parse("test", &text).expect("settings")).expect("the default policy")
    };
    for (cancel, lease) in [(60.0, 30.0), (61.0, 36.0), (31.0, 30.0), (20.0, 30.0), (600.0, 12.0)] {
        let policy = policy_with(cancel, lease);
        let window = renewal_window(&policy, false);
        let last_expiry = window.as_secs_f64() * (1.0 + policy.drift) + lease * (1.0 + policy.drift);
        assert!(last_expiry < cancel || window.is_zero(), "{cancel} {lease}");
        // and the window is shorter by no more than clocks and a renewal take
        assert!(last_expiry > cancel - policy.renew.as_secs_f64() * 2.0 || window.is_zero(), "{cancel} {lease}");
        assert!(leadership_window(&policy) >= policy.ttl * 3);
    }
}

/// A controller of the generated world.
struct Controller {
    log: CancellationLog,
    known: HashSet<Name>,
    /// Revision up to which its watch has read; `None` before its first read.
    watch_revision: Option<u64>,
    view: CancellationView,
}

#[derive(Debug, Clone)]
enum Step {
    /// The store serves a controller from now on, or refuses it.
    SetServed(usize, bool),
    /// A user cancels a job at a controller.
    Cancel(usize),
    /// A cancellation is stored, and nobody receives the response.
    CancelUnanswered,
    /// A controller reads the last outcome for a user.
    ReadOutcome(usize),
    /// The watch of a controller responds.
    Watch(usize),
    /// The first controller requests a batch of the second.
    RequestBatch(usize, usize),
    /// A controller restarts.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let controller = 0usize..3;
    prop_oneof![
        2 => (controller.clone(), any::<bool>()).prop_map(|(c, served)| Step::SetServed(c, served)),
        4 => controller.clone().prop_map(Step::Cancel),
        1 => Just(Step::CancelUnanswered),
        2 => controller.clone().prop_map(Step::ReadOutcome),
        4 => controller.clone().prop_map(Step::Watch),
        8 => (controller.clone(), controller.clone()).prop_map(|(a, b)| Step::RequestBatch(a, b)),
        1 => controller.prop_map(Step::Restart),
    ]
}

/// A rule that is left out on purpose, to see that the test notices it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Omitted {
    Nothing,
    /// A batch of an incarnation that began later counts as well.
    Floor,
    /// The batches of some peers are enough.
    EveryPeer,
    /// What was read or stored here does not enter the log.
    OwnOutcomes,
    /// A batch counts from its response on, not from its request.
    RequestTime,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Three controllers and the store.
struct World {
    omitted: Omitted,
    capacity: usize,
    start: Instant,
    last_incarnation: u64,
    controllers: Vec<Controller>,
    served: [bool; 3],
    /// The stored cancellations by revision.
    stored: Vec<Name>,
    /// When each cancellation was first confirmed to a user.
    confirmed: HashMap<Name, Instant>,
}

impl World {
    fn new(capacity: usize, omitted: Omitted) -> World {
        let mut world = World {
            omitted,
            capacity,
            start: Instant::now(),
            last_incarnation: 0,
            controllers: Vec::new(),
            served: [true; 3],
            stored: Vec::new(),
            confirmed: HashMap::new(),
        };
        world.controllers = (0..3).map(|_| world.started_controller()).collect();
        world
    }

    fn started_controller(&mut self) -> Controller {
        self.last_incarnation += 1;
        let mut log = CancellationLog::new(self.last_incarnation, self.capacity);
        if self.omitted == Omitted::Floor {
            log.begin_watch(0, self.start);
        }
        Controller { log, known: HashSet::new(), watch_revision: None, view: CancellationView::default() }
    }

    fn apply(&mut self, number: usize, step: &Step, now: Instant) {
        match *step {
            Step::SetServed(c, served) => self.served[c] = served,
            Step::CancelUnanswered => self.stored.push(format!("j-{number}").into()),
            Step::Cancel(c) if self.served[c] => {
                self.stored.push(format!("j-{number}").into());
                self.confirm_last_stored(c, now);
            }
            Step::ReadOutcome(c) if self.served[c] && !self.stored.is_empty() => self.confirm_last_stored(c, now),
            Step::Watch(c) if self.served[c] => self.watch(c, now),
            Step::RequestBatch(a, b) if a != b => self.request_batch(a, b, now),
            Step::Restart(c) => self.controllers[c] = self.started_controller(),
            _ => {}
        }
    }

    fn confirm_last_stored(&mut self, c: usize, now: Instant) {
        let id = self.stored.last().expect("a stored cancellation").clone();
        self.confirmed.entry(id.clone()).or_insert(now);
        if self.omitted != Omitted::OwnOutcomes {
            self.controllers[c].log.record(self.stored.len() as u64, &id, now);
        }
        self.controllers[c].known.insert(id);
    }

    fn watch(&mut self, c: usize, now: Instant) {
        let controller = &mut self.controllers[c];
        let read = match controller.watch_revision {
            Some(revision) => revision as usize,
            None => {
                // the first read: all cancellations so far, none of them in the log
                controller.log.begin_watch(self.stored.len() as u64, now);
                controller.known.extend(self.stored.iter().cloned());
                self.stored.len()
            }
        };
        for (index, id) in self.stored.iter().enumerate().skip(read) {
            controller.log.record(index as u64 + 1, id, now);
            controller.known.insert(id.clone());
        }
        controller.watch_revision = Some(self.stored.len() as u64);
        controller.view.watch_answered(now);
    }

    fn request_batch(&mut self, a: usize, b: usize, now: Instant) {
        let Some(revision) = self.controllers[a].watch_revision else { return };
        let cursor = self.controllers[a].view.next_cursor(NAMES[b]);
        let Some(batch) = self.controllers[b].log.batch_since(revision, cursor) else { return };
        let requester = &mut self.controllers[a];
        for cancellation in &batch.cancellations {
            requester.log.record(cancellation.revision, &cancellation.id, now);
            requester.known.insert(cancellation.id.clone());
        }
        let delay = Duration::from_secs(2 * u64::from(self.omitted == Omitted::RequestTime));
        requester.view.peer_answered(NAMES[b], now + delay, &batch);
    }

    /// Whether a cancellation that was confirmed before a view was complete is missing from it.
    fn misses_a_confirmed_cancellation(&self) -> bool {
        self.controllers.iter().enumerate().any(|(c, controller)| {
            let others = NAMES.iter().enumerate().filter(|(n, _)| *n != c).map(|(_, name)| *name);
            let view = &controller.view;
            let complete_as_of = match self.omitted {
                Omitted::EveryPeer => others
                    .filter_map(|other| view.peers.get(other)?.complete_as_of)
                    .max()
                    .max(view.watch_complete_as_of),
                _ => view.complete_as_of(others),
            };
            let is_missing = |(id, confirmed_at): (&Name, &Instant)| {
                complete_as_of.is_some_and(|at| *confirmed_at < at) && !controller.known.contains(id)
            };
            controller.watch_revision.is_some() && self.confirmed.iter().any(is_missing)
        })
    }
}

/// Runs the steps, one a second; whether a view missed a confirmed cancellation after any.
fn misses(steps: &[Step], capacity: usize, omitted: Omitted) -> bool {
    let mut world = World::new(capacity, omitted);
    steps.iter().enumerate().any(|(number, step)| {
        let now = world.start + Duration::from_secs(number as u64 + 1);
        world.apply(number, step, now);
        world.misses_a_confirmed_cancellation()
    })
}

proptest! {
    /// No cancellation that was confirmed to a user before a view was complete is missing
    /// from it, through refusals, restarts, lost responses and logs that overflow.
    #[test]
    fn a_complete_view_misses_nothing(steps in prop::collection::vec(step(), 1..90), capacity in 1usize..9) {
        prop_assert!(!misses(&steps, capacity, Omitted::Nothing));
    }
}

/// Each rule that is left out is noticed.
#[test]
fn every_rule_of_completeness_is_needed() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    for omitted in [Omitted::Floor, Omitted::EveryPeer, Omitted::OwnOutcomes, Omitted::RequestTime] {
        let mut runner = TestRunner::deterministic();
        let runs = prop::collection::vec(step(), 60..90);
        let noticed = (0..2000).any(|_| {
            let steps = runs.new_tree(&mut runner).expect("steps").current();
            misses(&steps, 4, omitted)
        });
        assert!(noticed, "{omitted:?} went unnoticed");
    }
}

/// A log that is longer than a message comes in parts, and only its end counts.
#[test]
fn a_long_log_comes_in_batches() {
    let start = Instant::now();
    let mut log = CancellationLog::new(7, 10_000);
    log.begin_watch(10, start);
    for n in 0..1300u64 {
        log.record(11 + n, &format!("j-{n}"), start);
    }
    assert!(log.batch_since(9, BatchCursor::default()).is_none(), "a gap");
    let mut view = CancellationView::default();
    let mut received = 0;
    for part in 0..3 {
        let batch = log.batch_since(10, view.next_cursor("b")).expect("no gap");
        received += batch.cancellations.len();
        view.peer_answered("b", start, &batch);
        assert_eq!(view.complete_as_of(["b"]).is_some(), part == 2);
    }
    assert_eq!(received, 1300);
    assert!(view.complete_as_of(["b", "c"]).is_none(), "one peer has not answered");
    let no_peers: [&str; 0] = [];
    assert!(CancellationView::default().complete_as_of(no_peers).is_none(), "without peers only the watch counts");
}

/// A cancellation is confirmed when all peers know, when the leader finds no task left, or when every
/// controller that does not know has stopped renewing in time; never before.
#[test]
fn a_cancellation_is_confirmed_when_nobody_can_renew_unknowing() {
    let policy = default_policy();
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut log = CancellationLog::new(1, 100);
    log.begin_watch(5, at(0));
    let names: Vec<Name> = ["j-1", "j-2", "j-3"].map(Name::from).into();
    names.iter().for_each(|name| log.record(9, name, at(100)));
    let mut notices = CancellationNotices::new(2, 10);
    for name in &names {
        assert!(!notices.may_confirm(name, &log, &policy, at(100)));
    }
    let notice = notices.for_peer(0, &log, &policy, at(100));
    assert!(notice.has_unacknowledged && notice.cancellations.len() == 3 && notice.cancellations[0].revision == 9);
    notices.mark_acknowledged(0, &notice.cancellations);
    assert!(!notices.for_peer(0, &log, &policy, at(101)).has_unacknowledged, "nothing new to it");
    assert!(!notices.may_confirm(&names[0], &log, &policy, at(101)), "one of two knows");
    notices.mark_acknowledged(1, &notice.cancellations[..1]);
    assert!(notices.may_confirm(&names[0], &log, &policy, at(101)));
    notices.settle(&names[1]);
    assert!(notices.may_confirm(&names[1], &log, &policy, at(101)));
    let end = at(100) + policy.cancel;
    assert!(!notices.may_confirm(&names[2], &log, &policy, end - Duration::from_millis(1)));
    assert!(notices.may_confirm(&names[2], &log, &policy, end));
    // a controller that renews on this rule has stopped in time: its view is older than that
    let last_renewal = at(100) + renewal_window(&policy, true);
    assert!(last_renewal + policy.lease <= end + policy.cancel);
    // a cancellation from before this incarnation is at least as old as the incarnation
    assert!(!notices.may_confirm(&"j-0".into(), &log, &policy, at(59)));
    assert!(notices.may_confirm(&"j-0".into(), &log, &policy, at(60)));
    assert!(CancellationNotices::new(0, 1).may_confirm(&"j-9".into(), &log, &policy, at(0)), "no peers");
}

/// Guards against a burst: one-task jobs, four a second, a quarter of them cancelled.  An
/// evicted id is as old as the newest evicted one, not as this incarnation; its user got
/// the confirmation at once, with no peer asked.
#[test]
fn an_evicted_cancellation_is_not_as_old_as_the_incarnation() {
    let policy = default_policy();
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut log = CancellationLog::new(1, 3);
    log.begin_watch(1, at(0));
    for n in 0..8u64 {
        log.record(10 + n, &format!("j-{n}"), at(1000 + n));
    }
    let mut notices = CancellationNotices::new(2, 100);
    for n in 0..8u64 {
        let id = format!("j-{n}").into();
        assert!(!notices.may_confirm(&id, &log, &policy, at(1008)), "{id} was learned seconds ago");
    }
    // j-4 is the last that was evicted, so no sooner than that for all of them
    let all = at(1004) + policy.cancel;
    assert!(!notices.may_confirm(&"j-0".into(), &log, &policy, all - Duration::from_millis(1)));
    assert!(
        notices.may_confirm(&"j-0".into(), &log, &policy, all)
            && notices.may_confirm(&"j-4".into(), &log, &policy, all)
    );
    assert!(!notices.may_confirm(&"j-7".into(), &log, &policy, all));
}

/// Guards against the same burst: a peer is notified first of those that it has not
/// acknowledged, so that all are sent however many there are and whatever their names.
#[test]
fn a_peer_is_notified_first_of_what_is_new_to_it() {
    let policy = default_policy();
    let now = Instant::now();
    let mut log = CancellationLog::new(1, 5000);
    log.begin_watch(1, now);
    let mut notices = CancellationNotices::new(2, 5000);
    let names: Vec<Name> = (0..3 * MAX_BATCH_LEN).map(|n| format!("j-{n:06}").into()).collect();
    for name in &names {
        log.record(9, name, now);
        assert!(!notices.may_confirm(name, &log, &policy, now));
    }
    // one of the peers is cut off: nothing is settled, and all stay pending
    for call in 0..3 {
        let notice = notices.for_peer(0, &log, &policy, now);
        assert!(notice.has_unacknowledged && notice.cancellations.len() == MAX_BATCH_LEN, "call {call}");
        notices.mark_acknowledged(0, &notice.cancellations);
    }
    let notice = notices.for_peer(0, &log, &policy, now);
    assert!(!notice.has_unacknowledged, "it was notified of all in as many calls as they fill");
}
