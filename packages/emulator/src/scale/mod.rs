//! Scale runs: real controllers schedule for simulated workers that start no task processes.
//!
//! The state service, the cloud and the workers of each region run in one process each, so that
//! processor time can be attributed to a role.  A run plays one or more steps; each step is a
//! fraction of the target size and is played in phases.  The run stops when it reaches a limit on
//! time or memory.

pub mod control;
mod phases;
pub mod process;
pub mod region;
pub mod result;
pub mod role;
pub mod scenario;
pub mod users;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::channel::Receiver;
use smol::LocalExecutor;

use self::phases::StepRun;
use self::region::Region;
use self::result::{Phase, RegionFigures, ScaleReport, Step};
use self::scenario::Scenario;
use self::users::Measurements;
use crate::error::{Error, IoContext};
use crate::up::controller_program;

/// Options of `coralnotch-emulator scale`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// The scenario file; docs/emulator.md describes its format.
    pub scenario: PathBuf,
    /// The directory for the results, one file for each step.
    #[arg(long, default_value = "scale")]
    pub out: PathBuf,
    /// Fractions of the target to play instead of the steps of the scenario file.
    #[arg(long, value_delimiter = ',')]
    pub steps: Vec<f64>,
    /// The controller program; by default the one in the directory of this program.
    #[arg(long)]
    pub controller: Option<PathBuf>,
}

/// Plays a scenario and writes the result of each step when the step ends; returns the paths of
/// the result files.
///
/// # Errors
///
/// Returns [`Error::Input`] if the scenario is invalid, before any process is started, and
/// [`Error::Failed`] if a violation of the protocol was observed.  Also fails if the controller program
/// is missing, a process cannot be started, or a file cannot be written.  A step that stops early is
/// not an error: its result file states the reason.
pub fn run(options: &Options, stop: &Receiver<()>) -> Result<Vec<PathBuf>, Error> {
    let scenario = read_scenario(options)?;
    let program = controller_program(options.controller.as_deref())?;
    role::raise_file_limit()?;
    std::fs::create_dir_all(&options.out).context(options.out.display().to_string())?;
    let deadline = Instant::now() + Duration::from_secs_f64(scenario.bounds.time_s);
    let (mut written, mut broken) = (Vec::new(), Vec::new());
    for part in scenario.steps.clone() {
        let step = play_step(&scenario, part, &program, deadline, stop)?;
        broken.extend(step.broken.iter().cloned());
        let stopped = step.stopped.clone();
        written.push(write_report(&scenario, step, &options.out)?);
        if let Some(reason) = stopped {
            println!("stopped: {reason}");
            break;
        }
    }
    match broken.is_empty() {
        true => Ok(written),
        false => Err(Error::Failed(format!("the run found {} violations:\n{}", broken.len(), broken.join("\n")))),
    }
}

fn read_scenario(options: &Options) -> Result<Scenario, Error> {
    let file = &options.scenario;
    let unusable = |error: &dyn std::fmt::Display| Error::Input(format!("{}:\n{error}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| unusable(&error))?;
    let mut scenario = Scenario::parse(&text).map_err(|error| unusable(&error))?;
    if !options.steps.is_empty() {
        scenario.steps.clone_from(&options.steps);
    }
    Ok(scenario)
}

/// Writes the report of one step as JSON and prints its summary; returns the path of the file.
fn write_report(scenario: &Scenario, step: Step, dir: &Path) -> Result<PathBuf, Error> {
    let part = step.part;
    let report = ScaleReport {
        scenario: Scenario { steps: vec![part], ..scenario.clone() },
        machine_cores: std::thread::available_parallelism().map_or(0, usize::from),
        steps: vec![step],
    };
    let file = dir.join(format!("scale-{part:.4}.json"));
    let text = serde_json::to_string_pretty(&report).map_err(|error| Error::Failed(error.to_string()))?;
    std::fs::write(&file, text + "\n").context(file.display().to_string())?;
    println!("{}", summary(&report));
    Ok(file)
}

/// Plays one step with newly started processes.
fn play_step(
    scenario: &Scenario,
    part: f64,
    program: &Path,
    deadline: Instant,
    stop: &Receiver<()>,
) -> Result<Step, Error> {
    let dir = std::env::temp_dir().join(format!("coralnotch-scale-{}-{part:.4}", std::process::id()));
    std::fs::create_dir_all(&dir).context(dir.display().to_string())?;
    println!("part {part}: settings and logs in {}", dir.display());
    let measurements = Rc::new(Measurements::new().map_err(Error::Failed)?);
    let mut regions = Vec::new();
    for number in 0..scenario.target.regions {
        regions.push(Region::start(scenario, part, number, program, &dir, measurements.clone())?);
    }
    let mut run = StepRun::new(scenario, part, regions, measurements, deadline);
    let executor = Rc::new(LocalExecutor::new());
    let mut step = Step { part, ..Step::default() };
    let outcome = smol::block_on(executor.clone().run(async {
        let stopped = async {
            let _ = stop.recv().await;
            Err(Error::Failed("the run was interrupted".into()))
        };
        futures_lite::future::or(run.play(&executor, &mut step), stopped).await
    }));
    run.clear_progress();
    step.broken.extend(run.measurements.violations.borrow().iter().cloned());
    match outcome {
        Ok(()) => {}
        // The step stopped early, for example at a limit: the phases measured until then are reported.
        Err(Error::Failed(reason)) => step.stopped = Some(reason),
        Err(error) => return Err(error),
    }
    Ok(step)
}

/// Returns a summary of a report's steps with one line for each phase.
fn summary(report: &ScaleReport) -> String {
    let mut text = String::new();
    for step in &report.steps {
        text += &format!("part {} of the target\n", step.part);
        text += "phase       workers running  starts/s reports/s  leader cores(most)  state req/s  accept p95  urgent p95  next start\n";
        step.phases.iter().for_each(|phase| text += &phase_summary(phase));
    }
    text
}

fn phase_summary(phase: &Phase) -> String {
    let sum = |figure: fn(&RegionFigures) -> f64| phase.regions.iter().map(figure).sum::<f64>();
    let max = |figure: fn(&RegionFigures) -> f64| phase.regions.iter().map(figure).fold(0.0, f64::max);
    let next_start_s = phase.regions.iter().filter_map(|region| region.next_start_s).fold(0.0, f64::max);
    format!(
        "{:10} {:8} {:8} {:8.0} {:9.0}     {:.2} ({:.2})       {:9.0}  {:9.0}   {:9.0}   {:.1}\n",
        phase.name,
        sum(|region| region.workers as f64),
        sum(|region| region.running as f64),
        sum(|region| region.starts_per_s),
        sum(|region| region.reports_per_s),
        max(|region| region.leader.cores),
        max(|region| region.leader.cores_most),
        max(|region| region.state_requests_per_s),
        phase.accept.p95_ms,
        phase.urgent.p95_ms,
        next_start_s,
    )
}

#[cfg(test)]
mod tests;
