use super::*;
use crate::scale::result::{Step, Usage};

/// Returns a report whose figures are known linear functions of the load.
fn report_on_known_lines(part: f64) -> ScaleReport {
    let text = include_str!("../../../../examples/scale/target.toml");
    let scenario = Scenario::parse(text).expect("the example scenario is valid");
    let region = |starts: f64| {
        let workers = 3500.0 * part;
        let reports = 0.2 * workers + starts;
        let leader = Usage { processes: 1, cores: 0.01 + 0.0001 * reports + 0.0004 * starts, ..Usage::default() };
        RegionFigures {
            workers: workers as u64,
            running: (workers * 15.0) as u64,
            one_leader: true,
            starts_per_s: starts,
            reports_per_s: reports,
            state_requests_per_s: 20.0,
            leader,
            ..RegionFigures::default()
        }
    };
    let phase = |name: &str, starts| Phase { name: name.into(), regions: vec![region(starts)], ..Phase::default() };
    let phases = vec![phase("steady", 460.0 * part), phase("peak", 1850.0 * part), phase("leader", 9999.0)];
    ScaleReport { scenario, machine_cores: 8, steps: vec![Step { part, phases, ..Step::default() }] }
}

fn results() -> Results {
    Results {
        runs: vec![("a".into(), report_on_known_lines(0.125)), ("b".into(), report_on_known_lines(0.5))],
        bench: Vec::new(),
        notes: String::new(),
    }
}

/// Slopes are fitted to the fault-free phases alone and predict the figures at the target.
#[test]
fn slopes_of_fault_free_phases_predict_the_target() {
    let results = results();
    let slopes = Slopes::from_results(&results);
    let [steady, peak, lost] = region_loads(results.scenario());
    assert_eq!((peak.workers, peak.starts, peak.running), (3500.0, 1850.0, 52_500.0));
    assert!((steady.starts - 462.5).abs() < 0.1 && (lost.workers - 3500.0 * 4.0 / 3.0).abs() < 0.1);
    let (reports, extrapolation) = slopes.predict(&slopes.reports, &peak).expect("the points determine the slope");
    assert!((reports - 2550.0).abs() < 1.0, "{reports}");
    assert!((extrapolation - 2.0).abs() < 0.01, "{extrapolation}");
    let (cores, _) = slopes.predict(&slopes.leader_cores, &peak).expect("the points determine the slope");
    assert!((cores - (0.01 + 0.255 + 0.74)).abs() < 0.01, "{cores}");
}

/// A figure above its limit is marked in its table row and listed in the section of unmet limits.
#[test]
fn exceeded_limit_is_marked_and_listed() {
    let results = results();
    let text = page::render(&results).expect("the page can be generated");
    let row = text.lines().find(|line| line.starts_with("| leader | processor")).expect("the table has the row");
    assert!(row.contains("does not hold"), "{row}");
    let row = text.lines().find(|line| line.starts_with("| state service | requests")).expect("the table has the row");
    assert!(row.ends_with("| holds |"), "{row}");
    let (_, list) = text.split_once("## What does not hold").expect("the page has the section");
    assert!(list.contains("leader: processor at the peak"), "{list}");
}

/// The page of plots has one plot for each slope, with the name of the slope.
#[test]
fn page_of_plots_shows_each_slope() {
    let results = results();
    let page = plots::page(&results).expect("the page can be generated");
    let slopes = Slopes::from_results(&results);
    assert_eq!(page.matches("<svg").count(), slopes.all().len());
    assert!(slopes.all().iter().all(|slope| page.contains(slope.name)));
}

/// The error names every result file that cannot be parsed, and reports a directory without results.
#[test]
fn invalid_result_files_are_named_in_the_error() {
    let dir = std::env::temp_dir().join(format!("coralnotch-capacity-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the directory can be created");
    assert!(matches!(page(&dir), Err(Error::Input(message)) if message.contains("no result")));
    fs::write(dir.join("scale-1.json"), "{}").expect("the file can be written");
    fs::write(dir.join("bench.json"), "[{}]").expect("the file can be written");
    let error = page(&dir).expect_err("neither file can be parsed");
    assert!(
        matches!(error, Error::Input(message) if message.contains("scale-1.json") && message.contains("bench.json"))
    );
    let _ = fs::remove_dir_all(dir);
}
