use super::*;
use crate::scale::result::{Step, Usage};

/// A run whose figures lie on known lines.
fn made_up(part: f64) -> ScaleReport {
    let text = include_str!("../../../../examples/scale/target.toml");
    let scenario = Scenario::parse(text).expect("the example is in order");
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
        runs: vec![("a".into(), made_up(0.125)), ("b".into(), made_up(0.5))],
        bench: Vec::new(),
        notes: String::new(),
    }
}

/// Slopes are those of the phases in which nothing fails, and the target is read off them.
#[test]
fn the_target_is_read_off_the_slopes() {
    let r = results();
    let s = Slopes::of(&r);
    let [steady, peak, lost] = loads(r.scenario());
    assert_eq!((peak.workers, peak.starts, peak.running), (3500.0, 1850.0, 52_500.0));
    assert!((steady.starts - 462.5).abs() < 0.1 && (lost.workers - 3500.0 * 4.0 / 3.0).abs() < 0.1);
    let (reports, beyond) = s.value(&s.reports, &peak).expect("a slope");
    assert!((reports - 2550.0).abs() < 1.0, "{reports}");
    assert!((beyond - 2.0).abs() < 0.01, "{beyond}");
    let (cores, _) = s.value(&s.leader_cores, &peak).expect("a slope");
    assert!((cores - (0.01 + 0.255 + 0.74)).abs() < 0.01, "{cores}");
}

/// What is over its limit is called so, in its row and in the list.
#[test]
fn what_does_not_hold_is_said() {
    let r = results();
    let text = page::text(&r).expect("a page");
    let row = text.lines().find(|l| l.starts_with("| leader | processor")).expect("a row");
    assert!(row.contains("does not hold"), "{row}");
    let row = text.lines().find(|l| l.starts_with("| state service | requests")).expect("a row");
    assert!(row.ends_with("| holds |"), "{row}");
    let (_, list) = text.split_once("## What does not hold").expect("a list");
    assert!(list.contains("leader: processor at the peak"), "{list}");
}

/// Each slope has its plot.
#[test]
fn each_slope_is_plotted() {
    let r = results();
    let page = plots::page(&r).expect("a page");
    let slopes = Slopes::of(&r);
    assert_eq!(page.matches("<svg").count(), slopes.all().len());
    assert!(slopes.all().iter().all(|s| page.contains(s.name)));
}

/// A result that can't be read is named.
#[test]
fn unreadable_results_are_named() {
    let dir = std::env::temp_dir().join(format!("coralnotch-capacity-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    assert!(matches!(page(&dir), Err(Error::Input(why)) if why.contains("no result")));
    fs::write(dir.join("scale-1.json"), "{}").expect("a file");
    fs::write(dir.join("bench.json"), "[{}]").expect("a file");
    let why = page(&dir).expect_err("two unreadable files");
    assert!(matches!(why, Error::Input(why) if why.contains("scale-1.json") && why.contains("bench.json")));
    let _ = fs::remove_dir_all(dir);
}
