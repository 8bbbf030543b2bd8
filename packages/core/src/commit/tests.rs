use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use coralnotch_wire::state::{decode_value, KeyValue, Write};
use proptest::prelude::*;

use super::*;
use crate::cluster::{Cluster, Machine};
use crate::sim::{job_array, new_cluster};
use crate::workers::{Command, Heartbeat, HeartbeatSource, TaskState, TaskStatus};

const JOB: &str = "j-000001";

fn limits(shard_bytes: usize) -> TxnLimits {
    TxnLimits { writes: 8, preconditions: 32, shard_bytes, value_bytes: shard_bytes }
}

fn task(index: u32) -> Task {
    Task { job: JOB.into(), index }
}

/// Adds a machine to which tasks can be assigned.
fn add_machine(cluster: &mut Cluster, name: &str, now: Instant) -> Name {
    let name: Name = name.into();
    let mut machine = Machine::new(name.clone(), "t".into(), "z0".into(), false, now);
    machine.incarnation = 1;
    cluster.machines.insert(name.clone(), machine);
    name
}

fn assign(cluster: &mut Cluster, index: u32, machine: &Name, now: Instant) {
    let attempt = cluster.new_attempt();
    cluster.assign(&task(index), machine, attempt, now);
}

/// A fake of the store: its keys and values, and its last revision.
#[derive(Default)]
struct Store {
    items: HashMap<String, KeyValue>,
    revision: u64,
}

impl Store {
    /// Returns the revision of a key; 0 if the key is absent.
    fn revision_of(&self, path: &str) -> u64 {
        self.items.get(path).map_or(0, |item| item.revision)
    }

    /// Returns the keys of the shards whose preconditions do not hold.
    fn conflicting_shards(&self, batch: &CommitBatch) -> Vec<String> {
        let preconditions = batch.txn.preconditions.iter().filter(|p| p.key.starts_with(key::SHARD));
        let failed = preconditions.filter(|p| self.revision_of(&p.key) != p.revision);
        failed.map(|p| p.key.clone()).collect()
    }

    /// Applies the writes of a transaction, and returns the size of its largest value in bytes.
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
        self.items.iter().map(|(path, item)| read_shard(path, item).expect("a well-formed shard")).collect()
    }

    /// Returns the state of a new leader that has read the job and all shards.
    fn next_leader(&self, job: Arc<JobSpec>, now: Instant) -> Cluster {
        let mut next = new_cluster(2, now);
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
    /// The next leader finds every committed start, however many shards there are and in
    /// whatever order tasks are assigned and released.  No shard exceeds the size limit, which
    /// is lowered halfway through, and no start counts as stored that is in no shard.
    #[test]
    fn the_next_leader_finds_every_committed_start(ops in prop::collection::vec((0u8..5, 0u32..40, 0usize..6), 1..120)) {
        let now = Instant::now();
        let mut cluster = new_cluster(1, now);
        let mut store = Store { revision: 10, ..Store::default() };
        cluster.add_job(job_array(JOB, 40), 1, None, now);
        let machines: Vec<Name> = (0..6).map(|number| add_machine(&mut cluster, &format!("i-{number}"), now)).collect();
        // shards written by a transaction whose response was lost
        let mut in_doubt = BTreeSet::new();
        let half = ops.len() / 2;
        for (step, (op, index, machine)) in ops.into_iter().enumerate() {
            let shard_bytes = if step < half { 1000 } else { 300 };
            match op {
                0 | 1 => assign(&mut cluster, index, &machines[machine], now),
                2 => {
                    let assigned = cluster.jobs[JOB].assignments.get(&index).map(|machines| machines[0].clone());
                    if let Some(machine) = assigned {
                        cluster.release_assignment(&machine, &task(index), now);
                    }
                }
                _ => {
                    let Some(batch) = cluster.next_commit(5, &limits(shard_bytes)) else { continue };
                    let conflicts = store.conflicting_shards(&batch);
                    if !conflicts.is_empty() {
                        cluster.restore_uncommitted(batch);
                        for path in &conflicts {
                            cluster.reconcile_key(path, store.items.get(path), now);
                            in_doubt.remove(path);
                        }
                        continue;
                    }
                    let largest = store.carry_out(&batch);
                    prop_assert!(largest <= shard_bytes, "a shard has {} bytes", largest);
                    // op 4: the transaction succeeds, but its response is lost
                    if op == 4 {
                        in_doubt.extend(batch.shards.iter().map(|(id, _)| shard_key(*id)));
                        cluster.restore_uncommitted(batch);
                    } else {
                        cluster.apply_commit(batch, store.revision, now);
                    }
                }
            }
        }
        for StoredShard { id, shard, .. } in store.read_shards() {
            prop_assert!(in_doubt.contains(&shard_key(id)) || cluster.shards[&id].revision == shard.revision);
        }
        let next = store.next_leader(job_array(JOB, 40), now);
        for (name, machine) in &cluster.machines {
            for (task, assignment) in machine.tasks.iter().filter(|(_, assignment)| assignment.stored) {
                let found = next.machines.get(name).and_then(|machine| machine.tasks.get(task));
                let is_found = found.is_some_and(|found| found.attempt == assignment.attempt && found.inherited);
                prop_assert!(is_found, "the next leader does not find the start of {}", task);
            }
        }
    }
}

/// Guards against a start whose precondition never holds.  Unreachable machines still ran
/// unrecorded tasks of ended jobs.  The starts of these tasks were stored on condition that
/// their jobs had no outcome, so every transaction of the leader failed while they ran.
#[test]
fn a_running_task_of_an_ended_job_does_not_block_commits() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    cluster.add_job(job_array(JOB, 1), 1, Some(JobOutcome::Cancelled), now);
    cluster.add_job(job_array("j-000002", 1), 2, None, now);
    let running = TaskStatus { task: task(0), attempt: 7, state: TaskState::Running, cause: None, saved: None };
    let heartbeat = Heartbeat { tasks: vec![running], ..crate::sim::heartbeat("i-1", "z0", 1, 1, 0) };
    cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Worker, now);
    cluster.run_placement_pass(now);
    let batch = cluster.next_commit(5, &limits(1000)).expect("two starts to store");
    let requires_outcome = |id: &str| batch.txn.has_precondition(&format!("{}{id}", key::OUTCOME));
    assert_eq!((requires_outcome(JOB), requires_outcome("j-000002")), (false, true));
    assert_eq!(batch.starts.len(), 2);
    cluster.apply_commit(batch, 6, now);
    // the stored task counts as present and is stopped, but its start is never sent
    assert!(cluster.machines["i-1"].tasks[&task(0)].stop_grace_s.is_some());
    let commands = cluster.reply_to_heartbeat(&heartbeat, now).commands;
    assert!(commands
        .iter()
        .all(|command| !matches!(command, Command::Start { task: started, .. } if *started == task(0))));
}

/// Returns values that the version in production wrote.
fn production_values() -> serde_json::Value {
    serde_json::from_str(include_str!("../golden/production.json")).expect("values of production")
}

/// Returns one of the production values as the store returns it.
fn stored_value(golden: &serde_json::Value, name: &str) -> KeyValue {
    let value = rmpv::decode::read_value(&mut &coralnotch_wire::http::encode(&golden[name])[..]).expect("a value");
    KeyValue { key: shard_key(3), value, revision: 9 }
}

/// Values that the version in production stored are read correctly, and values that need no
/// new feature are written in the same form, so each version can use the data of the other.
#[test]
fn production_values_are_read_and_written_unchanged() {
    let golden = production_values();
    let value = |name: &str| stored_value(&golden, name);
    let assert_same = |name: &str, write: Write| {
        let Write::Set { data, .. } = write else { panic!("the write is not a put") };
        assert_eq!(serde_json::to_value(&data).expect("JSON"), golden[name], "{name}");
    };
    let StoredShard { id, shard, locations } = read_shard(&shard_key(3), &value("page")).expect("a shard");
    assert_eq!((id, shard.starts.len(), locations.len()), (3, 20, 4));
    let is_as_written =
        |start: &StartRecord| start.attempt >> 24 == 3 && start.incarnation == 1 + u64::from(start.task.index % 4);
    assert!(shard.starts.iter().all(is_as_written));
    assert_eq!(shard.completed[0].1.iter().collect::<Vec<_>>(), [25, 26, 27, 31]);
    assert!(locations["i-000003"].spot && &*locations["i-000003"].zone == "z1");
    let mut cluster = new_cluster(4, Instant::now());
    cluster.add_job(job_array(JOB, 40), 1, None, Instant::now());
    cluster.add_shard(id, shard.clone(), &locations, Instant::now());
    assert_same("page", Write::set("x", &cluster.shard_record(&shard)));
    let job: JobSpec = decode_value("x", value("job").value).expect("a job");
    assert!(job.dependencies.is_empty() && job.validation_error().is_none());
    assert_same("job", Write::set("x", &job));
    let outcome: OutcomeRecord = decode_value("x", value("fate").value).expect("an outcome");
    assert_same("fate", Write::set("x", &outcome));
    let types: Vec<MachineType> = decode_value("x", value("types").value).expect("types");
    assert_same("types", Write::set("x", &types));
    let rentals: Vec<crate::cluster::Rental> = decode_value("x", value("rentals").value).expect("rentals");
    assert_same("rentals", Write::set("x", &rentals));
    // The production version ignores unknown fields.  A job with dependencies is therefore
    // stored only once no controller runs that version any more.
    let chained = JobSpec { dependencies: vec!["j-1".into()], ..job };
    assert_ne!(serde_json::to_value(&chained).expect("JSON"), golden["job"]);
}

/// Asserts that a transaction keeps to the limits, and that its preconditions on shards hold.
fn assert_may_succeed(batch: &CommitBatch, store: &Store, limits: &TxnLimits) {
    let preconditions = &batch.txn.preconditions;
    assert!(batch.txn.writes.len() <= limits.writes && preconditions.len() <= limits.preconditions);
    let mut after_leader = preconditions.iter().skip(1);
    assert!(after_leader.all(|p| p.key.starts_with(key::OUTCOME) || p.revision == store.revision_of(&p.key)));
}

fn count_stored(cluster: &Cluster) -> usize {
    cluster.machines.values().flat_map(|machine| machine.tasks.values()).filter(|assignment| assignment.stored).count()
}

/// A shard that earlier limits let grow, with only valid starts and completed tasks, is split
/// by transactions that keep to the current limits, although some of them fail.  After each
/// step the next leader finds every start.
#[test]
fn an_oversized_shard_is_split_without_losing_starts() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    cluster.add_job(job_array(JOB, 1000), 1, None, now);
    for index in 0..300 {
        let machine = add_machine(&mut cluster, &format!("i-{index:06}"), now);
        assign(&mut cluster, index, &machine, now);
    }
    (400..1000).step_by(2).for_each(|index| cluster.mark_completed(&task(index), now));
    let former_limits = TxnLimits { writes: 24, preconditions: 96, shard_bytes: 15_000, value_bytes: 15_000 };
    let current_limits = TxnLimits { writes: 8, preconditions: 32, shard_bytes: 1900, value_bytes: 1900 };
    let mut store = Store { revision: 10, ..Store::default() };
    for round in 0..60 {
        let limits = if round == 0 { &former_limits } else { &current_limits };
        if round == 1 {
            assert!(store.items.len() == 1, "a single shard holds all entries");
        }
        if round > 0 {
            // a new start is stored in each round
            let machine = add_machine(&mut cluster, &format!("i-{:06}", 1000 + round), now);
            assign(&mut cluster, 299 + round, &machine, now);
        }
        let batch = cluster.next_commit(5, limits).expect("something to store");
        assert_may_succeed(&batch, &store, limits);
        if round % 3 == 2 {
            // the store refuses the transaction, or never receives it
            cluster.restore_uncommitted(batch);
            continue;
        }
        let largest = store.carry_out(&batch);
        assert!(largest <= limits.shard_bytes, "a value has {largest} bytes");
        cluster.apply_commit(batch, store.revision, now);
        let next = store.next_leader(job_array(JOB, 1000), now);
        assert_eq!(count_stored(&next), count_stored(&cluster), "round {round}");
        assert_eq!(next.jobs[JOB].completed.len(), 300, "round {round}");
    }
    let largest = store.items.values().map(|item| json_bytes(&item.value)).max().unwrap_or(0);
    assert!(largest <= current_limits.shard_bytes, "a shard of {largest} bytes was not split");
    assert!(store.items.len() < 30, "{} shards for entries that fit into ten", store.items.len());
}

/// Jobs that depend on a cancelled job are cancelled too, as many in each transaction as fit,
/// even if a transaction fails, and none of them starts.  A job that depends on a done job
/// is released only once that outcome is stored.
#[test]
fn outcomes_release_or_cancel_dependents() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    let job_with_dependencies = |id: &str, needs: &[&str]| {
        let dependencies = needs.iter().map(|needed| Name::from(*needed)).collect();
        Arc::new(JobSpec { dependencies, ..(*job_array(id, 1)).clone() })
    };
    cluster.add_job(job_array("j-1", 1), 1, None, now);
    cluster.add_job(job_array("j-2", 1), 2, None, now);
    cluster.add_job(job_with_dependencies("j-3", &["j-1"]), 3, None, now);
    for revision in 10..30 {
        cluster.add_job(job_with_dependencies(&format!("j-{revision}"), &["j-2"]), revision, None, now);
    }
    assert_eq!((cluster.jobs.len(), cluster.dependencies.len()), (2, 21));
    cluster.mark_completed(&Task { job: "j-1".into(), index: 0 }, now);
    let batch = cluster.next_commit(5, &limits(4096)).expect("the outcome of j-1 to store");
    assert!(!cluster.jobs.contains_key("j-3"), "the outcome of j-1 is not stored yet");
    cluster.restore_uncommitted(batch);
    let batch = cluster.next_commit(5, &limits(4096)).expect("the outcome again");
    assert!(!cluster.jobs.contains_key("j-3"), "the result of the transaction is unknown");
    cluster.apply_commit(batch, 6, now);
    assert!(cluster.jobs.contains_key("j-3") && cluster.queue_changed);
    cluster.set_outcome("j-2", JobOutcome::Cancelled, now);
    let mut outcomes = Vec::new();
    let mut attempts = 0;
    while let Some(batch) = cluster.next_commit(5, &limits(4096)) {
        attempts += 1;
        if attempts == 2 {
            cluster.restore_uncommitted(batch);
            continue;
        }
        assert!(batch.txn.writes.len() <= 8);
        outcomes.extend(cluster.apply_commit(batch, 6 + attempts, now));
    }
    assert_eq!(outcomes.len(), 20);
    assert!(outcomes.iter().all(|(_, outcome)| *outcome == JobOutcome::Cancelled));
    assert!(cluster.dependencies.is_empty() && cluster.jobs.len() == 3);
}

/// Guards against a job that never starts: during an upgrade under load, a new leader added the
/// job before its dependency, which had ended but was still in a shard.
#[test]
fn adding_an_ended_dependency_releases_or_cancels_its_dependent() {
    let now = Instant::now();
    for (outcome, is_released) in [(JobOutcome::Done, true), (JobOutcome::Cancelled, false)] {
        let mut cluster = new_cluster(2, now);
        let last = JobSpec { dependencies: vec!["j-1".into()], ..(*job_array("j-2", 1)).clone() };
        cluster.add_job(Arc::new(last), 2, None, now);
        assert_eq!(cluster.dependencies.unknown_dependencies(), ["j-1".into()]);
        cluster.add_job(job_array("j-1", 1), 1, Some(outcome), now);
        assert_eq!(cluster.jobs.contains_key("j-2"), is_released);
        assert_eq!(cluster.dependencies.dependents_of_cancelled().count(), usize::from(!is_released));
    }
}

/// The outcome of a job is stored exactly once, when its last task has completed.
#[test]
fn the_outcome_is_stored_with_the_last_task() {
    let now = Instant::now();
    let mut cluster = new_cluster(1, now);
    cluster.add_job(job_array(JOB, 2), 1, None, now);
    cluster.mark_completed(&task(0), now);
    let batch = cluster.next_commit(5, &limits(4096)).expect("a completed task");
    assert!(batch.outcomes.is_empty() && batch.completed.len() == 1);
    assert!(cluster.apply_commit(batch, 6, now).is_empty());
    cluster.mark_completed(&task(1), now);
    let batch = cluster.next_commit(5, &limits(4096)).expect("the outcome");
    assert!(batch.txn.has_precondition("c2/w/fate/j-000001"));
    // with an unknown result the outcome is written again, and applied only on success
    cluster.restore_uncommitted(batch);
    let batch = cluster.next_commit(5, &limits(4096)).expect("the outcome again");
    assert_eq!(cluster.apply_commit(batch, 7, now), [(JOB.into(), JobOutcome::Done)]);
    assert!(cluster.next_commit(5, &limits(4096)).is_none());
}
