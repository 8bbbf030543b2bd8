use super::scenario::{Scenario, ARRAY_TASKS, GANG_SIZES, SERVICE_TASKS};
use super::*;

fn target() -> Scenario {
    Scenario::parse(include_str!("../../../../examples/scale/target.toml")).expect("the example is in order")
}

/// The whole of the example is the size that the design is for.
#[test]
fn the_example_is_the_target() {
    let s = target();
    let t = &s.target;
    assert_eq!((t.regions, t.zones, t.controllers), (4, 9, 17));
    assert_eq!((t.workers, t.accelerators, t.teams, t.machine_restarts), (14_000, 21_000, 1_200, 3_000));
    let load = s.load(1.0);
    let regions = t.regions as f64;
    let starts = load.peak.per_s * f64::from(ARRAY_TASKS) * regions;
    assert!((starts - 7_400.0).abs() < 1.0, "{starts} starts a second at the peak");
    assert_eq!(GANG_SIZES.iter().map(|g| g.0).max(), Some(64));
    assert!(s.jobs_a_day(1.0) >= 110_000.0, "{} jobs a day", s.jobs_a_day(1.0));
    // what runs at once, by arrivals and how long each runs
    let services = (load.services * SERVICE_TASKS as usize) as f64;
    let arrays = load.steady.per_s * f64::from(ARRAY_TASKS) * load.steady.run_s;
    let all = (services + arrays) * regions;
    assert!((150_000.0..=210_000.0).contains(&all), "{all} tasks, gangs apart");
}

/// A part has its part of the workers, arrivals and restarts; an array is as large as ever.
#[test]
fn a_part_is_smaller_in_numbers_alone() {
    let (whole, half) = (target().load(1.0), target().load(0.5));
    assert_eq!(half.workers * 2, whole.workers);
    assert!((half.peak.per_s * 2.0 - whole.peak.per_s).abs() < 1e-9);
    assert!((half.peak.run_s - whole.peak.run_s).abs() < 1e-6);
    assert_eq!(half.restarts * 2, whole.restarts);
}

/// Everything that is wrong with a file is said at once, and nothing starts.
#[test]
fn all_faults_of_a_file_are_told() {
    let text = include_str!("../../../../examples/scale/target.toml");
    let text = text
        .replace("steps = [0.0625, 0.125, 0.25, 0.5, 1.0]", "steps = [0.5, 2.0]")
        .replace("lease_s = 31.0", "lease_s = 3.0")
        .replace("processes = 200", "processes = 20")
        .replace("starts_per_s = 7400.0", "starts_per_s = nan");
    let why = Scenario::parse(&text).expect_err("four faults");
    for part in ["steps", "region.lease_s", "bounds.processes: 30 are needed", "target.starts_per_s"] {
        assert!(why.contains(part), "{part} is not in {why}");
    }
    let dir = std::env::temp_dir().join(format!("coralnotch-scale-faults-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let scenario = dir.join("wrong.toml");
    std::fs::write(&scenario, text).expect("a file");
    let (_stop, stopped) = smol::channel::bounded(1);
    let options = Options { scenario, out: dir.join("out"), steps: Vec::new(), controller: None };
    assert!(matches!(run(&options, &stopped), Err(Error::Input(_))));
    assert!(!dir.join("out").exists());
    let _ = std::fs::remove_dir_all(dir);
}
