use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::failures::CORDONED_FOR_FAILURES;
use super::*;
use crate::cluster::{raise_token, Cluster, Machine, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;
use crate::sim::{heartbeat, job_array, new_cluster};

/// State of a task and cause of its exit, as a worker reports them.
type ReportedState = (TaskState, Option<ExitCause>);

const RUNNING: ReportedState = (TaskState::Running, None);
const FAILED: ReportedState = (TaskState::Exited, Some(ExitCause::Failed));
const COMPLETED: ReportedState = (TaskState::Exited, Some(ExitCause::Completed));
const GANG_TIMEOUT: ReportedState = (TaskState::Exited, Some(ExitCause::GangTimeout));

fn status(task: Task, attempt: u64, (state, cause): ReportedState) -> TaskStatus {
    TaskStatus { task, attempt, state, cause, saved: None }
}

/// Returns the location that the tests store for a machine.
fn location() -> MachineLocation {
    MachineLocation { machine_type: "t".into(), zone: "z0".into(), spot: false }
}

fn machine_name(number: usize) -> Name {
    format!("i-{number:04}").into()
}

/// A leader and machines of eight cores each that send heartbeats to it.
struct Fixture {
    cluster: Cluster,
    sequence: u64,
    now: Instant,
}

impl Fixture {
    fn new(machines: usize) -> Fixture {
        let now = Instant::now();
        let mut fixture = Fixture { cluster: new_cluster(1, now), sequence: 0, now };
        for number in 0..machines {
            fixture.send_heartbeat(number, vec![]);
        }
        fixture
    }

    fn send_heartbeat(&mut self, number: usize, tasks: Vec<TaskStatus>) {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            machine: machine_name(number),
            address: "127.0.0.1:9".into(),
            machine_type: "t".into(),
            zone: format!("z{}", number % 3).into(),
            spot: false,
            incarnation: 1,
            sequence: self.sequence,
            fencing_token: self.cluster.base_token(),
            reclaim_in_s: None,
            tasks,
        };
        assert_eq!(
            self.cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Worker, self.now),
            HeartbeatOutcome::Applied
        );
    }

    /// Advances the time by half a second and lets every machine report all tasks assigned to it,
    /// in the state that `state` returns for the machine's number and the job.
    fn report_all(&mut self, state: impl Fn(usize, &str) -> ReportedState) {
        self.now += Duration::from_millis(500);
        for number in 0..self.cluster.machines.len() {
            let assigned = self.machine(number).tasks.iter();
            let tasks = assigned
                .map(|(task, assignment)| status(task.clone(), assignment.attempt, state(number, &task.job)))
                .collect();
            self.send_heartbeat(number, tasks);
        }
    }

    /// Assigns a task to a machine without a placement pass.
    fn assign(&mut self, job: &str, index: u32, number: usize) {
        let attempt = self.cluster.new_attempt();
        let task = Task { job: job.into(), index };
        assert!(self.cluster.assign(&task, &machine_name(number), attempt, self.now));
    }

    fn assigned_tasks(&self, job: &str) -> usize {
        self.cluster.jobs[job].assignments.len()
    }

    fn machine(&self, number: usize) -> &Machine {
        &self.cluster.machines[&machine_name(number)]
    }

    fn is_schedulable(&self, number: usize) -> bool {
        self.machine(number).is_schedulable(self.now, &self.cluster.policy)
    }
}

/// Guards against the execution of a direct start that arrives after its job was cancelled.  In
/// the simulation, such a start reached a worker whose lease the controller in its zone had
/// renewed under the token of that start.  The controller must raise the token, and the leader
/// must continue from the raised token, but accept none of another term.
#[test]
fn a_start_delayed_by_a_partition_is_refused_after_the_token_is_raised() {
    let now = Instant::now();
    let mut leader = new_cluster(3, now);
    let seen = leader.base_token();
    let raised = raise_token(seen);
    assert!(raised > seen, "the worker must refuse commands under the previous token");
    let full = (4 << 24) - 1;
    assert_eq!(raise_token(full), full, "the token must not reach the next term");
    let heartbeat = |sequence, token| heartbeat("i-1", "z0", 1, sequence, token);
    assert_eq!(leader.apply_heartbeat(&heartbeat(1, seen), HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    let machine = leader.machines.get_mut("i-1").expect("the machine is registered");
    (machine.in_doubt_token, machine.last_direct_fence) = (Some(seen), Some(0));
    // the partition heals: the token is of the leader's term, but the leader did not issue it
    assert_eq!(leader.apply_heartbeat(&heartbeat(2, raised), HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    assert_eq!(leader.machines["i-1"].in_doubt_token, None, "the worker refuses the start from now on");
    let reply = leader.reply_to_heartbeat(&heartbeat(2, raised), now);
    assert!(reply.fencing_token >= raised, "the worker would drop a reply with a lower token");
    assert_eq!(
        leader.apply_heartbeat(&heartbeat(3, 4 << 24), HeartbeatSource::Worker, now),
        HeartbeatOutcome::Superseded,
        "the token is of a later term"
    );
}

/// A job that was submitted with a mistake fails on every machine.  It runs only single probes, at
/// growing intervals, no machine is cordoned or rented because of it, and other jobs keep their
/// positions in the queue.  The first success of the job ends its quarantine.
#[test]
fn a_job_that_fails_everywhere_runs_only_single_probes() {
    let mut fixture = Fixture::new(6);
    fixture.cluster.add_job(job_array("j-000001", 100), 1, None, fixture.now);
    fixture.cluster.run_placement_pass(fixture.now);
    assert_eq!(fixture.assigned_tasks("j-000001"), 48);
    fixture.report_all(|_, _| FAILED);
    assert!(fixture.cluster.jobs["j-000001"].quarantine.is_some());
    assert!((0..6).all(|number| fixture.is_schedulable(number)), "a failure of the job is attributed to a machine");
    let mut intervals = Vec::new();
    for _ in 0..5 {
        assert!(
            fixture.cluster.run_placement_pass(fixture.now).is_empty(),
            "a machine is rented for a quarantined job"
        );
        assert_eq!(fixture.assigned_tasks("j-000001"), 1, "not exactly one probe is assigned");
        fixture.report_all(|_, _| FAILED);
        assert!(fixture.cluster.run_placement_pass(fixture.now).is_empty() && fixture.assigned_tasks("j-000001") == 0);
        let due = fixture.cluster.jobs["j-000001"].not_before.expect("the next probe has a time");
        intervals.push(due - fixture.now);
        fixture.now = due;
        fixture.report_all(|_, _| FAILED);
    }
    assert!(intervals.windows(2).all(|pair| pair[1] >= pair[0] * 3 / 2), "{intervals:?}");
    // its first success ends the quarantine
    fixture.cluster.run_placement_pass(fixture.now);
    fixture.report_all(|_, _| COMPLETED);
    fixture.cluster.run_placement_pass(fixture.now);
    assert!(fixture.cluster.jobs["j-000001"].quarantine.is_none() && fixture.assigned_tasks("j-000001") > 40);
}

/// When tasks of several jobs fail on the same few machines, the machines are at fault.
#[test]
fn faulty_machines_do_not_quarantine_a_job() {
    let mut fixture = Fixture::new(12);
    for (revision, id) in (1..).zip(["j-000001", "j-000002"]) {
        fixture.cluster.add_job(job_array(id, 48), revision, None, fixture.now);
        for index in 0..48 {
            fixture.assign(id, index, index as usize % 12);
        }
    }
    fixture.report_all(|number, _| if number < 2 { FAILED } else { RUNNING });
    assert!(fixture.cluster.jobs.values().all(|job| job.quarantine.is_none()));
    fixture.cluster.run_placement_pass(fixture.now);
    fixture.now += fixture.cluster.policy.failure_rest * 3;
    fixture.report_all(|number, _| if number < 2 { FAILED } else { RUNNING });
    let is_faulty =
        |i: usize| fixture.machine(i).cordon_reason.is_some() || fixture.machine(i).cooldown_until.is_some();
    assert!(is_faulty(0) && is_faulty(1) && !(2..12).any(is_faulty));
}

/// When a faulty job fails on every machine and one of the machines is faulty, the other jobs that
/// fail on that machine reveal it: the job is quarantined, and only that machine is cordoned.
#[test]
fn a_faulty_machine_is_distinguished_from_a_faulty_job() {
    let ids = ["j-000001", "j-000002", "j-000003"];
    let mut fixture = Fixture::new(6);
    for (revision, id) in (1..).zip(ids) {
        let small = JobSpec { cpus: 1.0, ..(*job_array(id, 12)).clone() };
        fixture.cluster.add_job(Arc::new(small), revision, None, fixture.now);
    }
    // each machine gets tasks of all three jobs
    for (offset, id) in ids.into_iter().enumerate() {
        for index in 0..12 {
            fixture.assign(id, index, (index as usize + offset) % 6);
        }
    }
    fixture.report_all(|number, job| if number == 0 || job == "j-000001" { FAILED } else { RUNNING });
    let is_quarantined = |id: &str| fixture.cluster.jobs[id].quarantine.is_some();
    assert!(is_quarantined("j-000001"));
    assert!(!is_quarantined("j-000002"));
    assert!(!is_quarantined("j-000003"));
    assert_eq!(fixture.machine(0).cordon_reason, Some(CORDONED_FOR_FAILURES));
    assert!((1..6).all(|number| fixture.is_schedulable(number)));
}

/// Guards against the release of a running task when shards hold two starts of one attempt.  A
/// gang's task that lost its assignment with the worker's incarnation is assigned again under the
/// same attempt.  A new leader that used the start it read first released the assignment on an
/// old heartbeat of the later incarnation.  Found by the simulation (`quota`, one of 2,000 days).
#[test]
fn two_stored_starts_of_one_attempt_resolve_to_the_later_incarnation() {
    let now = Instant::now();
    for order in [[2, 3], [3, 2]] {
        let mut leader = new_cluster(5, now);
        leader.add_started_job(job_array("j-1", 1), 1, None, now);
        let attempt = (4 << 24) + 7;
        let machine: Name = "i-1".into();
        let locations = HashMap::from([(machine.clone(), location())]);
        for (shard, incarnation) in (0..).zip(order) {
            let task = Task { job: "j-1".into(), index: 0 };
            let start = StartRecord { machine: machine.clone(), task, attempt, incarnation };
            let stored = PlacementShard { revision: 1, starts: vec![start], completed: vec![] };
            leader.add_shard(shard, stored, &locations, now);
        }
        let old = heartbeat("i-1", "z0", 3, 9, 2 << 24);
        assert_eq!(leader.apply_heartbeat(&old, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
        let occupied = leader.machines[&machine].tasks.values().any(|assignment| assignment.occupies_resources());
        assert!(occupied, "{order:?}: an old heartbeat released the assignment");
        // a heartbeat of a later incarnation proves that the task is absent, as does one with a
        // token of this term
        let later = Heartbeat { incarnation: 4, sequence: 10, ..old.clone() };
        assert_eq!(leader.apply_heartbeat(&later, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
        assert!(leader.machines[&machine].tasks.is_empty());
    }
}

/// Name of the machine in the tests below.
const MACHINE: &str = "i-1";
/// Attempt number of the starts that are stored for that machine.
const ATTEMPT: u64 = (4 << 24) + 30;

fn only_task(job: &str) -> Task {
    Task { job: job.into(), index: 0 }
}

/// Returns a new leader that has read the stored starts of two jobs, of which the second is a gang.
fn leader_with_stored_starts(now: Instant) -> Cluster {
    let mut leader = new_cluster(5, now);
    let gang = JobSpec { shape: Shape::Gang, ..(*job_array("j-2", 1)).clone() };
    leader.add_started_job(job_array("j-1", 1), 1, None, now);
    leader.add_started_job(Arc::new(gang), 2, None, now);
    let start = |job| StartRecord { machine: MACHINE.into(), task: only_task(job), attempt: ATTEMPT, incarnation: 1 };
    let shard = PlacementShard { revision: 1, starts: vec![start("j-1"), start("j-2")], completed: vec![] };
    let locations = HashMap::from([(MACHINE.into(), location())]);
    leader.add_shard(0, shard, &locations, now);
    leader
}

/// Returns the attempts of both jobs that occupy the machine.
fn occupying_attempts(leader: &Cluster) -> (Option<u64>, Option<u64>) {
    let attempt = |job| {
        let assignment = leader.machines[MACHINE].tasks.get(&only_task(job));
        assignment.filter(|assignment| assignment.occupies_resources()).map(|assignment| assignment.attempt)
    };
    (attempt("j-1"), attempt("j-2"))
}

/// Returns a heartbeat of the machine; `tasks` has the job, attempt and state of each task.
fn heartbeat_with_tasks(sequence: u64, token: u64, tasks: &[(&str, u64, ReportedState)]) -> Heartbeat {
    let tasks = tasks.iter().map(|(job, attempt, state)| status(only_task(job), *attempt, *state)).collect();
    Heartbeat { tasks, ..heartbeat(MACHINE, "z0", 1, sequence, token) }
}

/// Guards against the release of a running task on old heartbeats that reach a new leader: one that
/// listed an earlier attempt replaced the stored assignment, and the next one, which listed
/// nothing, released it.  A heartbeat without a token of this term may be of any age, so it must
/// release no stored assignment.  Found by the simulation (`quota`, one of 4,000 days).
#[test]
fn a_heartbeat_without_a_token_of_this_term_releases_no_assignment() {
    let now = Instant::now();
    let (old, current) = (3 << 24, 5 << 24);
    let both_running = [("j-1", ATTEMPT, RUNNING), ("j-2", ATTEMPT, RUNNING)];
    let cases = [
        // an earlier attempt is listed, and then none
        [
            heartbeat_with_tasks(20, old, &[("j-1", (2 << 24) + 7, RUNNING), ("j-2", (2 << 24) + 8, RUNNING)]),
            heartbeat_with_tasks(24, old, &[]),
        ],
        // the stored attempts are listed, then not, and were started again after both heartbeats
        [heartbeat_with_tasks(20, old, &both_running), heartbeat_with_tasks(24, old, &[])],
        // a task that timed out waiting for its gang may have been started again
        [
            heartbeat_with_tasks(20, old, &[("j-1", ATTEMPT, RUNNING), ("j-2", ATTEMPT, GANG_TIMEOUT)]),
            heartbeat_with_tasks(24, old, &[("j-2", ATTEMPT, GANG_TIMEOUT)]),
        ],
    ];
    for (number, heartbeats) in cases.iter().enumerate() {
        let mut leader = leader_with_stored_starts(now);
        for old in heartbeats {
            assert_eq!(leader.apply_heartbeat(old, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
            let sequence = old.sequence;
            assert_eq!(
                occupying_attempts(&leader),
                (Some(ATTEMPT), Some(ATTEMPT)),
                "case {number}, heartbeat {sequence}"
            );
        }
        // the first heartbeat under this term's token proves that an unlisted task is absent
        let first = heartbeat_with_tasks(30, current, &[("j-1", ATTEMPT, RUNNING)]);
        assert_eq!(leader.apply_heartbeat(&first, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
        assert_eq!(occupying_attempts(&leader), (Some(ATTEMPT), None), "case {number}");
        assert_eq!(
            leader.apply_heartbeat(&heartbeat_with_tasks(31, current, &[]), HeartbeatSource::Worker, now),
            HeartbeatOutcome::Applied
        );
        assert_eq!(occupying_attempts(&leader), (None, None), "case {number}");
    }
    // a heartbeat of a later incarnation proves that under any token
    let mut leader = leader_with_stored_starts(now);
    let restarted = Heartbeat { incarnation: 2, ..heartbeat_with_tasks(1, old, &[]) };
    assert_eq!(leader.apply_heartbeat(&restarted, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    assert_eq!(occupying_attempts(&leader), (None, None));
}
