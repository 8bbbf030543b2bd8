//! What was measured: how far each step of the runs got, and the slopes fitted to them.

use std::fmt::Write as _;

use super::{short, Section};
use crate::capacity::{loads, Results, Slopes};
use crate::scale::result::{Phase, RegionFigures, ScaleReport};
use crate::scale::scenario::Scenario;

/// How far one machine got.
pub(super) fn steps(results: &Results) -> Section {
    let scenario = results.scenario();
    let mut out = String::from("## How far one machine gets\n\n");
    let target = &scenario.target;
    writeln!(
        out,
        "`coralnotch-emulator scale examples/scale/target.toml` on {} cores: {} regions, {} controllers, {} teams; \
         the target is {} workers, {} running tasks and {} starts a second.\n",
        results.runs[0].1.machine_cores,
        target.regions,
        target.controllers,
        target.teams,
        target.workers,
        target.workers * target.tasks_per_worker,
        target.starts_per_s
    )?;
    out += "| part | workers | running | starts a second, peak (asked for) | reports a second, peak | cores in all, peak | leader, peak: mean (most in a second) | acceptance p95, peak | urgent p95, peak | rules broken | ended |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (_, run) in &results.runs {
        step_row(&mut out, run)?;
    }
    writeln!(out, "\n{}", results.notes)?;
    Ok(out)
}

fn step_row(out: &mut String, run: &ScaleReport) -> std::fmt::Result {
    for step in &run.steps {
        let ended = step.stopped.as_deref().unwrap_or("whole");
        let Some(phase) = step.phases.iter().find(|phase| phase.name == "peak") else {
            writeln!(out, "| {} | | | | | | | | | {} | {ended} |", step.part, step.broken.len())?;
            continue;
        };
        writeln!(
            out,
            "| {} | {:.0} | {:.0} | {} ({}) | {} | {} | {} ({}) | {} ms | {} ms | {} | {ended} |",
            step.part,
            sum(phase, |r| r.workers as f64),
            sum(phase, |r| r.running as f64),
            short(sum(phase, |r| r.starts_per_s)),
            short(run.scenario.target.starts_per_s * step.part),
            short(sum(phase, |r| r.reports_per_s)),
            short(phase.cores_in_all),
            short(most(phase, |r| r.leader.cores)),
            short(most(phase, |r| r.leader.cores_most)),
            short(phase.accept.p95_ms),
            short(phase.urgent.p95_ms),
            step.broken.len(),
        )?;
    }
    Ok(())
}

/// Every slope with its points, its residual and how far beyond the target lies.
pub(super) fn slope_table(slopes: &Slopes, scenario: &Scenario) -> Section {
    let peak = loads(scenario)[1];
    let mut out = String::from(
        "## Slopes\n\nLeast squares over the regions of all steps in the phases in which nothing fails (steady, peak, after the \
         peak), one point a region and phase. *Beyond*: the region's peak at the target over the largest that was measured.\n\n",
    );
    out += "| quantity | constant | a | b | points | residual | measured up to | beyond |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for slope in slopes.all() {
        let Some(f) = slope.fit else {
            writeln!(out, "| {} | not told by the points | | | | | | |", slope.name)?;
            continue;
        };
        writeln!(
            out,
            "| {}, {} | {} | {} a {} | {} a {} | {} | {} | {}; {} | {:.1} |",
            slope.name,
            slope.unit,
            short(f.constant),
            short(f.slopes[0]),
            slope.by[0],
            short(f.slopes[1]),
            slope.by[1],
            f.points,
            short(f.residual),
            short(f.most[0]),
            short(f.most[1]),
            f.beyond(slopes.place(slope, &peak)),
        )?;
    }
    out.push('\n');
    Ok(out)
}

fn sum(phase: &Phase, f: fn(&RegionFigures) -> f64) -> f64 {
    phase.regions.iter().map(f).sum()
}

fn most(phase: &Phase, f: fn(&RegionFigures) -> f64) -> f64 {
    phase.regions.iter().map(f).fold(0.0, f64::max)
}
