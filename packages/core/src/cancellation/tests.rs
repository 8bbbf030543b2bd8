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

/// The last lease that a controller renews expires within `cancel`, even if the clocks drift as
/// far as the policy allows.
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
        assert!(last_expiry < cancel || window.is_zero(), "cancel {cancel} s, lease {lease} s");
        // the window is shorter than necessary only by the clock drift and the renewal interval
        assert!(
            last_expiry > cancel - policy.renew.as_secs_f64() * 2.0 || window.is_zero(),
            "cancel {cancel} s, lease {lease} s"
        );
        assert!(leadership_window(&policy) >= policy.ttl * 3);
    }
}

/// A controller of the simulated cluster.
struct Controller {
    log: CancellationLog,
    /// The cancelled jobs that the controller has seen, including those not in the log.
    known: HashSet<Name>,
    /// Revision up to which the watch has read; `None` before the first read.
    watch_revision: Option<u64>,
    view: CancellationView,
}

#[derive(Debug, Clone)]
enum Step {
    /// From now on the store serves a controller, or refuses its requests.
    SetServed(usize, bool),
    /// A user cancels a job through a controller.
    Cancel(usize),
    /// A cancellation is stored, but its response is lost.
    CancelUnanswered,
    /// A controller reads the last stored outcome for a user.
    ReadOutcome(usize),
    /// A controller's watch responds.
    Watch(usize),
    /// The first controller requests a batch from the second.
    RequestBatch(usize, usize),
    /// A controller restarts.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let controller = 0usize..3;
    prop_oneof![
        2 => (controller.clone(), any::<bool>()).prop_map(|(i, served)| Step::SetServed(i, served)),
        4 => controller.clone().prop_map(Step::Cancel),
        1 => Just(Step::CancelUnanswered),
        2 => controller.clone().prop_map(Step::ReadOutcome),
        4 => controller.clone().prop_map(Step::Watch),
        8 => (controller.clone(), controller.clone()).prop_map(|(requester, sender)| Step::RequestBatch(requester, sender)),
        1 => controller.prop_map(Step::Restart),
    ]
}

/// A rule that is left out on purpose, to check that the test detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Omitted {
    Nothing,
    /// A batch counts even if cancellations from before the sender's watch may be missing from it.
    GapCheck,
    /// Batches from some of the peers suffice.
    EveryPeer,
    /// Outcomes that a controller read or stored itself are not added to its log.
    OwnOutcomes,
    /// A batch counts as of its response, not as of its request.
    RequestTime,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Three controllers and a store.
struct SimulatedCluster {
    omitted: Omitted,
    capacity: usize,
    start: Instant,
    last_incarnation: u64,
    controllers: Vec<Controller>,
    served: [bool; 3],
    /// The stored cancellations in the order of their revisions, which begin at 1.
    stored: Vec<Name>,
    /// When each cancellation was first confirmed to a user.
    confirmed: HashMap<Name, Instant>,
}

impl SimulatedCluster {
    fn new(capacity: usize, omitted: Omitted) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            omitted,
            capacity,
            start: Instant::now(),
            last_incarnation: 0,
            controllers: Vec::new(),
            served: [true; 3],
            stored: Vec::new(),
            confirmed: HashMap::new(),
        };
        cluster.controllers = (0..3).map(|_| cluster.start_controller()).collect();
        cluster
    }

    fn start_controller(&mut self) -> Controller {
        self.last_incarnation += 1;
        let mut log = CancellationLog::new(self.last_incarnation, self.capacity);
        if self.omitted == Omitted::GapCheck {
            log.begin_watch(0, self.start);
        }
        Controller { log, known: HashSet::new(), watch_revision: None, view: CancellationView::default() }
    }

    fn apply(&mut self, number: usize, step: &Step, now: Instant) {
        match *step {
            Step::SetServed(i, served) => self.served[i] = served,
            Step::CancelUnanswered => self.stored.push(format!("j-{number}").into()),
            Step::Cancel(i) if self.served[i] => {
                self.stored.push(format!("j-{number}").into());
                self.confirm_last_stored(i, now);
            }
            Step::ReadOutcome(i) if self.served[i] && !self.stored.is_empty() => self.confirm_last_stored(i, now),
            Step::Watch(i) if self.served[i] => self.watch(i, now),
            Step::RequestBatch(requester, sender) if requester != sender => self.request_batch(requester, sender, now),
            Step::Restart(i) => self.controllers[i] = self.start_controller(),
            _ => {}
        }
    }

    fn confirm_last_stored(&mut self, i: usize, now: Instant) {
        let id = self.stored.last().expect("a stored cancellation").clone();
        self.confirmed.entry(id.clone()).or_insert(now);
        if self.omitted != Omitted::OwnOutcomes {
            self.controllers[i].log.record(self.stored.len() as u64, &id, now);
        }
        self.controllers[i].known.insert(id);
    }

    fn watch(&mut self, i: usize, now: Instant) {
        let controller = &mut self.controllers[i];
        let read = match controller.watch_revision {
            Some(revision) => revision as usize,
            None => {
                // the first read returns all cancellations so far, but the log gets none of them
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
        controller.view.record_watch_response(now);
    }

    fn request_batch(&mut self, requester: usize, sender: usize, now: Instant) {
        let Some(revision) = self.controllers[requester].watch_revision else { return };
        let cursor = self.controllers[requester].view.next_cursor(NAMES[sender]);
        let Some(batch) = self.controllers[sender].log.batch_since(revision, cursor) else { return };
        let controller = &mut self.controllers[requester];
        for cancellation in &batch.cancellations {
            controller.log.record(cancellation.revision, &cancellation.id, now);
            controller.known.insert(cancellation.id.clone());
        }
        let delay = Duration::from_secs(2 * u64::from(self.omitted == Omitted::RequestTime));
        controller.view.record_peer_response(NAMES[sender], now + delay, &batch);
    }

    /// Reports whether a cancellation is missing from a view that is complete as of a time after
    /// its confirmation.
    fn misses_a_confirmed_cancellation(&self) -> bool {
        self.controllers.iter().enumerate().any(|(i, controller)| {
            let others = NAMES.iter().enumerate().filter(|(n, _)| *n != i).map(|(_, name)| *name);
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

/// Runs the steps at intervals of one second.  Reports whether a view misses a confirmed
/// cancellation after any of them.
fn misses_any_cancellation(steps: &[Step], capacity: usize, omitted: Omitted) -> bool {
    let mut cluster = SimulatedCluster::new(capacity, omitted);
    steps.iter().enumerate().any(|(number, step)| {
        let now = cluster.start + Duration::from_secs(number as u64 + 1);
        cluster.apply(number, step, now);
        cluster.misses_a_confirmed_cancellation()
    })
}

proptest! {
    /// A view contains every cancellation that was confirmed to a user before the time as of
    /// which it is complete, despite refused requests, restarts, lost responses and logs that
    /// exceed their capacity.
    #[test]
    fn a_complete_view_misses_no_confirmed_cancellation(steps in prop::collection::vec(step(), 1..90), capacity in 1usize..9) {
        prop_assert!(!misses_any_cancellation(&steps, capacity, Omitted::Nothing));
    }
}

/// Leaving out any rule of completeness makes a view miss a confirmed cancellation.
#[test]
fn omitting_any_rule_of_completeness_is_detected() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    for omitted in [Omitted::GapCheck, Omitted::EveryPeer, Omitted::OwnOutcomes, Omitted::RequestTime] {
        let mut runner = TestRunner::deterministic();
        let runs = prop::collection::vec(step(), 60..90);
        let noticed = (0..2000).any(|_| {
            let steps = runs.new_tree(&mut runner).expect("steps").current();
            misses_any_cancellation(&steps, 4, omitted)
        });
        assert!(noticed, "no run detects that {omitted:?} is omitted");
    }
}

/// A log that exceeds one message is sent in several batches, and the view is complete only
/// with the last of them.
#[test]
fn a_long_log_completes_a_view_only_with_its_last_batch() {
    let start = Instant::now();
    let mut log = CancellationLog::new(7, 10_000);
    log.begin_watch(10, start);
    for n in 0..1300u64 {
        log.record(11 + n, &format!("j-{n}"), start);
    }
    assert!(log.batch_since(9, BatchCursor::default()).is_none(), "cancellations after revision 9 may be missing");
    let mut view = CancellationView::default();
    let mut received = 0;
    for part in 0..3 {
        let batch = log.batch_since(10, view.next_cursor("b")).expect("the log is complete after revision 10");
        received += batch.cancellations.len();
        view.record_peer_response("b", start, &batch);
        assert_eq!(view.complete_as_of(["b"]).is_some(), part == 2);
    }
    assert_eq!(received, 1300);
    assert!(view.complete_as_of(["b", "c"]).is_none(), "peer c has not responded");
    let no_peers: [&str; 0] = [];
    assert!(CancellationView::default().complete_as_of(no_peers).is_none(), "without peers only the watch counts");
}

/// A cancellation is confirmed once all peers have acknowledged it, once the leader finds no task
/// of the job, or once every controller that does not know it has stopped renewing leases.  It
/// is never confirmed earlier.
#[test]
fn a_cancellation_is_confirmed_once_no_uninformed_controller_can_renew() {
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
    let notice = notices.pending_for_peer(0, &log, &policy, at(100));
    assert!(notice.has_unacknowledged && notice.cancellations.len() == 3 && notice.cancellations[0].revision == 9);
    notices.mark_acknowledged(0, &notice.cancellations);
    assert!(!notices.pending_for_peer(0, &log, &policy, at(101)).has_unacknowledged, "peer 0 has acknowledged all");
    assert!(!notices.may_confirm(&names[0], &log, &policy, at(101)), "only one of two peers has acknowledged it");
    notices.mark_acknowledged(1, &notice.cancellations[..1]);
    assert!(notices.may_confirm(&names[0], &log, &policy, at(101)));
    notices.settle(&names[1]);
    assert!(notices.may_confirm(&names[1], &log, &policy, at(101)));
    let cancel_deadline = at(100) + policy.cancel;
    assert!(!notices.may_confirm(&names[2], &log, &policy, cancel_deadline - Duration::from_millis(1)));
    assert!(notices.may_confirm(&names[2], &log, &policy, cancel_deadline));
    // a controller that does not know the cancellation stops renewing early enough
    let last_renewal = at(100) + renewal_window(&policy, true);
    assert!(last_renewal + policy.lease <= cancel_deadline + policy.cancel);
    // a cancellation from before this incarnation is at least as old as its first watch
    assert!(!notices.may_confirm(&"j-0".into(), &log, &policy, at(59)));
    assert!(notices.may_confirm(&"j-0".into(), &log, &policy, at(60)));
    assert!(CancellationNotices::new(0, 1).may_confirm(&"j-9".into(), &log, &policy, at(0)), "no peers");
}

/// Guards against confirming an evicted cancellation too early.  In a burst of cancellations
/// (four one-task jobs a second, a quarter of them cancelled) recent entries are evicted.  When
/// an evicted cancellation counted as old as the incarnation, it was confirmed to its user at
/// once, without asking any peer.  It must count as only as old as the newest evicted entry.
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
        assert!(!notices.may_confirm(&id, &log, &policy, at(1008)), "the cancellation of {id} was learned seconds ago");
    }
    // j-4 was evicted last, so no evicted cancellation may be confirmed earlier than j-4
    let evicted_confirmable_at = at(1004) + policy.cancel;
    assert!(!notices.may_confirm(&"j-0".into(), &log, &policy, evicted_confirmable_at - Duration::from_millis(1)));
    assert!(
        notices.may_confirm(&"j-0".into(), &log, &policy, evicted_confirmable_at)
            && notices.may_confirm(&"j-4".into(), &log, &policy, evicted_confirmable_at)
    );
    assert!(!notices.may_confirm(&"j-7".into(), &log, &policy, evicted_confirmable_at));
}

/// Guards against cancellations that are never sent to a peer.  In a burst, more cancellations
/// are pending than one message holds.  The unacknowledged ones are sent first, so that all are
/// sent, however many there are and whatever their ids.
#[test]
fn a_peer_receives_unacknowledged_cancellations_first() {
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
    // peer 1 is unreachable and acknowledges nothing, so all stay pending
    for call in 0..3 {
        let notice = notices.pending_for_peer(0, &log, &policy, now);
        assert!(notice.has_unacknowledged && notice.cancellations.len() == MAX_BATCH_LEN, "call {call}");
        notices.mark_acknowledged(0, &notice.cancellations);
    }
    let notice = notices.pending_for_peer(0, &log, &policy, now);
    assert!(!notice.has_unacknowledged, "all cancellations were sent in the minimum number of calls");
}
