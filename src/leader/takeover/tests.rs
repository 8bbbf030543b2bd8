use super::*;
use crate::cluster::{MachineLocation, PlacementShard, StartRecord};
use crate::commit::StoredShard;
use crate::config::Config;
use crate::job_index::OpenJob;
use crate::policy::Policy;
use crate::state_store::client::StoreError;
use crate::users::lookup::JobRecord;
use coralnotch_policy::example::SETTINGS;
use coralnotch_wire::example::job_array;
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

/// Returns the stored state of a cluster in which one shard holds a start of each of these jobs.
fn stored_starts(jobs: &[&str]) -> StoredCluster {
    let starts = jobs.iter().map(|job| start(job)).collect();
    let shard = PlacementShard { revision: 3, starts, completed: Vec::new() };
    let location = MachineLocation { machine_type: "t".into(), zone: "z0".into(), spot: false };
    let locations = HashMap::from([("i-1".into(), location)]);
    StoredCluster { shards: vec![StoredShard { id: 0, shard, locations }], ..StoredCluster::default() }
}

/// Watch events just before a takeover have to be in the leader's state, and those just after have
/// to be applied to it.  A cancellation lost in between would leave its tasks running.
#[test]
fn watch_events_before_and_after_a_takeover_are_in_the_leaders_state() {
    let now = Instant::now();
    let controller = controller(now);
    for id in ["j-000001", "j-000002", "j-000003"] {
        controller.apply_watched_job(job_array(id, 1), 1, now);
    }
    controller.apply_stored_outcome("j-000001", JobOutcome::Cancelled, 2, now);
    assert!(controller.try_take_over(lease(now), StoredCluster::default(), now).is_ok());
    controller.apply_stored_outcome("j-000002", JobOutcome::Cancelled, 3, now);
    controller.apply_watched_job(job_array("j-000004", 1), 2, now);
    let state = controller.lock();
    let cluster = state.cluster.as_ref().expect("state after the takeover");
    let open: BTreeSet<&str> =
        cluster.jobs.values().filter(|job| job.outcome.is_none()).map(|job| &*job.spec.id).collect();
    assert_eq!(open.into_iter().collect::<Vec<_>>(), ["j-000003", "j-000004"]);
}

/// If a stored start refers to a job that has ended and is no longer in memory, the new leader
/// reads the job, and then counts and stops its tasks.
#[test]
fn ended_jobs_with_stored_starts_are_read_and_their_tasks_stopped() {
    let now = Instant::now();
    let controller = controller(now);
    controller.apply_watched_job(job_array("j-000001", 1), 1, now);
    let stored = stored_starts(&["j-000001", "j-000002"]);
    let Err(missing) = controller.try_take_over(lease(now), stored, now) else {
        panic!("takeover without the record of an ended job")
    };
    let MissingJobs { mut stored, ids } = missing;
    assert_eq!(ids, ["j-000002".into()]);
    assert!(controller.lock().cluster.is_none(), "incomplete state installed");
    let job = OpenJob { spec: job_array("j-000002", 1), revision: 2 };
    assert!(stored
        .add_job("j-000002".into(), Ok(Some(JobRecord { job, outcome: Some(JobOutcome::Cancelled) })))
        .is_ok());
    assert!(controller.try_take_over(lease(now), stored, now).is_ok());
    let state = controller.lock();
    let tasks = &state.cluster.as_ref().expect("state after the takeover").machines["i-1"].tasks;
    let stopped: Vec<_> = tasks.iter().map(|(task, run)| (&*task.job, run.stop_grace_s.is_some())).collect();
    assert_eq!(stopped, [("j-000001", false), ("j-000002", true)]);
}

/// A shard may refer to a job whose record is missing or cannot be decoded.  If a takeover required
/// it, neither this controller nor any other could complete one.
#[test]
fn missing_or_unreadable_job_records_do_not_prevent_a_takeover() {
    let now = Instant::now();
    let controller = controller(now);
    controller.apply_watched_job(job_array("j-000001", 1), 1, now);
    let stored = stored_starts(&["j-000001", "j-000002", "j-000003"]);
    let Err(missing) = controller.try_take_over(lease(now), stored, now) else {
        panic!("takeover without reading the missing jobs")
    };
    let MissingJobs { mut stored, ids } = missing;
    assert_eq!(ids.len(), 2);
    // A refused read says nothing about the record.
    assert!(stored.add_job("j-000002".into(), Err(StoreError::Refused(503))).is_err());
    assert!(stored.add_job("j-000002".into(), Err(StoreError::Unreadable)).is_ok());
    assert!(stored.add_job("j-000003".into(), Ok(None)).is_ok());
    assert!(controller.try_take_over(lease(now), stored, now).is_ok());
    let state = controller.lock();
    let tasks = &state.cluster.as_ref().expect("state after the takeover").machines["i-1"].tasks;
    assert_eq!(tasks.keys().map(|task| &*task.job).collect::<Vec<_>>(), ["j-000001"]);
}
