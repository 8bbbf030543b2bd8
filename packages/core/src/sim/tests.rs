//! The protocol's rules hold through all faults, and each injected defect is found.

use super::*;

#[test]
fn the_rules_hold_through_troubles() {
    let (mut done, mut chained, mut taken, mut unchanged_forwarded) = (0, 0, 0, 0);
    for seed in 0..40 {
        let w = World::new(seed, InjectedDefect::None).run(280_000, 180_000);
        assert!(w.violations.is_empty(), "seed {seed} at {} ms: {:?}", w.now, w.violations);
        assert_eq!(w.blocked_despite_done_dependencies(), [] as [String; 0], "seed {seed}");
        let through = || w.jobs.values().filter(|j| w.state_store.outcome(&j.0.id) == Some(JobOutcome::Done));
        done += through().count();
        taken += w.elections.1;
        unchanged_forwarded += w.unchanged_forwarded;
        chained += through().filter(|j| !j.0.needs.is_empty()).count();
    }
    // the checker had something to check
    assert!(done > 250 && chained > 25, "only {done} jobs came through, {chained} of them had waited for others");
    assert!(unchanged_forwarded > 300, "only {unchanged_forwarded} reports were forwarded without their content");
    assert!(taken > 20, "only {taken} controllers came back while they still led");
}

/// The same with thousands of seeds, by hand: `cargo test --release -p coralnotch-core
/// thousands -- --ignored --nocapture`; SEEDS says how many.
#[test]
#[ignore = "takes minutes"]
fn the_rules_hold_through_thousands_of_days() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(4000);
    let first: u64 = std::env::var("FIRST").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    let seeds = first + seeds;
    let next = std::sync::atomic::AtomicU64::new(first);
    let failed = std::sync::Mutex::new(Vec::new());
    let starts_after_cancellation = std::sync::atomic::AtomicU32::new(0);
    std::thread::scope(|s| {
        for _ in 0..std::thread::available_parallelism().map_or(1, |n| n.get()) {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let w = World::new(1000 + seed, InjectedDefect::None).run(280_000, 180_000);
                starts_after_cancellation.fetch_add(w.starts_after_cancellation, std::sync::atomic::Ordering::Relaxed);
                let mut wrong = w.violations.clone();
                wrong.extend(w.blocked_despite_done_dependencies());
                if !wrong.is_empty() {
                    if let Some(c) = w.controllers.iter().flatten().find(|c| w.now < c.until) {
                        let held: Vec<_> =
                            c.cluster.dependency.blocked().map(|h| (&h.spec.id, &h.spec.needs, &h.missing)).collect();
                        println!("term {} led since {}: {held:?}", c.cluster.term, w.led_since);
                    }
                    println!("seed {} at {} ms: {wrong:?}", 1000 + seed, w.now);
                    failed.lock().expect("a list").push(1000 + seed);
                }
            });
        }
    });
    println!("starts after a confirmed cancellation: {}", starts_after_cancellation.into_inner());
    let failed = failed.into_inner().expect("a list");
    assert!(failed.is_empty(), "{} of {seeds} days failed: {failed:?}", failed.len());
}

/// Each invariant, broken on purpose, is noticed: the checker is not blind.
#[test]
fn the_checker_sees_broken_invariants() {
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
    // each on a thread of its own: some take hundreds of days
    let noticed = |s| (0..600).any(|seed| !World::new(seed, s).run(280_000, 180_000).violations.is_empty());
    let seen = std::thread::scope(|scope| {
        let days = all.map(|s| scope.spawn(move || noticed(s)));
        days.map(|d| d.join().expect("no panic"))
    });
    for (s, seen) in all.into_iter().zip(seen) {
        assert!(seen, "{s:?} went unnoticed");
    }
    let large = World::with_scale(1000, 0, InjectedDefect::ReleaseAfterMissedHeartbeats).run(90_000, 70_000);
    assert!(!large.violations.is_empty(), "a thousand machines hide what nine show");
}

/// The same with a thousand machines, of which dozens fail at once: pages
/// fill, are taken in turn and read by one leader after another.
#[test]
fn the_rules_hold_in_a_large_world() {
    let (mut terms, mut done, mut pages) = (0, 0, 0);
    for seed in 0..2 {
        let w = World::with_scale(1000, seed, InjectedDefect::None).run(90_000, 70_000);
        assert!(w.violations.is_empty(), "seed {seed} at {} ms: {:?}", w.now, w.violations);
        terms += w.term;
        done += w.jobs.keys().filter(|id| w.state_store.outcome(id) == Some(JobOutcome::Done)).count();
        pages += w.state_store.kv.keys().filter(|k| k.starts_with(key::SHARD)).count();
    }
    assert!(terms > 3 && done > 60 && pages > 20, "too little to check: {terms} terms, {done} done, {pages} pages");
}
