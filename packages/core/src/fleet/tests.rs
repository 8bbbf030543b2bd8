use super::*;
use crate::cluster::{Machine, MachineLocation, PlacementShard, StartRecord, TaskPhase};
use crate::policy::Policy;
use crate::sim::{job_array, new_cluster};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

fn record_starts(cluster: &mut Cluster, machines: usize, zone: &str, job: &str, now: Instant) {
    let mut shard = PlacementShard::default();
    let mut locations = HashMap::new();
    for i in 0..machines {
        let machine: Name = format!("i-{zone}{i:04}").into();
        locations.insert(machine.clone(), MachineLocation { machine_type: "t".into(), zone: zone.into(), spot: false });
        shard.starts.push(StartRecord {
            machine,
            task: Task { job: job.into(), index: i as u32 },
            attempt: 1,
            incarnation: 1,
        });
    }
    cluster.add_shard(cluster.shards.len() as u32, shard, &locations, now);
}

/// When all machines of a zone miss their heartbeats, a partition is assumed and no machine is
/// deleted, whatever share of the fleet the zone has.  When the partition healed and two thirds
/// of the machines had sent heartbeats, the leader once deleted the rest, a second before their
/// heartbeats arrived.
#[test]
fn machines_of_a_partitioned_zone_are_not_deleted() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    cluster.add_job(job_array("j-000001", 1000), 1, None, start);
    cluster.add_job(job_array("j-000002", 1000), 2, None, start);
    record_starts(&mut cluster, 30, "z0", "j-000001", start);
    record_starts(&mut cluster, 70, "z1", "j-000002", start);
    let later = start + cluster.policy.silent * 2;
    for m in cluster.machines.values_mut().filter(|m| *m.zone == *"z1") {
        m.last_heartbeat = Some(later);
    }
    assert!(cluster.plan_fleet(&[], later).deletions.is_empty());
    assert!(cluster.fleet.partitioned_zones.contains("z0"));
    // the partition heals: all machines but five send a heartbeat
    let healed = later + Duration::from_secs(1);
    for m in cluster.machines.values_mut().skip(5) {
        m.last_heartbeat = Some(healed);
    }
    assert!(cluster.plan_fleet(&[], healed).deletions.is_empty());
    // machines that still send no heartbeat some time after that are deleted
    assert_eq!(cluster.plan_fleet(&[], later + cluster.policy.missed).deletions.len(), 5);
}

/// When a zone without a controller was partitioned, its replicas were missing until the
/// partition healed.  The leases of their machines expire at a known time.  From then on a
/// deletion proves that the replicas have stopped, and they can be replaced.  If a controller
/// inside the zone renews the leases, the replicas keep running and nothing is deleted.
#[test]
fn replicas_in_a_partitioned_zone_are_deleted_when_their_leases_expire() {
    let start = Instant::now();
    let service = |id| Arc::new(JobSpec { shape: Shape::Service, ..(*job_array(id, 1000)).clone() });
    for has_controller in [false, true] {
        let mut cluster = new_cluster(2, start);
        let policy: Arc<Policy> = cluster.policy.clone();
        cluster.zones_with_controller = BTreeSet::from(["z1".into()]);
        if has_controller {
            cluster.zones_with_controller.insert("z0".into());
        }
        cluster.add_job(service("j-000001"), 1, None, start);
        cluster.add_job(job_array("j-000002", 1000), 2, None, start);
        record_starts(&mut cluster, 10, "z0", "j-000001", start);
        record_starts(&mut cluster, 10, "z0x", "j-000002", start);
        record_starts(&mut cluster, 70, "z1", "j-000002", start);
        let move_to_z0 = |m: &mut Machine| {
            if *m.zone == *"z0x" {
                m.zone = "z0".into();
            }
        };
        cluster.machines.values_mut().for_each(move_to_z0);
        let mut deletions_at = |t: Instant| {
            for m in cluster.machines.values_mut().filter(|m| *m.zone == *"z1") {
                m.last_heartbeat = Some(t);
            }
            cluster.plan_fleet(&[], t).deletions
        };
        let lease_expiry = start + policy.lease_over;
        assert!(
            deletions_at(lease_expiry - Duration::from_secs(1)).is_empty(),
            "replicas may still run before their leases expire"
        );
        let deleted = deletions_at(lease_expiry + Duration::from_millis(100));
        // machines without replicas are kept, as they may work again after the partition
        assert_eq!(deleted.len(), if has_controller { 0 } else { 10 });
        assert!(deleted.iter().all(|n| n.starts_with("i-z00")));
    }
}

/// With ten thousand machines and a leader on a twelfth of a core, the heartbeats took more
/// processor time than the leader had, and no request was served.  The number of machines is
/// therefore limited to those whose heartbeats the leader can process.
#[test]
fn no_more_machines_are_rented_than_the_leader_can_serve() {
    let now = Instant::now();
    let mut cluster = new_cluster(2, now);
    let mut policy = Policy::clone(&cluster.policy);
    policy.most_machines = 12;
    cluster.policy = Arc::new(policy);
    cluster.set_types(&[MachineType { zones: vec!["z0".into(), "z1".into()], ..crate::sim::machine_type("t") }]);
    cluster.add_job(job_array("j-000001", 1000), 1, None, now);
    record_starts(&mut cluster, 5, "z0", "j-000001", now);
    cluster.apply_machine_list(&[], now);
    let unmet_demand = UnmetDemand { spec: job_array("j-000001", 1000), count: 1000, zones: BTreeMap::new() };
    let rented = |p: FleetPlan| p.rentals.iter().map(|r| r.count).sum::<u32>();
    assert_eq!(rented(cluster.plan_fleet(std::slice::from_ref(&unmet_demand), now)), 7);
    // requested machines count until the cloud has answered the rental
    assert_eq!(
        rented(cluster.plan_fleet(std::slice::from_ref(&unmet_demand), now)),
        7,
        "only the open rentals are requested again, with the same request ids"
    );
    assert_eq!(cluster.fleet.open_rentals.iter().map(|r| r.count).sum::<u32>(), 7);
}

/// Guards against two faults that occurred while arrays ran only on spot machines.  Replicas
/// could preempt no task on on-demand machines, and the little free capacity there was used up
/// before a new machine had booted.  Lost spot machines were not replaced while thousands of
/// tasks waited, because slots that were in use counted as free.
#[test]
fn machines_are_rented_for_expected_and_for_waiting_tasks() {
    let start = Instant::now();
    let zones: Vec<Name> = ["z0", "z1", "z2", "z3"].map(Name::from).to_vec();
    let allow_ten_rentals =
        |cluster: &mut Cluster| cluster.policy = Arc::new(Policy { rentals_at_once: 10, ..(*cluster.policy).clone() });
    let on_demand_rentals = |arrivals: u32| {
        let mut cluster = new_cluster(2, start);
        allow_ten_rentals(&mut cluster);
        cluster.set_types(&[MachineType { zones: zones.clone(), ..crate::sim::machine_type("t") }]);
        cluster.start_objectives.insert("c".into(), 5.0);
        let now = start + cluster.policy.ttl + Duration::from_secs(20);
        for n in 0..arrivals {
            let s = JobSpec {
                shape: Shape::Service,
                spread_by_zone: true,
                spot: false,
                ..(*job_array(&format!("j-{n}"), 4)).clone()
            };
            cluster.add_job(Arc::new(s), 1 + u64::from(n), None, now - Duration::from_secs(1));
        }
        cluster.apply_machine_list(&[], now);
        let rentals = cluster.plan_fleet(&[], now).rentals;
        assert!(rentals.iter().all(|r| !r.spot));
        rentals.iter().map(|r| r.count).sum::<u32>()
    };
    // the boot time of 10 s is half of the window of 20 s, so half as many tasks are expected
    // as have arrived
    assert_eq!((on_demand_rentals(0), on_demand_rentals(1), on_demand_rentals(80)), (0, 2, 20));

    let mut cluster = new_cluster(2, start);
    allow_ten_rentals(&mut cluster);
    cluster.set_types(&[MachineType { zones, ..crate::sim::machine_type("t") }]);
    cluster.add_job(job_array("j-000001", 1000), 1, None, start);
    record_starts(&mut cluster, 100, "z0", "j-000001", start);
    cluster.apply_machine_list(&[], start);
    let unmet_demand = |count| UnmetDemand { spec: job_array("j-000001", 1000), count, zones: BTreeMap::new() };
    let slots_per_task = 10.0 / cluster.policy.spot_horizon_s;
    let mut rented = |count| {
        cluster.fleet.open_rentals.clear();
        cluster.plan_fleet(&[unmet_demand(count)], start).rentals.iter().map(|r| (r.spot, r.count)).collect::<Vec<_>>()
    };
    let served_tasks = (100.0 / slots_per_task) as u32;
    assert_eq!(rented(served_tasks), [], "a hundred slots complete these tasks within the horizon");
    let rented_machines = rented(served_tasks + 80);
    assert_eq!(rented_machines.iter().map(|r| r.1).sum::<u32>(), (80.0 * slots_per_task / 8.0).ceil() as u32);
    assert!(
        rented_machines.iter().all(|r| r.0),
        "no on-demand machine is rented: its longer horizon allows these tasks to wait"
    );
}

/// A new leader counts the time since a machine's last heartbeat from the time that the previous
/// leader stored, but only once the workers have had enough time to send it a heartbeat.
#[test]
fn time_since_the_last_heartbeat_includes_the_previous_term() {
    let start = Instant::now() + Duration::from_secs(100);
    let mut cluster = new_cluster(2, start);
    cluster.add_job(job_array("j-000001", 1000), 1, None, start);
    record_starts(&mut cluster, 2, "z0", "j-000001", start);
    let last_heartbeat = Some(start - Duration::from_secs(20));
    cluster
        .machine_hints
        .insert("i-z00000".into(), crate::cluster::MachineHints { last_heartbeat, ..Default::default() });
    let since_heartbeat = |after: Duration| {
        let seconds = |n: &str| cluster.time_since_heartbeat(&cluster.machines[n], start + after).as_secs();
        (seconds("i-z00000"), seconds("i-z00001"))
    };
    assert_eq!(since_heartbeat(Duration::from_secs(1)), (1, 1));
    let waited = cluster.policy.missed + Duration::from_secs(1);
    assert_eq!(since_heartbeat(waited), (20 + waited.as_secs(), waited.as_secs()));
    // the stored time does not count in a zone with a controller, because that controller may have
    // received heartbeats in the meantime
    cluster.zones_with_controller.insert("z0".into());
    assert_eq!(cluster.time_since_heartbeat(&cluster.machines["i-z00000"], start + waited).as_secs(), waited.as_secs());
}

/// Heartbeats that are missed during a stall of the controller itself do not count: no machine is
/// deleted for them.  Machines that send no heartbeat after the stall are deleted.
#[test]
fn heartbeats_missed_during_a_controller_stall_delete_no_machine() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    cluster.add_job(job_array("j-000001", 1000), 1, None, start);
    record_starts(&mut cluster, 2, "z0", "j-000001", start);
    let resumed = start + cluster.policy.silent * 2;
    cluster.last_stall_ended_at = resumed;
    assert!(cluster.plan_fleet(&[], resumed).deletions.is_empty());
    let later = resumed + cluster.policy.silent + Duration::from_secs(1);
    assert_eq!(cluster.plan_fleet(&[], later).deletions.len(), 2);
}

/// When no stop command reaches the machine of a cancelled job's task, the cloud has to delete the
/// machine before the cancellation deadline, also under a new leader that knows only the stored
/// start.  Otherwise a controller in a partitioned zone might keep the task running.
#[test]
fn machines_that_no_stop_command_reaches_are_deleted_after_a_cancellation() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    cluster.add_job(job_array("j-000001", 1000), 1, Some(JobOutcome::Cancelled), start);
    record_starts(&mut cluster, 30, "z0", "j-000001", start);
    let later = start + cluster.policy.fresh + Duration::from_secs(1);
    assert_eq!(cluster.plan_fleet(&[], later).deletions.len(), 30);
}

/// A new leader requests the unanswered rentals of the previous leader again, with the same
/// request ids, and counts their machines before it requests new ones.
#[test]
fn unanswered_rentals_of_the_previous_leader_are_repeated_and_not_duplicated() {
    let start = Instant::now();
    let mut previous_leader = new_cluster(1, start);
    previous_leader.set_types(&[MachineType { zones: vec!["z0".into()], ..crate::sim::machine_type("t") }]);
    previous_leader.fleet.last_full_list = Some(start);
    let unmet_demand = |cluster: &Cluster| UnmetDemand {
        spec: cluster.jobs["j-000001"].spec.clone(),
        count: 300,
        zones: BTreeMap::new(),
    };
    previous_leader.add_job(job_array("j-000001", 300), 1, None, start);
    let requested = previous_leader.plan_fleet(&[unmet_demand(&previous_leader)], start).rentals;
    assert!(!requested.is_empty());
    let key = previous_leader.fleet.new_record_key(1);
    assert_eq!(previous_leader.fleet.unrecorded(&requested), requested);
    previous_leader.fleet.mark_recorded(key.clone(), &requested);
    assert!(previous_leader.fleet.unrecorded(&requested).is_empty());
    // the term of the previous leader ends before the cloud answers
    let mut new_leader = new_cluster(2, start);
    new_leader.set_types(&[MachineType { zones: vec!["z0".into()], ..crate::sim::machine_type("t") }]);
    new_leader.fleet.last_full_list = Some(start);
    new_leader.add_job(job_array("j-000001", 300), 1, None, start);
    new_leader.fleet.add_inherited_record(key.clone(), requested.clone());
    new_leader.fleet.add_inherited_record("again".into(), requested.clone());
    let plan = new_leader.plan_fleet(&[unmet_demand(&new_leader)], start);
    assert_eq!(plan.rentals, requested, "the same rentals are requested again, and no others");
    // after the answer, the names count as machines until a machine list contains them; then
    // the record of the rental is deleted
    for (n, r) in requested.iter().enumerate() {
        let names: Vec<Name> = (0..r.count).map(|i| format!("i-{n}-{i}").into()).collect();
        new_leader.apply_rental(r, &names, start);
    }
    assert!(new_leader.plan_fleet(&[unmet_demand(&new_leader)], start).rentals.is_empty());
    let retention = new_leader.policy.rental_kept;
    assert!(new_leader.fleet.expired_records(retention, 9, start + retention).is_empty());
    assert_eq!(new_leader.fleet.expired_records(retention, 9, start + retention * 2).len(), 2);
}

/// Replicas move from the machine with the fewest replicas to machines with at least as many, one
/// machine at a time in a small fleet.  They move only if all of them fit on machines that have
/// their image, and not while other jobs wait for resources.
#[test]
fn only_the_machine_with_the_fewest_movable_replicas_is_cordoned() {
    let start = Instant::now();
    let mut cluster = new_cluster(2, start);
    let replica = |id: &str| {
        let mut s = (*job_array(id, 1)).clone();
        (s.shape, s.spot, s.cpus) = (Shape::Service, false, 2.0);
        std::sync::Arc::new(s)
    };
    let now = start + cluster.policy.settled * 3;
    // machines of eight cores with three, two, one and no replicas of two cores each
    for (number, replicas) in [3, 2, 1, 0, 0, 0].into_iter().enumerate() {
        let name: Name = format!("i-{number}").into();
        let mut machine = Machine::new(name.clone(), "t".into(), "z0".into(), false, start);
        (machine.incarnation, machine.last_heartbeat, machine.size) =
            (1, Some(now), cluster.machine_types["t"].resources());
        machine.images = vec![("img-0".into(), 1.0)];
        machine.idle_since = Some(now);
        cluster.machines.insert(name.clone(), machine);
        for n in 0..replicas {
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
    // no machine list has arrived, so the cloud may accept no deletion
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
    cluster.fleet.last_full_list = Some(now);
    // a task of another job waits
    cluster.add_job(job_array("j-000009", 1), 9, None, start);
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
    cluster.set_outcome("j-000009", JobOutcome::Cancelled, now);
    // the machines with free resources do not have the image
    cluster.machines.values_mut().for_each(|m| m.images.clear());
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
    cluster.machines.values_mut().for_each(|m| m.images = vec![("img-0".into(), 1.0)]);
    cluster.plan_fleet(&[], now);
    assert_eq!(cordoned(&cluster), ["i-2"]);
    // no other machine is cordoned while a replica of the first is down
    cluster.plan_fleet(&[], now);
    assert_eq!(cordoned(&cluster), ["i-2"]);
    // replicas that have just started do not move
    cluster.machines.get_mut("i-2").expect("the cordoned machine").cordon_reason = None;
    for task in cluster.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
        (task.running_since, task.stop_grace_s) = (Some(now), None);
    }
    cluster.plan_fleet(&[], now);
    assert!(cordoned(&cluster).is_empty());
}
