use super::*;
use crate::cluster::Cluster;
use crate::model::Task;
use crate::sim::{cluster, report, spec};
use crate::workers::{Command, TaskState, TaskStatus};

const NAMES: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];

fn forwarders<'a>(names: &[&'a str]) -> Vec<Forwarder<'a>> {
    names.iter().enumerate().map(|(i, name)| Forwarder { name, zone: ["a", "b"][i % 2] }).collect()
}

/// Workers spread evenly, and where a controller goes only its own workers move.
#[test]
fn only_the_workers_of_a_controller_that_goes_move() {
    let (all, fewer) = (forwarders(&NAMES), forwarders(&NAMES[..4]));
    let machines: Vec<String> = (0..2000).map(|i| format!("i-{i:06}")).collect();
    for (zone, of) in [("a", 3), ("b", 2), ("elsewhere", 5)] {
        let mut count = HashMap::new();
        for m in &machines {
            let at = assigned_forwarder(m, zone, &all).expect("there are some");
            *count.entry(at).or_insert(0) += 1;
            if at != "c4" {
                assert_eq!(assigned_forwarder(m, zone, &fewer), Some(at));
            }
        }
        assert_eq!(count.len(), of, "{zone}");
        let mean = machines.len() / of;
        assert!(count.values().all(|n| (mean * 3 / 4..mean * 5 / 4).contains(n)), "{count:?}");
    }
    assert_eq!(assigned_forwarder("i-1", "a", &[]), None);
}

fn running(c: &mut Cluster, tally: u64, now: Instant) -> Heartbeat {
    let mut r = report("i-000001", "z1", 1, tally, c.base_token());
    let state = TaskState::Running;
    r.tasks = vec![TaskStatus {
        task: Task { job: "j-000001".into(), index: 0 },
        attempt: 1,
        state,
        cause: None,
        saved: None,
    }];
    if c.jobs.is_empty() {
        c.add_job(spec("j-000001", 1), 1, None, now);
    }
    r
}

/// A report of a task that was started by a command, and all of it is known to the leader.
fn settled(c: &mut Cluster, now: Instant) -> Heartbeat {
    let first = running(c, 1, now);
    assert_eq!(c.apply_heartbeat(&Heartbeat { tasks: Vec::new(), ..first.clone() }, true, now), Some(true));
    let task = first.tasks[0].task.clone();
    assert!(c.assign(&task, &first.machine, 1, now));
    if let Some(p) = c.machines.get_mut(&first.machine).and_then(|m| m.tasks.get_mut(&task)) {
        p.stored = true;
    }
    let second = running(c, 2, now);
    assert_eq!(c.apply_heartbeat(&second, true, now), Some(true));
    second
}

fn unchanged(r: &Heartbeat, tally: u64) -> UnchangedHeartbeat {
    UnchangedHeartbeat {
        machine: r.machine.clone(),
        incarnation: r.incarnation,
        sequence: tally,
        repeats_sequence: r.sequence,
    }
}

/// A report without news renews, and is no news; one that repeats anything but the last report
/// taken is asked for in full.
#[test]
fn a_sign_of_life_counts_only_after_the_report_it_repeats() {
    let now = Instant::now();
    let mut c = cluster(3, now);
    let r = settled(&mut c, now);
    let later = now + Duration::from_secs(9);
    let answer = c.apply_unchanged(&unchanged(&r, 3), later).expect("nothing is to be done there");
    assert_eq!((answer.fencing_token, answer.commands.len()), (c.base_token(), 0));
    assert_eq!(c.machines[&r.machine].last_heartbeat, Some(later));
    // late copies, and one after a report that this leader has not had
    assert!(c.apply_unchanged(&unchanged(&r, 3), later).is_none());
    assert!(c.apply_unchanged(&UnchangedHeartbeat { repeats_sequence: 4, ..unchanged(&r, 5) }, later).is_none());
    assert!(c
        .apply_unchanged(&UnchangedHeartbeat { incarnation: 2, repeats_sequence: 3, ..unchanged(&r, 4) }, later)
        .is_none());
    assert!(c.apply_unchanged(&UnchangedHeartbeat { repeats_sequence: 3, ..unchanged(&r, 4) }, later).is_some());
}

/// Where something is to be told to the worker, or is not known for sure, the whole report
/// counts.
#[test]
fn a_machine_with_something_open_reports_in_full() {
    let now = Instant::now();
    let open: [fn(&mut crate::cluster::Machine); 6] = [
        |m| m.in_doubt_token = Some(1),
        |m| m.command_in_flight = true,
        |m| m.deletion_sent_at = Some(m.first_seen),
        |m| m.reclaim_at = Some(m.first_seen),
        |m| m.tasks.values_mut().for_each(|p| p.stop_grace_s = Some(0.0)),
        |m| {
            m.exited.insert(Task { job: "j-000009".into(), index: 0 }, 1);
        },
    ];
    for (n, open) in open.into_iter().enumerate() {
        let mut c = cluster(3, now);
        let r = settled(&mut c, now);
        open(c.machines.get_mut(&r.machine).expect("it reported"));
        assert!(c.apply_unchanged(&unchanged(&r, 3), now).is_none(), "case {n}");
    }
    // a start that is decided and not sent
    let mut c = cluster(3, now);
    let r = settled(&mut c, now);
    c.add_job(spec("j-000002", 1), 2, None, now);
    assert!(c.assign(&Task { job: "j-000002".into(), index: 0 }, &r.machine, 2, now));
    assert!(c.apply_unchanged(&unchanged(&r, 3), now).is_none());
    // a new leader has had nothing of it
    let mut next = cluster(4, now);
    assert!(next.apply_unchanged(&unchanged(&r, 3), now).is_none());
    let answer = c.reply_to_heartbeat(&running(&mut next, 2, now), now);
    assert!(answer.commands.iter().all(|o| matches!(o, Command::Start { .. })));
}

/// What is sent on is short only if a leader of this term took the same content from here.
#[test]
fn only_what_the_leader_took_is_repeated_in_short() {
    let now = Instant::now();
    let mut f = HeartbeatForwarding::default();
    let r = |tally| report("i-000001", "z1", 1, tally, 7);
    assert_eq!(f.message(&r(1), 3), ForwardedHeartbeat::Full);
    f.mark_accepted(r(1), 3, now);
    assert_eq!(f.message(&r(4), 3), ForwardedHeartbeat::UnchangedHeartbeat(unchanged(&r(1), 4)));
    assert_eq!(f.message(&r(4), 4), ForwardedHeartbeat::Full, "another leader");
    assert_eq!(f.message(&r(1), 3), ForwardedHeartbeat::Full, "the same once more");
    assert_eq!(f.message(&Heartbeat { fencing_token: 8, ..r(4) }, 3), ForwardedHeartbeat::Full);
    f.mark_accepted(r(4), 3, now);
    f.mark_accepted(r(2), 3, now);
    assert_eq!(
        f.message(&r(5), 3),
        ForwardedHeartbeat::UnchangedHeartbeat(unchanged(&r(4), 5)),
        "an older answer came later"
    );
    f.evict_idle(Duration::from_secs(60), now + Duration::from_secs(61));
    assert!(f.is_empty());
    f.mark_accepted(r(4), 3, now);
    f.forget("i-000001");
    assert_eq!(f.message(&r(5), 3), ForwardedHeartbeat::Full);
}

/// Spreading begins above a number of machines and ends markedly below it.
#[test]
fn spreading_does_not_come_and_go() {
    assert!(!should_forward(100, 100, false) && should_forward(101, 100, false));
    assert!(should_forward(90, 100, true) && !should_forward(75, 100, true));
}
