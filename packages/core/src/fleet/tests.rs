use super::*;
use crate::cluster::{Machine, MachineLocation, PlacementShard, StartRecord, TaskPhase};
use crate::policy::Policy;
use crate::sim::{cluster as new_cluster, spec};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

fn record_starts(cluster: &mut Cluster, machines: usize, zone: &str, job: &str, now: Instant) {
    let mut shard = PlacementShard::default();
    let mut locations = HashMap::new();
    for i in 0..machines {
        let machine: Name = format!("i-{zone}{i:04}").into();
        locations.insert(machine.clone(), MachineLocation { kind: "t".into(), zone: zone.into(), spot: false });
        shard.starts.push(StartRecord {
            machine,
            task: Task { job: job.into(), index: i as u32 },
            attempt: 1,
            incarnation: 1,
        });
    }
    cluster.add_shard(cluster.shards.len() as u32, shard, &locations, now);
}

/// A zone whose machines all miss their heartbeats is partitioned, not dead: its
/// machines stay, whatever share of the fleet they are.
#[test]
fn machines_of_a_partitioned_zone_are_kept() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    cluster.add_job(spec("j-000001", 1000), 1, None, start);
    cluster.add_job(spec("j-000002", 1000), 2, None, start);
    record_starts(&mut cluster, 30, "z0", "j-000001", start);
    record_starts(&mut cluster, 70, "z1", "j-000002", start);
    let later = start + cluster.policy.silent * 2;
    for m in cluster.machines.values_mut().filter(|m| *m.zone == *"z1") {
        m.last_heartbeat = Some(later);
    }
    assert!(cluster.plan_fleet(&[], later).deletions.is_empty());
    assert!(cluster.fleet.partitioned_zones.contains("z0"));
    // Seen on the bench: the partition healed, two thirds had sent heartbeats, and
    // the rest was deleted a second before its heartbeats came.
    let healed = later + Duration::from_secs(1);
    for m in cluster.machines.values_mut().skip(5) {
        m.last_heartbeat = Some(healed);
    }
    assert!(cluster.plan_fleet(&[], healed).deletions.is_empty());
    // those that stay away after that are another matter
    assert_eq!(cluster.plan_fleet(&[], later + cluster.policy.missed).deletions.len(), 5);
}

/// Seen on an operators' day: a zone without a controller was partitioned, and its
/// replicas were missed until it came back.  Their leases expire at a known time;
/// then a deletion proves them gone, and others replace them.  Where a controller
/// inside the zone renews the leases, they keep running.
#[test]
fn replicas_in_a_partitioned_zone_are_deleted_when_their_leases_expire() {
    let start = Instant::now();
    let service = |id| Arc::new(JobSpec { shape: Shape::Service, ..(*spec(id, 1000)).clone() });
    for has_controller in [false, true] {
        let mut cluster = new_cluster(2, start);
        let policy: Arc<Policy> = cluster.policy.clone();
        cluster.zones_with_controller = BTreeSet::from(["z1".into()]);
        if has_controller {
            cluster.zones_with_controller.insert("z0".into());
        }
        cluster.add_job(service("j-000001"), 1, None, start);
        cluster.add_job(spec("j-000002", 1000), 2, None, start);
        record_starts(&mut cluster, 10, "z0", "j-000001", start);
        record_starts(&mut cluster, 10, "z0x", "j-000002", start);
        record_starts(&mut cluster, 70, "z1", "j-000002", start);
        let zone = |m: &mut Machine| {
            if *m.zone == *"z0x" {
                m.zone = "z0".into();
            }
        };
        cluster.machines.values_mut().for_each(zone);
        let mut plan_at = |t: Instant| {
            for m in cluster.machines.values_mut().filter(|m| *m.zone == *"z1") {
                m.last_heartbeat = Some(t);
            }
            cluster.plan_fleet(&[], t).deletions
        };
        let end = start + policy.lease_over;
        assert!(plan_at(end - Duration::from_secs(1)).is_empty(), "they may still run");
        let gone = plan_at(end + Duration::from_millis(100));
        // only what holds replicas: the rest may be of use again
        assert_eq!(gone.len(), if has_controller { 0 } else { 10 });
        assert!(gone.iter().all(|n| n.starts_with("i-z00")));
    }
}

/// Seen at ten thousand machines on a twelfth of a core: the heartbeats alone took
/// more time than the leader had, and no request was served.  No more machines are
/// rented than it can process heartbeats of.
#[test]
fn no_more_machines_are_rented_than_the_leader_can_serve() {
    let now = Instant::now();
    let mut cluster = new_cluster(2, now);
    let mut policy = Policy::clone(&cluster.policy);
    policy.most_machines = 12;
    cluster.policy = Arc::new(policy);
    cluster.set_types(&[MachineType { zones: vec!["z0".into(), "z1".into()], ..crate::sim::machine_type("t") }]);
    cluster.add_job(spec("j-000001", 1000), 1, None, now);
    record_starts(&mut cluster, 5, "z0", "j-000001", now);
    cluster.apply_machine_list(&[], now);
    let want = UnmetDemand { spec: spec("j-000001", 1000), count: 1000, zones: BTreeMap::new() };
    let rented = |p: FleetPlan| p.rentals.iter().map(|r| r.count).sum::<u32>();
    assert_eq!(rented(cluster.plan_fleet(std::slice::from_ref(&want), now)), 7);
    // what was asked for counts until it is here
    assert_eq!(
        rented(cluster.plan_fleet(std::slice::from_ref(&want), now)),
        7,
        "the same again, with the same request ids"
    );
    assert_eq!(cluster.fleet.open_rentals.iter().map(|r| r.count).sum::<u32>(), 7);
}

/// Seen where arrays run on spot machines alone: replicas can preempt nothing on
/// ordinary ones, and the little room that was kept did not last for a boot.  And
/// spot machines that were lost were not rented again while thousands of tasks
/// waited, as slots in use counted as free.
#[test]
fn machines_are_rented_for_expected_and_for_waiting_tasks() {
    let start = Instant::now();
    let zones: Vec<Name> = ["z0", "z1", "z2", "z3"].map(Name::from).to_vec();
    let several =
        |cluster: &mut Cluster| cluster.policy = Arc::new(Policy { rentals_at_once: 10, ..(*cluster.policy).clone() });
    let ordinary = |arrivals: u32| {
        let mut cluster = new_cluster(2, start);
        several(&mut cluster);
        cluster.set_types(&[MachineType { zones: zones.clone(), ..crate::sim::machine_type("t") }]);
        cluster.start_objectives.insert("c".into(), 5.0);
        let now = start + cluster.policy.ttl + Duration::from_secs(20);
        for n in 0..arrivals {
            let s =
                JobSpec { shape: Shape::Service, spread: true, spot: false, ..(*spec(&format!("j-{n}"), 4)).clone() };
            cluster.add_job(Arc::new(s), 1 + u64::from(n), None, now - Duration::from_secs(1));
        }
        cluster.apply_machine_list(&[], now);
        let rent = cluster.plan_fleet(&[], now).rentals;
        assert!(rent.iter().all(|r| !r.spot));
        rent.iter().map(|r| r.count).sum::<u32>()
    };
    // a boot of 10 s, half of a window of 20: half of what came will come again
    assert_eq!((ordinary(0), ordinary(1), ordinary(80)), (0, 2, 20));

    let mut cluster = new_cluster(2, start);
    several(&mut cluster);
    cluster.set_types(&[MachineType { zones, ..crate::sim::machine_type("t") }]);
    cluster.add_job(spec("j-000001", 1000), 1, None, start);
    record_starts(&mut cluster, 100, "z0", "j-000001", start);
    cluster.apply_machine_list(&[], start);
    let want = |count| UnmetDemand { spec: spec("j-000001", 1000), count, zones: BTreeMap::new() };
    let each = 10.0 / cluster.policy.spot_horizon_s;
    let mut rented = |count| {
        cluster.fleet.open_rentals.clear();
        cluster.plan_fleet(&[want(count)], start).rentals.iter().map(|r| (r.spot, r.count)).collect::<Vec<_>>()
    };
    let enough = (100.0 / each) as u32;
    assert_eq!(rented(enough), [], "a hundred slots are through with these in time");
    let more = rented(enough + 80);
    assert_eq!(more.iter().map(|r| r.1).sum::<u32>(), (80.0 * each / 8.0).ceil() as u32);
    assert!(more.iter().all(|r| r.0), "for ordinary machines they may wait");
}

/// A new leader counts the time since a machine's last heartbeat from what its previous
/// leader stored, but not before the workers have had the time to send one.
#[test]
fn time_since_the_last_heartbeat_is_inherited() {
    let start = Instant::now() + Duration::from_secs(100);
    let mut cluster = new_cluster(2, start);
    cluster.add_job(spec("j-000001", 1000), 1, None, start);
    record_starts(&mut cluster, 2, "z0", "j-000001", start);
    let last_heartbeat = Some(start - Duration::from_secs(20));
    cluster
        .machine_hints
        .insert("i-z00000".into(), crate::cluster::MachineHints { last_heartbeat, ..Default::default() });
    let since_heartbeat = |after: Duration| {
        let of = |n: &str| cluster.time_since_heartbeat(&cluster.machines[n], start + after).as_secs();
        (of("i-z00000"), of("i-z00001"))
    };
    assert_eq!(since_heartbeat(Duration::from_secs(1)), (1, 1));
    let waited = cluster.policy.missed + Duration::from_secs(1);
    assert_eq!(since_heartbeat(waited), (20 + waited.as_secs(), waited.as_secs()));
    // a controller inside the zone may have had its heartbeats all along
    cluster.zones_with_controller.insert("z0".into());
    assert_eq!(cluster.time_since_heartbeat(&cluster.machines["i-z00000"], start + waited).as_secs(), waited.as_secs());
}

/// Heartbeats that were missed during the controller's own stall do not count: no
/// machine is deleted for them, but those that send none after it are.
#[test]
fn a_stall_of_the_controller_deletes_no_machine() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    cluster.add_job(spec("j-000001", 1000), 1, None, start);
    record_starts(&mut cluster, 2, "z0", "j-000001", start);
    let resumed = start + cluster.policy.silent * 2;
    cluster.resumed_at = resumed;
    assert!(cluster.plan_fleet(&[], resumed).deletions.is_empty());
    let later = resumed + cluster.policy.silent + Duration::from_secs(1);
    assert_eq!(cluster.plan_fleet(&[], later).deletions.len(), 2);
}

/// A task of a cancelled job on a machine that no stop command reaches: the cloud has
/// to delete the machine, and in time, also under a new leader that knows only the
/// stored start.  Else a controller in a partitioned zone might keep it running.
#[test]
fn machines_that_a_cancellation_cannot_reach_are_deleted() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    cluster.add_job(spec("j-000001", 1000), 1, Some(JobOutcome::Cancelled), start);
    record_starts(&mut cluster, 30, "z0", "j-000001", start);
    let later = start + cluster.policy.fresh + Duration::from_secs(1);
    assert_eq!(cluster.plan_fleet(&[], later).deletions.len(), 30);
}

/// Rentals outlive their leader: the next one requests them again with the same
/// request ids, and nothing new before it knows what is on its way.
#[test]
fn rentals_of_a_previous_leader_are_requested_again_and_not_twice() {
    let start = Instant::now();
    let mut old = new_cluster(1, start);
    old.set_types(&[MachineType { zones: vec!["z0".into()], ..crate::sim::machine_type("t") }]);
    old.fleet.last_full_list = Some(start);
    let want = |cluster: &Cluster| UnmetDemand {
        spec: cluster.jobs["j-000001"].spec.clone(),
        count: 300,
        zones: BTreeMap::new(),
    };
    old.add_job(spec("j-000001", 300), 1, None, start);
    let asked = old.plan_fleet(&[want(&old)], start).rentals;
    assert!(!asked.is_empty());
    let key = old.fleet.new_record_key(1);
    assert_eq!(old.fleet.unrecorded(&asked), asked);
    old.fleet.mark_recorded(key.clone(), &asked);
    assert!(old.fleet.unrecorded(&asked).is_empty());
    // its term ends before the cloud answers
    let mut new = new_cluster(2, start);
    new.set_types(&[MachineType { zones: vec!["z0".into()], ..crate::sim::machine_type("t") }]);
    new.fleet.last_full_list = Some(start);
    new.add_job(spec("j-000001", 300), 1, None, start);
    new.fleet.inherit(key.clone(), asked.clone());
    new.fleet.inherit("again".into(), asked.clone());
    let plan = new.plan_fleet(&[want(&new)], start);
    assert_eq!(plan.rentals, asked, "asked for again, and nothing beside it");
    // answered: the names count until a list has them, then the record goes
    for (n, r) in asked.iter().enumerate() {
        let names: Vec<Name> = (0..r.count).map(|i| format!("i-{n}-{i}").into()).collect();
        new.apply_rental(r, &names, start);
    }
    assert!(new.plan_fleet(&[want(&new)], start).rentals.is_empty());
    let kept = new.policy.rental_kept;
    assert!(new.fleet.expired_records(kept, 9, start + kept).is_empty());
    assert_eq!(new.fleet.expired_records(kept, 9, start + kept * 2).len(), 2);
}

/// Replicas leave a machine that holds few for fuller ones, one machine at a
/// time in a small fleet, and only if all of them fit where their
/// image is; nothing moves while other work waits for room.
#[test]
fn sparse_machines_are_cordoned_and_no_others() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    let replica = |id: &str| {
        let mut s = (*spec(id, 1)).clone();
        (s.shape, s.spot, s.cpus) = (Shape::Service, false, 2.0);
        std::sync::Arc::new(s)
    };
    let now = start + cluster.policy.settled * 3;
    // eight cores each: three replicas, two, one, and room to spare
    for (number, held) in [3, 2, 1, 0, 0, 0].into_iter().enumerate() {
        let name: Name = format!("i-{number}").into();
        let mut machine = Machine::new(name.clone(), "t".into(), "z0".into(), false, start);
        (machine.incarnation, machine.last_heartbeat, machine.size) = (1, Some(now), cluster.types["t"].size());
        machine.images = vec![("img-0".into(), 1.0)];
        machine.idle_since = Some(now);
        cluster.machines.insert(name.clone(), machine);
        for n in 0..held {
            let id: Name = format!("j-{number}{n}").into();
            cluster.add_job(replica(&id), 1, None, start);
            assert!(cluster.assign(&Task { job: id, index: 0 }, &name, 1, start));
        }
    }
    for task in cluster.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
        (task.phase, task.stored, task.running_since) = (TaskPhase::Running, true, Some(start));
    }
    let cordoned = |cluster: &Cluster| {
        cluster.machines.values().filter(|m| m.cordon_reason.is_some()).map(|m| m.name.to_string()).collect::<Vec<_>>()
    };
    // the cloud takes nothing back for now
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
    cluster.fleet.last_full_list = Some(now);
    // other work waits
    cluster.add_job(spec("j-000009", 1), 9, None, start);
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
    cluster.set_outcome("j-000009", JobOutcome::Cancelled, now);
    // its image is not where there is room
    cluster.machines.values_mut().for_each(|m| m.images.clear());
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
    cluster.machines.values_mut().for_each(|m| m.images = vec![("img-0".into(), 1.0)]);
    cluster.plan_fleet(&[], now);
    assert_eq!(cordoned(&cluster), ["i-2"]);
    // while its replica is down, no other follows
    cluster.plan_fleet(&[], now);
    assert_eq!(cordoned(&cluster), ["i-2"]);
    // nothing that has just begun moves
    cluster.machines.get_mut("i-2").expect("it is there").cordon_reason = None;
    for task in cluster.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
        (task.running_since, task.stop_grace_s) = (Some(now), None);
    }
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
}
