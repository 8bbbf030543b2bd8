//! The capacity page: what each role needs at the target size.
//!
//! The page is computed from the results of scale runs and of the bench.  A command generates it, so
//! that the page always agrees with the results.

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

/// File with the results of the bench; all other JSON files in the directory are results of scale runs.
const BENCH_FILE: &str = "bench.json";
/// File with remarks on the runs, which are copied to the page.
const NOTES_FILE: &str = "notes.md";
/// Phases without faults, in which processor usage depends on the load alone.
const FAULT_FREE_PHASES: [&str; 3] = ["steady", "peak", "after the peak"];

/// Options of `coralnotch-emulator capacity`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// The directory with the result files.
    #[arg(default_value = "docs/capacity")]
    pub results: PathBuf,
    /// The file to which the page is written, in Markdown.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    pub out: PathBuf,
    /// A file for an HTML page with a plot of each slope; not written by default.
    #[arg(long)]
    pub plots: Option<PathBuf>,
}

/// Writes the capacity page and, if requested, the page with plots.
///
/// # Errors
///
/// Fails if the results cannot be read or a page cannot be written.
pub fn run(options: &Options) -> Result<(), Error> {
    let results = Results::read(&options.results)?;
    write(&options.out, &page::render(&results)?)?;
    match &options.plots {
        Some(file) => write(file, &plots::page(&results)?),
        None => Ok(()),
    }
}

fn write(file: &Path, text: &str) -> Result<(), Error> {
    fs::write(file, text).map_err(|error| Error::Io { what: file.display().to_string(), error })
}

/// Returns the capacity page, in Markdown, for the results in a directory.
///
/// # Errors
///
/// Returns [`Error::Input`] if a result file cannot be read, or if there is none.
pub fn page(results: &Path) -> Result<String, Error> {
    let results = Results::read(results)?;
    page::render(&results)
}

/// The results from which the capacity page is computed.
#[derive(Debug)]
pub struct Results {
    /// File name and content of each scale report, the smallest fraction of the target first.
    pub runs: Vec<(String, ScaleReport)>,
    /// Results of the bench.
    pub bench: Vec<BenchRow>,
    /// Remarks on the runs, in Markdown; empty if there are none.
    pub notes: String,
}

impl Results {
    /// Reads the results in a directory.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Input`] if the directory holds no scale report or a file cannot be read.  The
    /// error names every file whose content is invalid.
    pub fn read(dir: &Path) -> Result<Results, Error> {
        let (mut runs, mut bench, mut problems) = (Vec::new(), Vec::new(), Vec::new());
        let entries = fs::read_dir(dir)
            .map_err(|error| Error::Input(format!("cannot read the directory {}: {error}", dir.display())))?;
        let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        files.retain(|file| file.extension().is_some_and(|extension| extension == "json"));
        files.sort();
        for file in files {
            let name = file.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            let text = fs::read_to_string(&file).map_err(|error| Error::Input(format!("{name}: {error}")))?;
            let read = if name == BENCH_FILE {
                serde_json::from_str(&text).map(|rows| bench = rows)
            } else {
                serde_json::from_str(&text).map(|report| runs.push((name.clone(), report)))
            };
            if let Err(error) = read {
                problems.push(format!("{name}: {error}"));
            }
        }
        if !problems.is_empty() {
            return Err(Error::Input(problems.join("\n")));
        }
        let part = |report: &ScaleReport| report.steps.first().map_or(0.0, |step| step.part);
        runs.sort_by(|a, b| part(&a.1).total_cmp(&part(&b.1)));
        if runs.is_empty() {
            return Err(Error::Input(format!("{} contains no result of a scale run", dir.display())));
        }
        let notes = fs::read_to_string(dir.join(NOTES_FILE)).unwrap_or_default();
        Ok(Results { runs, bench, notes })
    }

    /// Returns the scenario, which is the same in all runs except for the steps.
    ///
    /// # Panics
    ///
    /// Panics if there are no runs, which [`Results::read`] rules out.
    pub fn scenario(&self) -> &Scenario {
        &self.runs[0].1.scenario
    }

    /// Returns the phases with a name, or all fault-free phases if `name` is `None`.
    pub fn phases<'a>(&'a self, name: Option<&'a str>) -> impl Iterator<Item = &'a Phase> + 'a {
        let steps = self.runs.iter().flat_map(|run| &run.1.steps);
        steps.flat_map(|step| &step.phases).filter(move |phase| match name {
            Some(name) => phase.name == name,
            None => FAULT_FREE_PHASES.contains(&phase.name.as_str()),
        })
    }

    /// Returns the figures of fault-free phases for all regions in which one controller led throughout.
    fn regions(&self) -> impl Iterator<Item = &RegionFigures> + '_ {
        self.phases(None).flat_map(|phase| &phase.regions).filter(|region| region.one_leader)
    }

    fn points(&self, variables: fn(&RegionFigures) -> [f64; 2], value: fn(&RegionFigures) -> f64) -> Vec<Point> {
        self.regions().map(|region| Point { variables: variables(region), value: value(region) }).collect()
    }
}

/// A load on one region of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionLoad {
    /// Name of the load on the page.
    pub name: &'static str,
    /// Number of workers.
    pub workers: f64,
    /// Number of running tasks.
    pub running: f64,
    /// Task starts per second.
    pub starts: f64,
}

/// Returns the loads that a region must carry: steady, at the peak, and at the peak after the loss of
/// another region.
pub fn region_loads(scenario: &Scenario) -> [RegionLoad; 3] {
    let regions = scenario.target.regions as f64;
    let workers = scenario.target.workers as f64 / regions;
    let running = workers * scenario.target.tasks_per_worker as f64;
    let load = scenario.load(1.0);
    let starts = scenario.target.starts_per_s / regions;
    let steady = starts * load.steady.per_s / load.peak.per_s;
    let load_factor = regions / (regions - 1.0).max(1.0);
    [
        RegionLoad { name: "steady", workers, running, starts: steady },
        RegionLoad { name: "peak", workers, running, starts },
        RegionLoad {
            name: "peak, one region lost",
            workers: workers * load_factor,
            running: running * load_factor,
            starts: starts * load_factor,
        },
    ]
}

/// A quantity with its fit over two variables.
#[derive(Debug, Clone)]
pub struct Slope {
    /// Name of the quantity on the page.
    pub name: &'static str,
    /// Unit of the quantity; empty for a plain number.
    pub unit: &'static str,
    /// Names of the two variables, for example `worker`.
    pub variable_names: [&'static str; 2],
    /// Points to which the function is fitted.
    pub points: Vec<Point>,
    /// The fitted function; `None` if the points do not determine it.
    pub fit: Option<Fit>,
}

impl Slope {
    fn new(name: &'static str, unit: &'static str, variable_names: [&'static str; 2], points: Vec<Point>) -> Slope {
        Slope { name, unit, variable_names, fit: fit(&points), points }
    }
}

/// All slopes, each fitted to the regions in fault-free phases.
#[derive(Debug)]
pub struct Slopes {
    /// Heartbeats per second.
    pub reports: Slope,
    /// Commands per second that are sent to workers directly.
    pub direct: Slope,
    /// Kilobytes per second between workers and controllers.
    pub bytes: Slope,
    /// Processor usage of the leader, in cores.
    pub leader_cores: Slope,
    /// Memory of the leader, in MB.
    pub leader_memory: Slope,
    /// Connections of the leader.
    pub leader_files: Slope,
    /// Processor usage of a controller that does not lead, in cores.
    pub follower_cores: Slope,
    /// Memory of a controller that does not lead, in MB.
    pub follower_memory: Slope,
    /// Requests per second to the state service.
    pub state_requests: Slope,
    /// Puts and deletes per second in the state service.
    pub state_changes: Slope,
    /// Processor usage of the state service, in cores.
    pub state_cores: Slope,
    /// Processor usage of the cloud, in cores.
    pub cloud_cores: Slope,
    /// Processor usage of all workers of a region, in cores.
    pub worker_cores: Slope,
    /// Memory of all workers of a region, in MB.
    pub worker_memory: Slope,
}

/// Names of the variables of quantities that depend on workers and task starts.
const WORKERS_AND_STARTS: [&str; 2] = ["worker", "start a second"];
/// Names of the variables of quantities that depend on heartbeats and task starts.
const REPORTS_AND_STARTS: [&str; 2] = ["report a second", "start a second"];
/// Names of the variables of quantities that depend on workers and running tasks.
const WORKERS_AND_TASKS: [&str; 2] = ["worker", "running task"];

fn workers_and_starts(region: &RegionFigures) -> [f64; 2] {
    [region.workers as f64, region.starts_per_s]
}

fn reports_and_starts(region: &RegionFigures) -> [f64; 2] {
    [region.reports_per_s, region.starts_per_s]
}

fn workers_and_tasks(region: &RegionFigures) -> [f64; 2] {
    [region.workers as f64, region.running as f64]
}

impl Slopes {
    /// Fits all slopes to the results.
    pub fn from_results(results: &Results) -> Slopes {
        let over_starts =
            |name, unit, value| Slope::new(name, unit, WORKERS_AND_STARTS, results.points(workers_and_starts, value));
        let over_reports =
            |name, unit, value| Slope::new(name, unit, REPORTS_AND_STARTS, results.points(reports_and_starts, value));
        let over_tasks =
            |name, unit, value| Slope::new(name, unit, WORKERS_AND_TASKS, results.points(workers_and_tasks, value));
        Slopes {
            reports: over_starts("reports", "a second", |r| r.reports_per_s),
            direct: over_starts("direct commands", "a second", |r| r.direct_per_s),
            bytes: over_starts("bytes, workers and controllers", "KB a second", |r| r.bytes_per_s / 1000.0),
            leader_cores: over_reports("leader: processor", "cores", |r| r.leader.cores),
            leader_memory: over_tasks("leader: memory", "MB", |r| r.leader.memory_mb),
            leader_files: over_starts("leader: connections", "", |r| r.leader.files as f64),
            follower_cores: over_reports("other controller: processor", "cores", |r| r.followers.cores),
            follower_memory: over_tasks("other controller: memory", "MB", |r| r.followers.memory_mb),
            state_requests: over_starts("state service: requests", "a second", |r| r.state_requests_per_s),
            state_changes: over_starts("state service: changes", "a second", |r| r.state_changes_per_s),
            state_cores: over_starts("state service: processor", "cores", |r| r.state.cores),
            cloud_cores: over_starts("cloud: processor", "cores", |r| r.cloud.cores),
            worker_cores: over_reports("all workers: processor", "cores", |r| r.worker_process.cores),
            worker_memory: over_tasks("all workers: memory", "MB", |r| r.worker_process.memory_mb),
        }
    }

    /// Returns all slopes in the order of the page.
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

    /// Returns the values of a slope's variables at a load.
    pub fn variables_at(&self, slope: &Slope, load: &RegionLoad) -> [f64; 2] {
        match slope.variable_names {
            REPORTS_AND_STARTS => {
                let reports = self.reports.fit.map_or(0.0, |fit| fit.value_at([load.workers, load.starts]));
                [reports, load.starts]
            }
            WORKERS_AND_TASKS => [load.workers, load.running],
            _ => [load.workers, load.starts],
        }
    }

    /// Returns the predicted value of a quantity at a load, and how far beyond the measured range the
    /// load lies; see [`Fit::extrapolation`].
    pub fn predict(&self, slope: &Slope, load: &RegionLoad) -> Option<(f64, f64)> {
        let variables = self.variables_at(slope, load);
        slope.fit.map(|fit| (fit.value_at(variables), fit.extrapolation(variables)))
    }
}

#[cfg(test)]
mod tests;
