//! The phases of one step: load, faults, and what is measured in each phase.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use smol::LocalExecutor;

use super::process::Meter;
use super::region::{Region, Snapshot};
use super::result::{Phase, Quantiles, RegionFigures, Step};
use super::scenario::{Arrays, Scenario};
use super::users::Notes;
use crate::error::Error;

/// How long controllers may take until users are served.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Interval at which processes are measured.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of looks for the next start after a fault, and for healthy controllers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Machines that fail together, as on one switch.
const RACK: usize = 40;
/// A region counts as full from this share of its tasks on.
const FULL: f64 = 0.9;
const MB_PER_GB: f64 = 1024.0;
/// Machines are restarted faster than evenly over their phase by this factor, so that the last ones
/// are seen replaced.
const RESTART_SPEEDUP: f64 = 1.5;

/// The fault at the beginning of a phase.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    LeaderEnds,
    MachinesDie,
    ZoneFails,
    RegionEnds,
    /// Machines are restarted one after the other, as in a day.
    Restarts,
}

/// A phase as it is planned.
struct PlannedPhase {
    name: &'static str,
    seconds: f64,
    arrays: Arrays,
    fault: Fault,
}

/// A step that is being played.
pub(super) struct StepRun<'a> {
    pub(super) scenario: &'a Scenario,
    /// Part of the target.
    pub(super) part: f64,
    pub(super) regions: Vec<Region>,
    pub(super) notes: Rc<Notes>,
    users_meter: Meter,
    /// The run stops at this time.
    deadline: Instant,
    bar: ProgressBar,
}

impl<'a> StepRun<'a> {
    /// Prepares a step with regions whose processes are started.
    pub(super) fn new(
        scenario: &'a Scenario,
        part: f64,
        regions: Vec<Region>,
        notes: Rc<Notes>,
        deadline: Instant,
    ) -> StepRun<'a> {
        let bar = ProgressBar::new_spinner();
        if let Ok(style) = ProgressStyle::with_template("{elapsed} {msg}") {
            bar.set_style(style);
        }
        let users_meter = Meter::new(std::process::id());
        StepRun { scenario, part, regions, notes, users_meter, deadline, bar }
    }

    /// Plays all phases and adds what is measured to `step`; an error if a bound is reached, a
    /// process ended, or a rule was broken.
    pub(super) async fn play(&mut self, executor: &Rc<LocalExecutor<'static>>, step: &mut Step) -> Result<(), Error> {
        self.wait_ready(executor).await?;
        let filled = self.fill(executor).await?;
        step.phases.push(filled);
        for planned in self.planned_phases().into_iter().filter(|planned| planned.seconds > 0.0) {
            let phase = self.play_phase(&planned, &mut step.broken).await?;
            step.phases.push(phase);
            if !step.broken.is_empty() {
                return Err(Error::Failed("a rule was broken".into()));
            }
        }
        Ok(())
    }

    /// Removes the progress line.
    pub(super) fn clear_progress(&self) {
        self.bar.finish_and_clear();
    }

    fn planned_phases(&self) -> Vec<PlannedPhase> {
        let load = self.scenario.load(self.part);
        let (steady, peak) = (load.steady, load.peak);
        let phases = &self.scenario.phases;
        let phase = |name, seconds, arrays, fault| PlannedPhase { name, seconds, arrays, fault };
        vec![
            phase("steady", phases.steady_s, steady, Fault::None),
            phase("peak", phases.peak_s, peak, Fault::None),
            // what the peak left is over before the next phase
            phase("after the peak", phases.settle_s, steady, Fault::None),
            phase("leader", phases.leader_s, steady, Fault::LeaderEnds),
            phase("machines", phases.machines_s, steady, Fault::MachinesDie),
            phase("zone", phases.zone_s, steady, Fault::ZoneFails),
            phase("region", phases.region_s, steady, Fault::RegionEnds),
            phase("restarts", phases.restarts_s, steady, Fault::Restarts),
        ]
    }

    /// Waits until users of all regions are served.
    async fn wait_ready(&self, executor: &Rc<LocalExecutor<'static>>) -> Result<(), Error> {
        for region in &self.regions {
            region.users.start(executor);
        }
        let began = Instant::now();
        while !self.regions.iter().all(|region| region.users.any_healthy()) {
            if began.elapsed() > READY_LIMIT {
                return Err(Error::Failed("no controller of a region got ready".into()));
            }
            self.check()?;
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Submits the services and lets the other work arrive until the regions are full.
    async fn fill(&mut self, executor: &Rc<LocalExecutor<'static>>) -> Result<Phase, Error> {
        let load = self.scenario.load(self.part);
        let tasks = (load.workers * self.scenario.target.tasks_per_worker) as f64;
        let before = self.begin_phase().await?;
        let began = Instant::now();
        for region in &self.regions {
            region.users.arrays.set(load.filling);
            region.users.arrive(executor);
            let (users, users_executor) = (region.users.clone(), executor.clone());
            executor.spawn(async move { users.fill(&users_executor).await }).detach();
        }
        while began.elapsed().as_secs_f64() < self.scenario.phases.fill_s {
            smol::Timer::after(SAMPLE_INTERVAL).await;
            self.check()?;
            let mut is_full = true;
            for region in &self.regions {
                let stats = region.worker_stats().await?;
                is_full &= stats.running as f64 >= tasks * FULL;
                stats.begun.into_iter().for_each(|begun| self.notes.begun(begun));
            }
            self.show_progress("fills".into());
            if is_full {
                break;
            }
        }
        self.end_phase("fill", &before, began, &mut Vec::new()).await
    }

    async fn begin_phase(&mut self) -> Result<Vec<Snapshot>, Error> {
        self.notes.begin();
        let mut snapshots = Vec::new();
        for region in &self.regions {
            snapshots.push(region.snapshot().await?);
            region.begin_phase();
        }
        self.users_meter.begin();
        Ok(snapshots)
    }

    async fn end_phase(
        &mut self,
        name: &str,
        before: &[Snapshot],
        began: Instant,
        broken: &mut Vec<String>,
    ) -> Result<Phase, Error> {
        let seconds = began.elapsed().as_secs_f64();
        let mut regions = Vec::new();
        for (region, before) in self.regions.iter().zip(before) {
            let after = region.snapshot().await?;
            broken.extend(after.workers.broken.iter().skip(before.workers.broken.len()).cloned());
            after.workers.begun.iter().for_each(|begun| self.notes.begun(begun.clone()));
            regions.push(region.figures(before, &after, seconds));
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

    async fn play_phase(&mut self, planned: &PlannedPhase, broken: &mut Vec<String>) -> Result<Phase, Error> {
        let PlannedPhase { name, seconds, arrays, fault } = *planned;
        self.regions.iter().for_each(|region| region.users.arrays.set(arrays));
        if name == "steady" || name == "peak" {
            self.settle().await?;
        }
        let before = self.begin_phase().await?;
        let began = Instant::now();
        self.inject(fault, &before).await?;
        let (mut restarted, mut sampled_at) = (0, began);
        while began.elapsed().as_secs_f64() < seconds {
            let is_measuring_gap = self.regions.iter().any(Region::is_measuring_gap);
            smol::Timer::after(if is_measuring_gap { POLL_INTERVAL } else { SAMPLE_INTERVAL }).await;
            self.record_starts().await?;
            if fault == Fault::Restarts {
                self.restart_machines(&mut restarted, began.elapsed().as_secs_f64() / seconds).await?;
            }
            if sampled_at.elapsed() >= SAMPLE_INTERVAL {
                sampled_at = Instant::now();
                self.check()?;
                self.show_progress(format!("{name}, {:.0} s", began.elapsed().as_secs_f64()));
            }
        }
        let phase = self.end_phase(name, &before, began, broken).await?;
        if fault == Fault::ZoneFails {
            let zone = self.regions[0].zones.last().cloned();
            self.regions[0].restore_zone(&zone.unwrap_or_else(|| "".into())).await?;
        }
        Ok(phase)
    }

    /// Looks for new starts in the regions whose time without starts is measured.
    async fn record_starts(&self) -> Result<(), Error> {
        for region in self.regions.iter().filter(|region| region.is_measuring_gap()) {
            let stats = region.worker_stats().await?;
            region.record_started(stats.started);
            stats.begun.into_iter().for_each(|begun| self.notes.begun(begun));
        }
        Ok(())
    }

    /// Kills as many machines of each region as are due after this share of the phase.
    async fn restart_machines(&self, restarted: &mut usize, elapsed_share: f64) -> Result<(), Error> {
        let restarts = self.scenario.load(self.part).restarts;
        let due = (elapsed_share * RESTART_SPEEDUP).min(1.0) * restarts as f64;
        let count = due as usize - *restarted;
        *restarted += count;
        for region in self.regions.iter().filter(|_| count > 0) {
            region.kill_machines(count).await?;
        }
        Ok(())
    }

    /// Waits until a new rate of arrivals shows.
    async fn settle(&self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_secs_f64(self.scenario.phases.settle_s);
        while Instant::now() < until {
            smol::Timer::after(SAMPLE_INTERVAL).await;
            self.check()?;
        }
        Ok(())
    }

    async fn inject(&self, fault: Fault, before: &[Snapshot]) -> Result<(), Error> {
        let first = &self.regions[0];
        match fault {
            Fault::None | Fault::Restarts => {}
            Fault::LeaderEnds => {
                for (region, before) in self.regions.iter().zip(before) {
                    region.end_leader(before.leader(), before.workers.started);
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

    /// Supervises and measures all processes; an error if a bound is reached or something ended.
    fn check(&self) -> Result<(), Error> {
        let mut memory_mb = 0.0;
        for region in &self.regions {
            region.supervise()?;
            memory_mb += region.sample();
        }
        let bounds = &self.scenario.bounds;
        if memory_mb > bounds.memory_gb * MB_PER_GB {
            return Err(Error::Failed(format!(
                "the processes hold {memory_mb:.0} MB, more than {} GB",
                bounds.memory_gb
            )));
        }
        if Instant::now() > self.deadline {
            return Err(Error::Failed(format!("the run took longer than {} s", bounds.time_s)));
        }
        Ok(())
    }

    fn show_progress(&self, message: String) {
        self.bar.set_message(format!("part {}: {message}", self.part));
        self.bar.tick();
    }
}

/// Cores that the processes of a region used together.
fn cores(region: &RegionFigures) -> f64 {
    let roles = [&region.leader, &region.followers, &region.state, &region.cloud, &region.worker_process];
    roles.iter().map(|usage| usage.cores * usage.processes as f64).sum()
}
