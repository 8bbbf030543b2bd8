/// Found by the seeded world: a direct start, held up for longer than a job's
/// cancellation has, found a machine that its zone's controller had kept alive
/// under the token of that start.  The controller raises the token; the leader
/// goes on from there, and no other term's token passes for its own.
#[test]
fn a_start_that_a_cut_held_up_finds_a_higher_token() {
    use crate::cluster::raise_token;
    let now = Instant::now();
    let mut c = cluster(3, now);
    let seen = c.base_token();
    let held = raise_token(seen);
    assert!(held > seen, "the worker refuses what left under the token before");
    let full = (4 << 24) - 1;
    assert_eq!(raise_token(full), full, "never into the next term");
    let report = |tally, token| crate::sim::report("i-1", "z0", 1, tally, token);
    assert_eq!(c.apply_heartbeat(&report(1, seen), true, now), Some(true));
    let m = c.machines.get_mut("i-1").expect("it reported");
    (m.in_doubt_token, m.last_direct_fence) = (Some(seen), Some(0));
    // the cut heals: it speaks the leader's term, and a token that it never gave
    assert_eq!(c.apply_heartbeat(&report(2, held), true, now), Some(true));
    assert_eq!(c.machines["i-1"].in_doubt_token, None, "the start is refused by now");
    assert!(c.reply_to_heartbeat(&report(2, held), now).fencing_token >= held, "or the answer would be dropped");
    assert_eq!(c.apply_heartbeat(&report(3, 4 << 24), true, now), None, "a later term's");
}

use super::failures::FAILS;
use super::*;
use crate::cluster::{Cluster, Machine};
use crate::model::*;
use crate::sim::{cluster, spec};
use std::time::{Duration, Instant};

const RUNNING: Told = (TaskState::Running, None);
const FAILED: Told = (TaskState::Exited, Some(ExitCause::Failed));
const DONE: Told = (TaskState::Exited, Some(ExitCause::Completed));

/// State and cause, as reported.
type Told = (TaskState, Option<ExitCause>);

/// Machines that report, and what the leader makes of it.
struct Floor {
    c: Cluster,
    tally: u64,
    now: Instant,
}

impl Floor {
    /// So many machines, of eight cores each.
    fn new(machines: usize) -> Floor {
        let now = Instant::now();
        let mut f = Floor { c: cluster(1, now), tally: 0, now };
        for i in 0..machines {
            f.reports(i, &[]);
        }
        f
    }

    fn reports(&mut self, machine: usize, tasks: &[(Task, u64, Told)]) {
        self.tally += 1;
        let task = |(task, attempt, (state, cause)): &(Task, u64, _)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            cause: *cause,
            saved: None,
        };
        let r = Heartbeat {
            machine: format!("i-{machine:04}").into(),
            address: "127.0.0.1:9".into(),
            kind: "t".into(),
            zone: format!("z{}", machine % 3).into(),
            spot: false,
            incarnation: 1,
            sequence: self.tally,
            fencing_token: self.c.base_token(),
            reclaim_in_s: None,
            tasks: tasks.iter().map(task).collect(),
        };
        assert_eq!(self.c.apply_heartbeat(&r, true, self.now), Some(true));
    }

    /// Time passes, and all that was placed is told as `state` says.
    fn all_tell(&mut self, state: impl Fn(usize, &str) -> Told) {
        self.now += Duration::from_millis(500);
        for i in 0..self.c.machines.len() {
            let m = &self.c.machines[format!("i-{i:04}").as_str()];
            let tasks: Vec<_> = m.tasks.iter().map(|(t, p)| (t.clone(), p.attempt, state(i, &t.job))).collect();
            self.reports(i, &tasks);
        }
    }

    fn on(&self, job: &str) -> usize {
        self.c.jobs[job].assignments.len()
    }

    fn machine(&self, i: usize) -> &Machine {
        &self.c.machines[format!("i-{i:04}").as_str()]
    }
}

/// A job submitted with a mistake costs single probes, further and further
/// apart, and neither machines nor rentals nor anybody's turn.
#[test]
fn a_broken_job_is_probed_and_nothing_more() {
    let mut f = Floor::new(6);
    f.c.add_job(spec("j-000001", 100), 1, None, f.now);
    f.c.run_placement_pass(f.now);
    assert_eq!(f.on("j-000001"), 48);
    f.all_tell(|_, _| FAILED);
    assert!(f.c.jobs["j-000001"].quarantine.is_some());
    assert!((0..6).all(|i| f.machine(i).is_schedulable(f.now, &f.c.policy)), "a machine is blamed");
    let mut apart = Vec::new();
    for _ in 0..5 {
        assert!(f.c.run_placement_pass(f.now).is_empty(), "a machine is rented for what only waits to fail");
        assert_eq!(f.on("j-000001"), 1, "more than a probe");
        f.all_tell(|_, _| FAILED);
        assert!(f.c.run_placement_pass(f.now).is_empty() && f.on("j-000001") == 0);
        let due = f.c.jobs["j-000001"].not_before.expect("a rest");
        apart.push(due - f.now);
        f.now = due;
        f.all_tell(|_, _| FAILED);
    }
    assert!(apart.windows(2).all(|w| w[1] >= w[0] * 3 / 2), "{apart:?}");
    // its first success ends all that
    f.c.run_placement_pass(f.now);
    f.all_tell(|_, _| DONE);
    f.c.run_placement_pass(f.now);
    assert!(f.c.jobs["j-000001"].quarantine.is_none() && f.on("j-000001") > 40);
}

/// Sick machines fail some tasks of a good job: the machines are blamed.
#[test]
fn sick_machines_do_not_brand_a_job() {
    let mut f = Floor::new(12);
    for (n, id) in ["j-000001", "j-000002"].into_iter().enumerate() {
        f.c.add_job(spec(id, 48), n as u64 + 1, None, f.now);
        for index in 0..48u32 {
            let attempt = f.c.new_attempt();
            let m: Name = format!("i-{:04}", index % 12).into();
            assert!(f.c.assign(&Task { job: id.into(), index }, &m, attempt, f.now));
        }
    }
    f.all_tell(|i, _| if i < 2 { FAILED } else { RUNNING });
    assert!(f.c.jobs.values().all(|j| j.quarantine.is_none()));
    f.c.run_placement_pass(f.now);
    f.now += f.c.policy.failure_rest * 3;
    f.all_tell(|i, _| if i < 2 { FAILED } else { RUNNING });
    let blamed = |i: usize| f.machine(i).cordon_reason.is_some() || f.machine(i).cooldown_until.is_some();
    assert!(blamed(0) && blamed(1) && !(2..12).any(blamed));
}

/// A sick machine among those that a broken job fails on is found by the
/// good jobs that fail there, and only it is drained.
#[test]
fn a_sick_machine_with_a_broken_job_is_told_apart() {
    let mut f = Floor::new(6);
    for (n, id) in ["j-000001", "j-000002", "j-000003"].into_iter().enumerate() {
        let mut s = (*spec(id, 12)).clone();
        s.cpus = 1.0;
        f.c.add_job(s.into(), n as u64 + 1, None, f.now);
    }
    // all three on every machine
    for (n, id) in ["j-000001", "j-000002", "j-000003"].into_iter().enumerate() {
        for index in 0..12u32 {
            let attempt = f.c.new_attempt();
            let m: Name = format!("i-{:04}", (index as usize + n) % 6).into();
            assert!(f.c.assign(&Task { job: id.into(), index }, &m, attempt, f.now));
        }
    }
    f.all_tell(|i, job| if i == 0 || job == "j-000001" { FAILED } else { RUNNING });
    assert!(f.c.jobs["j-000001"].quarantine.is_some());
    assert!(f.c.jobs["j-000002"].quarantine.is_none() && f.c.jobs["j-000003"].quarantine.is_none());
    assert_eq!(f.machine(0).cordon_reason, Some(FAILS));
    assert!((1..6).all(|i| f.machine(i).is_schedulable(f.now, &f.c.policy)));
}

/// Found by the seeded world as old reports reached a new leader (`quota`, one of 2,000
/// days): a gang's task had lost its place with the worker's session and got it again under
/// the same attempt.  Pages held both starts, and the leader believed the one that it read
/// first: then a report of the later session, however old, freed a place that was taken.
#[test]
fn of_two_starts_of_one_attempt_the_later_session_counts() {
    use crate::cluster::{PlacementShard, StartRecord};
    let now = Instant::now();
    for order in [[2, 3], [3, 2]] {
        let mut c = cluster(5, now);
        c.add_started_job(spec("j-1", 1), 1, None, now);
        let attempt = (4 << 24) + 7;
        let machine: Name = "i-1".into();
        let at = std::collections::HashMap::from([(machine.clone(), ("t".into(), "z0".into(), false))]);
        for (page, session) in order.into_iter().enumerate() {
            let task = Task { job: "j-1".into(), index: 0 };
            let start = StartRecord { machine: machine.clone(), task, attempt, incarnation: session };
            c.add_shard(page as u32, PlacementShard { revision: 1, starts: vec![start], completed: vec![] }, &at, now);
        }
        let old = crate::sim::report("i-1", "z0", 3, 9, 2 << 24);
        assert_eq!(c.apply_heartbeat(&old, true, now), Some(true));
        assert!(c.machines[&machine].tasks.values().any(|p| p.occupies_resources()), "{order:?}: the place is free");
        // a later session is a proof, and so is this term's token
        let later = Heartbeat { incarnation: 4, sequence: 10, ..old.clone() };
        assert_eq!(c.apply_heartbeat(&later, true, now), Some(true));
        assert!(c.machines[&machine].tasks.is_empty());
    }
}

/// Found by the seeded world as old reports reached a new leader (`quota`, one of 4,000
/// days): one that listed an earlier attempt took the place of the one on record, the next
/// one did not list it, and a task that ran was given up.  Reports from before this term's
/// token are of any age, and free nothing that is on record.
#[test]
fn an_old_report_frees_no_place() {
    use crate::cluster::{PlacementShard, StartRecord};
    let now = Instant::now();
    let machine: Name = "i-1".into();
    let attempt = (4 << 24) + 30;
    let task = |job: &str| Task { job: job.into(), index: 0 };
    let leader = || {
        let mut c = cluster(5, now);
        let gang = JobSpec { shape: Shape::Gang, ..(*spec("j-2", 1)).clone() };
        c.add_started_job(spec("j-1", 1), 1, None, now);
        c.add_started_job(std::sync::Arc::new(gang), 2, None, now);
        let start = |job| StartRecord { machine: machine.clone(), task: task(job), attempt, incarnation: 1 };
        let page = PlacementShard { revision: 1, starts: vec![start("j-1"), start("j-2")], completed: vec![] };
        let at = std::collections::HashMap::from([(machine.clone(), ("t".into(), "z0".into(), false))]);
        c.add_shard(0, page, &at, now);
        c
    };
    let report = |tally, token, tasks: &[(&str, u64, Told)]| Heartbeat {
        tasks: tasks
            .iter()
            .map(|(job, attempt, (state, cause))| TaskStatus {
                task: task(job),
                attempt: *attempt,
                state: *state,
                cause: *cause,
                saved: None,
            })
            .collect(),
        ..crate::sim::report("i-1", "z0", 1, tally, token)
    };
    let there = |c: &Cluster| {
        let of = |job| c.machines[&machine].tasks.get(&task(job)).filter(|p| p.occupies_resources()).map(|p| p.attempt);
        (of("j-1"), of("j-2"))
    };
    let (old, this) = (3 << 24, 5 << 24);
    const ALONE: Told = (TaskState::Exited, Some(ExitCause::GangTimeout));
    type Word<'a> = (u64, u64, &'a [(&'a str, u64, Told)]);
    let days: [&[Word]; 3] = [
        // an earlier attempt, and then none
        &[(20, old, &[("j-1", (2 << 24) + 7, RUNNING), ("j-2", (2 << 24) + 8, RUNNING)]), (24, old, &[])],
        // listed once, and then not, and then started again
        &[(20, old, &[("j-1", attempt, RUNNING), ("j-2", attempt, RUNNING)]), (24, old, &[])],
        // a gang's task that was alone may have been started again
        &[(20, old, &[("j-1", attempt, RUNNING), ("j-2", attempt, ALONE)]), (24, old, &[("j-2", attempt, ALONE)])],
    ];
    for (n, day) in days.iter().enumerate() {
        let mut c = leader();
        for (tally, token, tasks) in *day {
            assert_eq!(c.apply_heartbeat(&report(*tally, *token, tasks), true, now), Some(true));
            assert_eq!(there(&c), (Some(attempt), Some(attempt)), "day {n}, report {tally}");
        }
        // the first word under this term's token tells
        assert_eq!(c.apply_heartbeat(&report(30, this, &[("j-1", attempt, RUNNING)]), true, now), Some(true));
        assert_eq!(there(&c), (Some(attempt), None), "day {n}");
        assert_eq!(c.apply_heartbeat(&report(31, this, &[]), true, now), Some(true));
        assert_eq!(there(&c), (None, None), "day {n}");
    }
    // another session is a proof whatever its token
    let mut c = leader();
    assert_eq!(c.apply_heartbeat(&Heartbeat { incarnation: 2, ..report(1, old, &[]) }, true, now), Some(true));
    assert_eq!(there(&c), (None, None));
}
