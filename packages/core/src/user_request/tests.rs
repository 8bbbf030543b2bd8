use super::*;
use crate::key;
use crate::sim::{machine_type, spec, SETTINGS};
use coralnotch_policy::config::{Config, Team};
use coralnotch_wire::state::Write;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// What one controller knows.
struct Known {
    ledger: JobIndex,
    withdrawals: CancellationLog,
    telling: CancellationNotices,
    policy: Policy,
    t0: Instant,
    young: bool,
    all_tell: bool,
}

impl Known {
    fn new() -> Known {
        let policy = Policy::new(&Config::parse("test", SETTINGS).expect("settings")).expect("the default policy");
        let t0 = Instant::now();
        let mut withdrawals = CancellationLog::new(1, 100);
        withdrawals.begin_watch(1, t0);
        let (ledger, telling) = (JobIndex::new(8), CancellationNotices::new(2, 100));
        Known { ledger, withdrawals, telling, policy, t0, young: true, all_tell: true }
    }

    fn next(&mut self, q: &mut UserRequest, after_s: u64) -> NextAction {
        let now = self.t0 + Duration::from_secs(after_s);
        q.next_action(&mut StateView {
            jobs: &mut self.ledger,
            cancellations: &self.withdrawals,
            notices: &mut self.telling,
            cancellations_complete_as_of: self.young.then_some(now),
            notices_required: self.all_tell,
            no_task_left: false,
            policy: &self.policy,
            now,
        })
    }
}

fn later(s: &NextAction) -> bool {
    matches!(s, NextAction::Reply(Reply::RetryLater(_)))
}

/// Guards against an acceptance whose answer from the store is slow: another controller
/// may have told more by then, so that it is asked for, like any question.
#[test]
fn a_slow_acceptance_is_confirmed() {
    let fine = Validation::Valid { needs_cancelled_job: false };
    let accepted = |slow: bool, ended: Option<JobOutcome>| {
        let (mut k, mut q) = (Known::new(), UserRequest::new("j-1".into(), RequestKind::Submit));
        assert_eq!(k.next(&mut q, 1), NextAction::Validate);
        q.apply_validation(fine);
        assert_eq!(k.next(&mut q, 1), NextAction::Store { needs_cancelled_job: false });
        k.ledger.insert_stored(spec("j-1", 1), 5);
        if let Some(outcome) = ended {
            k.ledger.apply_outcome("j-1", outcome);
        }
        q.apply_store_result(StoreResult::New { slow }, &mut k.ledger);
        k.next(&mut q, 2)
    };
    assert_eq!(accepted(false, None), NextAction::Reply(Reply::Accepted));
    assert_eq!(accepted(true, None), NextAction::Confirm);
    assert_eq!(
        accepted(false, Some(JobOutcome::Done)),
        NextAction::Reply(Reply::Ended(JobOutcome::Done)),
        "an end is known by now"
    );
    assert_eq!(accepted(false, Some(JobOutcome::Cancelled)), NextAction::NotifyPeers);
}

/// Two requests for one id in one transaction, one of which came before the end of what
/// the job needs was known here: stored once, as the first has it, and no end is believed
/// that is not stored.
#[test]
fn an_id_that_comes_twice_is_stored_once() {
    let (one, other) = (spec("j-1", 1), spec("j-2", 1));
    let sets = |all: &[(&JobSpec, bool)]| {
        let txn = submissions_txn(all.iter().copied());
        assert_eq!(txn.preconditions.len(), txn.writes.len(), "each key is guarded");
        let set = |w: &Write| match w {
            Write::Set { set, .. } => set.clone(),
            Write::Delete { delete } => panic!("{delete} is removed"),
        };
        txn.writes.iter().map(set).collect::<Vec<_>>()
    };
    let (job, end) = (|id| format!("{}{id}", key::JOB), |id| format!("{}{id}", key::OUTCOME));
    assert_eq!(sets(&[(&one, false), (&one, true), (&other, false)]), [job("j-1"), job("j-2")]);
    assert_eq!(sets(&[(&one, true), (&one, false)]), [job("j-1"), end("j-1")]);
}

/// A job that ends by the transaction that stores it is accepted first, whatever is known
/// of its end by then.
#[test]
fn a_doomed_job_is_accepted_first() {
    let (mut k, mut q) = (Known::new(), UserRequest::new("j-1".into(), RequestKind::Submit));
    assert_eq!(k.next(&mut q, 1), NextAction::Validate);
    q.apply_validation(Validation::Valid { needs_cancelled_job: true });
    assert_eq!(k.next(&mut q, 1), NextAction::Store { needs_cancelled_job: true });
    k.ledger.insert_stored(spec("j-1", 1), 5);
    k.ledger.apply_outcome("j-1", JobOutcome::Cancelled);
    q.apply_store_result(StoreResult::New { slow: false }, &mut k.ledger);
    assert_eq!(k.next(&mut q, 1), NextAction::Reply(Reply::Accepted));
}

/// A node that has not seen a job or its end yet asks; it says nothing of its own.
#[test]
fn what_is_not_known_here_the_store_says() {
    for wish in [RequestKind::Query, RequestKind::Cancel] {
        let (mut k, mut q) = (Known::new(), UserRequest::new("j-1".into(), wish));
        assert_eq!(k.next(&mut q, 1), NextAction::LookUp);
        let mut silent = q.clone();
        silent.apply_lookup(None);
        assert!(later(&k.next(&mut silent, 1)));
        let mut never = q.clone();
        never.apply_lookup(Some(LookupResult::NotFound));
        assert_eq!(k.next(&mut never, 1), NextAction::Reply(Reply::NotFound));
        q.apply_lookup(Some(LookupResult::Ended(JobOutcome::Done)));
        assert_eq!(k.next(&mut q, 1), NextAction::Reply(Reply::Ended(JobOutcome::Done)));
    }
    // nor does one that knows it as unfinished
    let (mut k, mut q) = (Known::new(), UserRequest::new("j-1".into(), RequestKind::Query));
    k.ledger.insert_seen(spec("j-1", 1), 5);
    assert_eq!(k.next(&mut q, 1), NextAction::Confirm);
    let mut silent = q.clone();
    silent.apply_confirmation(None);
    assert!(later(&k.next(&mut silent, 1)));
    q.apply_confirmation(Some(None));
    assert_eq!(k.next(&mut q, 1), NextAction::Reply(Reply::Unfinished));
    // a cancellation that meets the end of the last task says what the store says
    let mut q = UserRequest::new("j-1".into(), RequestKind::Cancel);
    assert_eq!(k.next(&mut q, 1), NextAction::Cancel);
    q.apply_cancellation(Some(JobOutcome::Done));
    assert_eq!(k.next(&mut q, 1), NextAction::Reply(Reply::Ended(JobOutcome::Done)));
}

/// What can never run is refused for good only if it was never accepted; a repeat of an
/// accepted job is answered with its state whatever would be said against it now.
#[test]
fn nothing_is_said_against_an_accepted_job() {
    let (mut k, mut q) = (Known::new(), UserRequest::new("j-1".into(), RequestKind::Submit));
    assert_eq!(k.next(&mut q, 1), NextAction::Validate);
    q.apply_validation(Validation::Unsatisfiable("unknown team"));
    assert_eq!(k.next(&mut q, 1), NextAction::LookUp);
    let mut known = q.clone();
    q.apply_lookup(Some(LookupResult::NotFound));
    assert_eq!(k.next(&mut q, 1), NextAction::Reply(Reply::Unsatisfiable("unknown team")));
    known.apply_lookup(Some(LookupResult::Confirmed));
    assert_eq!(k.next(&mut known, 1), NextAction::Reply(Reply::Unfinished));
}

/// A job with many needs from before this controller's life is not called queued before
/// all of them were read: a part of them is not enough.
#[test]
fn all_that_a_job_needs_is_read_first() {
    let mut k = Known::new();
    let needs: Vec<Name> = (100..300).map(|n| format!("j-{n}").into()).collect();
    k.ledger.insert_seen(Arc::new(JobSpec { needs, ..(*spec("j-1", 1)).clone() }), 5);
    let mut q = UserRequest::new("j-1".into(), RequestKind::Query);
    assert_eq!(k.next(&mut q, 1), NextAction::Confirm);
    q.apply_confirmation(Some(None));
    let mut reads = 0;
    let answer = loop {
        match k.next(&mut q, 1) {
            NextAction::ReadOutcomes(ids) => {
                reads += 1;
                ids.iter().take(64).for_each(|id| assert!(!k.ledger.apply_outcome(id, JobOutcome::Done)));
                q.apply_outcomes_read(true);
            }
            step => break step,
        }
    };
    assert_eq!((reads, answer), (4, NextAction::Reply(Reply::Unfinished)));
    k.ledger.apply_outcome("j-150", JobOutcome::Cancelled);
    assert!(later(&k.next(&mut q, 1)));
    let mut q = UserRequest::new("j-1".into(), RequestKind::Query);
    k.next(&mut q, 1);
    q.apply_confirmation(Some(None));
    k.young = false;
    assert!(later(&k.next(&mut q, 1)), "nor on an old picture");
}

fn teams() -> Vec<Team> {
    let text = format!(
        "{SETTINGS}\n[[deployment.teams]]\nname = \"x\"\ncpus = 0.0\ncpus_max = 12.0\ngpus = 0.0\ngpus_max = 4.0\n"
    );
    Config::parse("test", &text).expect("settings with a team").deployment.teams
}

/// A submission that can never run is refused, each for its own reason; one that can is not.
#[test]
fn what_can_never_run_is_told_apart() {
    let types = [
        MachineType { zones: vec!["a".into(), "b".into()], ..machine_type("s") },
        MachineType { zones: vec!["c".into()], cpus: 16.0, gpus: 2.0, ..machine_type("g") },
    ];
    let plain = spec("j-1", 2);
    let with = |change: &dyn Fn(&mut JobSpec)| {
        let mut s = (*plain).clone();
        change(&mut s);
        unsatisfiable_reason(&s, &teams(), &types)
    };
    type Change = fn(&mut JobSpec);
    let fine: [Change; 8] = [
        |_| {},
        |s| s.zone = Some("a".into()),
        |s| (s.zone, s.gpus) = (Some("c".into()), 2.0),
        |s| (s.types, s.zone) = (Some(vec!["g".into(), "none".into()]), Some("c".into())),
        |s| (s.tasks, s.cpus) = (5000, 12.0),
        |s| (s.spread, s.shape) = (true, Shape::Service),
        // an array's tasks may run one after another
        |s| (s.spread, s.zone) = (true, Some("a".into())),
        |s| (s.spread, s.shape, s.tasks, s.one_zone) = (true, Shape::Gang, 1, true),
    ];
    for (n, change) in fine.iter().enumerate() {
        assert_eq!(with(change), None, "{n}");
    }
    let never: [(Change, &str); 12] = [
        (|s| s.team = "z".into(), "team"),
        (|s| s.types = Some(vec![]), "fits no"),
        (|s| s.types = Some(vec!["none".into()]), "fits no"),
        (|s| s.memory = 65.0, "fits no"),
        (|s| s.cpus = 17.0, "fits no"),
        (|s| s.zone = Some("nowhere".into()), "zone"),
        // a type that there is, in a zone that there is, and not there
        (|s| (s.types, s.zone) = (Some(vec!["g".into()]), Some("a".into())), "zone"),
        (|s| (s.gpus, s.zone) = (1.0, Some("b".into())), "zone"),
        (|s| s.cpus = 13.0, "limit"),
        (|s| (s.shape, s.tasks, s.cpus) = (Shape::Gang, 4, 4.0), "limit"),
        (|s| (s.shape, s.tasks, s.gpus) = (Shape::Service, 3, 2.0), "limit"),
        (|s| (s.shape, s.spread, s.one_zone) = (Shape::Service, true, true), "spread"),
    ];
    for (n, (change, part)) in never.iter().enumerate() {
        assert!(with(change).is_some_and(|why| why.contains(part)), "{n}: {:?}", with(change));
    }
}

proptest! {
    /// A submission that lacks a field, or has one of a wrong kind, is malformed: never
    /// accepted, whichever field it is.
    #[test]
    fn no_field_may_lack(at in 0usize..40, kind in 0usize..3) {
        let optional = ["hulls", "bay", "dueS", "awaits"];
        let full = rmpv::decode::read_value(&mut &coralnotch_wire::http::encode(&*spec("j-1", 1))[..]).expect("a map");
        let rmpv::Value::Map(mut fields) = full else { panic!("a map") };
        let at = at % fields.len();
        let name = fields[at].0.as_str().expect("a name").to_owned();
        match kind {
            0 => drop(fields.remove(at)),
            1 => fields[at].1 = rmpv::Value::Nil,
            _ => fields[at].1 = rmpv::Value::Map(vec![]),
        }
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &rmpv::Value::Map(fields)).expect("to memory");
        let read = coralnotch_wire::http::decode::<JobSpec>(&bytes);
        prop_assert_eq!(read.is_ok(), kind < 2 && optional.contains(&name.as_str()), "{}", name);
    }
}
