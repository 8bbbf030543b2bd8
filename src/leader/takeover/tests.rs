use super::*;
use crate::cluster::{MachineLocation, PlacementShard, StartRecord};
use crate::commit::StoredShard;
use crate::config::Config;
use crate::job_index::OpenJob;
use crate::policy::Policy;
use crate::state_store::client::StoreError;
use crate::users::lookup::JobRecord;
use coralnotch_policy::example::SETTINGS;
use coralnotch_wire::example::spec;
use std::collections::HashMap;

fn controller(now: Instant) -> Controller {
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    Controller::new(config, policy, now)
}

fn lease(now: Instant) -> LeaderLease {
    LeaderLease { term: 2, revision: 1, lease_id: 1, valid_until: now }
}

fn start(job: &str) -> StartRecord {
    StartRecord { machine: "i-1".into(), task: Task { job: job.into(), index: 0 }, attempt: 7, incarnation: 1 }
}

/// What a new leader reads if one shard has starts of these jobs.
fn stored_starts(jobs: &[&str]) -> StoredCluster {
    let starts = jobs.iter().map(|job| start(job)).collect();
    let shard = PlacementShard { revision: 3, starts, completed: Vec::new() };
    let location = MachineLocation { kind: "t".into(), zone: "z0".into(), spot: false };
    let locations = HashMap::from([("i-1".into(), location)]);
    StoredCluster { shards: vec![StoredShard { id: 0, shard, locations }], ..StoredCluster::default() }
}

/// What the watch shows just before a leader takes over is in its state, and what it shows just
/// after is applied to it.
#[test]
fn no_cancellation_falls_between_reading_and_leading() {
    let now = Instant::now();
    let controller = controller(now);
    for id in ["j-000001", "j-000002", "j-000003"] {
        controller.apply_watched_job(spec(id, 1), 1, now);
    }
    controller.apply_stored_outcome("j-000001", JobOutcome::Cancelled, 2, now);
    assert!(controller.try_take_over(lease(now), StoredCluster::default(), now).is_ok());
    controller.apply_stored_outcome("j-000002", JobOutcome::Cancelled, 3, now);
    controller.apply_watched_job(spec("j-000004", 1), 2, now);
    let state = controller.lock();
    let cluster = state.cluster.as_ref().expect("it leads");
    let open: BTreeSet<&str> =
        cluster.jobs.values().filter(|job| job.outcome.is_none()).map(|job| &*job.spec.id).collect();
    assert_eq!(open.into_iter().collect::<Vec<_>>(), ["j-000003", "j-000004"]);
}

/// A stored start of a job that has ended and is no longer in memory: the new leader reads the
/// job, and then counts and stops what may still run.
#[test]
fn ended_jobs_with_stored_starts_are_read_and_stopped() {
    let now = Instant::now();
    let controller = controller(now);
    controller.apply_watched_job(spec("j-000001", 1), 1, now);
    let stored = stored_starts(&["j-000001", "j-000002"]);
    let Err(missing) = controller.try_take_over(lease(now), stored, now) else { panic!("it leads without knowing") };
    let MissingJobs { mut stored, ids } = missing;
    assert_eq!(ids, ["j-000002".into()]);
    assert!(controller.lock().cluster.is_none(), "no incomplete state");
    let job = OpenJob { spec: spec("j-000002", 1), revision: 2 };
    assert!(stored
        .add_job("j-000002".into(), Ok(Some(JobRecord { job, outcome: Some(JobOutcome::Cancelled) })))
        .is_ok());
    assert!(controller.try_take_over(lease(now), stored, now).is_ok());
    let state = controller.lock();
    let tasks = &state.cluster.as_ref().expect("it leads").machines["i-1"].tasks;
    let stopped: Vec<_> = tasks.iter().map(|(task, run)| (&*task.job, run.stop_grace_s.is_some())).collect();
    assert_eq!(stopped, [("j-000001", false), ("j-000002", true)]);
}

/// A shard may name a job whose record is gone or cannot be read: a leader that insisted on it
/// would never lead, and neither would its successor.
#[test]
fn a_shard_with_an_unreadable_job_does_not_prevent_a_takeover() {
    let now = Instant::now();
    let controller = controller(now);
    controller.apply_watched_job(spec("j-000001", 1), 1, now);
    let stored = stored_starts(&["j-000001", "j-000002", "j-000003"]);
    let Err(missing) = controller.try_take_over(lease(now), stored, now) else { panic!("it leads without asking") };
    let MissingJobs { mut stored, ids } = missing;
    assert_eq!(ids.len(), 2);
    // no answer at all says nothing about the record
    assert!(stored.add_job("j-000002".into(), Err(StoreError::Refused(503))).is_err());
    assert!(stored.add_job("j-000002".into(), Err(StoreError::Unreadable)).is_ok());
    assert!(stored.add_job("j-000003".into(), Ok(None)).is_ok());
    assert!(controller.try_take_over(lease(now), stored, now).is_ok());
    let state = controller.lock();
    let tasks = &state.cluster.as_ref().expect("it leads").machines["i-1"].tasks;
    assert_eq!(tasks.keys().map(|task| &*task.job).collect::<Vec<_>>(), ["j-000001"]);
}
