//! The protocol's rules hold through all faults, and each injected defect is found.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Mutex;

use super::*;

/// How long a run takes, and when its calm begins.
const RUN: Ms = 280_000;
const CALM_FROM: Ms = 180_000;
/// The same in a large world.
const LARGE_RUN: Ms = 90_000;
const LARGE_CALM_FROM: Ms = 70_000;

#[test]
fn the_rules_hold_through_faults() {
    let (mut done, mut with_dependencies) = (0, 0);
    let (mut elections, mut reelections, mut unchanged_forwarded) = (0, 0, 0);
    for seed in 0..40 {
        let world = World::new(seed, InjectedDefect::None).run(RUN, CALM_FROM);
        assert!(world.violations.is_empty(), "seed {seed} at {} ms: {:?}", world.now, world.violations);
        assert_eq!(world.blocked_despite_done_dependencies(), [] as [String; 0], "seed {seed}");
        let is_done = |job: &&SubmittedJob| world.state_store.outcome(&job.spec.id) == Some(JobOutcome::Done);
        done += world.jobs.values().filter(is_done).count();
        with_dependencies += world.jobs.values().filter(is_done).filter(|job| !job.spec.needs.is_empty()).count();
        elections += world.statistics.elections;
        reelections += world.statistics.reelections;
        unchanged_forwarded += world.statistics.unchanged_forwarded;
    }
    // the checker had something to check
    assert!(
        done > 250 && with_dependencies > 25,
        "only {done} jobs are done, of which {with_dependencies} had dependencies"
    );
    assert!(unchanged_forwarded > 300, "only {unchanged_forwarded} heartbeats were forwarded without their content");
    assert!(reelections > 20, "only {reelections} of {elections} leaders were elected while their old key was stored");
}

/// A number in the environment.
fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// The same with thousands of seeds, by hand: `cargo test --release -p coralnotch-core
/// thousands -- --ignored --nocapture`; SEEDS is their number, FIRST the first of them.
#[test]
#[ignore = "takes minutes"]
fn the_rules_hold_through_thousands_of_runs() {
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
                let world = World::new(seed, InjectedDefect::None).run(RUN, CALM_FROM);
                starts_after_cancellation.fetch_add(world.statistics.starts_after_cancellation, Ordering::Relaxed);
                if is_faulty(seed, &world) {
                    failed.lock().expect("a list").push(seed);
                }
            });
        }
    });
    println!("starts after a confirmed cancellation: {}", starts_after_cancellation.into_inner());
    let failed = failed.into_inner().expect("a list");
    assert!(failed.is_empty(), "{} of {end} runs failed: {failed:?}", failed.len());
}

/// Whether a run broke a rule; what is known of it is printed.
fn is_faulty(seed: u64, world: &World) -> bool {
    let mut violations = world.violations.clone();
    violations.extend(world.blocked_despite_done_dependencies());
    if violations.is_empty() {
        return false;
    }
    if let Some(leader) = world.controllers.iter().flatten().find(|controller| controller.has_lease(world.now)) {
        let blocked = leader.cluster.dependency.blocked();
        let blocked: Vec<_> = blocked.map(|job| (&job.spec.id, &job.spec.needs, &job.missing)).collect();
        println!("term {} led since {}: {blocked:?}", leader.cluster.term, world.led_since);
    }
    println!("seed {seed} at {} ms: {violations:?}", world.now);
    true
}

/// Each invariant, broken on purpose, is noticed: the checker is not blind.
#[test]
fn the_checker_finds_each_injected_defect() {
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
    // each on a thread of its own: some take hundreds of runs
    let is_found = |defect| (0..600).any(|seed| !World::new(seed, defect).run(RUN, CALM_FROM).violations.is_empty());
    let found = std::thread::scope(|scope| {
        let threads = all.map(|defect| scope.spawn(move || is_found(defect)));
        threads.map(|thread| thread.join().expect("no panic"))
    });
    for (defect, found) in all.into_iter().zip(found) {
        assert!(found, "{defect:?} was not found");
    }
    let large = World::with_scale(1000, 0, InjectedDefect::ReleaseAfterMissedHeartbeats);
    let large = large.run(LARGE_RUN, LARGE_CALM_FROM);
    assert!(!large.violations.is_empty(), "a thousand machines hide what nine show");
}

/// The same with a thousand machines, of which dozens fail at once: shards fill, are
/// committed one after another and read by one leader after another.
#[test]
fn the_rules_hold_in_a_large_world() {
    let (mut terms, mut done, mut shards) = (0, 0, 0);
    for seed in 0..2 {
        let world = World::with_scale(1000, seed, InjectedDefect::None).run(LARGE_RUN, LARGE_CALM_FROM);
        assert!(world.violations.is_empty(), "seed {seed} at {} ms: {:?}", world.now, world.violations);
        terms += world.term;
        done += world.jobs.keys().filter(|id| world.state_store.outcome(id) == Some(JobOutcome::Done)).count();
        shards += world.state_store.kv.keys().filter(|path| path.starts_with(key::SHARD)).count();
    }
    assert!(terms > 3 && done > 60 && shards > 20, "too little to check: {terms} terms, {done} done, {shards} shards");
}
