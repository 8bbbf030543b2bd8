use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;
use coralnotch_wire::example::spec;

/// What the watch brings just before a leader takes over is in its
/// picture, and what it brings just after reaches it.
#[test]
fn no_withdrawal_falls_between_reading_and_leading() {
    let now = Instant::now();
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let node = Controller::new(config, policy, now);
    for id in ["j-000001", "j-000002", "j-000003"] {
        node.apply_watched_job(spec(id, 1), 1, now);
    }
    node.apply_stored_outcome("j-000001", JobOutcome::Cancelled, 2, now);
    let a = LeaderLease { term: 2, revision: 1, lease_id: 1, valid_until: now };
    assert!(node.try_take_over(a, StoredCluster::default(), now).is_ok());
    node.apply_stored_outcome("j-000002", JobOutcome::Cancelled, 3, now);
    node.apply_watched_job(spec("j-000004", 1), 2, now);
    let i = node.lock();
    let c = i.cluster.as_ref().expect("it leads");
    let open: std::collections::BTreeSet<&str> =
        c.jobs.values().filter(|j| j.outcome.is_none()).map(|j| &*j.spec.id).collect();
    assert_eq!(open.into_iter().collect::<Vec<_>>(), ["j-000003", "j-000004"]);
}

/// A start on record of a job that is over and not in memory any more: the
/// new leader asks for the job, and then counts and stops what may run.
#[test]
fn what_is_over_and_on_record_is_read_and_stopped() {
    let now = Instant::now();
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let node = Controller::new(config, policy, now);
    node.apply_watched_job(spec("j-000001", 1), 1, now);
    let start = |job: &str| crate::cluster::StartRecord {
        machine: "i-1".into(),
        task: Task { job: job.into(), index: 0 },
        attempt: 7,
        incarnation: 1,
    };
    let page =
        PlacementShard { revision: 3, starts: vec![start("j-000001"), start("j-000002")], completed: Vec::new() };
    let places = HashMap::from([("i-1".into(), ("t".into(), "z0".into(), false))]);
    let stored = StoredCluster { shards: vec![(0, page, places)], ..StoredCluster::default() };
    let a = LeaderLease { term: 2, revision: 1, lease_id: 1, valid_until: now };
    let Err((mut stored, missing)) = node.try_take_over(a, stored, now) else { panic!("it leads without knowing") };
    assert_eq!(missing, ["j-000002".into()]);
    assert!(node.lock().cluster.is_none(), "no half of a picture");
    let open = OpenJob { spec: spec("j-000002", 1), revision: 2 };
    assert!(stored.read("j-000002".into(), Ok(Some((open, Some(JobOutcome::Cancelled))))).is_ok());
    assert!(node.try_take_over(a, stored, now).is_ok());
    let i = node.lock();
    let tasks = &i.cluster.as_ref().expect("it leads").machines["i-1"].tasks;
    let halted: Vec<_> = tasks.iter().map(|(t, p)| (&*t.job, p.stop_grace_s.is_some())).collect();
    assert_eq!(halted, [("j-000001", false), ("j-000002", true)]);
}

/// A page may name a job whose record is gone or can't be read: a leader
/// that insists on it never leads, and its successor neither.
#[test]
fn a_page_with_a_job_that_cannot_be_read_keeps_nobody_from_leading() {
    let now = Instant::now();
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let node = Controller::new(config, policy, now);
    node.apply_watched_job(spec("j-000001", 1), 1, now);
    let starts = ["j-000001", "j-000002", "j-000003"].map(|job| crate::cluster::StartRecord {
        machine: "i-1".into(),
        task: Task { job: job.into(), index: 0 },
        attempt: 7,
        incarnation: 1,
    });
    let page = PlacementShard { revision: 3, starts: starts.into(), completed: Vec::new() };
    let places = HashMap::from([("i-1".into(), ("t".into(), "z0".into(), false))]);
    let stored = StoredCluster { shards: vec![(0, page, places)], ..StoredCluster::default() };
    let a = LeaderLease { term: 2, revision: 1, lease_id: 1, valid_until: now };
    let Err((mut stored, missing)) = node.try_take_over(a, stored, now) else { panic!("it leads without asking") };
    assert_eq!(missing.len(), 2);
    // no answer at all says nothing about the record
    assert!(stored.read("j-000002".into(), Err(StoreError::Refused(503))).is_err());
    assert!(stored.read("j-000002".into(), Err(StoreError::Unreadable)).is_ok());
    assert!(stored.read("j-000003".into(), Ok(None)).is_ok());
    assert!(node.try_take_over(a, stored, now).is_ok());
    let i = node.lock();
    let tasks = &i.cluster.as_ref().expect("it leads").machines["i-1"].tasks;
    assert_eq!(tasks.keys().map(|t| &*t.job).collect::<Vec<_>>(), ["j-000001"]);
}
