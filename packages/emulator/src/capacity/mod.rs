//! The capacity page: what each role needs at the target, reckoned from the results of scale
//! runs and of the bench, and made by a command so that page and runs cannot part.

pub mod bench;
pub mod fit;
mod page;
mod plots;

use std::fs;
use std::path::{Path, PathBuf};

use self::bench::BenchRow;
use self::fit::{fit, Fit, Point};
use crate::error::Error;
use crate::scale::result::{Phase, RegionFigures, ScaleReport};
use crate::scale::scenario::Scenario;

/// File of the bench's figures; all others of the directory are results of scale runs.
const BENCH_FILE: &str = "bench.json";
/// What whoever ran them has to say of the runs.
const NOTES_FILE: &str = "notes.md";
/// Phases in which load and processor belong together: nothing fails in them.
const QUIET_PHASES: [&str; 3] = ["steady", "peak", "after the peak"];

/// Options of `coralnotch-emulator capacity`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Directory with the results.
    #[arg(default_value = "docs/capacity")]
    pub results: PathBuf,
    /// Where the page goes.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    pub out: PathBuf,
    /// A page with a plot of each slope as well.
    #[arg(long)]
    pub plots: Option<PathBuf>,
}

/// Writes the page.
pub fn run(options: &Options) -> Result<(), Error> {
    let results = Results::read(&options.results)?;
    write(&options.out, &page::text(&results)?)?;
    match &options.plots {
        Some(file) => write(file, &plots::page(&results)?),
        None => Ok(()),
    }
}

fn write(file: &Path, text: &str) -> Result<(), Error> {
    fs::write(file, text).map_err(|error| Error::Io { what: file.display().to_string(), error })
}

/// The page that the results of a directory give.
pub fn page(results: &Path) -> Result<String, Error> {
    let r = Results::read(results)?;
    page::text(&r)
}

/// All results.
#[derive(Debug)]
pub struct Results {
    /// Steps of scale runs, the smallest part first.
    pub runs: Vec<(String, ScaleReport)>,
    /// Days of the bench.
    pub bench: Vec<BenchRow>,
    /// What else is to be known of the runs, as text.
    pub notes: String,
}

impl Results {
    /// Reads a directory; the error names every file that can't be read.
    pub fn read(dir: &Path) -> Result<Results, Error> {
        let (mut runs, mut bench, mut wrong) = (Vec::new(), Vec::new(), Vec::new());
        let list = fs::read_dir(dir).map_err(|e| Error::Input(format!("{}: {e}", dir.display())))?;
        let mut files: Vec<PathBuf> = list.flatten().map(|e| e.path()).collect();
        files.retain(|f| f.extension().is_some_and(|e| e == "json"));
        files.sort();
        for f in files {
            let name = f.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
            let text = fs::read_to_string(&f).map_err(|e| Error::Input(format!("{name}: {e}")))?;
            let read = if name == BENCH_FILE {
                serde_json::from_str(&text).map(|rows| bench = rows)
            } else {
                serde_json::from_str(&text).map(|report| runs.push((name.clone(), report)))
            };
            if let Err(e) = read {
                wrong.push(format!("{name}: {e}"));
            }
        }
        if !wrong.is_empty() {
            return Err(Error::Input(wrong.join("\n")));
        }
        let part = |r: &ScaleReport| r.steps.first().map_or(0.0, |s| s.part);
        runs.sort_by(|a, b| part(&a.1).total_cmp(&part(&b.1)));
        if runs.is_empty() {
            return Err(Error::Input(format!("{}: no result of a scale run", dir.display())));
        }
        let notes = fs::read_to_string(dir.join(NOTES_FILE)).unwrap_or_default();
        Ok(Results { runs, bench, notes })
    }

    /// The scenario, which all runs share but for their steps.
    pub fn scenario(&self) -> &Scenario {
        &self.runs[0].1.scenario
    }

    /// Phases of a name, or of all quiet ones.
    pub fn phases<'a>(&'a self, name: Option<&'a str>) -> impl Iterator<Item = &'a Phase> + 'a {
        let steps = self.runs.iter().flat_map(|r| &r.1.steps);
        steps.flat_map(|s| &s.phases).filter(move |p| match name {
            Some(n) => p.name == n,
            None => QUIET_PHASES.contains(&p.name.as_str()),
        })
    }

    /// Regions in quiet phases in which one controller led throughout.
    fn regions(&self) -> impl Iterator<Item = &RegionFigures> + '_ {
        self.phases(None).flat_map(|p| &p.regions).filter(|r| r.one_leader)
    }

    fn points(&self, at: fn(&RegionFigures) -> [f64; 2], value: fn(&RegionFigures) -> f64) -> Vec<Point> {
        self.regions().map(|r| Point { at: at(r), value: value(r) }).collect()
    }
}

/// The load of one region of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionLoad {
    /// What it is called.
    pub name: &'static str,
    /// Workers.
    pub workers: f64,
    /// Running tasks.
    pub running: f64,
    /// Starts a second.
    pub starts: f64,
}

/// What a region has to carry: steadily, at the peak, and at the peak with one region lost.
pub fn loads(s: &Scenario) -> [RegionLoad; 3] {
    let regions = s.target.regions as f64;
    let workers = s.target.workers as f64 / regions;
    let running = workers * s.target.tasks_per_worker as f64;
    let whole = s.load(1.0);
    let starts = s.target.starts_per_s / regions;
    let steady = starts * whole.steady.per_s / whole.peak.per_s;
    let more = regions / (regions - 1.0).max(1.0);
    [
        RegionLoad { name: "steady", workers, running, starts: steady },
        RegionLoad { name: "peak", workers, running, starts },
        RegionLoad {
            name: "peak, one region lost",
            workers: workers * more,
            running: running * more,
            starts: starts * more,
        },
    ]
}

/// A quantity with the slope that it is reckoned from.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What it is.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Its variables.
    pub by: [&'static str; 2],
    /// What it is fitted to.
    pub points: Vec<Point>,
    /// The line.
    pub fit: Option<Fit>,
}

impl Slope {
    fn new(name: &'static str, unit: &'static str, by: [&'static str; 2], points: Vec<Point>) -> Slope {
        Slope { name, unit, by, fit: fit(&points), points }
    }
}

/// All slopes, each from regions in quiet phases.
#[derive(Debug)]
pub struct Slopes {
    /// Reports a second.
    pub reports: Slope,
    /// Direct commands a second.
    pub direct: Slope,
    /// Bytes a second between workers and controllers.
    pub bytes: Slope,
    /// Processor of the leader.
    pub leader_cores: Slope,
    /// Its memory.
    pub leader_memory: Slope,
    /// Its connections.
    pub leader_files: Slope,
    /// Processor of a controller that follows.
    pub follower_cores: Slope,
    /// Its memory.
    pub follower_memory: Slope,
    /// Requests to the state service.
    pub state_requests: Slope,
    /// Changes in it.
    pub state_changes: Slope,
    /// Its processor.
    pub state_cores: Slope,
    /// The cloud's processor.
    pub cloud_cores: Slope,
    /// Processor of all workers of a region.
    pub worker_cores: Slope,
    /// Memory of all workers of a region.
    pub worker_memory: Slope,
}

/// Slopes are taken over these pairs.
const BY_SIZE: [&str; 2] = ["worker", "start a second"];
const BY_MESSAGE: [&str; 2] = ["report a second", "start a second"];
const BY_TASK: [&str; 2] = ["worker", "running task"];

fn by_size(r: &RegionFigures) -> [f64; 2] {
    [r.workers as f64, r.starts_per_s]
}

fn by_message(r: &RegionFigures) -> [f64; 2] {
    [r.reports_per_s, r.starts_per_s]
}

fn by_task(r: &RegionFigures) -> [f64; 2] {
    [r.workers as f64, r.running as f64]
}

impl Slopes {
    /// The slopes that the results give.
    pub fn of(r: &Results) -> Slopes {
        let size = |name, unit, value| Slope::new(name, unit, BY_SIZE, r.points(by_size, value));
        let message = |name, unit, value| Slope::new(name, unit, BY_MESSAGE, r.points(by_message, value));
        let task = |name, unit, value| Slope::new(name, unit, BY_TASK, r.points(by_task, value));
        Slopes {
            reports: size("reports", "a second", |r| r.reports_per_s),
            direct: size("direct commands", "a second", |r| r.direct_per_s),
            bytes: size("bytes, workers and controllers", "KB a second", |r| r.bytes_per_s / 1000.0),
            leader_cores: message("leader: processor", "cores", |r| r.leader.cores),
            leader_memory: task("leader: memory", "MB", |r| r.leader.memory_mb),
            leader_files: size("leader: connections", "", |r| r.leader.files as f64),
            follower_cores: message("other controller: processor", "cores", |r| r.followers.cores),
            follower_memory: task("other controller: memory", "MB", |r| r.followers.memory_mb),
            state_requests: size("state service: requests", "a second", |r| r.state_requests_per_s),
            state_changes: size("state service: changes", "a second", |r| r.state_changes_per_s),
            state_cores: size("state service: processor", "cores", |r| r.state.cores),
            cloud_cores: size("cloud: processor", "cores", |r| r.cloud.cores),
            worker_cores: message("all workers: processor", "cores", |r| r.worker_process.cores),
            worker_memory: task("all workers: memory", "MB", |r| r.worker_process.memory_mb),
        }
    }

    /// All of them, in the order of the page.
    pub fn all(&self) -> [&Slope; 14] {
        [
            &self.reports,
            &self.direct,
            &self.bytes,
            &self.leader_cores,
            &self.leader_memory,
            &self.leader_files,
            &self.follower_cores,
            &self.follower_memory,
            &self.state_requests,
            &self.state_changes,
            &self.state_cores,
            &self.cloud_cores,
            &self.worker_cores,
            &self.worker_memory,
        ]
    }

    /// Where a slope is to be read for a load.
    pub fn place(&self, s: &Slope, l: &RegionLoad) -> [f64; 2] {
        match s.by {
            BY_MESSAGE => {
                let reports = self.reports.fit.map_or(0.0, |f| f.at([l.workers, l.starts]));
                [reports, l.starts]
            }
            BY_TASK => [l.workers, l.running],
            _ => [l.workers, l.starts],
        }
    }

    /// A value at a load, with how far beyond the measured range that is.
    pub fn value(&self, s: &Slope, l: &RegionLoad) -> Option<(f64, f64)> {
        let at = self.place(s, l);
        s.fit.map(|f| (f.at(at), f.beyond(at)))
    }
}

#[cfg(test)]
mod tests;
