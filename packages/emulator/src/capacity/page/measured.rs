//! The measurements: the results of each step of the runs, and the slopes fitted to them.

use std::fmt::Write as _;

use super::{format_number, Section};
use crate::capacity::{region_loads, Results, Slopes};
use crate::scale::result::{Phase, RegionFigures, ScaleReport};
use crate::scale::scenario::Scenario;

/// Returns the section with the results of each step.
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
        let ended = step.stopped.as_deref().unwrap_or("complete");
        let Some(phase) = step.phases.iter().find(|phase| phase.name == "peak") else {
            writeln!(out, "| {} | | | | | | | | | {} | {ended} |", step.part, step.broken.len())?;
            continue;
        };
        writeln!(
            out,
            "| {} | {:.0} | {:.0} | {} ({}) | {} | {} | {} ({}) | {} ms | {} ms | {} | {ended} |",
            step.part,
            sum(phase, |region| region.workers as f64),
            sum(phase, |region| region.running as f64),
            format_number(sum(phase, |region| region.starts_per_s)),
            format_number(run.scenario.target.starts_per_s * step.part),
            format_number(sum(phase, |region| region.reports_per_s)),
            format_number(phase.cores_in_all),
            format_number(max(phase, |region| region.leader.cores)),
            format_number(max(phase, |region| region.leader.cores_most)),
            format_number(phase.accept.p95_ms),
            format_number(phase.urgent.p95_ms),
            step.broken.len(),
        )?;
    }
    Ok(())
}

/// Returns the section with all slopes, their residuals, and how far the target lies beyond the
/// measured range.
pub(super) fn slope_table(slopes: &Slopes, scenario: &Scenario) -> Section {
    let peak = region_loads(scenario)[1];
    let mut out = String::from(
        "## Slopes\n\nLeast-squares fits over the regions of all steps, in the phases without faults (steady, peak, after the \
         peak), with one point for each region and phase. *Beyond*: the region's peak at the target divided by the largest that was measured.\n\n",
    );
    out += "| quantity | constant | a | b | points | residual | measured up to | beyond |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for slope in slopes.all() {
        let Some(fit) = slope.fit else {
            writeln!(out, "| {} | not determined by the points | | | | | | |", slope.name)?;
            continue;
        };
        writeln!(
            out,
            "| {}, {} | {} | {} a {} | {} a {} | {} | {} | {}; {} | {:.1} |",
            slope.name,
            slope.unit,
            format_number(fit.constant),
            format_number(fit.slopes[0]),
            slope.variable_names[0],
            format_number(fit.slopes[1]),
            slope.variable_names[1],
            fit.points,
            format_number(fit.residual),
            format_number(fit.max_variables[0]),
            format_number(fit.max_variables[1]),
            fit.extrapolation(slopes.variables_at(slope, &peak)),
        )?;
    }
    out.push('\n');
    Ok(out)
}

fn sum(phase: &Phase, figure: fn(&RegionFigures) -> f64) -> f64 {
    phase.regions.iter().map(figure).sum()
}

fn max(phase: &Phase, figure: fn(&RegionFigures) -> f64) -> f64 {
    phase.regions.iter().map(figure).fold(0.0, f64::max)
}
