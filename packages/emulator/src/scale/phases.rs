//! Plays the phases of one step: sets the load, injects faults and measures each phase.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use smol::LocalExecutor;

use super::process::Meter;
use super::region::{Region, Snapshot};
use super::result::{Phase, Quantiles, RegionFigures, Step};
use super::scenario::{Arrays, Scenario};
use super::users::Measurements;
use crate::error::Error;

/// How long the controllers of all regions may take to become healthy.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the resource usage of the processes is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of polling for the next task start after a fault, and for healthy controllers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Machines that fail together, like those behind one network switch.
const RACK_MACHINES: usize = 40;
/// A region is full when at least this share of its tasks runs.
const FULL_SHARE: f64 = 0.9;
const MB_PER_GB: f64 = 1024.0;
/// Machines are restarted this many times faster than an even spread over the phase requires, so
/// that the replacement of the last ones falls within the phase.
const RESTART_SPEEDUP: f64 = 1.5;

/// The fault that a phase injects.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    LeaderKilled,
    MachinesFail,
    ZoneFails,
    RegionControllersKilled,
    /// Machines are killed throughout the phase, as many as are restarted in a day.
    MachineRestarts,
}

/// The name, duration, load and fault of a phase.
struct PlannedPhase {
    name: &'static str,
    seconds: f64,
    arrays: Arrays,
    fault: Fault,
}

/// The state of a step while it is played.
pub(super) struct StepRun<'a> {
    pub(super) scenario: &'a Scenario,
    /// Fraction of the target size that the step plays.
    pub(super) part: f64,
    pub(super) regions: Vec<Region>,
    pub(super) measurements: Rc<Measurements>,
    users_meter: Meter,
    /// The time at which the run stops.
    deadline: Instant,
    progress_bar: ProgressBar,
}

impl<'a> StepRun<'a> {
    /// Creates a step for regions whose processes are started.
    pub(super) fn new(
        scenario: &'a Scenario,
        part: f64,
        regions: Vec<Region>,
        measurements: Rc<Measurements>,
        deadline: Instant,
    ) -> StepRun<'a> {
        let progress_bar = ProgressBar::new_spinner();
        if let Ok(style) = ProgressStyle::with_template("{elapsed} {msg}") {
            progress_bar.set_style(style);
        }
        let users_meter = Meter::new(std::process::id());
        StepRun { scenario, part, regions, measurements, users_meter, deadline, progress_bar }
    }

    /// Plays all phases and adds the measurements to `step`.
    ///
    /// # Errors
    ///
    /// Fails if a limit of the scenario is reached, a process ended, or a violation was observed.
    pub(super) async fn play(&mut self, executor: &Rc<LocalExecutor<'static>>, step: &mut Step) -> Result<(), Error> {
        self.wait_ready(executor).await?;
        let filled = self.fill(executor).await?;
        step.phases.push(filled);
        for planned in self.planned_phases().into_iter().filter(|planned| planned.seconds > 0.0) {
            let phase = self.play_phase(&planned, &mut step.broken).await?;
            step.phases.push(phase);
            if !step.broken.is_empty() {
                return Err(Error::Failed("a violation of the protocol was observed".into()));
            }
        }
        Ok(())
    }

    /// Removes the progress line from the terminal.
    pub(super) fn clear_progress(&self) {
        self.progress_bar.finish_and_clear();
    }

    fn planned_phases(&self) -> Vec<PlannedPhase> {
        let load = self.scenario.load(self.part);
        let (steady, peak) = (load.steady, load.peak);
        let phases = &self.scenario.phases;
        let phase = |name, seconds, arrays, fault| PlannedPhase { name, seconds, arrays, fault };
        vec![
            phase("steady", phases.steady_s, steady, Fault::None),
            phase("peak", phases.peak_s, peak, Fault::None),
            // Lets the work queued during the peak finish before the next phase.
            phase("after the peak", phases.settle_s, steady, Fault::None),
            phase("leader", phases.leader_s, steady, Fault::LeaderKilled),
            phase("machines", phases.machines_s, steady, Fault::MachinesFail),
            phase("zone", phases.zone_s, steady, Fault::ZoneFails),
            phase("region", phases.region_s, steady, Fault::RegionControllersKilled),
            phase("restarts", phases.restarts_s, steady, Fault::MachineRestarts),
        ]
    }

    /// Waits until every region has a healthy controller.
    async fn wait_ready(&self, executor: &Rc<LocalExecutor<'static>>) -> Result<(), Error> {
        for region in &self.regions {
            region.users.start_probes(executor);
        }
        let began = Instant::now();
        while !self.regions.iter().all(|region| region.users.has_healthy_controller()) {
            if began.elapsed() > READY_TIMEOUT {
                return Err(Error::Failed(
                    "no controller of a region became healthy in time; see the controller logs".into(),
                ));
            }
            self.check_processes()?;
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Submits the services and starts the arrival of other jobs, until the regions are full.
    async fn fill(&mut self, executor: &Rc<LocalExecutor<'static>>) -> Result<Phase, Error> {
        let load = self.scenario.load(self.part);
        let tasks = (load.workers * self.scenario.target.tasks_per_worker) as f64;
        let before = self.begin_phase().await?;
        let began = Instant::now();
        for region in &self.regions {
            region.users.arrays.set(load.filling);
            region.users.start_arrivals(executor);
            let (users, users_executor) = (region.users.clone(), executor.clone());
            executor.spawn(async move { users.submit_services(&users_executor).await }).detach();
        }
        while began.elapsed().as_secs_f64() < self.scenario.phases.fill_s {
            smol::Timer::after(SAMPLE_INTERVAL).await;
            self.check_processes()?;
            let mut is_full = true;
            for region in &self.regions {
                let stats = region.worker_stats().await?;
                is_full &= stats.running as f64 >= tasks * FULL_SHARE;
                stats.begun.into_iter().for_each(|start| self.measurements.record_start(start));
            }
            self.show_progress("filling".into());
            if is_full {
                break;
            }
        }
        self.end_phase("fill", &before, began, &mut Vec::new()).await
    }

    /// Resets the measurements; returns a snapshot of each region.
    async fn begin_phase(&mut self) -> Result<Vec<Snapshot>, Error> {
        self.measurements.begin_phase();
        let mut snapshots = Vec::new();
        for region in &self.regions {
            snapshots.push(region.snapshot().await?);
            region.begin_phase();
        }
        self.users_meter.begin();
        Ok(snapshots)
    }

    /// Returns the measurements of a phase that began with the snapshots `before`, and appends the
    /// violations observed in it to `broken`.
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
            after.workers.begun.iter().for_each(|start| self.measurements.record_start(start.clone()));
            regions.push(region.figures(before, &after, seconds));
        }
        let users = self.users_meter.usage();
        let cores_in_all = users.cores + regions.iter().map(total_cores).sum::<f64>();
        Ok(Phase {
            name: name.into(),
            seconds,
            regions,
            accept: Quantiles::from_histogram(&self.measurements.accept_times.borrow()),
            urgent: Quantiles::from_histogram(&self.measurements.urgent_start_times.borrow()),
            urgent_waiting: self.measurements.unstarted_urgent.borrow().len() as u64,
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
        self.inject_fault(fault, &before).await?;
        let (mut restarted, mut sampled_at) = (0, began);
        while began.elapsed().as_secs_f64() < seconds {
            let is_measuring_gap = self.regions.iter().any(Region::is_measuring_gap);
            smol::Timer::after(if is_measuring_gap { POLL_INTERVAL } else { SAMPLE_INTERVAL }).await;
            self.record_starts().await?;
            if fault == Fault::MachineRestarts {
                self.restart_machines(&mut restarted, began.elapsed().as_secs_f64() / seconds).await?;
            }
            if sampled_at.elapsed() >= SAMPLE_INTERVAL {
                sampled_at = Instant::now();
                self.check_processes()?;
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

    /// Checks for new task starts in the regions whose gap without starts is being measured.
    async fn record_starts(&self) -> Result<(), Error> {
        for region in self.regions.iter().filter(|region| region.is_measuring_gap()) {
            let stats = region.worker_stats().await?;
            region.record_started(stats.started);
            stats.begun.into_iter().for_each(|start| self.measurements.record_start(start));
        }
        Ok(())
    }

    /// Kills as many machines of each region as are due once `elapsed_share` of the phase has passed.
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

    /// Waits until a new arrival rate has taken effect.
    async fn settle(&self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_secs_f64(self.scenario.phases.settle_s);
        while Instant::now() < until {
            smol::Timer::after(SAMPLE_INTERVAL).await;
            self.check_processes()?;
        }
        Ok(())
    }

    async fn inject_fault(&self, fault: Fault, before: &[Snapshot]) -> Result<(), Error> {
        let first = &self.regions[0];
        match fault {
            Fault::None | Fault::MachineRestarts => {}
            Fault::LeaderKilled => {
                for (region, before) in self.regions.iter().zip(before) {
                    region.kill_leader(before.leader(), before.workers.started);
                }
            }
            Fault::MachinesFail => drop(first.kill_machines(RACK_MACHINES).await?),
            Fault::ZoneFails => {
                if let Some(zone) = first.zones.last() {
                    first.fail_zone(zone).await?;
                }
            }
            Fault::RegionControllersKilled => first.kill_all_controllers(before[0].workers.started),
        }
        Ok(())
    }

    /// Supervises and samples all processes; fails if a limit is reached or a process ended.
    fn check_processes(&self) -> Result<(), Error> {
        let mut memory_mb = 0.0;
        for region in &self.regions {
            region.supervise()?;
            memory_mb += region.sample();
        }
        let bounds = &self.scenario.bounds;
        if memory_mb > bounds.memory_gb * MB_PER_GB {
            return Err(Error::Failed(format!(
                "the processes use {memory_mb:.0} MB of memory, more than the limit of {} GB",
                bounds.memory_gb
            )));
        }
        if Instant::now() > self.deadline {
            return Err(Error::Failed(format!("the run exceeded its time limit of {} s", bounds.time_s)));
        }
        Ok(())
    }

    fn show_progress(&self, message: String) {
        self.progress_bar.set_message(format!("part {}: {message}", self.part));
        self.progress_bar.tick();
    }
}

/// Returns the total number of cores that the processes of a region used.
fn total_cores(region: &RegionFigures) -> f64 {
    let roles = [&region.leader, &region.followers, &region.state, &region.cloud, &region.worker_process];
    roles.iter().map(|usage| usage.cores * usage.processes as f64).sum()
}
