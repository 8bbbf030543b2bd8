use super::*;
use crate::cluster::{Machine, MachineLocation, PlacementShard, StartRecord, TaskPhase};
use crate::policy::Policy;
use crate::sim::{cluster, spec};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

fn on_record(c: &mut Cluster, machines: usize, zone: &str, job: &str, now: Instant) {
    let mut page = PlacementShard::default();
    let mut places = HashMap::new();
    for i in 0..machines {
        let machine: Name = format!("i-{zone}{i:04}").into();
        places.insert(machine.clone(), MachineLocation { kind: "t".into(), zone: zone.into(), spot: false });
        page.starts.push(StartRecord {
            machine,
            task: Task { job: job.into(), index: i as u32 },
            attempt: 1,
            incarnation: 1,
        });
    }
    c.add_shard(c.shards.len() as u32, page, &places, now);
}

/// A zone that goes silent as a whole is cut off, not dead: its machines
/// stay, whatever share of the fleet they are.
#[test]
fn a_silent_zone_is_not_cleared_away() {
    let t0 = Instant::now();
    let mut c = cluster(2, t0);
    c.add_job(spec("j-000001", 1000), 1, None, t0);
    c.add_job(spec("j-000002", 1000), 2, None, t0);
    on_record(&mut c, 30, "z0", "j-000001", t0);
    on_record(&mut c, 70, "z1", "j-000002", t0);
    let later = t0 + c.policy.silent * 2;
    for m in c.machines.values_mut().filter(|m| *m.zone == *"z1") {
        m.last_heartbeat = Some(later);
    }
    assert!(c.plan_fleet(&[], later).delete.is_empty());
    assert!(c.fleet.partitioned_zones.contains("z0"));
    // Seen on the bench: the cut healed, two thirds had reported, and the
    // rest was given up a second before its reports came.
    let healed = later + Duration::from_secs(1);
    for m in c.machines.values_mut().skip(5) {
        m.last_heartbeat = Some(healed);
    }
    assert!(c.plan_fleet(&[], healed).delete.is_empty());
    // those that stay away after that are another matter
    assert_eq!(c.plan_fleet(&[], later + c.policy.missed).delete.len(), 5);
}

/// Seen on an operators' day: a zone without a controller was cut, and its
/// replicas were missed until it came back.  Their leases end at a known
/// time; then a deletion proves them gone, and others take their place.
/// Where a controller inside renews the leases, they work on.
#[test]
fn replicas_in_a_cut_zone_are_given_up_with_their_leases() {
    let t0 = Instant::now();
    let service = |id| Arc::new(JobSpec { shape: Shape::Service, ..(*spec(id, 1000)).clone() });
    for manned in [false, true] {
        let mut c = cluster(2, t0);
        let policy: Arc<Policy> = c.policy.clone();
        c.zones_with_controller = BTreeSet::from(["z1".into()]);
        if manned {
            c.zones_with_controller.insert("z0".into());
        }
        c.add_job(service("j-000001"), 1, None, t0);
        c.add_job(spec("j-000002", 1000), 2, None, t0);
        on_record(&mut c, 10, "z0", "j-000001", t0);
        on_record(&mut c, 10, "z0x", "j-000002", t0);
        on_record(&mut c, 70, "z1", "j-000002", t0);
        let zone = |m: &mut Machine| {
            if *m.zone == *"z0x" {
                m.zone = "z0".into()
            }
        };
        c.machines.values_mut().for_each(zone);
        let mut plan_at = |t: Instant| {
            for m in c.machines.values_mut().filter(|m| *m.zone == *"z1") {
                m.last_heartbeat = Some(t);
            }
            c.plan_fleet(&[], t).delete
        };
        let end = t0 + policy.lease_over;
        assert!(plan_at(end - Duration::from_secs(1)).is_empty(), "they may still run");
        let gone = plan_at(end + Duration::from_millis(100));
        // only what holds replicas: the rest may be of use again
        assert_eq!(gone.len(), if manned { 0 } else { 10 });
        assert!(gone.iter().all(|n| n.starts_with("i-z00")));
    }
}

/// Seen at ten thousand machines on a twelfth of a core: the reports alone
/// took more than the leader had, and nothing was served.  No more machines
/// are rented than it can listen to.
#[test]
fn no_more_machines_than_can_be_listened_to() {
    let now = Instant::now();
    let mut c = cluster(2, now);
    let mut policy = Policy::clone(&c.policy);
    policy.most_machines = 12;
    c.policy = Arc::new(policy);
    c.set_types(&[MachineType { zones: vec!["z0".into(), "z1".into()], ..crate::sim::machine_type("t") }]);
    c.add_job(spec("j-000001", 1000), 1, None, now);
    on_record(&mut c, 5, "z0", "j-000001", now);
    c.apply_machine_list(&[], now);
    let want = UnmetDemand { spec: spec("j-000001", 1000), count: 1000, zones: BTreeMap::new() };
    let rented = |p: FleetPlan| p.rent.iter().map(|r| r.count).sum::<u32>();
    assert_eq!(rented(c.plan_fleet(std::slice::from_ref(&want), now)), 7);
    // what was asked for counts until it is here
    assert_eq!(rented(c.plan_fleet(std::slice::from_ref(&want), now)), 7, "the same again, under the same charters");
    assert_eq!(c.fleet.open_rentals.iter().map(|r| r.count).sum::<u32>(), 7);
}

/// Seen where arrays run on spot machines alone: nothing on ordinary ones gives
/// way to replicas, and the few places that were kept did not last for a boot.
/// And spot machines that were lost were not rented again while thousands of
/// tasks waited, as places that run counted as free.
#[test]
fn room_is_rented_for_what_will_come_and_for_what_waits() {
    let t0 = Instant::now();
    let zones: Vec<Name> = ["z0", "z1", "z2", "z3"].map(Name::from).to_vec();
    let several = |c: &mut Cluster| c.policy = Arc::new(Policy { rentals_at_once: 10, ..(*c.policy).clone() });
    let ordinary = |arrivals: u32| {
        let mut c = cluster(2, t0);
        several(&mut c);
        c.set_types(&[MachineType { zones: zones.clone(), ..crate::sim::machine_type("t") }]);
        c.start_objectives.insert("c".into(), 5.0);
        let now = t0 + c.policy.ttl + Duration::from_secs(20);
        for n in 0..arrivals {
            let s =
                JobSpec { shape: Shape::Service, spread: true, spot: false, ..(*spec(&format!("j-{n}"), 4)).clone() };
            c.add_job(Arc::new(s), 1 + u64::from(n), None, now - Duration::from_secs(1));
        }
        c.apply_machine_list(&[], now);
        let rent = c.plan_fleet(&[], now).rent;
        assert!(rent.iter().all(|r| !r.spot));
        rent.iter().map(|r| r.count).sum::<u32>()
    };
    // a boot of 10 s, half of a window of 20: half of what came will come again
    assert_eq!((ordinary(0), ordinary(1), ordinary(80)), (0, 2, 20));

    let mut c = cluster(2, t0);
    several(&mut c);
    c.set_types(&[MachineType { zones, ..crate::sim::machine_type("t") }]);
    c.add_job(spec("j-000001", 1000), 1, None, t0);
    on_record(&mut c, 100, "z0", "j-000001", t0);
    c.apply_machine_list(&[], t0);
    let want = |count| UnmetDemand { spec: spec("j-000001", 1000), count, zones: BTreeMap::new() };
    let each = 10.0 / c.policy.spot_horizon_s;
    let mut rented = |count| {
        c.fleet.open_rentals.clear();
        c.plan_fleet(&[want(count)], t0).rent.iter().map(|r| (r.spot, r.count)).collect::<Vec<_>>()
    };
    let enough = (100.0 / each) as u32;
    assert_eq!(rented(enough), [], "a hundred places are through with these in time");
    let more = rented(enough + 80);
    assert_eq!(more.iter().map(|r| r.1).sum::<u32>(), (80.0 * each / 8.0).ceil() as u32);
    assert!(more.iter().all(|r| r.0), "for ordinary machines they may wait");
}

/// A new leader counts a machine's silence from what its previous leader told,
/// but not before those that can report have had the time to.
#[test]
fn silence_is_inherited() {
    let t0 = Instant::now() + Duration::from_secs(100);
    let mut c = cluster(2, t0);
    c.add_job(spec("j-000001", 1000), 1, None, t0);
    on_record(&mut c, 2, "z0", "j-000001", t0);
    let heard = Some(t0 - Duration::from_secs(20));
    c.machine_hints
        .insert("i-z00000".into(), crate::cluster::MachineHints { last_heartbeat: heard, ..Default::default() });
    let silence = |after: Duration| {
        let of = |n: &str| c.time_since_heartbeat(&c.machines[n], t0 + after).as_secs();
        (of("i-z00000"), of("i-z00001"))
    };
    assert_eq!(silence(Duration::from_secs(1)), (1, 1));
    let waited = c.policy.missed + Duration::from_secs(1);
    assert_eq!(silence(waited), (20 + waited.as_secs(), waited.as_secs()));
    // a controller inside may have heard it all along
    c.zones_with_controller.insert("z0".into());
    assert_eq!(c.time_since_heartbeat(&c.machines["i-z00000"], t0 + waited).as_secs(), waited.as_secs());
}

/// The silence of a controller that stood still is its own: nothing is
/// given up for it, and what stays silent after it is.
#[test]
fn a_gap_of_its_own_condemns_nobody() {
    let t0 = Instant::now();
    let mut c = cluster(2, t0);
    c.add_job(spec("j-000001", 1000), 1, None, t0);
    on_record(&mut c, 2, "z0", "j-000001", t0);
    let woke = t0 + c.policy.silent * 2;
    c.resumed_at = woke;
    assert!(c.plan_fleet(&[], woke).delete.is_empty());
    let later = woke + c.policy.silent + Duration::from_secs(1);
    assert_eq!(c.plan_fleet(&[], later).delete.len(), 2);
}

/// A task of a withdrawn job on a machine that no stop reaches: the cloud
/// has to take the machine, and in time, also under a new leader that only
/// reads of the start.  Else a controller in a cut zone might keep it.
#[test]
fn what_a_withdrawal_cannot_reach_is_deleted() {
    let t0 = Instant::now();
    let mut c = cluster(2, t0);
    c.add_job(spec("j-000001", 1000), 1, Some(JobOutcome::Cancelled), t0);
    on_record(&mut c, 30, "z0", "j-000001", t0);
    let later = t0 + c.policy.fresh + Duration::from_secs(1);
    assert_eq!(c.plan_fleet(&[], later).delete.len(), 30);
}

/// Rentals outlive their leader: the next one asks again under the same
/// charter, and nothing new before it knows what is on its way.
#[test]
fn a_previous_leaders_rentals_are_asked_for_again_and_not_twice() {
    let t0 = Instant::now();
    let mut old = cluster(1, t0);
    old.set_types(&[MachineType { zones: vec!["z0".into()], ..crate::sim::machine_type("t") }]);
    old.fleet.last_full_list = Some(t0);
    let want = |c: &Cluster| UnmetDemand { spec: c.jobs["j-000001"].spec.clone(), count: 300, zones: BTreeMap::new() };
    old.add_job(spec("j-000001", 300), 1, None, t0);
    let asked = old.plan_fleet(&[want(&old)], t0).rent;
    assert!(!asked.is_empty());
    let key = old.fleet.record_key(1);
    assert_eq!(old.fleet.unrecorded(&asked), asked);
    old.fleet.mark_recorded(key.clone(), &asked);
    assert!(old.fleet.unrecorded(&asked).is_empty());
    // its term ends before the cloud answers
    let mut new = cluster(2, t0);
    new.set_types(&[MachineType { zones: vec!["z0".into()], ..crate::sim::machine_type("t") }]);
    new.fleet.last_full_list = Some(t0);
    new.add_job(spec("j-000001", 300), 1, None, t0);
    new.fleet.inherit(key.clone(), asked.clone());
    new.fleet.inherit("again".into(), asked.clone());
    let plan = new.plan_fleet(&[want(&new)], t0);
    assert_eq!(plan.rent, asked, "asked for again, and nothing beside it");
    // answered: the names count until a list has them, then the record goes
    for (n, r) in asked.iter().enumerate() {
        let names: Vec<Name> = (0..r.count).map(|i| format!("i-{n}-{i}").into()).collect();
        new.apply_rental(r, &names, t0);
    }
    assert!(new.plan_fleet(&[want(&new)], t0).rent.is_empty());
    let kept = new.policy.rental_kept;
    assert!(new.fleet.expired_records(kept, 9, t0 + kept).is_empty());
    assert_eq!(new.fleet.expired_records(kept, 9, t0 + kept * 2).len(), 2);
}

/// Replicas leave a machine that holds few for fuller ones, one machine at a
/// time in a small fleet, and only if all of them have a place where their
/// image is; nothing moves while other work waits for room.
#[test]
fn sparse_machines_are_emptied_and_no_others() {
    let t0 = Instant::now();
    let mut c = cluster(2, t0);
    let replica = |id: &str| {
        let mut s = (*spec(id, 1)).clone();
        (s.shape, s.spot, s.cpus) = (Shape::Service, false, 2.0);
        std::sync::Arc::new(s)
    };
    let now = t0 + c.policy.settled * 3;
    // eight cores each: three replicas, two, one, and room to spare
    for (m, held) in [3, 2, 1, 0, 0, 0].into_iter().enumerate() {
        let name: Name = format!("i-{m}").into();
        let mut machine = Machine::new(name.clone(), "t".into(), "z0".into(), false, t0);
        (machine.incarnation, machine.last_heartbeat, machine.size) = (1, Some(now), c.types["t"].size());
        machine.images = vec![("img-0".into(), 1.0)];
        machine.idle_since = Some(now);
        c.machines.insert(name.clone(), machine);
        for n in 0..held {
            let id: Name = format!("j-{m}{n}").into();
            c.add_job(replica(&id), 1, None, t0);
            assert!(c.assign(&Task { job: id, index: 0 }, &name, 1, t0));
        }
    }
    for p in c.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
        (p.phase, p.stored, p.running_since) = (TaskPhase::Running, true, Some(t0));
    }
    let drained = |c: &Cluster| {
        c.machines.values().filter(|m| m.cordon_reason.is_some()).map(|m| m.name.to_string()).collect::<Vec<_>>()
    };
    // the cloud takes nothing back for now
    c.plan_fleet(&[], now);
    assert!(drained(&c).is_empty());
    c.fleet.last_full_list = Some(now);
    // other work waits
    c.add_job(spec("j-000009", 1), 9, None, t0);
    c.plan_fleet(&[], now);
    assert!(drained(&c).is_empty());
    c.set_outcome("j-000009", JobOutcome::Cancelled, now);
    // its image is not where there is room
    c.machines.values_mut().for_each(|m| m.images.clear());
    c.plan_fleet(&[], now);
    assert!(drained(&c).is_empty());
    c.machines.values_mut().for_each(|m| m.images = vec![("img-0".into(), 1.0)]);
    c.plan_fleet(&[], now);
    assert_eq!(drained(&c), ["i-2"]);
    // while its replica is down, no other follows
    c.plan_fleet(&[], now);
    assert_eq!(drained(&c), ["i-2"]);
    // nothing that has just begun moves
    c.machines.get_mut("i-2").expect("it is there").cordon_reason = None;
    for p in c.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
        (p.running_since, p.stop_grace_s) = (Some(now), None);
    }
    c.plan_fleet(&[], now);
    assert!(drained(&c).is_empty());
}
