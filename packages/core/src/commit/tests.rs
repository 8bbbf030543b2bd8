use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use coralnotch_wire::state::{read_value, KeyValue, Write};
use proptest::prelude::*;

use super::*;
use crate::cluster::{Cluster, Machine};
use crate::sim::{cluster, spec};
use crate::workers::{Command, Heartbeat, HeartbeatSource, TaskState, TaskStatus};

const JOB: &str = "j-000001";

fn limits(shard_bytes: usize) -> TxnLimits {
    TxnLimits { writes: 8, preconditions: 32, shard_bytes, value_bytes: shard_bytes }
}

fn task(index: u32) -> Task {
    Task { job: JOB.into(), index }
}

/// Adds a machine that takes tasks.
fn add_machine(c: &mut Cluster, name: &str, now: Instant) -> Name {
    let name: Name = name.into();
    let mut machine = Machine::new(name.clone(), "t".into(), "z0".into(), false, now);
    machine.incarnation = 1;
    c.machines.insert(name.clone(), machine);
    name
}

fn assign(c: &mut Cluster, index: u32, machine: &Name, now: Instant) {
    let attempt = c.new_attempt();
    c.assign(&task(index), machine, attempt, now);
}

/// The keys and values that the store holds.
#[derive(Default)]
struct Store {
    items: HashMap<String, KeyValue>,
    revision: u64,
}

impl Store {
    /// The revision of a key, 0 if it is absent.
    fn revision_of(&self, path: &str) -> u64 {
        self.items.get(path).map_or(0, |item| item.revision)
    }

    /// The shards whose preconditions do not hold.
    fn conflicting_shards(&self, batch: &CommitBatch) -> Vec<String> {
        let preconditions = batch.txn.preconditions.iter().filter(|p| p.key.starts_with(key::SHARD));
        let failed = preconditions.filter(|p| self.revision_of(&p.key) != p.revision);
        failed.map(|p| p.key.clone()).collect()
    }

    /// Carries out the writes of a transaction, and returns the size of its largest value.
    fn carry_out(&mut self, batch: &CommitBatch) -> usize {
        self.revision += 1;
        let mut largest = 0;
        for write in &batch.txn.writes {
            let Write::Set { set, data, .. } = write else { continue };
            largest = largest.max(json_bytes(data));
            let item = KeyValue { key: set.clone(), value: data.clone(), revision: self.revision };
            self.items.insert(set.clone(), item);
        }
        largest
    }

    fn read_shards(&self) -> Vec<StoredShard> {
        self.items.iter().map(|(path, item)| read_shard(path, item).expect("our own shard")).collect()
    }

    /// The state of a new leader that has read all shards of a job.
    fn next_leader(&self, job: Arc<JobSpec>, now: Instant) -> Cluster {
        let mut next = cluster(2, now);
        next.add_job(job, 1, None, now);
        for StoredShard { id, shard, locations } in self.read_shards() {
            next.add_shard(id, shard, &locations, now);
        }
        next
    }
}

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}

proptest! {
    /// All that is committed is found by the next leader, over however many shards and
    /// however the tasks come and go; no shard exceeds its limit, though that falls in
    /// between, and no start is taken for stored that no shard has.
    #[test]
    fn shards_hold_what_is_committed(ops in prop::collection::vec((0u8..5, 0u32..40, 0usize..6), 1..120)) {
        let now = Instant::now();
        let mut c = cluster(1, now);
        let mut store = Store { revision: 10, ..Store::default() };
        c.add_job(spec(JOB, 40), 1, None, now);
        let machines: Vec<Name> = (0..6).map(|number| add_machine(&mut c, &format!("i-{number}"), now)).collect();
        // shards that a transaction without a response may have written
        let mut in_doubt = BTreeSet::new();
        let half = ops.len() / 2;
        for (step, (op, index, machine)) in ops.into_iter().enumerate() {
            let shard_bytes = if step < half { 1000 } else { 300 };
            match op {
                0 | 1 => assign(&mut c, index, &machines[machine], now),
                2 => {
                    let assigned = c.jobs[JOB].assignments.get(&index).map(|machines| machines[0].clone());
                    if let Some(machine) = assigned {
                        c.release_assignment(&machine, &task(index), now);
                    }
                }
                _ => {
                    let Some(batch) = c.next_commit(5, &limits(shard_bytes)) else { continue };
                    let conflicts = store.conflicting_shards(&batch);
                    if !conflicts.is_empty() {
                        c.restore_uncommitted(batch);
                        for path in &conflicts {
                            c.reconcile_key(path, store.items.get(path), now);
                            in_doubt.remove(path);
                        }
                        continue;
                    }
                    let largest = store.carry_out(&batch);
                    prop_assert!(largest <= shard_bytes, "a shard of {} bytes", largest);
                    // op 4: carried out, and the response is lost
                    if op == 4 {
                        in_doubt.extend(batch.shards.iter().map(|(id, _)| shard_key(*id)));
                        c.restore_uncommitted(batch);
                    } else {
                        c.apply_commit(batch, store.revision, now);
                    }
                }
            }
        }
        for StoredShard { id, shard, .. } in store.read_shards() {
            prop_assert!(in_doubt.contains(&shard_key(id)) || c.shards[&id].revision == shard.revision);
        }
        let next = store.next_leader(spec(JOB, 40), now);
        for (name, machine) in &c.machines {
            for (task, assignment) in machine.tasks.iter().filter(|(_, assignment)| assignment.stored) {
                let found = next.machines.get(name).and_then(|machine| machine.tasks.get(task));
                let is_found = found.is_some_and(|found| found.attempt == assignment.attempt && found.inherited);
                prop_assert!(is_found, "{} is lost", task);
            }
        }
    }
}

/// Found by the seeded simulation: machines that could not be reached kept tasks of jobs
/// that were over and not on record, and no transaction of the leader's succeeded for as
/// long as they did.
#[test]
fn a_running_task_of_an_ended_job_does_not_block_commits() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    c.add_job(spec(JOB, 1), 1, Some(JobOutcome::Cancelled), now);
    c.add_job(spec("j-000002", 1), 2, None, now);
    let running = TaskStatus { task: task(0), attempt: 7, state: TaskState::Running, cause: None, saved: None };
    let heartbeat = Heartbeat { tasks: vec![running], ..crate::sim::report("i-1", "z0", 1, 1, 0) };
    c.apply_heartbeat(&heartbeat, HeartbeatSource::Worker, now);
    c.run_placement_pass(now);
    let batch = c.next_commit(5, &limits(1000)).expect("two starts to store");
    let requires_outcome = |id: &str| batch.txn.requires(&format!("{}{id}", key::OUTCOME));
    assert_eq!((requires_outcome(JOB), requires_outcome("j-000002")), (false, true));
    assert_eq!(batch.starts.len(), 2);
    c.apply_commit(batch, 6, now);
    // on record, it counts and is stopped; its start is never sent
    assert!(c.machines["i-1"].tasks[&task(0)].stop_grace_s.is_some());
    let commands = c.reply_to_heartbeat(&heartbeat, now).commands;
    assert!(commands
        .iter()
        .all(|command| !matches!(command, Command::Start { task: started, .. } if *started == task(0))));
}

/// Values that the code of the version in production wrote.
fn production_values() -> serde_json::Value {
    serde_json::from_str(include_str!("../golden/production.json")).expect("values of production")
}

/// One of these values, as the store returns it.
fn stored_value(golden: &serde_json::Value, name: &str) -> KeyValue {
    let value = rmpv::decode::read_value(&mut &coralnotch_wire::http::encode(&golden[name])[..]).expect("a value");
    KeyValue { key: shard_key(3), value, revision: 9 }
}

/// What the version in production stored is read as it was meant, and what needs no new
/// feature is written in the same bytes: each version works on the other's data.
#[test]
fn what_production_stored_is_read_and_written_the_same() {
    let golden = production_values();
    let value = |name: &str| stored_value(&golden, name);
    let assert_same = |name: &str, write: Write| {
        let Write::Set { data, .. } = write else { panic!("a put") };
        assert_eq!(serde_json::to_value(&data).expect("JSON"), golden[name], "{name}");
    };
    let StoredShard { id, shard, locations } = read_shard(&shard_key(3), &value("page")).expect("a shard");
    assert_eq!((id, shard.starts.len(), locations.len()), (3, 20, 4));
    let is_as_written =
        |start: &StartRecord| start.attempt >> 24 == 3 && start.incarnation == 1 + u64::from(start.task.index % 4);
    assert!(shard.starts.iter().all(is_as_written));
    assert_eq!(shard.completed[0].1.iter().collect::<Vec<_>>(), [25, 26, 27, 31]);
    assert!(locations["i-000003"].spot && &*locations["i-000003"].zone == "z1");
    let mut c = cluster(4, Instant::now());
    c.add_job(spec(JOB, 40), 1, None, Instant::now());
    c.add_shard(id, shard.clone(), &locations, Instant::now());
    assert_same("page", Write::set("x", &c.shard_record(&shard)));
    let job: JobSpec = read_value("x", value("job").value).expect("a job");
    assert!(job.needs.is_empty() && job.validation_error().is_none());
    assert_same("job", Write::set("x", &job));
    let outcome: OutcomeRecord = read_value("x", value("fate").value).expect("an outcome");
    assert_same("fate", Write::set("x", &outcome));
    let types: Vec<MachineType> = read_value("x", value("types").value).expect("types");
    assert_same("types", Write::set("x", &types));
    let rentals: Vec<crate::cluster::Rental> = read_value("x", value("rentals").value).expect("rentals");
    assert_same("rentals", Write::set("x", &rentals));
    // Production ignores fields that it does not know: that is why a job that needs
    // others is stored only once no controller is of that version any more.
    let chained = JobSpec { needs: vec!["j-1".into()], ..job };
    assert_ne!(serde_json::to_value(&chained).expect("JSON"), golden["job"]);
}

/// Asserts that a transaction keeps the limits and requires what the store holds.
fn assert_may_succeed(batch: &CommitBatch, store: &Store, limits: &TxnLimits) {
    let preconditions = &batch.txn.preconditions;
    assert!(batch.txn.writes.len() <= limits.writes && preconditions.len() <= limits.preconditions);
    let mut after_leader = preconditions.iter().skip(1);
    assert!(after_leader.all(|p| p.key.starts_with(key::OUTCOME) || p.revision == store.revision_of(&p.key)));
}

fn count_stored(c: &Cluster) -> usize {
    c.machines.values().flat_map(|machine| machine.tasks.values()).filter(|assignment| assignment.stored).count()
}

/// A shard as large as an earlier version let it grow, and nothing but valid starts and
/// completed tasks in it: it is split by transactions that fit, whichever of them fails,
/// and the next leader finds every start at each step.
#[test]
fn a_shard_of_former_limits_is_split() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    c.add_job(spec(JOB, 1000), 1, None, now);
    for index in 0..300 {
        let machine = add_machine(&mut c, &format!("i-{index:06}"), now);
        assign(&mut c, index, &machine, now);
    }
    (400..1000).step_by(2).for_each(|index| c.mark_completed(&task(index), now));
    let wide = TxnLimits { writes: 24, preconditions: 96, shard_bytes: 15_000, value_bytes: 15_000 };
    let narrow = TxnLimits { writes: 8, preconditions: 32, shard_bytes: 1900, value_bytes: 1900 };
    let mut store = Store { revision: 10, ..Store::default() };
    for round in 0..60 {
        let limits = if round == 0 { &wide } else { &narrow };
        if round == 1 {
            assert!(store.items.len() == 1, "one shard holds it all");
        }
        if round > 0 {
            // something new is stored now and then
            let machine = add_machine(&mut c, &format!("i-{:06}", 1000 + round), now);
            assign(&mut c, 299 + round, &machine, now);
        }
        let batch = c.next_commit(5, limits).expect("something to store");
        assert_may_succeed(&batch, &store, limits);
        if round % 3 == 2 {
            // refused, or without a response and not carried out
            c.restore_uncommitted(batch);
            continue;
        }
        let largest = store.carry_out(&batch);
        assert!(largest <= limits.shard_bytes, "a value of {largest} bytes");
        c.apply_commit(batch, store.revision, now);
        let next = store.next_leader(spec(JOB, 1000), now);
        assert_eq!(count_stored(&next), count_stored(&c), "round {round}");
        assert_eq!(next.jobs[JOB].completed.len(), 300, "round {round}");
    }
    let largest = store.items.values().map(|item| json_bytes(&item.value)).max().unwrap_or(0);
    assert!(largest <= narrow.shard_bytes, "a shard of {largest} bytes is left");
    assert!(store.items.len() < 30, "{} shards for what fits into ten", store.items.len());
}

/// What needs a cancelled job is cancelled with it, as many jobs a transaction as fit,
/// also when one was refused; none of them starts, and what needs a job that is done
/// starts once that is stored, not before.
#[test]
fn outcomes_release_or_cancel_dependents() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    let needing = |id: &str, needs: &[&str]| {
        let needs = needs.iter().map(|needed| Name::from(*needed)).collect();
        Arc::new(JobSpec { needs, ..(*spec(id, 1)).clone() })
    };
    c.add_job(spec("j-1", 1), 1, None, now);
    c.add_job(spec("j-2", 1), 2, None, now);
    c.add_job(needing("j-3", &["j-1"]), 3, None, now);
    for revision in 10..30 {
        c.add_job(needing(&format!("j-{revision}"), &["j-2"]), revision, None, now);
    }
    assert_eq!((c.jobs.len(), c.dependency.len()), (2, 21));
    c.mark_completed(&Task { job: "j-1".into(), index: 0 }, now);
    let batch = c.next_commit(5, &limits(4096)).expect("the outcome of the first");
    assert!(!c.jobs.contains_key("j-3"), "not stored yet");
    c.restore_uncommitted(batch);
    let batch = c.next_commit(5, &limits(4096)).expect("the outcome again");
    assert!(!c.jobs.contains_key("j-3"), "in doubt");
    c.apply_commit(batch, 6, now);
    assert!(c.jobs.contains_key("j-3") && c.queue_changed);
    c.set_outcome("j-2", JobOutcome::Cancelled, now);
    let mut outcomes = Vec::new();
    let mut tries = 0;
    while let Some(batch) = c.next_commit(5, &limits(4096)) {
        tries += 1;
        if tries == 2 {
            c.restore_uncommitted(batch);
            continue;
        }
        assert!(batch.txn.writes.len() <= 8);
        outcomes.extend(c.apply_commit(batch, 6 + tries, now));
    }
    assert_eq!(outcomes.len(), 20);
    assert!(outcomes.iter().all(|(_, outcome)| *outcome == JobOutcome::Cancelled));
    assert!(c.dependency.is_empty() && c.jobs.len() == 3);
}

/// Seen as production was upgraded under load: a new leader added a job before the one
/// that it needs, which was over and still in a shard; it never started.
#[test]
fn an_ended_job_on_record_releases_what_needs_it() {
    let now = Instant::now();
    for (outcome, is_released) in [(JobOutcome::Done, true), (JobOutcome::Cancelled, false)] {
        let mut c = cluster(2, now);
        let last = JobSpec { needs: vec!["j-1".into()], ..(*spec("j-2", 1)).clone() };
        c.add_job(Arc::new(last), 2, None, now);
        assert_eq!(c.dependency.unknown(), ["j-1".into()]);
        c.add_job(spec("j-1", 1), 1, Some(outcome), now);
        assert_eq!(c.jobs.contains_key("j-2"), is_released);
        assert_eq!(c.dependency.needing_cancelled().count(), usize::from(!is_released));
    }
}

/// The outcome of a job is stored once, and with the last task, not before.
#[test]
fn the_outcome_is_stored_with_the_last_task() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    c.add_job(spec(JOB, 2), 1, None, now);
    c.mark_completed(&task(0), now);
    let batch = c.next_commit(5, &limits(4096)).expect("a completed task");
    assert!(batch.outcomes.is_empty() && batch.completed.len() == 1);
    assert!(c.apply_commit(batch, 6, now).is_empty());
    c.mark_completed(&task(1), now);
    let batch = c.next_commit(5, &limits(4096)).expect("the outcome");
    assert!(batch.txn.requires("c2/w/fate/j-000001"));
    // in doubt: written again, and only its success counts
    c.restore_uncommitted(batch);
    let batch = c.next_commit(5, &limits(4096)).expect("the outcome again");
    assert_eq!(c.apply_commit(batch, 7, now), [(JOB.into(), JobOutcome::Done)]);
    assert!(c.next_commit(5, &limits(4096)).is_none());
}
