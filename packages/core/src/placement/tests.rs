use super::*;
use crate::cluster::{Machine, MachineState, QueuePriority};
use crate::sim::{heartbeat, job_array, new_cluster};
use crate::workers::{Heartbeat, HeartbeatOutcome, HeartbeatSource};
use std::sync::Arc;
use std::time::Duration;

fn add_machine(cluster: &mut Cluster, name: &str, now: Instant) {
    let mut machine = Machine::new(name.into(), "t".into(), "z0".into(), true, now);
    (machine.incarnation, machine.last_heartbeat, machine.state, machine.size) =
        (1, Some(now), Some(MachineState::Running), cluster.machine_types["t"].resources());
    cluster.machines.insert(name.into(), machine);
}

fn assert_applied(cluster: &mut Cluster, heartbeat: &Heartbeat, now: Instant) {
    assert_eq!(cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
}

/// Guards against queueing lost tasks behind jobs that arrived after them.  Tasks of a large array
/// that were lost with their spot machines once waited so long that the job was late by minutes.
#[test]
fn lost_array_task_is_placed_before_later_jobs() {
    let start = Instant::now();
    let mut cluster = new_cluster(1, start);
    for n in 0..5 {
        add_machine(&mut cluster, &format!("i-{n}"), start);
    }
    cluster.add_job(job_array("j-000001", 400), 1, None, start);
    cluster.run_placement_pass(start);
    assert_eq!(cluster.jobs["j-000001"].assignments.len(), 40);
    let now = start + Duration::from_secs(5);
    cluster.add_job(job_array("j-000002", 40), 2, None, now);
    for machine in cluster.machines.values_mut() {
        machine.last_heartbeat = Some(now);
    }
    // After some tasks are lost, the second job comes before the rest of the first job, but not
    // before the lost tasks.
    cluster.release_assignment(&"i-0".into(), &Task { job: "j-000001".into(), index: 0 }, now);
    cluster.release_all_assignments(&"i-1".into(), now);
    let first = *cluster.jobs["j-000001"].pending.iter().collect::<Vec<_>>().first().expect("a lost task is pending");
    assert_eq!(first, 0);
    let lost = cluster.jobs["j-000001"].pending.count_below(cluster.jobs["j-000001"].first_never_assigned_index());
    cluster.run_placement_pass(now);
    assert_eq!(cluster.jobs["j-000001"].assignments.len(), 40, "the lost tasks are assigned again");
    assert_eq!(lost, 9);
    assert_eq!(cluster.jobs["j-000002"].assignments.len(), 0);
    // Tasks of the first job that were never assigned wait behind the second job.
    cluster.release_all_assignments(&"i-1".into(), now);
    cluster.machines.get_mut("i-1").expect("the machine was added").size =
        Resources { cpus: 18.0, gpus: 0.0, memory_gb: 64.0 };
    cluster.run_placement_pass(now);
    assert_eq!((cluster.jobs["j-000001"].assignments.len(), cluster.jobs["j-000002"].assignments.len()), (40, 10));
}

/// Guards against placing a dependency chain with a deadline on spot machines, where it mostly lost
/// a task.  The tasks of the chain use the free resources of on-demand machines.  A job's priority
/// is the highest of its own and those of the jobs that wait for it.
#[test]
fn chain_with_deadline_prefers_on_demand_machines_and_takes_its_highest_priority() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    add_machine(&mut cluster, "i-0", now);
    add_machine(&mut cluster, "i-1", now);
    cluster.machines.get_mut("i-1").expect("the machine was added").spot = false;
    let low_priority_job = |id: &str| JobSpec { priority: Priority::Low, ..(*job_array(id, 1)).clone() };
    cluster.add_job(Arc::new(low_priority_job("j-1")), 1, None, now);
    cluster.add_job(Arc::new(low_priority_job("j-2")), 2, None, now);
    cluster.add_job(Arc::new(low_priority_job("j-4")), 4, None, now);
    let dependent = JobSpec {
        dependencies: vec!["j-2".into()],
        priority: Priority::High,
        deadline_s: Some(60.0),
        ..low_priority_job("j-3")
    };
    cluster.add_job(Arc::new(dependent), 3, None, now);
    assert_eq!(
        cluster.jobs["j-2"].queue_priority(),
        QueuePriority { is_beyond_guarantee: true, priority: Priority::High }
    );
    cluster.run_placement_pass(now);
    let machine_of =
        |cluster: &Cluster, id: &str| cluster.jobs.get(id).and_then(|j| Some(j.assignments.get(&0)?[0].clone()));
    assert_eq!(machine_of(&cluster, "j-2").as_deref(), Some("i-1"), "the deadline of j-3 applies to j-2");
    assert_eq!(
        (machine_of(&cluster, "j-1").as_deref(), machine_of(&cluster, "j-4").as_deref()),
        (Some("i-0"), Some("i-0"))
    );
    assert_eq!(machine_of(&cluster, "j-3"), None);
    // After j-3 is cancelled, the job that it needed has its own priority again.
    cluster.set_outcome("j-3", JobOutcome::Cancelled, now);
    assert_eq!(
        cluster.jobs["j-2"].queue_priority(),
        QueuePriority { is_beyond_guarantee: true, priority: Priority::Low }
    );
    cluster.set_outcome("j-2", JobOutcome::Done, now);
    assert!(cluster.dependencies.is_empty());
}

/// Guards against a pass that takes longer than the leader's lease, as happened with four thousand
/// machines.  A pass ends once it has examined a limited number of machines.  The following passes
/// continue until every job is placed.
#[test]
fn long_queue_is_placed_over_several_passes() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    for n in 0..50 {
        add_machine(&mut cluster, &format!("i-{n:02}"), now);
    }
    let mut policy = (*cluster.policy).clone();
    policy.pass_looks = 200;
    cluster.policy = Arc::new(policy);
    for n in 0..40 {
        cluster.add_job(job_array(&format!("j-{n:06}"), 3), n + 1, None, now);
    }
    let placed = |cluster: &Cluster| cluster.jobs.values().filter(|j| j.pending.is_empty()).count();
    cluster.run_placement_pass(now);
    let first = placed(&cluster);
    assert!((1..10).contains(&first), "the first pass placed {first} jobs");
    assert!(cluster.queue_changed, "a further pass is requested");
    // Jobs are placed in queue order.
    assert!((0..first).all(|n| cluster.jobs[&*format!("j-{n:06}")].pending.is_empty()));
    let passes = (1..100).find(|_| {
        cluster.run_placement_pass(now);
        placed(&cluster) == 40
    });
    assert!(passes.is_some() && !cluster.queue_changed);
}

/// Guards against exceeding a team's limit after a change of leader.  A team is at its limit, and the
/// machine of its cancelled job cannot be reached.  The new leader has no heartbeat of the machine.
/// The job's stored starts count towards the limit until the absence of the tasks is proved, and no
/// other task of the team starts until then.  Afterwards the resources are used at once.
#[test]
fn starts_of_cancelled_job_count_until_absence_is_proved() {
    use crate::cluster::{MachineLocation, PlacementShard, StartRecord, TeamLimit};
    let now = Instant::now();
    let team_limit = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 0.0 };
    let unreachable: Name = "i-9".into();
    let new_leader = || {
        let mut cluster = new_cluster(5, now);
        cluster.teams = std::collections::HashMap::from([(
            "x".into(),
            TeamLimit { guarantee: Resources::default(), limit: team_limit },
        )]);
        cluster.add_job(job_array("j-1", 4), 1, Some(JobOutcome::Cancelled), now);
        let start = |index| StartRecord {
            machine: unreachable.clone(),
            task: Task { job: "j-1".into(), index },
            attempt: 7,
            incarnation: 1,
        };
        let shard = PlacementShard { revision: 1, starts: (0..4).map(start).collect(), completed: vec![] };
        let locations = std::collections::HashMap::from([(
            unreachable.clone(),
            MachineLocation { machine_type: "t".into(), zone: "z1".into(), spot: false },
        )]);
        cluster.add_shard(0, shard, &locations, now);
        add_machine(&mut cluster, "i-0", now);
        cluster.add_job(job_array("j-2", 4), 2, None, now);
        cluster
    };
    let heartbeat = |token, incarnation| heartbeat("i-9", "z1", incarnation, 50, token);
    let assigned_tasks = |cluster: &mut Cluster| {
        cluster.run_placement_pass(now);
        cluster.jobs["j-2"].assignments.len()
    };
    let (previous_token, current_token) = (4 << 24, 5 << 24);
    // Missed heartbeats, machine lists and a heartbeat of unknown age do not prove absence.
    let mut cluster = new_leader();
    assert!(
        !cluster.has_no_task_of("j-1") && cluster.has_no_task_of("j-3"),
        "only the job with stored starts may still have tasks"
    );
    assert_eq!(assigned_tasks(&mut cluster), 0);
    cluster.apply_machine_list(&[], now);
    cluster.collect_garbage(now);
    assert_applied(&mut cluster, &heartbeat(previous_token, 1), now);
    assert_eq!((assigned_tasks(&mut cluster), cluster.has_no_task_of("j-1")), (0, false));
    // A heartbeat with this term's token, a heartbeat of a later incarnation, and the deletion of
    // the machine each prove absence.
    type Proof<'a> = &'a dyn Fn(&mut Cluster);
    let proofs: [Proof; 3] = [
        &|cluster| assert_applied(cluster, &heartbeat(current_token, 1), now),
        &|cluster| assert_applied(cluster, &heartbeat(previous_token, 2), now),
        &|cluster| cluster.apply_deletion(std::slice::from_ref(&unreachable), now),
    ];
    for (n, proof) in proofs.iter().enumerate() {
        let mut cluster = new_leader();
        assert_eq!(assigned_tasks(&mut cluster), 0);
        proof(&mut cluster);
        assert!(cluster.has_no_task_of("j-1"), "proof {n}: the job has no task left");
        assert_eq!(assigned_tasks(&mut cluster), 4, "proof {n}: the resources are used at once");
    }
}

/// Guards against starting a task twice after a change of leader.  A new machine is up within two
/// seconds and gets a task before any machine list of the cloud has it; then the leader ends.  The
/// next leader finds the start with the machine's location in a stored shard and counts it.  Neither
/// a lagging machine list nor the lack of a heartbeat proves that the task is absent.
#[test]
fn start_on_unlisted_machine_counts_for_the_next_leader() {
    use crate::commit::{read_shard, TxnLimits};
    use coralnotch_wire::state::{KeyValue, Write};
    let now = Instant::now();
    let mut cluster = new_cluster(4, now);
    let first = Heartbeat { spot: true, ..heartbeat("i-7", "z2", 1, 1, 0) };
    assert_applied(&mut cluster, &first, now);
    cluster.add_job(job_array("j-1", 1), 1, None, now);
    cluster.run_placement_pass(now);
    assert_eq!(cluster.jobs["j-1"].assignments.len(), 1, "the unlisted machine gets the task at once");
    assert!(
        cluster.reply_to_heartbeat(&first, now).commands.is_empty(),
        "no start command is sent before the delayed write of the start is stored"
    );
    let limits = TxnLimits { writes: 8, preconditions: 32, shard_bytes: 4096, value_bytes: 4096 };
    let batch = cluster.next_commit(9, &limits).expect("the start has to be stored");
    let Some(Write::Set { set, data, .. }) = batch.txn.writes.first().cloned() else {
        panic!("the first write of the commit is not a shard")
    };
    let stored = read_shard(&set, &KeyValue { key: set.clone(), value: data, revision: 11 })
        .expect("the stored shard is readable");
    // For the next leader, no list has the machine and the machine has sent no heartbeat.
    let mut next_leader = new_cluster(5, now);
    next_leader.add_job(job_array("j-1", 1), 1, None, now);
    next_leader.add_shard(stored.id, stored.shard, &stored.locations, now);
    next_leader.apply_machine_list(&[], now);
    next_leader.run_placement_pass(now);
    let machine = &next_leader.machines["i-7"];
    assert_eq!((&*machine.zone, machine.spot, machine.tasks.len()), ("z2", true, 1));
    assert_eq!(next_leader.jobs["j-1"].pending.len(), 0, "the task is not started on another machine");
    next_leader.apply_deletion(&["i-7".into()], now);
    assert_eq!(next_leader.jobs["j-1"].pending.len(), 1);
}

/// Guards against zone-bound jobs that block other jobs.  An array and a gang that are bound to one
/// zone lose their machines.  The two jobs wait for machines in that zone while a job without a
/// zone constraint is placed elsewhere.  As machines come up in the zone, the two jobs start in queue
/// order, the larger one first.
#[test]
fn zone_bound_jobs_wait_for_their_zone_without_blocking_others() {
    let start = Instant::now();
    let mut cluster = new_cluster(1, start);
    let add_machine_in = |cluster: &mut Cluster, name: &str, zone: &str, now| {
        add_machine(cluster, name, now);
        cluster.machines.get_mut(name).expect("the machine was added").zone = zone.into();
    };
    add_machine_in(&mut cluster, "i-0", "z1", start);
    add_machine_in(&mut cluster, "i-1", "z1", start);
    add_machine_in(&mut cluster, "i-2", "z2", start);
    let job_in_z1 = |id: &str, tasks, shape| {
        Arc::new(JobSpec { zone: Some("z1".into()), shape, ..(*job_array(id, tasks)).clone() })
    };
    cluster.add_job(job_in_z1("j-1", 8, Shape::Array), 1, None, start);
    cluster.add_job(job_in_z1("j-2", 6, Shape::Gang), 2, None, start);
    cluster.run_placement_pass(start);
    let assigned_tasks =
        |cluster: &Cluster| ["j-1", "j-2", "j-3"].map(|id| cluster.jobs.get(id).map_or(0, |j| j.assignments.len()));
    assert_eq!(assigned_tasks(&cluster), [8, 6, 0]);
    // The machines of z1 are deleted.  The machine in z2 has free resources, but the jobs bound to
    // z1 may not use them.
    cluster.apply_deletion(&["i-0".into(), "i-1".into()], start);
    let now = start + Duration::from_secs(1);
    cluster.add_job(job_array("j-3", 8), 3, None, now);
    cluster.run_placement_pass(now);
    assert_eq!(assigned_tasks(&cluster), [0, 0, 8], "the job without a zone constraint is placed");
    assert!(cluster.machines.values().all(|m| &*m.zone != "z1" || m.tasks.is_empty()));
    // Machines in z1 come up one by one.
    add_machine_in(&mut cluster, "i-3", "z1", now);
    cluster.run_placement_pass(now);
    assert_eq!(assigned_tasks(&cluster)[0], 8, "the array is first in the queue");
    add_machine_in(&mut cluster, "i-4", "z1", now);
    cluster.run_placement_pass(now);
    assert_eq!(assigned_tasks(&cluster), [8, 6, 8]);
}
