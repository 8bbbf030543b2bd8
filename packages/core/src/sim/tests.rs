//! Simulation tests: the invariants hold under random faults, and the checker detects each
//! injected defect.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Mutex;

use super::*;

/// Simulated duration of a run.
const RUN_DURATION: Ms = 280_000;
/// Time from which users are idle and faults end.
const QUIESCENT_FROM: Ms = 180_000;
/// Simulated duration of a run in a large cluster.
const LARGE_RUN_DURATION: Ms = 90_000;
/// Time in a large cluster from which users are idle and faults end.
const LARGE_QUIESCENT_FROM: Ms = 70_000;

#[test]
fn invariants_hold_under_random_faults() {
    let (mut done, mut with_dependencies) = (0, 0);
    let (mut elections, mut reelections, mut unchanged_forwarded) = (0, 0, 0);
    for seed in 0..40 {
        let world = World::new(seed, InjectedDefect::None).run(RUN_DURATION, QUIESCENT_FROM);
        assert!(world.violations.is_empty(), "seed {seed} at {} ms: {:?}", world.now, world.violations);
        assert_eq!(world.blocked_despite_done_dependencies(), [] as [String; 0], "seed {seed}");
        let is_done = |job: &&SubmittedJob| world.state_store.outcome(&job.spec.id) == Some(JobOutcome::Done);
        done += world.jobs.values().filter(is_done).count();
        with_dependencies +=
            world.jobs.values().filter(is_done).filter(|job| !job.spec.dependencies.is_empty()).count();
        elections += world.statistics.elections;
        reelections += world.statistics.reelections;
        unchanged_forwarded += world.statistics.unchanged_forwarded;
    }
    // the runs reached enough of the situations that the checker covers
    assert!(
        done > 250 && with_dependencies > 25,
        "too few jobs to check the invariants: {done} are done, of which {with_dependencies} had dependencies"
    );
    assert!(
        unchanged_forwarded > 300,
        "only {unchanged_forwarded} unchanged heartbeats were accepted without their content"
    );
    assert!(
        reelections > 20,
        "only {reelections} of {elections} leaders were elected while their earlier leader key was stored"
    );
}

/// Reads a number from an environment variable, or returns `None` if it is not set or invalid.
fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Checks the invariants with thousands of seeds, started by hand: `cargo test --release -p
/// coralnotch-core thousands -- --ignored --nocapture`.  The environment variable SEEDS sets
/// the number of seeds, and FIRST the first of them.
#[test]
#[ignore = "takes minutes"]
fn invariants_hold_in_thousands_of_runs() {
    let first = env_number("FIRST").unwrap_or(0);
    let end = first + env_number("SEEDS").unwrap_or(4000);
    let next = AtomicU64::new(first);
    let failed = Mutex::new(Vec::new());
    let starts_after_cancellation = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, |threads| threads.get()) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                let seed = 1000 + seed;
                let world = World::new(seed, InjectedDefect::None).run(RUN_DURATION, QUIESCENT_FROM);
                starts_after_cancellation.fetch_add(world.statistics.starts_after_cancellation, Ordering::Relaxed);
                if print_violations(seed, &world) {
                    failed.lock().expect("no thread panics while it holds the lock").push(seed);
                }
            });
        }
    });
    println!("tasks started after a confirmed cancellation: {}", starts_after_cancellation.into_inner());
    let failed = failed.into_inner().expect("no thread panics while it holds the lock");
    assert!(failed.is_empty(), "{} of {end} runs failed: {failed:?}", failed.len());
}

/// Prints the violations of a run, if any, and reports whether there are any.
fn print_violations(seed: u64, world: &World) -> bool {
    let mut violations = world.violations.clone();
    violations.extend(world.blocked_despite_done_dependencies());
    if violations.is_empty() {
        return false;
    }
    if let Some(leader) = world.controllers.iter().flatten().find(|controller| controller.has_lease(world.now)) {
        let blocked = leader.cluster.dependencies.blocked();
        let blocked: Vec<_> = blocked.map(|job| (&job.spec.id, &job.spec.dependencies, &job.missing)).collect();
        println!(
            "leader of term {}, served since {} ms, blocks jobs: {blocked:?}",
            leader.cluster.term, world.served_leader_since
        );
    }
    println!("seed {seed} at {} ms: {violations:?}", world.now);
    true
}

/// Guards against a checker that misses violations: each defect breaks an invariant on
/// purpose, and some run must report a violation.
#[test]
fn checker_detects_each_injected_defect() {
    let all = [
        InjectedDefect::ReleaseAfterMissedHeartbeats,
        InjectedDefect::StartBeforeCommit,
        InjectedDefect::ForgetUnansweredStart,
        InjectedDefect::OrderHeartbeatsByArrival,
        InjectedDefect::ReleaseUnlistedMachines,
        InjectedDefect::IgnoreDependencies,
        InjectedDefect::UnblockBeforeCommit,
        InjectedDefect::BlockStartedJobs,
        InjectedDefect::SkipCascadingCancellation,
        InjectedDefect::KeepTokenOfDirectStart,
        InjectedDefect::ElectWithoutPreconditions,
        InjectedDefect::TrustExpiredLease,
        InjectedDefect::RenewLeasesUnchecked,
        InjectedDefect::TrustPartialPeerKnowledge,
        InjectedDefect::ReportUnfinishedUnchecked,
        InjectedDefect::ConfirmCancellationAtOnce,
        InjectedDefect::ReportNoTasksUnchecked,
        InjectedDefect::AcceptAnyUnchangedHeartbeat,
    ];
    // one thread for each defect, since some are found only after hundreds of runs
    let is_found =
        |defect| (0..600).any(|seed| !World::new(seed, defect).run(RUN_DURATION, QUIESCENT_FROM).violations.is_empty());
    let found = std::thread::scope(|scope| {
        let threads = all.map(|defect| scope.spawn(move || is_found(defect)));
        threads.map(|thread| thread.join().expect("no simulation thread panics"))
    });
    for (defect, found) in all.into_iter().zip(found) {
        assert!(found, "no run reported a violation with the defect {defect:?}");
    }
    let large = World::with_machine_count(1000, 0, InjectedDefect::ReleaseAfterMissedHeartbeats);
    let large = large.run(LARGE_RUN_DURATION, LARGE_QUIESCENT_FROM);
    assert!(!large.violations.is_empty(), "the defect is detected with 9 machines but not with 1000");
}

/// Checks the invariants with a thousand machines, of which dozens fail at the same time, so
/// that shards fill up, are committed one after another and are read by successive leaders.
#[test]
fn invariants_hold_in_a_large_cluster() {
    let (mut terms, mut done, mut shards) = (0, 0, 0);
    for seed in 0..2 {
        let world =
            World::with_machine_count(1000, seed, InjectedDefect::None).run(LARGE_RUN_DURATION, LARGE_QUIESCENT_FROM);
        assert!(world.violations.is_empty(), "seed {seed} at {} ms: {:?}", world.now, world.violations);
        terms += world.greatest_term;
        done += world.jobs.keys().filter(|id| world.state_store.outcome(id) == Some(JobOutcome::Done)).count();
        shards += world.state_store.kv.keys().filter(|path| path.starts_with(key::SHARD)).count();
    }
    assert!(
        terms > 3 && done > 60 && shards > 20,
        "too few events to check the invariants: {terms} terms, {done} jobs done, {shards} shards"
    );
}
