use super::*;
use crate::key;
use crate::model::{JobSpec, MachineType, Shape};
use crate::sim::{job_array, machine_type, SETTINGS};
use coralnotch_policy::config::{Config, Team};
use coralnotch_wire::state::Write;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// The state of one controller.
struct TestController {
    jobs: JobIndex,
    cancellations: CancellationLog,
    notices: CancellationNotices,
    policy: Policy,
    start: Instant,
    is_fresh: bool,
    notices_required: bool,
}

impl TestController {
    fn new() -> TestController {
        let policy =
            Policy::new(&Config::parse("test", SETTINGS).expect("valid settings")).expect("valid default policy");
        let start = Instant::now();
        let mut cancellations = CancellationLog::new(1, 100);
        cancellations.begin_watch(1, start);
        let (jobs, notices) = (JobIndex::new(8), CancellationNotices::new(2, 100));
        TestController { jobs, cancellations, notices, policy, start, is_fresh: true, notices_required: true }
    }

    fn next_action(&mut self, request: &mut UserRequest, after_s: u64) -> NextAction {
        let now = self.start + Duration::from_secs(after_s);
        request.next_action(&mut StateView {
            jobs: &mut self.jobs,
            cancellations: &self.cancellations,
            notices: &mut self.notices,
            cancellations_complete_as_of: self.is_fresh.then_some(now),
            notices_required: self.notices_required,
            has_no_task: false,
            policy: &self.policy,
            now,
        })
    }
}

fn is_retry_later(action: &NextAction) -> bool {
    matches!(action, NextAction::Reply(Reply::RetryLater(_)))
}

/// When the store responds slowly to an acceptance, another controller may have reported a later
/// state by then.  The controller therefore asks the store again, as for a query.
#[test]
fn a_slow_acceptance_is_confirmed_by_the_store() {
    let valid = Validation::Valid { depends_on_cancelled_job: false };
    let accepted = |slow: bool, ended: Option<JobOutcome>| {
        let (mut controller, mut request) =
            (TestController::new(), UserRequest::new("j-1".into(), RequestKind::Submit));
        assert_eq!(controller.next_action(&mut request, 1), NextAction::Validate);
        request.apply_validation(valid);
        assert_eq!(controller.next_action(&mut request, 1), NextAction::Store { depends_on_cancelled_job: false });
        controller.jobs.insert_stored(job_array("j-1", 1), 5);
        if let Some(outcome) = ended {
            controller.jobs.apply_outcome("j-1", outcome);
        }
        request.apply_store_result(StoreResult::New { slow }, &mut controller.jobs);
        controller.next_action(&mut request, 2)
    };
    assert_eq!(accepted(false, None), NextAction::Reply(Reply::Accepted));
    assert_eq!(accepted(true, None), NextAction::Confirm);
    assert_eq!(
        accepted(false, Some(JobOutcome::Done)),
        NextAction::Reply(Reply::Ended(JobOutcome::Done)),
        "the outcome that is known by now is reported"
    );
    assert_eq!(accepted(false, Some(JobOutcome::Cancelled)), NextAction::NotifyPeers);
}

/// A transaction may receive two submissions of one id, one of which was validated before the
/// outcome of a dependency was known here.  The job is stored once, as in the first submission,
/// and its cancellation is stored only if the first submission requires it.
#[test]
fn an_id_that_is_submitted_twice_is_stored_once() {
    let (first, second) = (job_array("j-1", 1), job_array("j-2", 1));
    let submission = |spec, depends_on_cancelled_job| Submission { spec, depends_on_cancelled_job };
    let written_keys = |submissions: &[Submission]| {
        let txn = submissions_txn(submissions.iter().copied());
        assert_eq!(txn.preconditions.len(), txn.writes.len(), "each written key has a precondition");
        let written_key = |write: &Write| match write {
            Write::Set { set, .. } => set.clone(),
            Write::Delete { delete } => panic!("the transaction deletes {delete}"),
        };
        txn.writes.iter().map(written_key).collect::<Vec<_>>()
    };
    let (job_key, outcome_key) = (|id| format!("{}{id}", key::JOB), |id| format!("{}{id}", key::OUTCOME));
    assert_eq!(
        written_keys(&[submission(&first, false), submission(&first, true), submission(&second, false)]),
        [job_key("j-1"), job_key("j-2")]
    );
    assert_eq!(
        written_keys(&[submission(&first, true), submission(&first, false)]),
        [job_key("j-1"), outcome_key("j-1")]
    );
}

/// A job that is cancelled by the transaction that stores it is reported as accepted first, even
/// if its outcome is already known here.
#[test]
fn a_job_that_is_stored_with_its_cancellation_is_accepted_first() {
    let (mut controller, mut request) = (TestController::new(), UserRequest::new("j-1".into(), RequestKind::Submit));
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Validate);
    request.apply_validation(Validation::Valid { depends_on_cancelled_job: true });
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Store { depends_on_cancelled_job: true });
    controller.jobs.insert_stored(job_array("j-1", 1), 5);
    controller.jobs.apply_outcome("j-1", JobOutcome::Cancelled);
    request.apply_store_result(StoreResult::New { slow: false }, &mut controller.jobs);
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Reply(Reply::Accepted));
}

/// A controller that knows neither a job nor its outcome asks the store before it replies.
#[test]
fn the_store_is_asked_before_replying_without_a_known_outcome() {
    for kind in [RequestKind::Query, RequestKind::Cancel] {
        let (mut controller, mut request) = (TestController::new(), UserRequest::new("j-1".into(), kind));
        assert_eq!(controller.next_action(&mut request, 1), NextAction::LookUp);
        let mut unanswered = request.clone();
        unanswered.apply_lookup(None);
        assert!(is_retry_later(&controller.next_action(&mut unanswered, 1)));
        let mut not_found = request.clone();
        not_found.apply_lookup(Some(LookupResult::NotFound));
        assert_eq!(controller.next_action(&mut not_found, 1), NextAction::Reply(Reply::NotFound));
        request.apply_lookup(Some(LookupResult::Ended(JobOutcome::Done)));
        assert_eq!(controller.next_action(&mut request, 1), NextAction::Reply(Reply::Ended(JobOutcome::Done)));
    }
    // a controller that knows the job as unfinished also asks the store
    let (mut controller, mut request) = (TestController::new(), UserRequest::new("j-1".into(), RequestKind::Query));
    controller.jobs.insert_seen(job_array("j-1", 1), 5);
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Confirm);
    let mut unanswered = request.clone();
    unanswered.apply_confirmation(Confirmation::Unavailable);
    assert!(is_retry_later(&controller.next_action(&mut unanswered, 1)));
    request.apply_confirmation(Confirmation::Unfinished);
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Reply(Reply::Unfinished));
    // a cancellation that races with the completion of the last task reports the stored outcome
    let mut request = UserRequest::new("j-1".into(), RequestKind::Cancel);
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Cancel);
    request.apply_cancellation(Some(JobOutcome::Done));
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Reply(Reply::Ended(JobOutcome::Done)));
}

/// A job that can never run is refused permanently only if it was never accepted.  A repeated
/// submission of an accepted job is answered with the job's state, even if the job would be
/// refused now.
#[test]
fn a_repeated_submission_of_an_accepted_job_is_not_refused() {
    let (mut controller, mut request) = (TestController::new(), UserRequest::new("j-1".into(), RequestKind::Submit));
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Validate);
    request.apply_validation(Validation::Unsatisfiable("unknown team"));
    assert_eq!(controller.next_action(&mut request, 1), NextAction::LookUp);
    let mut known = request.clone();
    request.apply_lookup(Some(LookupResult::NotFound));
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Reply(Reply::Unsatisfiable("unknown team")));
    known.apply_lookup(Some(LookupResult::Confirmed));
    assert_eq!(controller.next_action(&mut known, 1), NextAction::Reply(Reply::Unfinished));
}

/// A job with many dependencies that ended before this controller started is not reported as
/// unfinished until the outcomes of all of them have been read.
#[test]
fn a_job_is_unfinished_only_after_all_dependency_outcomes_were_read() {
    let mut controller = TestController::new();
    let dependencies: Vec<Name> = (100..300).map(|n| format!("j-{n}").into()).collect();
    controller.jobs.insert_seen(Arc::new(JobSpec { dependencies, ..(*job_array("j-1", 1)).clone() }), 5);
    let mut request = UserRequest::new("j-1".into(), RequestKind::Query);
    assert_eq!(controller.next_action(&mut request, 1), NextAction::Confirm);
    request.apply_confirmation(Confirmation::Unfinished);
    let mut reads = 0;
    let reply = loop {
        match controller.next_action(&mut request, 1) {
            NextAction::ReadOutcomes(ids) => {
                reads += 1;
                ids.iter().take(64).for_each(|id| assert!(!controller.jobs.apply_outcome(id, JobOutcome::Done)));
                request.apply_outcomes_read(true);
            }
            action => break action,
        }
    };
    assert_eq!((reads, reply), (4, NextAction::Reply(Reply::Unfinished)));
    controller.jobs.apply_outcome("j-150", JobOutcome::Cancelled);
    assert!(is_retry_later(&controller.next_action(&mut request, 1)));
    let mut request = UserRequest::new("j-1".into(), RequestKind::Query);
    controller.next_action(&mut request, 1);
    request.apply_confirmation(Confirmation::Unfinished);
    controller.is_fresh = false;
    assert!(
        is_retry_later(&controller.next_action(&mut request, 1)),
        "an outdated view must not lead to the reply that the job is unfinished"
    );
}

/// Returns the teams of the default settings and one team with limits.
fn teams() -> Vec<Team> {
    let text = format!(
        "{SETTINGS}\n[[deployment.teams]]\nname = \"x\"\ncpus = 0.0\ncpus_max = 12.0\ngpus = 0.0\ngpus_max = 4.0\n"
    );
    Config::parse("test", &text).expect("valid settings with an additional team").deployment.teams
}

/// Each job that can never run is refused for the expected reason, and no other job is refused.
#[test]
fn each_unsatisfiable_job_is_refused_for_its_reason() {
    let types = [
        MachineType { zones: vec!["a".into(), "b".into()], ..machine_type("s") },
        MachineType { zones: vec!["c".into()], cpus: 16.0, gpus: 2.0, ..machine_type("g") },
    ];
    let base = job_array("j-1", 2);
    let reason_with = |change: &dyn Fn(&mut JobSpec)| {
        let mut s = (*base).clone();
        change(&mut s);
        unsatisfiable_reason(&s, &teams(), &types)
    };
    type Change = fn(&mut JobSpec);
    let satisfiable: [Change; 8] = [
        |_| {},
        |s| s.zone = Some("a".into()),
        |s| (s.zone, s.gpus) = (Some("c".into()), 2.0),
        |s| (s.machine_types, s.zone) = (Some(vec!["g".into(), "none".into()]), Some("c".into())),
        |s| (s.tasks, s.cpus) = (5000, 12.0),
        |s| (s.spread_by_zone, s.shape) = (true, Shape::Service),
        // the tasks of an array may run one after another
        |s| (s.spread_by_zone, s.zone) = (true, Some("a".into())),
        |s| (s.spread_by_zone, s.shape, s.tasks, s.one_zone) = (true, Shape::Gang, 1, true),
    ];
    for (n, change) in satisfiable.iter().enumerate() {
        assert_eq!(reason_with(change), None, "{n}");
    }
    let unsatisfiable: [(Change, &str); 12] = [
        (|s| s.team = "z".into(), "team"),
        (|s| s.machine_types = Some(vec![]), "fits no"),
        (|s| s.machine_types = Some(vec!["none".into()]), "fits no"),
        (|s| s.memory_gb = 65.0, "fits no"),
        (|s| s.cpus = 17.0, "fits no"),
        (|s| s.zone = Some("nowhere".into()), "zone"),
        // the type and the zone exist, but the zone does not have the type
        (|s| (s.machine_types, s.zone) = (Some(vec!["g".into()]), Some("a".into())), "zone"),
        (|s| (s.gpus, s.zone) = (1.0, Some("b".into())), "zone"),
        (|s| s.cpus = 13.0, "limit"),
        (|s| (s.shape, s.tasks, s.cpus) = (Shape::Gang, 4, 4.0), "limit"),
        (|s| (s.shape, s.tasks, s.gpus) = (Shape::Service, 3, 2.0), "limit"),
        (|s| (s.shape, s.spread_by_zone, s.one_zone) = (Shape::Service, true, true), "spread"),
    ];
    for (n, (change, expected)) in unsatisfiable.iter().enumerate() {
        assert!(reason_with(change).is_some_and(|reason| reason.contains(expected)), "{n}: {:?}", reason_with(change));
    }
}

proptest! {
    /// A submission is malformed and is never accepted if a required field is missing or any
    /// field has a wrong type.  An optional field may be missing or null.
    #[test]
    fn a_submission_with_a_missing_required_field_or_a_wrong_type_is_malformed(
        field_index in 0usize..40,
        mutation in 0usize..3
    ) {
        let optional = ["hulls", "bay", "dueS", "awaits"];
        let encoded = rmpv::decode::read_value(&mut &coralnotch_wire::http::encode(&*job_array("j-1", 1))[..])
            .expect("an encoded job spec");
        let rmpv::Value::Map(mut fields) = encoded else { panic!("the encoded job spec is not a map") };
        let field_index = field_index % fields.len();
        let name = fields[field_index].0.as_str().expect("a field name that is a string").to_owned();
        match mutation {
            0 => drop(fields.remove(field_index)),
            1 => fields[field_index].1 = rmpv::Value::Nil,
            _ => fields[field_index].1 = rmpv::Value::Map(vec![]),
        }
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &rmpv::Value::Map(fields)).expect("encoding to memory");
        let decoded = coralnotch_wire::http::decode::<JobSpec>(&bytes);
        prop_assert_eq!(decoded.is_ok(), mutation < 2 && optional.contains(&name.as_str()), "{}", name);
    }
}
