use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::failures::CORDONED_FOR_FAILURES;
use super::*;
use crate::cluster::{raise_token, Cluster, Machine, MachineLocation, PlacementShard, StartRecord};
use crate::model::*;
use crate::sim::{cluster, report, spec};

/// State and cause, as a worker reports them.
type ReportedState = (TaskState, Option<ExitCause>);

const RUNNING: ReportedState = (TaskState::Running, None);
const FAILED: ReportedState = (TaskState::Exited, Some(ExitCause::Failed));
const COMPLETED: ReportedState = (TaskState::Exited, Some(ExitCause::Completed));
const GANG_TIMEOUT: ReportedState = (TaskState::Exited, Some(ExitCause::GangTimeout));

fn status(task: Task, attempt: u64, (state, cause): ReportedState) -> TaskStatus {
    TaskStatus { task, attempt, state, cause, saved: None }
}

/// The location of a machine of the tests.
fn location() -> MachineLocation {
    MachineLocation { kind: "t".into(), zone: "z0".into(), spot: false }
}

fn machine_name(number: usize) -> Name {
    format!("i-{number:04}").into()
}

/// A leader, and machines of eight cores each that send it heartbeats.
struct Fixture {
    cluster: Cluster,
    sequence: u64,
    now: Instant,
}

impl Fixture {
    fn new(machines: usize) -> Fixture {
        let now = Instant::now();
        let mut fixture = Fixture { cluster: cluster(1, now), sequence: 0, now };
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
            kind: "t".into(),
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

    /// Lets time pass; then every machine reports all tasks assigned to it, in the state
    /// that `state` returns for the machine's number and the job.
    fn report_all(&mut self, state: impl Fn(usize, &str) -> ReportedState) {
        self.now += Duration::from_millis(500);
        for number in 0..self.cluster.machines.len() {
            let assigned = self.machine(number).tasks.iter();
            let tasks = assigned.map(|(task, a)| status(task.clone(), a.attempt, state(number, &task.job))).collect();
            self.send_heartbeat(number, tasks);
        }
    }

    /// Assigns a task to a machine, apart from any placement pass.
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

/// Found by the seeded simulation: a direct start, delayed for longer than the
/// cancellation of a job takes, reached a machine that its zone's controller had kept
/// alive under the token of that start.  The controller raises the token; the leader
/// continues from there, and accepts no token of another term as its own.
#[test]
fn a_start_delayed_by_a_partition_meets_a_higher_token() {
    let now = Instant::now();
    let mut c = cluster(3, now);
    let seen = c.base_token();
    let raised = raise_token(seen);
    assert!(raised > seen, "the worker refuses what was sent under the token before");
    let full = (4 << 24) - 1;
    assert_eq!(raise_token(full), full, "never into the next term");
    let heartbeat = |sequence, token| report("i-1", "z0", 1, sequence, token);
    assert_eq!(c.apply_heartbeat(&heartbeat(1, seen), HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    let machine = c.machines.get_mut("i-1").expect("it is registered");
    (machine.in_doubt_token, machine.last_direct_fence) = (Some(seen), Some(0));
    // the partition heals: the token is of the leader's term, but not one that it gave
    assert_eq!(c.apply_heartbeat(&heartbeat(2, raised), HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    assert_eq!(c.machines["i-1"].in_doubt_token, None, "the start is refused by now");
    let reply = c.reply_to_heartbeat(&heartbeat(2, raised), now);
    assert!(reply.fencing_token >= raised, "or the reply would be dropped");
    assert_eq!(
        c.apply_heartbeat(&heartbeat(3, 4 << 24), HeartbeatSource::Worker, now),
        HeartbeatOutcome::Superseded,
        "a later term's"
    );
}

/// A job submitted with a mistake costs single probes, at growing intervals, and neither
/// machines nor rentals nor the position of other jobs in the queue.
#[test]
fn a_broken_job_is_reduced_to_single_probes() {
    let mut f = Fixture::new(6);
    f.cluster.add_job(spec("j-000001", 100), 1, None, f.now);
    f.cluster.run_placement_pass(f.now);
    assert_eq!(f.assigned_tasks("j-000001"), 48);
    f.report_all(|_, _| FAILED);
    assert!(f.cluster.jobs["j-000001"].quarantine.is_some());
    assert!((0..6).all(|number| f.is_schedulable(number)), "a failure is held against a machine");
    let mut intervals = Vec::new();
    for _ in 0..5 {
        assert!(f.cluster.run_placement_pass(f.now).is_empty(), "a machine is rented for what only waits to fail");
        assert_eq!(f.assigned_tasks("j-000001"), 1, "more than a probe");
        f.report_all(|_, _| FAILED);
        assert!(f.cluster.run_placement_pass(f.now).is_empty() && f.assigned_tasks("j-000001") == 0);
        let due = f.cluster.jobs["j-000001"].not_before.expect("a time for the next probe");
        intervals.push(due - f.now);
        f.now = due;
        f.report_all(|_, _| FAILED);
    }
    assert!(intervals.windows(2).all(|pair| pair[1] >= pair[0] * 3 / 2), "{intervals:?}");
    // its first success ends the quarantine
    f.cluster.run_placement_pass(f.now);
    f.report_all(|_, _| COMPLETED);
    f.cluster.run_placement_pass(f.now);
    assert!(f.cluster.jobs["j-000001"].quarantine.is_none() && f.assigned_tasks("j-000001") > 40);
}

/// Faulty machines fail some tasks of good jobs: it is held against the machines.
#[test]
fn faulty_machines_do_not_quarantine_a_job() {
    let mut f = Fixture::new(12);
    for (revision, id) in (1..).zip(["j-000001", "j-000002"]) {
        f.cluster.add_job(spec(id, 48), revision, None, f.now);
        for index in 0..48 {
            f.assign(id, index, index as usize % 12);
        }
    }
    f.report_all(|number, _| if number < 2 { FAILED } else { RUNNING });
    assert!(f.cluster.jobs.values().all(|job| job.quarantine.is_none()));
    f.cluster.run_placement_pass(f.now);
    f.now += f.cluster.policy.failure_rest * 3;
    f.report_all(|number, _| if number < 2 { FAILED } else { RUNNING });
    let is_faulty =
        |number: usize| f.machine(number).cordon_reason.is_some() || f.machine(number).cooldown_until.is_some();
    assert!(is_faulty(0) && is_faulty(1) && !(2..12).any(is_faulty));
}

/// A faulty machine among those that a broken job fails on is found by the good jobs
/// that fail there, and only it is cordoned.
#[test]
fn a_faulty_machine_is_distinguished_from_a_broken_job() {
    let ids = ["j-000001", "j-000002", "j-000003"];
    let mut f = Fixture::new(6);
    for (revision, id) in (1..).zip(ids) {
        let small = JobSpec { cpus: 1.0, ..(*spec(id, 12)).clone() };
        f.cluster.add_job(Arc::new(small), revision, None, f.now);
    }
    // all three on every machine
    for (offset, id) in ids.into_iter().enumerate() {
        for index in 0..12 {
            f.assign(id, index, (index as usize + offset) % 6);
        }
    }
    f.report_all(|number, job| if number == 0 || job == "j-000001" { FAILED } else { RUNNING });
    let is_quarantined = |id: &str| f.cluster.jobs[id].quarantine.is_some();
    assert!(is_quarantined("j-000001"));
    assert!(!is_quarantined("j-000002"));
    assert!(!is_quarantined("j-000003"));
    assert_eq!(f.machine(0).cordon_reason, Some(CORDONED_FOR_FAILURES));
    assert!((1..6).all(|number| f.is_schedulable(number)));
}

/// Found by the seeded simulation as old heartbeats reached a new leader (`quota`, one
/// of 2,000 days): a gang's task had lost its assignment with the worker's incarnation
/// and got it again under the same attempt.  Shards held both starts, and the leader
/// believed the one that it read first: then a heartbeat of the later incarnation,
/// however old, released an assignment whose task ran.
#[test]
fn of_two_starts_of_one_attempt_the_later_incarnation_counts() {
    let now = Instant::now();
    for order in [[2, 3], [3, 2]] {
        let mut c = cluster(5, now);
        c.add_started_job(spec("j-1", 1), 1, None, now);
        let attempt = (4 << 24) + 7;
        let machine: Name = "i-1".into();
        let locations = HashMap::from([(machine.clone(), location())]);
        for (shard, incarnation) in (0..).zip(order) {
            let task = Task { job: "j-1".into(), index: 0 };
            let start = StartRecord { machine: machine.clone(), task, attempt, incarnation };
            let stored = PlacementShard { revision: 1, starts: vec![start], completed: vec![] };
            c.add_shard(shard, stored, &locations, now);
        }
        let old = report("i-1", "z0", 3, 9, 2 << 24);
        assert_eq!(c.apply_heartbeat(&old, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
        let occupied = c.machines[&machine].tasks.values().any(|assignment| assignment.occupies_resources());
        assert!(occupied, "{order:?}: the assignment is released");
        // a later incarnation is a proof, and so is this term's token
        let later = Heartbeat { incarnation: 4, sequence: 10, ..old.clone() };
        assert_eq!(c.apply_heartbeat(&later, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
        assert!(c.machines[&machine].tasks.is_empty());
    }
}

/// The machine of the tests below.
const MACHINE: &str = "i-1";
/// The attempt that is on record there.
const ATTEMPT: u64 = (4 << 24) + 30;

fn only_task(job: &str) -> Task {
    Task { job: job.into(), index: 0 }
}

/// A new leader that has read the starts of two jobs, the second a gang.
fn leader_with_stored_starts(now: Instant) -> Cluster {
    let mut c = cluster(5, now);
    let gang = JobSpec { shape: Shape::Gang, ..(*spec("j-2", 1)).clone() };
    c.add_started_job(spec("j-1", 1), 1, None, now);
    c.add_started_job(Arc::new(gang), 2, None, now);
    let start = |job| StartRecord { machine: MACHINE.into(), task: only_task(job), attempt: ATTEMPT, incarnation: 1 };
    let shard = PlacementShard { revision: 1, starts: vec![start("j-1"), start("j-2")], completed: vec![] };
    let locations = HashMap::from([(MACHINE.into(), location())]);
    c.add_shard(0, shard, &locations, now);
    c
}

/// The attempts of both jobs that occupy the machine.
fn occupying_attempts(c: &Cluster) -> (Option<u64>, Option<u64>) {
    let attempt = |job| {
        let assignment = c.machines[MACHINE].tasks.get(&only_task(job));
        assignment.filter(|assignment| assignment.occupies_resources()).map(|assignment| assignment.attempt)
    };
    (attempt("j-1"), attempt("j-2"))
}

/// A heartbeat of the machine; `tasks` has job, attempt and state of each.
fn heartbeat(sequence: u64, token: u64, tasks: &[(&str, u64, ReportedState)]) -> Heartbeat {
    let tasks = tasks.iter().map(|(job, attempt, state)| status(only_task(job), *attempt, *state)).collect();
    Heartbeat { tasks, ..report(MACHINE, "z0", 1, sequence, token) }
}

/// Found by the seeded simulation as old heartbeats reached a new leader (`quota`, one
/// of 4,000 days): one that listed an earlier attempt replaced the assignment on record,
/// the next one did not list it, and a task that ran was given up.  Heartbeats from
/// before this term's token are of any age, and release nothing that is on record.
#[test]
fn an_old_heartbeat_releases_no_assignment() {
    let now = Instant::now();
    let (old, current) = (3 << 24, 5 << 24);
    let both_running = [("j-1", ATTEMPT, RUNNING), ("j-2", ATTEMPT, RUNNING)];
    let cases = [
        // an earlier attempt, and then none
        [
            heartbeat(20, old, &[("j-1", (2 << 24) + 7, RUNNING), ("j-2", (2 << 24) + 8, RUNNING)]),
            heartbeat(24, old, &[]),
        ],
        // listed once, and then not, and then started again
        [heartbeat(20, old, &both_running), heartbeat(24, old, &[])],
        // a gang's task that timed out waiting for its gang may have been started again
        [
            heartbeat(20, old, &[("j-1", ATTEMPT, RUNNING), ("j-2", ATTEMPT, GANG_TIMEOUT)]),
            heartbeat(24, old, &[("j-2", ATTEMPT, GANG_TIMEOUT)]),
        ],
    ];
    for (number, heartbeats) in cases.iter().enumerate() {
        let mut c = leader_with_stored_starts(now);
        for old in heartbeats {
            assert_eq!(c.apply_heartbeat(old, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
            let sequence = old.sequence;
            assert_eq!(occupying_attempts(&c), (Some(ATTEMPT), Some(ATTEMPT)), "case {number}, heartbeat {sequence}");
        }
        // the first heartbeat under this term's token is a proof
        let first = heartbeat(30, current, &[("j-1", ATTEMPT, RUNNING)]);
        assert_eq!(c.apply_heartbeat(&first, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
        assert_eq!(occupying_attempts(&c), (Some(ATTEMPT), None), "case {number}");
        assert_eq!(
            c.apply_heartbeat(&heartbeat(31, current, &[]), HeartbeatSource::Worker, now),
            HeartbeatOutcome::Applied
        );
        assert_eq!(occupying_attempts(&c), (None, None), "case {number}");
    }
    // another incarnation is a proof whatever its token
    let mut c = leader_with_stored_starts(now);
    let restarted = Heartbeat { incarnation: 2, ..heartbeat(1, old, &[]) };
    assert_eq!(c.apply_heartbeat(&restarted, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    assert_eq!(occupying_attempts(&c), (None, None));
}
