use super::*;
use crate::cluster::Cluster;
use crate::model::Task;
use crate::sim::{heartbeat, job_array, new_cluster};
use crate::workers::{Command, HeartbeatOutcome, HeartbeatSource, TaskState, TaskStatus};

const NAMES: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];

fn forwarders<'a>(names: &[&'a str]) -> Vec<Forwarder<'a>> {
    names.iter().enumerate().map(|(i, name)| Forwarder { name, zone: ["a", "b"][i % 2] }).collect()
}

/// Workers are distributed evenly over the controllers of their zone, or over all if their zone
/// has none.  When a controller is removed, only its workers move.
#[test]
fn only_the_workers_of_a_removed_controller_move() {
    let (all, fewer) = (forwarders(&NAMES), forwarders(&NAMES[..4]));
    let machines: Vec<String> = (0..2000).map(|i| format!("i-{i:06}")).collect();
    for (zone, forwarder_count) in [("a", 3), ("b", 2), ("elsewhere", 5)] {
        let mut counts = HashMap::new();
        for machine in &machines {
            let assigned = assigned_forwarder(machine, zone, &all).expect("a forwarder");
            *counts.entry(assigned).or_insert(0) += 1;
            if assigned != "c4" {
                assert_eq!(assigned_forwarder(machine, zone, &fewer), Some(assigned));
            }
        }
        assert_eq!(counts.len(), forwarder_count, "{zone}");
        let mean = machines.len() / forwarder_count;
        assert!(counts.values().all(|n| (mean * 3 / 4..mean * 5 / 4).contains(n)), "{counts:?}");
    }
    assert_eq!(assigned_forwarder("i-1", "a", &[]), None);
}

/// Returns a heartbeat with one running task, and adds the job of the task to a cluster without
/// jobs.
fn heartbeat_with_task(cluster: &mut Cluster, sequence: u64, now: Instant) -> Heartbeat {
    let mut heartbeat = heartbeat("i-000001", "z1", 1, sequence, cluster.base_token());
    heartbeat.tasks = vec![TaskStatus {
        task: Task { job: "j-000001".into(), index: 0 },
        attempt: 1,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }];
    if cluster.jobs.is_empty() {
        cluster.add_job(job_array("j-000001", 1), 1, None, now);
    }
    heartbeat
}

/// Applies two heartbeats of a machine, with a start of its task in between, and returns the
/// second.  Nothing on the machine is pending or uncertain after it.
fn accepted_heartbeat(cluster: &mut Cluster, now: Instant) -> Heartbeat {
    let first = heartbeat_with_task(cluster, 1, now);
    assert_eq!(
        cluster.apply_heartbeat(&Heartbeat { tasks: Vec::new(), ..first.clone() }, HeartbeatSource::Worker, now),
        HeartbeatOutcome::Applied
    );
    let task = first.tasks[0].task.clone();
    assert!(cluster.assign(&task, &first.machine, 1, now));
    if let Some(assignment) = cluster.machines.get_mut(&first.machine).and_then(|m| m.tasks.get_mut(&task)) {
        assignment.stored = true;
    }
    let second = heartbeat_with_task(cluster, 2, now);
    assert_eq!(cluster.apply_heartbeat(&second, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
    second
}

/// Returns a heartbeat that repeats the content of another one.
fn unchanged(heartbeat: &Heartbeat, sequence: u64) -> UnchangedHeartbeat {
    UnchangedHeartbeat {
        machine: heartbeat.machine.clone(),
        incarnation: heartbeat.incarnation,
        sequence,
        repeats_sequence: heartbeat.sequence,
    }
}

/// An unchanged heartbeat renews the lease and changes nothing else.  If it does not repeat the
/// last accepted heartbeat, the leader requires a full one.
#[test]
fn an_unchanged_heartbeat_is_accepted_only_after_the_one_it_repeats() {
    let now = Instant::now();
    let mut cluster = new_cluster(3, now);
    let accepted = accepted_heartbeat(&mut cluster, now);
    let later = now + Duration::from_secs(9);
    let reply = cluster.apply_unchanged(&unchanged(&accepted, 3), later).expect("no command is pending");
    assert_eq!((reply.fencing_token, reply.commands.len()), (cluster.base_token(), 0));
    assert_eq!(cluster.machines[&accepted.machine].last_heartbeat, Some(later));
    // a duplicate, and one that repeats a heartbeat that this leader has not received
    assert!(cluster.apply_unchanged(&unchanged(&accepted, 3), later).is_none());
    let after_unknown = UnchangedHeartbeat { repeats_sequence: 4, ..unchanged(&accepted, 5) };
    assert!(cluster.apply_unchanged(&after_unknown, later).is_none());
    let of_next_incarnation = UnchangedHeartbeat { incarnation: 2, repeats_sequence: 3, ..unchanged(&accepted, 4) };
    assert!(cluster.apply_unchanged(&of_next_incarnation, later).is_none());
    let next = UnchangedHeartbeat { repeats_sequence: 3, ..unchanged(&accepted, 4) };
    assert!(cluster.apply_unchanged(&next, later).is_some());
}

/// While a command for the worker is pending, or the state of its machine or tasks is uncertain,
/// the leader accepts only full heartbeats.
#[test]
fn an_unchanged_heartbeat_is_rejected_while_work_is_pending() {
    let now = Instant::now();
    let pending: [fn(&mut crate::cluster::Machine); 6] = [
        |machine| machine.in_doubt_token = Some(1),
        |machine| machine.command_in_flight = true,
        |machine| machine.deletion_sent_at = Some(machine.first_seen),
        |machine| machine.reclaim_at = Some(machine.first_seen),
        |machine| machine.tasks.values_mut().for_each(|assignment| assignment.stop_grace_s = Some(0.0)),
        |machine| {
            machine.exited.insert(Task { job: "j-000009".into(), index: 0 }, 1);
        },
    ];
    for (case, make_pending) in pending.into_iter().enumerate() {
        let mut cluster = new_cluster(3, now);
        let accepted = accepted_heartbeat(&mut cluster, now);
        make_pending(cluster.machines.get_mut(&accepted.machine).expect("the machine has sent a heartbeat"));
        assert!(cluster.apply_unchanged(&unchanged(&accepted, 3), now).is_none(), "case {case}");
    }
    // a start that is decided but not sent
    let mut cluster = new_cluster(3, now);
    let accepted = accepted_heartbeat(&mut cluster, now);
    cluster.add_job(job_array("j-000002", 1), 2, None, now);
    assert!(cluster.assign(&Task { job: "j-000002".into(), index: 0 }, &accepted.machine, 2, now));
    assert!(cluster.apply_unchanged(&unchanged(&accepted, 3), now).is_none());
    // a new leader has received no heartbeat of the machine
    let mut next_leader = new_cluster(4, now);
    assert!(next_leader.apply_unchanged(&unchanged(&accepted, 3), now).is_none());
    let reply = cluster.reply_to_heartbeat(&heartbeat_with_task(&mut next_leader, 2, now), now);
    assert!(reply.commands.iter().all(|command| matches!(command, Command::Start { .. })));
}

/// A heartbeat is forwarded as unchanged only if the leader of the same term has accepted its
/// content through this controller.
#[test]
fn only_accepted_content_is_forwarded_as_unchanged() {
    let now = Instant::now();
    let mut forwarding = HeartbeatForwarding::default();
    let heartbeat = |sequence| heartbeat("i-000001", "z1", 1, sequence, 7);
    assert_eq!(forwarding.forwarded_form(&heartbeat(1), 3), ForwardedHeartbeat::Full);
    forwarding.mark_accepted(heartbeat(1), 3, now);
    assert_eq!(forwarding.forwarded_form(&heartbeat(4), 3), ForwardedHeartbeat::Unchanged(unchanged(&heartbeat(1), 4)));
    assert_eq!(forwarding.forwarded_form(&heartbeat(4), 4), ForwardedHeartbeat::Full, "the leader of another term");
    assert_eq!(
        forwarding.forwarded_form(&heartbeat(1), 3),
        ForwardedHeartbeat::Full,
        "the sequence number is not newer"
    );
    let with_new_token = Heartbeat { fencing_token: 8, ..heartbeat(4) };
    assert_eq!(forwarding.forwarded_form(&with_new_token, 3), ForwardedHeartbeat::Full);
    forwarding.mark_accepted(heartbeat(4), 3, now);
    forwarding.mark_accepted(heartbeat(2), 3, now);
    assert_eq!(
        forwarding.forwarded_form(&heartbeat(5), 3),
        ForwardedHeartbeat::Unchanged(unchanged(&heartbeat(4), 5)),
        "the late reply to an older heartbeat is ignored"
    );
    forwarding.evict_idle(Duration::from_secs(60), now + Duration::from_secs(61));
    assert!(forwarding.is_empty());
    forwarding.mark_accepted(heartbeat(4), 3, now);
    forwarding.forget("i-000001");
    assert_eq!(forwarding.forwarded_form(&heartbeat(5), 3), ForwardedHeartbeat::Full);
}

/// Forwarding begins above the threshold and ends only at three quarters of it.
#[test]
fn forwarding_ends_well_below_the_threshold_at_which_it_begins() {
    assert!(!should_forward(100, 100, false) && should_forward(101, 100, false));
    assert!(should_forward(90, 100, true) && !should_forward(75, 100, true));
}
