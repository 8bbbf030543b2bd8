use std::collections::HashMap;
use std::time::Instant;

use super::*;
use crate::cluster::Cluster;
use crate::sim::{cluster, spec};
use coralnotch_wire::state::{read_value, KeyValue, Write};
use proptest::prelude::*;

fn limits(page_bytes: usize) -> TxnLimits {
    TxnLimits { writes: 8, preconditions: 32, shard_bytes: page_bytes, value_bytes: page_bytes }
}

proptest! {
    /// All that is committed is found by the next leader, over however
    /// many pages and however the tasks come and go; no page outgrows its
    /// limit, though that falls in between, and no start is called stored
    /// that no page has.
    #[test]
    fn pages_hold_what_is_true(ops in prop::collection::vec((0u8..5, 0u32..40, 0usize..6), 1..120)) {
        let now = Instant::now();
        let mut c = cluster(1, now);
        let mut store: HashMap<String, KeyValue> = HashMap::new();
        let mut revision = 10;
        c.add_job(spec("j-000001", 40), 1, None, now);
        for i in 0..6 {
            let name: Name = format!("i-{i}").into();
            let mut m = crate::cluster::Machine::new(name.clone(), "t".into(), "z0".into(), false, now);
            m.incarnation = 1;
            c.machines.insert(name, m);
        }
        // pages that a transaction without an answer may have written
        let mut doubtful = std::collections::BTreeSet::new();
        let half = ops.len() / 2;
        for (n, (op, index, machine)) in ops.into_iter().enumerate() {
            let most = if n < half { 1000 } else { 300 };
            let task = Task { job: "j-000001".into(), index };
            let machine: Name = format!("i-{machine}").into();
            match op {
                0 | 1 => {
                    let attempt = c.new_attempt();
                    c.assign(&task, &machine, attempt, now);
                }
                2 => {
                    let at = c.jobs["j-000001"].assignments.get(&index).map(|l| l[0].clone());
                    if let Some(at) = at {
                        c.release_assignment(&at, &task, now);
                    }
                }
                _ => {
                    if let Some(b) = c.next_commit(5, &limits(most)) {
                        revision += 1;
                        let stamp = |p: &str| store.get(p).map_or(0, |i: &KeyValue| i.revision);
                        let pages = b.txn.preconditions.iter().filter(|g| g.key.starts_with(key::SHARD));
                        let failed: Vec<_> =
                            pages.filter(|g| stamp(&g.key) != g.revision).map(|g| g.key.clone()).collect();
                        if !failed.is_empty() {
                            c.restore_uncommitted(b);
                            for k in &failed {
                                c.reconcile_key(k, store.get(k), now);
                                doubtful.remove(k);
                            }
                            continue;
                        }
                        for w in &b.txn.writes {
                            if let Write::Set { set, data, .. } = w {
                                let size = serde_json::to_string(&data).map_or(0, |s| s.len());
                                prop_assert!(size <= most, "a page of {} bytes", size);
                                let item = KeyValue { key: set.clone(), value: data.clone(), revision };
                                store.insert(set.clone(), item);
                            }
                        }
                        // carried out, and nobody hears of it
                        match op == 4 {
                            true => {
                                doubtful.extend(b.pages.iter().map(|p| shard_key(p.0)));
                                c.restore_uncommitted(b);
                            }
                            false => drop(c.apply_commit(b, revision, now)),
                        }
                    }
                }
            }
        }
        let mut next = cluster(2, now);
        next.add_job(spec("j-000001", 40), 1, None, now);
        for (path, item) in &store {
            let (id, page, machines) = read_shard(path, item).expect("our own page");
            prop_assert!(doubtful.contains(path) || c.shards[&id].revision == page.revision);
            next.add_shard(id, page, &machines, now);
        }
        for (name, m) in &c.machines {
            for (task, p) in m.tasks.iter().filter(|(_, p)| p.stored) {
                let found = next.machines.get(name).and_then(|m| m.tasks.get(task));
                prop_assert!(found.is_some_and(|f| f.attempt == p.attempt && f.inherited), "{} is lost", task);
            }
        }
    }
}

/// Found by the seeded world: machines that could not be reached kept tasks of
/// jobs that were over and not on record, and no transaction of the leader's
/// got through for as long as they did.
#[test]
fn a_task_found_of_a_job_that_is_over_holds_nothing_up() {
    use crate::workers::{Heartbeat, TaskState, TaskStatus};
    let now = Instant::now();
    let mut c = cluster(1, now);
    c.add_job(spec("j-000001", 1), 1, Some(JobOutcome::Cancelled), now);
    c.add_job(spec("j-000002", 1), 2, None, now);
    let task = Task { job: "j-000001".into(), index: 0 };
    let found = TaskStatus { task: task.clone(), attempt: 7, state: TaskState::Running, cause: None, saved: None };
    let report = Heartbeat {
        machine: "i-1".into(),
        address: "127.0.0.1:9".into(),
        kind: "t".into(),
        zone: "z0".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 0,
        reclaim_in_s: None,
        tasks: vec![found],
    };
    c.apply_heartbeat(&report, true, now);
    c.run_placement_pass(now);
    let b = c.next_commit(5, &limits(1000)).expect("two starts to store");
    let outcome = |id: &str| b.txn.requires(&format!("{}{id}", key::OUTCOME));
    assert_eq!((outcome("j-000001"), outcome("j-000002")), (false, true));
    assert_eq!(b.starts.len(), 2);
    c.apply_commit(b, 6, now);
    // on record, it counts and is stopped; nothing of it is ever sent
    assert!(c.machines["i-1"].tasks[&task].stop_grace_s.is_some());
    let sent = c.reply_to_heartbeat(&report, now).commands;
    assert!(sent.iter().all(|o| !matches!(o, crate::workers::Command::Start { task: t, .. } if *t == task)));
}

/// What the version in production stored (values that its own code wrote) is
/// read as it was meant, and what needs no new feature is written in the same
/// bytes: each version works on the other's data.
#[test]
fn what_production_stored_is_read_and_written_the_same() {
    let golden: serde_json::Value =
        serde_json::from_str(include_str!("../golden/production.json")).expect("values of production");
    let value = |what: &str| {
        let data = rmpv::decode::read_value(&mut &coralnotch_wire::http::encode(&golden[what])[..]);
        KeyValue { key: shard_key(3), value: data.expect("a value"), revision: 9 }
    };
    let same = |what: &str, w: Write| {
        let Write::Set { data, .. } = w else { panic!("a put") };
        assert_eq!(serde_json::to_value(&data).expect("JSON"), golden[what], "{what}");
    };
    let (id, page, places) = read_shard(&shard_key(3), &value("page")).expect("a page");
    assert_eq!((id, page.starts.len(), places.len()), (3, 20, 4));
    assert!(page.starts.iter().all(|s| s.attempt >> 24 == 3 && s.incarnation == 1 + u64::from(s.task.index % 4)));
    assert_eq!(page.completed[0].1.iter().collect::<Vec<_>>(), [25, 26, 27, 31]);
    assert!(places["i-000003"].2 && &*places["i-000003"].1 == "z1");
    let mut c = cluster(4, Instant::now());
    c.add_job(spec("j-000001", 40), 1, None, Instant::now());
    c.add_shard(id, page.clone(), &places, Instant::now());
    same("page", Write::set("x", &c.page_record(&page)));
    let job: JobSpec = read_value("x", value("job").value).expect("a job");
    assert!(job.needs.is_empty() && job.validation_error().is_none());
    same("job", Write::set("x", &job));
    let outcome: OutcomeRecord = read_value("x", value("fate").value).expect("an end");
    same("fate", Write::set("x", &outcome));
    let types: Vec<MachineType> = read_value("x", value("types").value).expect("types");
    same("types", Write::set("x", &types));
    let rentals: Vec<crate::cluster::Rental> = read_value("x", value("rentals").value).expect("rentals");
    same("rentals", Write::set("x", &rentals));
    // production ignores fields that it does not know: that is why a job that
    // needs others is stored only once nobody is of that version any more
    let chained = JobSpec { needs: vec!["j-1".into()], ..job };
    assert_ne!(serde_json::to_value(&chained).expect("JSON"), golden["job"]);
}

/// A page as large as an earlier version let it grow, and nothing but true
/// starts and completed tasks in it: it is divided by transactions that fit,
/// whichever of them fails, and the next leader finds every start at each step.
#[test]
fn a_page_of_former_limits_is_divided() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    let machine = |c: &mut Cluster, i: u32| {
        let name: Name = format!("i-{i:06}").into();
        let mut m = crate::cluster::Machine::new(name.clone(), "t".into(), "z0".into(), false, now);
        m.incarnation = 1;
        c.machines.insert(name.clone(), m);
        name
    };
    c.add_job(spec("j-000001", 1000), 1, None, now);
    for index in 0..300 {
        let name = machine(&mut c, index);
        let attempt = c.new_attempt();
        c.assign(&Task { job: "j-000001".into(), index }, &name, attempt, now);
    }
    (400..1000).step_by(2).for_each(|n| c.mark_completed(&Task { job: "j-000001".into(), index: n }, now));
    let wide = TxnLimits { writes: 24, preconditions: 96, shard_bytes: 15_000, value_bytes: 15_000 };
    let mut store: HashMap<String, KeyValue> = HashMap::new();
    let mut revision = 10;
    let mut most = &wide;
    let narrow = TxnLimits { writes: 8, preconditions: 32, shard_bytes: 1900, value_bytes: 1900 };
    let (mut largest, mut started) = (0, 300);
    for round in 0..60 {
        if round == 1 {
            assert!(store.len() == 1, "one page holds it all");
            most = &narrow;
        }
        if round > 0 {
            // something new is stored now and then
            let name = machine(&mut c, 1000 + round);
            let attempt = c.new_attempt();
            c.assign(&Task { job: "j-000001".into(), index: started }, &name, attempt, now);
            started += 1;
        }
        let b = c.next_commit(5, most).expect("something to store");
        assert!(b.txn.writes.len() <= most.writes && b.txn.preconditions.len() <= most.preconditions);
        let held = |p: &String| store.get(p).map_or(0, |i: &KeyValue| i.revision);
        assert!(b
            .txn
            .preconditions
            .iter()
            .skip(1)
            .all(|g| g.key.starts_with(key::OUTCOME) || g.revision == held(&g.key)));
        if round % 3 == 2 {
            // refused, or without an answer and not carried out
            c.restore_uncommitted(b);
            continue;
        }
        revision += 1;
        for w in &b.txn.writes {
            let Write::Set { set, data, .. } = w else { continue };
            let size = serde_json::to_string(&data).map_or(0, |s| s.len());
            assert!(size <= most.shard_bytes, "a value of {size} bytes");
            store.insert(set.clone(), KeyValue { key: set.clone(), value: data.clone(), revision });
        }
        c.apply_commit(b, revision, now);
        let mut next = cluster(2, now);
        next.add_job(spec("j-000001", 1000), 1, None, now);
        largest = 0;
        for (path, item) in &store {
            largest = largest.max(serde_json::to_string(&item.value).map_or(0, |s| s.len()));
            let (id, page, machines) = read_shard(path, item).expect("our own page");
            next.add_shard(id, page, &machines, now);
        }
        let stored = |c: &Cluster| c.machines.values().flat_map(|m| m.tasks.values()).filter(|p| p.stored).count();
        assert_eq!(stored(&next), stored(&c), "round {round}");
        assert_eq!(next.jobs["j-000001"].completed.len(), 300, "round {round}");
    }
    assert!(largest <= narrow.shard_bytes, "a page of {largest} bytes is left");
    assert!(store.len() < 30, "{} pages for what fits into ten", store.len());
}

/// What needs a cancelled job is cancelled with it, as many a transaction as
/// fit, also when one was refused; nothing of it starts, and what needs a job
/// that is done starts once that is stored, not before.
#[test]
fn ends_release_and_take_along() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    let needing = |id: &str, needs: &[&str]| {
        let needs = needs.iter().map(|n| Name::from(*n)).collect();
        std::sync::Arc::new(JobSpec { needs, ..(*spec(id, 1)).clone() })
    };
    c.add_job(spec("j-1", 1), 1, None, now);
    c.add_job(spec("j-2", 1), 2, None, now);
    c.add_job(needing("j-3", &["j-1"]), 3, None, now);
    for n in 10..30 {
        c.add_job(needing(&format!("j-{n}"), &["j-2"]), n, None, now);
    }
    assert_eq!((c.jobs.len(), c.dependency.len()), (2, 21));
    c.mark_completed(&Task { job: "j-1".into(), index: 0 }, now);
    let b = c.next_commit(5, &limits(4096)).expect("the end of the first");
    assert!(!c.jobs.contains_key("j-3"), "not stored yet");
    c.restore_uncommitted(b);
    let b = c.next_commit(5, &limits(4096)).expect("the end again");
    assert!(!c.jobs.contains_key("j-3"), "in doubt");
    c.apply_commit(b, 6, now);
    assert!(c.jobs.contains_key("j-3") && c.queue_changed);
    c.set_outcome("j-2", JobOutcome::Cancelled, now);
    let (mut ended, mut tries) = (Vec::new(), 0);
    while let Some(b) = c.next_commit(5, &limits(4096)) {
        tries += 1;
        if tries == 2 {
            c.restore_uncommitted(b);
            continue;
        }
        assert!(b.txn.writes.len() <= 8);
        ended.extend(c.apply_commit(b, 6 + tries, now));
    }
    assert_eq!(ended.len(), 20);
    assert!(ended.iter().all(|(_, f)| *f == JobOutcome::Cancelled));
    assert!(c.dependency.is_empty() && c.jobs.len() == 3);
}

/// Seen as production was rolled under load: a new leader took a job in before
/// the one that it needs, which was over and still on a page; it never started.
#[test]
fn an_ended_job_on_record_releases_what_needs_it() {
    let now = Instant::now();
    for (outcome, free) in [(JobOutcome::Done, true), (JobOutcome::Cancelled, false)] {
        let mut c = cluster(2, now);
        let last = JobSpec { needs: vec!["j-1".into()], ..(*spec("j-2", 1)).clone() };
        c.add_job(std::sync::Arc::new(last), 2, None, now);
        assert_eq!(c.dependency.unknown(), ["j-1".into()]);
        c.add_job(spec("j-1", 1), 1, Some(outcome), now);
        assert_eq!(c.jobs.contains_key("j-2"), free);
        assert_eq!(c.dependency.needing_cancelled().count(), usize::from(!free));
    }
}

/// The end of a job is stored once, and with the last task, not before.
#[test]
fn the_end_comes_with_the_last_task() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    c.add_job(spec("j-000001", 2), 1, None, now);
    let task = |index| Task { job: "j-000001".into(), index };
    c.mark_completed(&task(0), now);
    let b = c.next_commit(5, &limits(4096)).expect("a completed task");
    assert!(b.ends.is_empty() && b.done.len() == 1);
    assert!(c.apply_commit(b, 6, now).is_empty());
    c.mark_completed(&task(1), now);
    let b = c.next_commit(5, &limits(4096)).expect("the end");
    assert!(b.txn.requires("c2/w/fate/j-000001"));
    // in doubt: said again, and only its success counts
    c.restore_uncommitted(b);
    let b = c.next_commit(5, &limits(4096)).expect("the end again");
    assert_eq!(c.apply_commit(b, 7, now), [("j-000001".into(), JobOutcome::Done)]);
    assert!(c.next_commit(5, &limits(4096)).is_none());
}
