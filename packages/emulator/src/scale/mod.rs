//! The scale run: real controllers as processes, one set a region, among hollow workers, with a
//! state service and a cloud a region, each in a process of its own so that processor time is
//! known by role.  It plays parts of a target in phases, and stops at its bounds.

pub mod control;
pub mod process;
pub mod region;
pub mod result;
pub mod role;
pub mod scenario;
pub mod users;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use smol::LocalExecutor;

use self::process::Meter;
use self::region::{Region, Snapshot};
use self::result::{Phase, Quantiles, RegionFigures, ScaleReport, Step};
use self::scenario::{Arrays, Scenario};
use self::users::Notes;
use crate::error::Error;
use crate::up::controller_program;

/// How long controllers may take until users are served.
const READY: Duration = Duration::from_secs(30);
/// Interval at which processes are measured, and of looks for the next start after a fault.
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Machines that fail together, as on one switch.
const RACK: usize = 40;
/// A region counts as full from this share of its tasks on.
const FULL: f64 = 0.9;
const MB_PER_GB: f64 = 1024.0;

/// What a run is told on the command line.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// The run, see docs/emulator.md.
    pub scenario: PathBuf,
    /// Directory for the results, one file a step.
    #[arg(long, default_value = "scale")]
    pub out: PathBuf,
    /// Play these steps instead of those of the file.
    #[arg(long, value_delimiter = ',')]
    pub steps: Vec<f64>,
    /// The controller program; beside this program if not given.
    #[arg(long)]
    pub controller: Option<PathBuf>,
}

/// A phase's fault.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    LeaderEnds,
    MachinesDie,
    ZoneFails,
    RegionEnds,
    Restarts,
}

struct Run<'a> {
    scenario: &'a Scenario,
    part: f64,
    regions: Vec<Region>,
    notes: Rc<Notes>,
    users_meter: Meter,
    until: Instant,
    bar: ProgressBar,
}

/// Plays a scenario; the results of each step are written when it ends.
pub fn run(options: &Options, stop: &smol::channel::Receiver<()>) -> Result<Vec<PathBuf>, Error> {
    let file = &options.scenario;
    let input = |e: &dyn std::fmt::Display| Error::Input(format!("{}:\n{e}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| input(&e))?;
    let mut scenario = Scenario::parse(&text).map_err(|e| input(&e))?;
    if !options.steps.is_empty() {
        scenario.steps.clone_from(&options.steps);
    }
    let program = controller_program(options.controller.as_deref())?;
    role::raise_file_limit()?;
    let io = |what: &Path, error| Error::Io { what: what.display().to_string(), error };
    std::fs::create_dir_all(&options.out).map_err(|e| io(&options.out, e))?;
    let until = Instant::now() + Duration::from_secs_f64(scenario.bounds.time_s);
    let (mut written, mut broken) = (Vec::new(), Vec::new());
    for part in scenario.steps.clone() {
        let step = play_step(&scenario, part, &program, until, stop)?;
        broken.extend(step.broken.iter().cloned());
        let stopped = step.stopped.clone();
        let report = ScaleReport {
            scenario: Scenario { steps: vec![part], ..scenario.clone() },
            machine_cores: std::thread::available_parallelism().map_or(0, usize::from),
            steps: vec![step],
        };
        let to = options.out.join(format!("scale-{part:.4}.json"));
        let text = serde_json::to_string_pretty(&report).map_err(|e| Error::Failed(e.to_string()))?;
        std::fs::write(&to, text + "\n").map_err(|e| io(&to, e))?;
        println!("{}", summary(&report));
        written.push(to);
        if let Some(why) = stopped {
            println!("stopped: {why}");
            break;
        }
    }
    match broken.is_empty() {
        true => Ok(written),
        false => Err(Error::Failed(format!("{} things are wrong:\n{}", broken.len(), broken.join("\n")))),
    }
}

/// One step on processes of its own.
fn play_step(
    scenario: &Scenario,
    part: f64,
    program: &Path,
    until: Instant,
    stop: &smol::channel::Receiver<()>,
) -> Result<Step, Error> {
    let dir = std::env::temp_dir().join(format!("coralnotch-scale-{}-{part:.4}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|error| Error::Io { what: dir.display().to_string(), error })?;
    println!("part {part}: settings and logs in {}", dir.display());
    let notes = Rc::new(Notes::new().map_err(Error::Failed)?);
    let mut regions = Vec::new();
    for n in 0..scenario.target.regions {
        regions.push(Region::start(scenario, part, n, program, &dir, notes.clone())?);
    }
    let bar = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {msg}") {
        bar.set_style(style);
    }
    let users_meter = Meter::new(std::process::id());
    let mut run = Run { scenario, part, regions, notes, users_meter, until, bar };
    let ex = Rc::new(LocalExecutor::new());
    let mut step = Step { part, ..Step::default() };
    let played = smol::block_on(ex.clone().run(async {
        let asked = async {
            let _ = stop.recv().await;
            Err(Error::Failed("asked to stop".into()))
        };
        futures_lite::future::or(run.phases(&ex, &mut step), asked).await
    }));
    run.bar.finish_and_clear();
    step.broken.extend(run.notes.wrong.borrow().iter().cloned());
    match played {
        Ok(()) => {}
        // a bound, or something that ended: what was measured before counts
        Err(Error::Failed(why)) => step.stopped = Some(why),
        Err(e) => return Err(e),
    }
    Ok(step)
}

impl Run<'_> {
    async fn phases(&mut self, ex: &Rc<LocalExecutor<'static>>, step: &mut Step) -> Result<(), Error> {
        let load = self.scenario.load(self.part);
        let p = self.scenario.phases.clone();
        self.ready(ex).await?;
        let filled = self.fill(ex, p.fill_s).await?;
        step.phases.push(filled);
        let (steady, peak) = (load.steady, load.peak);
        let plan = [
            ("steady", p.steady_s, steady, Fault::None),
            ("peak", p.peak_s, peak, Fault::None),
            // what the peak left is over before the next phase
            ("after the peak", p.settle_s, steady, Fault::None),
            ("leader", p.leader_s, steady, Fault::LeaderEnds),
            ("machines", p.machines_s, steady, Fault::MachinesDie),
            ("zone", p.zone_s, steady, Fault::ZoneFails),
            ("region", p.region_s, steady, Fault::RegionEnds),
            ("restarts", p.restarts_s, steady, Fault::Restarts),
        ];
        for (name, seconds, arrays, fault) in plan.into_iter().filter(|p| p.1 > 0.0) {
            let phase = self.phase(name, seconds, arrays, fault, &mut step.broken).await?;
            step.phases.push(phase);
            if !step.broken.is_empty() {
                return Err(Error::Failed("a rule was broken".into()));
            }
        }
        Ok(())
    }

    /// Waits until users of all regions are served.
    async fn ready(&self, ex: &Rc<LocalExecutor<'static>>) -> Result<(), Error> {
        for r in &self.regions {
            r.users.start(ex);
        }
        let began = Instant::now();
        while !self.regions.iter().all(|r| r.users.any_healthy()) {
            if began.elapsed() > READY {
                return Err(Error::Failed("no controller of a region got ready".into()));
            }
            self.check()?;
            smol::Timer::after(LOOK_EVERY).await;
        }
        Ok(())
    }

    /// Submits the services and lets the other work arrive until the regions are full.
    async fn fill(&mut self, ex: &Rc<LocalExecutor<'static>>, seconds: f64) -> Result<Phase, Error> {
        let tasks = (self.scenario.load(self.part).workers * self.scenario.target.tasks_per_worker) as f64;
        let before = self.begin().await?;
        let began = Instant::now();
        let filling = self.scenario.load(self.part).filling;
        for r in &self.regions {
            r.users.arrays.set(filling);
            let (users, e) = (r.users.clone(), ex.clone());
            users.arrive(ex);
            ex.spawn(async move { users.fill(&e).await }).detach();
        }
        while began.elapsed().as_secs_f64() < seconds {
            smol::Timer::after(SAMPLE_EVERY).await;
            self.check()?;
            let mut full = true;
            for r in &self.regions {
                let s = r.worker_stats().await?;
                full &= s.running as f64 >= tasks * FULL;
                s.begun.into_iter().for_each(|b| self.notes.begun(b));
            }
            self.bar.set_message(format!("part {}: fills", self.part));
            self.bar.tick();
            if full {
                break;
            }
        }
        self.end("fill", &before, began, &mut Vec::new()).await
    }

    async fn begin(&mut self) -> Result<Vec<Snapshot>, Error> {
        self.notes.begin();
        let mut all = Vec::new();
        for r in &self.regions {
            all.push(r.snapshot().await?);
            r.begin_phase();
        }
        self.users_meter.begin();
        Ok(all)
    }

    async fn end(
        &mut self,
        name: &str,
        before: &[Snapshot],
        began: Instant,
        broken: &mut Vec<String>,
    ) -> Result<Phase, Error> {
        let seconds = began.elapsed().as_secs_f64();
        let mut regions = Vec::new();
        for (r, before) in self.regions.iter().zip(before) {
            let after = r.snapshot().await?;
            broken.extend(after.workers.broken.iter().skip(before.workers.broken.len()).cloned());
            after.workers.begun.iter().for_each(|b| self.notes.begun(b.clone()));
            regions.push(r.figures(before, &after, seconds));
        }
        let users = self.users_meter.used();
        let cores_in_all = users.cores + regions.iter().map(cores).sum::<f64>();
        Ok(Phase {
            name: name.into(),
            seconds,
            regions,
            accept: Quantiles::of(&self.notes.accept.borrow()),
            urgent: Quantiles::of(&self.notes.urgent.borrow()),
            urgent_waiting: self.notes.accepted.borrow().len() as u64,
            users,
            cores_in_all,
        })
    }

    async fn phase(
        &mut self,
        name: &str,
        seconds: f64,
        arrays: Arrays,
        fault: Fault,
        broken: &mut Vec<String>,
    ) -> Result<Phase, Error> {
        self.regions.iter().for_each(|r| r.users.arrays.set(arrays));
        if name == "steady" || name == "peak" {
            self.settle().await?;
        }
        let before = self.begin().await?;
        let began = Instant::now();
        self.inject(fault, &before).await?;
        let restarts = self.scenario.load(self.part).restarts;
        let (mut restarted, mut sampled) = (0, began);
        while began.elapsed().as_secs_f64() < seconds {
            let looks = self.regions.iter().any(Region::is_measuring_gap);
            smol::Timer::after(if looks { LOOK_EVERY } else { SAMPLE_EVERY }).await;
            for r in self.regions.iter().filter(|r| r.is_measuring_gap()) {
                let s = r.worker_stats().await?;
                r.record_started(s.started);
                s.begun.into_iter().for_each(|b| self.notes.begun(b));
            }
            if fault == Fault::Restarts {
                // two thirds of the phase, so that the last are seen replaced
                let due = (began.elapsed().as_secs_f64() / seconds * 1.5).min(1.0) * restarts as f64;
                let more = due as usize - restarted;
                restarted += more;
                for r in self.regions.iter().filter(|_| more > 0) {
                    r.kill_machines(more).await?;
                }
            }
            if sampled.elapsed() >= SAMPLE_EVERY {
                sampled = Instant::now();
                self.check()?;
                self.bar.set_message(format!("part {}: {name}, {:.0} s", self.part, began.elapsed().as_secs_f64()));
                self.bar.tick();
            }
        }
        let phase = self.end(name, &before, began, broken).await?;
        if fault == Fault::ZoneFails {
            let zone = self.regions[0].zones.last().cloned();
            self.regions[0].restore_zone(&zone.unwrap_or_else(|| "".into())).await?;
        }
        Ok(phase)
    }

    /// Waits until arrivals at a new rate show.
    async fn settle(&self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_secs_f64(self.scenario.phases.settle_s);
        while Instant::now() < until {
            smol::Timer::after(SAMPLE_EVERY).await;
            self.check()?;
        }
        Ok(())
    }

    async fn inject(&self, fault: Fault, before: &[Snapshot]) -> Result<(), Error> {
        let first = &self.regions[0];
        match fault {
            Fault::None | Fault::Restarts => {}
            Fault::LeaderEnds => {
                for (r, b) in self.regions.iter().zip(before) {
                    r.end_leader(b.leader(), b.workers.started);
                }
            }
            Fault::MachinesDie => drop(first.kill_machines(RACK).await?),
            Fault::ZoneFails => {
                if let Some(zone) = first.zones.last() {
                    first.fail_zone(zone).await?;
                }
            }
            Fault::RegionEnds => first.end_all_controllers(before[0].workers.started),
        }
        Ok(())
    }

    /// Measures all processes; an error if a bound is reached or something ended.
    fn check(&self) -> Result<(), Error> {
        let mut memory = 0.0;
        for r in &self.regions {
            r.supervise()?;
            memory += r.sample();
        }
        let bounds = &self.scenario.bounds;
        if memory > bounds.memory_gb * MB_PER_GB {
            return Err(Error::Failed(format!("the processes hold {memory:.0} MB, more than {} GB", bounds.memory_gb)));
        }
        if Instant::now() > self.until {
            return Err(Error::Failed(format!("the run took longer than {} s", bounds.time_s)));
        }
        Ok(())
    }
}

/// Cores that the processes of a region used together.
fn cores(r: &RegionFigures) -> f64 {
    let all = [&r.leader, &r.followers, &r.state, &r.cloud, &r.worker_process];
    all.iter().map(|u| u.cores * u.processes as f64).sum()
}

/// A step in short.
fn summary(report: &ScaleReport) -> String {
    let mut text = String::new();
    for step in &report.steps {
        text += &format!("part {} of the target\n", step.part);
        text += "phase       workers running  starts/s reports/s  leader cores(most)  state req/s  accept p95  urgent p95  next start\n";
        for p in &step.phases {
            let sum = |f: fn(&RegionFigures) -> f64| p.regions.iter().map(f).sum::<f64>();
            let most = |f: fn(&RegionFigures) -> f64| p.regions.iter().map(f).fold(0.0, f64::max);
            let gap = p.regions.iter().filter_map(|r| r.next_start_s).fold(0.0, f64::max);
            text += &format!(
                "{:10} {:8} {:8} {:8.0} {:9.0}     {:.2} ({:.2})       {:9.0}  {:9.0}   {:9.0}   {:.1}\n",
                p.name,
                sum(|r| r.workers as f64),
                sum(|r| r.running as f64),
                sum(|r| r.starts_per_s),
                sum(|r| r.reports_per_s),
                most(|r| r.leader.cores),
                most(|r| r.leader.cores_most),
                most(|r| r.state_requests_per_s),
                p.accept.p95_ms,
                p.urgent.p95_ms,
                gap,
            );
        }
    }
    text
}

#[cfg(test)]
mod tests;
