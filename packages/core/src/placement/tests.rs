use super::*;
use crate::cluster::{Machine, MachineState, QueuePriority};
use crate::sim::{cluster as new_cluster, report as heartbeat, spec};
use crate::workers::{Heartbeat, HeartbeatOutcome, HeartbeatSource};
use std::sync::Arc;
use std::time::Duration;

fn add_machine(cluster: &mut Cluster, name: &str, now: Instant) {
    let mut m = Machine::new(name.into(), "t".into(), "z0".into(), true, now);
    (m.incarnation, m.last_heartbeat, m.state, m.size) =
        (1, Some(now), Some(MachineState::Running), cluster.types["t"].size());
    cluster.machines.insert(name.into(), m);
}

fn assert_applied(cluster: &mut Cluster, heartbeat: &Heartbeat, now: Instant) {
    assert_eq!(cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now), HeartbeatOutcome::Applied);
}

/// Tasks of a large array that were lost with their spot machines were queued behind
/// all that had come since, and made their job late by minutes.
#[test]
fn a_lost_task_does_not_queue_again() {
    let start = Instant::now();
    let mut cluster = new_cluster(1, start);
    for n in 0..5 {
        add_machine(&mut cluster, &format!("i-{n}"), start);
    }
    cluster.add_job(spec("j-000001", 400), 1, None, start);
    cluster.run_placement_pass(start);
    assert_eq!(cluster.jobs["j-000001"].assignments.len(), 40);
    let now = start + Duration::from_secs(5);
    cluster.add_job(spec("j-000002", 40), 2, None, now);
    for m in cluster.machines.values_mut() {
        m.last_heartbeat = Some(now);
    }
    // some were lost; the new job is first, but for these
    cluster.release_assignment(&"i-0".into(), &Task { job: "j-000001".into(), index: 0 }, now);
    cluster.release_all_assignments(&"i-1".into(), now);
    let first = *cluster.jobs["j-000001"].pending.iter().collect::<Vec<_>>().first().expect("a lost task");
    assert_eq!(first, 0);
    let lost = cluster.jobs["j-000001"].pending.below(cluster.jobs["j-000001"].first_never_assigned());
    cluster.run_placement_pass(now);
    assert_eq!(cluster.jobs["j-000001"].assignments.len(), 40, "what was lost runs again");
    assert_eq!(lost, 9);
    assert_eq!(cluster.jobs["j-000002"].assignments.len(), 0);
    // what of the first has never run waits behind the second
    cluster.release_all_assignments(&"i-1".into(), now);
    cluster.machines.get_mut("i-1").expect("it is there").size = Resources { cpus: 18.0, gpus: 0.0, memory: 64.0 };
    cluster.run_placement_pass(now);
    assert_eq!((cluster.jobs["j-000001"].assignments.len(), cluster.jobs["j-000002"].assignments.len()), (40, 10));
}

/// A chain under a deadline mostly lost a task with a spot machine. Its tasks take
/// the room that ordinary machines have left, and a job's priority is the highest of its
/// own and of those that wait for it.
#[test]
fn chains_keep_to_ordinary_machines_and_the_highest_priority() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    add_machine(&mut cluster, "i-0", now);
    add_machine(&mut cluster, "i-1", now);
    cluster.machines.get_mut("i-1").expect("it is there").spot = false;
    let low = |id: &str| JobSpec { priority: Priority::Low, ..(*spec(id, 1)).clone() };
    cluster.add_job(Arc::new(low("j-1")), 1, None, now);
    cluster.add_job(Arc::new(low("j-2")), 2, None, now);
    cluster.add_job(Arc::new(low("j-4")), 4, None, now);
    let last = JobSpec { needs: vec!["j-2".into()], priority: Priority::High, deadline_s: Some(60.0), ..low("j-3") };
    cluster.add_job(Arc::new(last), 3, None, now);
    assert_eq!(
        cluster.jobs["j-2"].queue_priority(),
        QueuePriority { is_beyond_guarantee: true, priority: Priority::High }
    );
    cluster.run_placement_pass(now);
    let at = |cluster: &Cluster, id: &str| cluster.jobs.get(id).and_then(|j| Some(j.assignments.get(&0)?[0].clone()));
    assert_eq!(at(&cluster, "j-2").as_deref(), Some("i-1"), "under the deadline of the last");
    assert_eq!((at(&cluster, "j-1").as_deref(), at(&cluster, "j-4").as_deref()), (Some("i-0"), Some("i-0")));
    assert_eq!(at(&cluster, "j-3"), None);
    // the last is cancelled: what it needs is as urgent as it was by itself
    cluster.set_outcome("j-3", JobOutcome::Cancelled, now);
    assert_eq!(
        cluster.jobs["j-2"].queue_priority(),
        QueuePriority { is_beyond_guarantee: true, priority: Priority::Low }
    );
    cluster.set_outcome("j-2", JobOutcome::Done, now);
    assert!(cluster.dependency.is_empty());
}

/// Seen with four thousand machines: one pass took longer than the leader's lease.  A
/// pass ends when it has examined a number of machines, the next ones continue, and
/// nothing waits for ever.
#[test]
fn a_long_queue_takes_several_passes() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    for n in 0..50 {
        add_machine(&mut cluster, &format!("i-{n:02}"), now);
    }
    let mut policy = (*cluster.policy).clone();
    policy.pass_looks = 200;
    cluster.policy = Arc::new(policy);
    for n in 0..40 {
        cluster.add_job(spec(&format!("j-{n:06}"), 3), n + 1, None, now);
    }
    let placed = |cluster: &Cluster| cluster.jobs.values().filter(|j| j.pending.is_empty()).count();
    cluster.run_placement_pass(now);
    let first = placed(&cluster);
    assert!((1..10).contains(&first), "{first} jobs in one pass");
    assert!(cluster.queue_changed, "another pass is due");
    // in their order
    assert!((0..first).all(|n| cluster.jobs[&*format!("j-{n:06}")].pending.is_empty()));
    let passes = (1..100).find(|_| {
        cluster.run_placement_pass(now);
        placed(&cluster) == 40
    });
    assert!(passes.is_some() && !cluster.queue_changed);
}

/// Every team is at its limit, a job is cancelled whose machines can't be reached, and the
/// leader changes: its stored starts count until they are proved to be gone, though this
/// leader has no heartbeat of their machines, and nothing of its team starts instead; then
/// the room is used at once.
#[test]
fn places_of_a_cancelled_job_count_until_there_is_a_proof() {
    use crate::cluster::{MachineLocation, PlacementShard, StartRecord, TeamLimit};
    let now = Instant::now();
    let most = Resources { cpus: 4.0, gpus: 0.0, memory: 0.0 };
    let old: Name = "i-9".into();
    let leader = || {
        let mut cluster = new_cluster(5, now);
        cluster.teams =
            std::collections::HashMap::from([("x".into(), TeamLimit { guarantee: Resources::default(), limit: most })]);
        cluster.add_job(spec("j-1", 4), 1, Some(JobOutcome::Cancelled), now);
        let start = |index| StartRecord {
            machine: old.clone(),
            task: Task { job: "j-1".into(), index },
            attempt: 7,
            incarnation: 1,
        };
        let shard = PlacementShard { revision: 1, starts: (0..4).map(start).collect(), completed: vec![] };
        let at = std::collections::HashMap::from([(
            old.clone(),
            MachineLocation { kind: "t".into(), zone: "z1".into(), spot: false },
        )]);
        cluster.add_shard(0, shard, &at, now);
        add_machine(&mut cluster, "i-0", now);
        cluster.add_job(spec("j-2", 4), 2, None, now);
        cluster
    };
    let heartbeat = |token, incarnation| heartbeat("i-9", "z1", incarnation, 50, token);
    let running_tasks = |cluster: &mut Cluster| {
        cluster.run_placement_pass(now);
        cluster.jobs["j-2"].assignments.len()
    };
    let (last, this) = (4 << 24, 5 << 24);
    // missed heartbeats, lists, and a heartbeat that may be of any age are no proof
    let mut cluster = leader();
    assert!(
        !cluster.has_no_task_of("j-1") && cluster.has_no_task_of("j-3"),
        "a job with stored starts is not known to be gone"
    );
    assert_eq!(running_tasks(&mut cluster), 0);
    cluster.apply_machine_list(&[], now);
    cluster.collect_garbage(now);
    assert_applied(&mut cluster, &heartbeat(last, 1), now);
    assert_eq!((running_tasks(&mut cluster), cluster.has_no_task_of("j-1")), (0, false));
    // a heartbeat under this term's token is a proof, and so are a later incarnation and a
    // deletion
    type Proof<'a> = &'a dyn Fn(&mut Cluster);
    let proofs: [Proof; 3] = [
        &|cluster| assert_applied(cluster, &heartbeat(this, 1), now),
        &|cluster| assert_applied(cluster, &heartbeat(last, 2), now),
        &|cluster| cluster.apply_deletion(std::slice::from_ref(&old), now),
    ];
    for (n, proof) in proofs.iter().enumerate() {
        let mut cluster = leader();
        assert_eq!(running_tasks(&mut cluster), 0);
        proof(&mut cluster);
        assert!(cluster.has_no_task_of("j-1"), "{n}");
        assert_eq!(running_tasks(&mut cluster), 4, "proof {n}: the room is used at once");
    }
}

/// A new machine is up within two seconds and gets work before any list has it, and the
/// leader ends: the next one finds the start in its shard with the machine's location, counts
/// it, and takes neither a list that lags nor its own ignorance for a proof.
#[test]
fn a_start_on_a_machine_that_no_list_has_counts_for_the_next_leader() {
    use crate::commit::{read_shard, TxnLimits};
    use coralnotch_wire::state::{KeyValue, Write};
    let now = Instant::now();
    let mut cluster = new_cluster(4, now);
    let first = Heartbeat { spot: true, ..heartbeat("i-7", "z2", 1, 1, 0) };
    assert_applied(&mut cluster, &first, now);
    cluster.add_job(spec("j-1", 1), 1, None, now);
    cluster.run_placement_pass(now);
    assert_eq!(cluster.jobs["j-1"].assignments.len(), 1, "it gets work at once");
    assert!(cluster.reply_to_heartbeat(&first, now).commands.is_empty(), "not before the start is stored: writes lag");
    let limits = TxnLimits { writes: 8, preconditions: 32, shard_bytes: 4096, value_bytes: 4096 };
    let batch = cluster.next_commit(9, &limits).expect("a start is to be stored");
    let Some(Write::Set { set, data, .. }) = batch.txn.writes.first().cloned() else { panic!("a shard") };
    let stored = read_shard(&set, &KeyValue { key: set.clone(), value: data, revision: 11 }).expect("our own shard");
    // the next leader: no list has the machine, and it never sent a heartbeat
    let mut next = new_cluster(5, now);
    next.add_job(spec("j-1", 1), 1, None, now);
    next.add_shard(stored.id, stored.shard, &stored.locations, now);
    next.apply_machine_list(&[], now);
    next.run_placement_pass(now);
    let m = &next.machines["i-7"];
    assert_eq!((&*m.zone, m.spot, m.tasks.len()), ("z2", true, 1));
    assert_eq!(next.jobs["j-1"].pending.len(), 0, "it is not started elsewhere");
    next.apply_deletion(&["i-7".into()], now);
    assert_eq!(next.jobs["j-1"].pending.len(), 1);
}

/// Jobs bound to one zone lose their machines, an array and a gang: they wait for room
/// there, which holds up nobody who may run elsewhere, and begin as soon as there is some,
/// the larger one in the order of the queue.
#[test]
fn jobs_bound_to_a_zone_wait_for_room_there_and_hold_nobody_up() {
    let start = Instant::now();
    let mut cluster = new_cluster(1, start);
    let zone = |cluster: &mut Cluster, name: &str, zone: &str, now| {
        add_machine(cluster, name, now);
        cluster.machines.get_mut(name).expect("it is up").zone = zone.into();
    };
    zone(&mut cluster, "i-0", "z1", start);
    zone(&mut cluster, "i-1", "z1", start);
    zone(&mut cluster, "i-2", "z2", start);
    let bound =
        |id: &str, tasks, shape| Arc::new(JobSpec { zone: Some("z1".into()), shape, ..(*spec(id, tasks)).clone() });
    cluster.add_job(bound("j-1", 8, Shape::Array), 1, None, start);
    cluster.add_job(bound("j-2", 6, Shape::Gang), 2, None, start);
    cluster.run_placement_pass(start);
    let running_tasks =
        |cluster: &Cluster| ["j-1", "j-2", "j-3"].map(|id| cluster.jobs.get(id).map_or(0, |j| j.assignments.len()));
    assert_eq!(running_tasks(&cluster), [8, 6, 0]);
    // the zone's machines die; others have room, which is not theirs
    cluster.apply_deletion(&["i-0".into(), "i-1".into()], start);
    let now = start + Duration::from_secs(1);
    cluster.add_job(spec("j-3", 8), 3, None, now);
    cluster.run_placement_pass(now);
    assert_eq!(running_tasks(&cluster), [0, 0, 8], "what may run elsewhere runs");
    assert!(cluster.machines.values().all(|m| &*m.zone != "z1" || m.tasks.is_empty()));
    // room comes back machine by machine
    zone(&mut cluster, "i-3", "z1", now);
    cluster.run_placement_pass(now);
    assert_eq!(running_tasks(&cluster)[0], 8, "the array, which is first in the queue");
    zone(&mut cluster, "i-4", "z1", now);
    cluster.run_placement_pass(now);
    assert_eq!(running_tasks(&cluster), [8, 6, 8]);
}
