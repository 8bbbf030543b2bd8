use super::*;
use crate::cluster::{Machine, MachineState, QueuePriority};
use crate::sim::{cluster, report, spec};
use std::sync::Arc;
use std::time::Duration;

fn up(c: &mut Cluster, name: &str, now: Instant) {
    let mut m = Machine::new(name.into(), "t".into(), "z0".into(), true, now);
    (m.incarnation, m.last_heartbeat, m.state, m.size) =
        (1, Some(now), Some(MachineState::Running), c.types["t"].size());
    c.machines.insert(name.into(), m);
}

/// Tasks of a large array that a spot wave took queued behind all that had
/// come since, and made their job late by minutes.
#[test]
fn a_lost_task_does_not_queue_again() {
    let t0 = Instant::now();
    let mut c = cluster(1, t0);
    for n in 0..5 {
        up(&mut c, &format!("i-{n}"), t0);
    }
    c.add_job(spec("j-000001", 400), 1, None, t0);
    c.run_placement_pass(t0);
    assert_eq!(c.jobs["j-000001"].assignments.len(), 40);
    let now = t0 + Duration::from_secs(5);
    c.add_job(spec("j-000002", 40), 2, None, now);
    for m in c.machines.values_mut() {
        m.last_heartbeat = Some(now);
    }
    // two were lost; the new job is first, but for these
    c.release_assignment(&"i-0".into(), &Task { job: "j-000001".into(), index: 0 }, now);
    c.release_all_assignments(&"i-1".into(), now);
    let first = *c.jobs["j-000001"].pending.iter().collect::<Vec<_>>().first().expect("a lost task");
    assert_eq!(first, 0);
    let lost = c.jobs["j-000001"].pending.below(c.jobs["j-000001"].first_never_placed());
    c.run_placement_pass(now);
    assert_eq!(c.jobs["j-000001"].assignments.len(), 40, "what was lost runs again");
    assert_eq!(lost, 9);
    assert_eq!(c.jobs["j-000002"].assignments.len(), 0);
    // what of the first has never run waits behind the second
    c.release_all_assignments(&"i-1".into(), now);
    c.machines.get_mut("i-1").expect("it is there").size = Resources { cpus: 18.0, gpus: 0.0, memory: 64.0 };
    c.run_placement_pass(now);
    assert_eq!((c.jobs["j-000001"].assignments.len(), c.jobs["j-000002"].assignments.len()), (40, 10));
}

/// A chain under a deadline mostly lost a task with a spot machine. Its tasks take
/// the room that ordinary machines have left, and its rank is that of its last job.
#[test]
fn chains_keep_to_ordinary_machines_and_the_highest_rank() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    up(&mut c, "i-0", now);
    up(&mut c, "i-1", now);
    c.machines.get_mut("i-1").expect("it is there").spot = false;
    let low = |id: &str| JobSpec { priority: Priority::Low, ..(*spec(id, 1)).clone() };
    c.add_job(Arc::new(low("j-1")), 1, None, now);
    c.add_job(Arc::new(low("j-2")), 2, None, now);
    c.add_job(Arc::new(low("j-4")), 4, None, now);
    let last = JobSpec { needs: vec!["j-2".into()], priority: Priority::High, deadline_s: Some(60.0), ..low("j-3") };
    c.add_job(Arc::new(last), 3, None, now);
    let beyond_guarantee = |priority| QueuePriority { is_beyond_guarantee: true, priority };
    assert_eq!(c.jobs["j-2"].queue_priority(), beyond_guarantee(Priority::High));
    c.run_placement_pass(now);
    let at = |c: &Cluster, id: &str| c.jobs.get(id).and_then(|j| Some(j.assignments.get(&0)?[0].clone()));
    assert_eq!(at(&c, "j-2").as_deref(), Some("i-1"), "under the deadline of the last");
    assert_eq!((at(&c, "j-1").as_deref(), at(&c, "j-4").as_deref()), (Some("i-0"), Some("i-0")));
    assert_eq!(at(&c, "j-3"), None);
    // the last is cancelled: what it needs is as urgent as it was by itself
    c.set_outcome("j-3", JobOutcome::Cancelled, now);
    assert_eq!(c.jobs["j-2"].queue_priority(), beyond_guarantee(Priority::Low));
    c.set_outcome("j-2", JobOutcome::Done, now);
    assert!(c.dependency.is_empty());
}

/// Seen with four thousand machines: one pass took longer than the leader's
/// lease.  It stops when it has looked at so much, the next ones go on, and
/// nothing waits for ever.
#[test]
fn a_long_queue_takes_several_passes() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    for n in 0..50 {
        up(&mut c, &format!("i-{n:02}"), now);
    }
    let mut policy = (*c.policy).clone();
    policy.pass_looks = 200;
    c.policy = Arc::new(policy);
    for n in 0..40 {
        c.add_job(spec(&format!("j-{n:06}"), 3), n + 1, None, now);
    }
    let placed = |c: &Cluster| c.jobs.values().filter(|j| j.pending.is_empty()).count();
    c.run_placement_pass(now);
    let first = placed(&c);
    assert!((1..10).contains(&first), "{first} jobs in one pass");
    assert!(c.queue_changed, "another pass is due");
    // in their order
    assert!((0..first).all(|n| c.jobs[&*format!("j-{n:06}")].pending.is_empty()));
    let passes = (1..100).find(|_| {
        c.run_placement_pass(now);
        placed(&c) == 40
    });
    assert!(passes.is_some() && !c.queue_changed);
}

/// Every team is at its limit, a job is cancelled whose machines can't be reached, and the
/// leader changes: what is on record of it counts until it is proved to be gone, though
/// this leader never heard its machines, and nothing of its team starts in its place; then
/// the room is used at once.
#[test]
fn places_of_a_cancelled_job_count_until_there_is_a_proof() {
    use crate::cluster::{MachineLocation, PlacementShard, StartRecord, TeamLimit};
    let now = Instant::now();
    let most = Resources { cpus: 4.0, gpus: 0.0, memory: 0.0 };
    let old: Name = "i-9".into();
    let leader = || {
        let mut c = cluster(5, now);
        c.teams =
            std::collections::HashMap::from([("x".into(), TeamLimit { guarantee: Resources::default(), limit: most })]);
        c.add_job(spec("j-1", 4), 1, Some(JobOutcome::Cancelled), now);
        let start = |index| StartRecord {
            machine: old.clone(),
            task: Task { job: "j-1".into(), index },
            attempt: 7,
            incarnation: 1,
        };
        let page = PlacementShard { revision: 1, starts: (0..4).map(start).collect(), completed: vec![] };
        let location = MachineLocation { kind: "t".into(), zone: "z1".into(), spot: false };
        let at = std::collections::HashMap::from([(old.clone(), location)]);
        c.add_shard(0, page, &at, now);
        up(&mut c, "i-0", now);
        c.add_job(spec("j-2", 4), 2, None, now);
        c
    };
    let report = |token, session| report("i-9", "z1", session, 50, token);
    let begun = |c: &mut Cluster| {
        c.run_placement_pass(now);
        c.jobs["j-2"].assignments.len()
    };
    let (last, this) = (4 << 24, 5 << 24);
    // silence, lists, and a report that may be of any age are none
    let mut c = leader();
    assert!(
        !c.has_no_task_of("j-1") && c.has_no_task_of("j-3"),
        "of what is on record nobody is told that nothing is left"
    );
    assert_eq!(begun(&mut c), 0);
    c.apply_machine_list(&[], now);
    c.collect_garbage(now);
    assert_eq!(c.apply_heartbeat(&report(last, 1), true, now), Some(true));
    assert_eq!((begun(&mut c), c.has_no_task_of("j-1")), (0, false));
    // a report under this term's token is one, and so are a later session and a deletion
    type Proof<'a> = &'a dyn Fn(&mut Cluster);
    let proofs: [Proof; 3] = [
        &|c| assert_eq!(c.apply_heartbeat(&report(this, 1), true, now), Some(true)),
        &|c| assert_eq!(c.apply_heartbeat(&report(last, 2), true, now), Some(true)),
        &|c| c.apply_deletion(std::slice::from_ref(&old), now),
    ];
    for (n, proof) in proofs.iter().enumerate() {
        let mut c = leader();
        assert_eq!(begun(&mut c), 0);
        proof(&mut c);
        assert!(c.has_no_task_of("j-1"), "{n}");
        assert_eq!(begun(&mut c), 4, "proof {n}: the room is used at once");
    }
}

/// A new machine is up within two seconds and gets work before any list has it, and the
/// leader ends: the next one finds the start on its page with the machine's whereabouts,
/// counts it, and takes neither a list that lags nor its own ignorance for a proof.
#[test]
fn a_start_on_a_machine_that_no_list_has_counts_for_the_next_leader() {
    use crate::commit::{read_shard, TxnLimits};
    use crate::workers::Heartbeat;
    use coralnotch_wire::state::{KeyValue, Write};
    let now = Instant::now();
    let mut c = cluster(4, now);
    let first = Heartbeat { spot: true, ..report("i-7", "z2", 1, 1, 0) };
    assert_eq!(c.apply_heartbeat(&first, true, now), Some(true));
    c.add_job(spec("j-1", 1), 1, None, now);
    c.run_placement_pass(now);
    assert_eq!(c.jobs["j-1"].assignments.len(), 1, "it gets work at once");
    assert!(c.reply_to_heartbeat(&first, now).commands.is_empty(), "not before the start is stored: writes lag");
    let limits = TxnLimits { writes: 8, preconditions: 32, shard_bytes: 4096, value_bytes: 4096 };
    let batch = c.next_commit(9, &limits).expect("a start is to be stored");
    let Some(Write::Set { set, data, .. }) = batch.txn.writes.first().cloned() else { panic!("a page") };
    let stored = read_shard(&set, &KeyValue { key: set.clone(), value: data, revision: 11 }).expect("our own page");
    // the next leader: no list has the machine, and it was never heard
    let mut next = cluster(5, now);
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
/// the larger one in its turn.
#[test]
fn jobs_bound_to_a_zone_wait_for_room_there_and_hold_nobody_up() {
    let t0 = Instant::now();
    let mut c = cluster(1, t0);
    let zone = |c: &mut Cluster, name: &str, zone: &str, now| {
        up(c, name, now);
        c.machines.get_mut(name).expect("it is up").zone = zone.into();
    };
    zone(&mut c, "i-0", "z1", t0);
    zone(&mut c, "i-1", "z1", t0);
    zone(&mut c, "i-2", "z2", t0);
    let bound =
        |id: &str, tasks, shape| Arc::new(JobSpec { zone: Some("z1".into()), shape, ..(*spec(id, tasks)).clone() });
    c.add_job(bound("j-1", 8, Shape::Array), 1, None, t0);
    c.add_job(bound("j-2", 6, Shape::Gang), 2, None, t0);
    c.run_placement_pass(t0);
    let begun = |c: &Cluster| ["j-1", "j-2", "j-3"].map(|id| c.jobs.get(id).map_or(0, |j| j.assignments.len()));
    assert_eq!(begun(&c), [8, 6, 0]);
    // the zone's machines die; others have room, which is not theirs
    c.apply_deletion(&["i-0".into(), "i-1".into()], t0);
    let now = t0 + Duration::from_secs(1);
    c.add_job(spec("j-3", 8), 3, None, now);
    c.run_placement_pass(now);
    assert_eq!(begun(&c), [0, 0, 8], "what may run elsewhere runs");
    assert!(c.machines.values().all(|m| &*m.zone != "z1" || m.tasks.is_empty()));
    // room comes back machine by machine
    zone(&mut c, "i-3", "z1", now);
    c.run_placement_pass(now);
    assert_eq!(begun(&c)[0], 8, "the array, whose turn it is");
    zone(&mut c, "i-4", "z1", now);
    c.run_placement_pass(now);
    assert_eq!(begun(&c), [8, 6, 8]);
}
