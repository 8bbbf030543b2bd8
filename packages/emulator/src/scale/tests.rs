use super::scenario::{Scenario, ARRAY_TASKS, GANG_SIZES, SERVICE_REPLICAS};
use super::*;

fn target() -> Scenario {
    Scenario::parse(include_str!("../../../../examples/scale/target.toml")).expect("the example scenario is valid")
}

/// The example scenario has the size that the design is made for.
#[test]
fn example_scenario_has_the_target_size() {
    let scenario = target();
    let size = &scenario.target;
    assert_eq!((size.regions, size.zones, size.controllers), (4, 9, 17));
    assert_eq!((size.workers, size.accelerators, size.teams, size.machine_restarts), (14_000, 21_000, 1_200, 3_000));
    let load = scenario.load(1.0);
    let regions = size.regions as f64;
    let starts = load.peak.per_s * f64::from(ARRAY_TASKS) * regions;
    assert!((starts - 7_400.0).abs() < 1.0, "{starts} task starts per second at the peak");
    assert_eq!(GANG_SIZES.iter().map(|gang| gang.0).max(), Some(64));
    assert!(scenario.jobs_per_day(1.0) >= 110_000.0, "{} jobs per day", scenario.jobs_per_day(1.0));
    // Tasks that run at once: arrival rate times task duration for arrays, plus all service replicas.
    let services = (load.services * SERVICE_REPLICAS as usize) as f64;
    let arrays = load.steady.per_s * f64::from(ARRAY_TASKS) * load.steady.task_duration_s;
    let running = (services + arrays) * regions;
    assert!((150_000.0..=210_000.0).contains(&running), "{running} running tasks without gangs");
}

/// A fraction of the target scales the number of workers, arrivals and restarts, but not the duration
/// of the tasks.
#[test]
fn part_of_target_scales_counts_but_not_task_duration() {
    let (whole, half) = (target().load(1.0), target().load(0.5));
    assert_eq!(half.workers * 2, whole.workers);
    assert!((half.peak.per_s * 2.0 - whole.peak.per_s).abs() < 1e-9);
    assert!((half.peak.task_duration_s - whole.peak.task_duration_s).abs() < 1e-6);
    assert_eq!(half.restarts * 2, whole.restarts);
}

/// An invalid scenario file is rejected with all its problems before anything is started.
#[test]
fn invalid_scenario_is_rejected_with_all_problems() {
    let text = include_str!("../../../../examples/scale/target.toml");
    let text = text
        .replace("steps = [0.0625, 0.125, 0.25, 0.5, 1.0]", "steps = [0.5, 2.0]")
        .replace("lease_s = 31.0", "lease_s = 3.0")
        .replace("processes = 200", "processes = 20")
        .replace("starts_per_s = 7400.0", "starts_per_s = nan");
    let problems = Scenario::parse(&text).expect_err("the scenario has four problems");
    for part in ["steps", "region.lease_s", "bounds.processes: 30 are needed", "target.starts_per_s"] {
        assert!(problems.contains(part), "{part} is not in {problems}");
    }
    let dir = std::env::temp_dir().join(format!("coralnotch-scale-faults-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory can be created");
    let scenario = dir.join("wrong.toml");
    std::fs::write(&scenario, text).expect("the scenario file can be written");
    let (_stop, stopped) = smol::channel::bounded(1);
    let options = Options { scenario, out: dir.join("out"), steps: Vec::new(), controller: None };
    assert!(matches!(run(&options, &stopped), Err(Error::Input(_))));
    assert!(!dir.join("out").exists());
    let _ = std::fs::remove_dir_all(dir);
}
