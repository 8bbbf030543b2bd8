//! The resources that each role of a region needs at the target, compared with the role's limits.

use std::fmt::Write as _;

use super::{format_number, Section};
use crate::capacity::{region_loads, RegionLoad, Results, Slope, Slopes};
use crate::scale::scenario::Scenario;

/// Multiple of the peak for which a control machine is sized.
const PEAK_MARGIN: f64 = 2.0;

/// A row of the table of roles: one quantity of a role with its limit.
struct Row<'a> {
    role: &'static str,
    slope: &'a Slope,
    limit: f64,
    /// The mechanism that keeps the quantity within the limit.
    carried_by: &'static str,
}

fn rows<'a>(scenario: &Scenario, slopes: &'a Slopes) -> Vec<Row<'a>> {
    let region = &scenario.region;
    let row = |role, slope, limit, carried_by| Row { role, slope, limit, carried_by };
    vec![
        row(
            "leader",
            &slopes.leader_cores,
            region.cores,
            "duties run before requests; the time of scheduling passes is limited to a share",
        ),
        row("leader", &slopes.leader_memory, region.memory_mb, "ended jobs are removed from memory"),
        row(
            "leader",
            &slopes.leader_files,
            region.sockets as f64,
            "above `spread_from` machines reports go through the other controllers",
        ),
        row("other controller", &slopes.follower_cores, region.cores, "users' requests and forwarded reports"),
        row("other controller", &slopes.follower_memory, region.memory_mb, "ended jobs are removed from memory"),
        row(
            "state service",
            &slopes.state_requests,
            region.state.rps,
            "watches and confirmations are proportional to the number of controllers",
        ),
        row("state service", &slopes.state_changes, region.state.write_rps, "starts and ends of tasks share pages"),
    ]
}

/// Returns the section on the roles and adds the limits that do not hold to `unmet_limits`.
pub(super) fn roles(results: &Results, slopes: &Slopes, unmet_limits: &mut Vec<String>) -> Section {
    let scenario = results.scenario();
    let loads = region_loads(scenario);
    let mut out = String::from("## What a region of the target needs\n\n");
    for load in &loads {
        writeln!(
            out,
            "- {}: {} workers, {} running tasks, {} starts a second",
            load.name,
            format_number(load.workers),
            format_number(load.running),
            format_number(load.starts)
        )?;
    }
    out += "\nLimits are those of `examples/scale/target.toml`; a controller has one thread and so uses one core. *Head-room*: limit divided by the value at the peak.\n\n";
    out += "| role | quantity | steady | peak | one region lost | limit | head-room | carried by | |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for row in rows(scenario, slopes) {
        role_row(&mut out, &row, slopes, &loads, unmet_limits)?;
    }
    out.push('\n');
    let peak = slopes.predict(&slopes.leader_cores, &loads[1]).map_or(0.0, |prediction| prediction.0);
    let memory = slopes.predict(&slopes.leader_memory, &loads[2]).map_or(0.0, |prediction| prediction.0);
    let files = slopes.predict(&slopes.leader_files, &loads[2]).map_or(0.0, |prediction| prediction.0);
    let bytes = slopes.predict(&slopes.bytes, &loads[2]).map_or(0.0, |prediction| prediction.0);
    writeln!(
        out,
        "By the slopes above, a control machine for twice the peak needs {} cores, which one thread has to provide, {} MB of memory, {} \
         connections, and {} MB a second to and from workers. Any controller may lead, so all {} machines are alike.\n",
        format_number(peak * PEAK_MARGIN),
        format_number(memory * PEAK_MARGIN),
        format_number(files * PEAK_MARGIN),
        format_number(bytes * PEAK_MARGIN / 1000.0),
        scenario.target.controllers,
    )?;
    leader_processor_shares(&mut out, slopes, &loads[1])?;
    Ok(out)
}

fn role_row(
    out: &mut String,
    row: &Row<'_>,
    slopes: &Slopes,
    loads: &[RegionLoad; 3],
    unmet_limits: &mut Vec<String>,
) -> std::fmt::Result {
    let values: Vec<Option<(f64, f64)>> = loads.iter().map(|load| slopes.predict(row.slope, load)).collect();
    let shown =
        |value: &Option<(f64, f64)>| value.map_or("no slope".to_owned(), |prediction| format_number(prediction.0));
    let peak = values[1].map_or(f64::INFINITY, |prediction| prediction.0);
    let lost = values[2].map_or(f64::INFINITY, |prediction| prediction.0);
    let holds = match () {
        () if peak > row.limit => "**does not hold**",
        () if lost > row.limit => "does not hold with a region lost",
        () => "holds",
    };
    if holds != "holds" {
        unmet_limits.push(format!(
            "{} at the peak: {} {}, limit {} ({holds})",
            row.slope.name,
            shown(&values[1]),
            row.slope.unit,
            format_number(row.limit)
        ));
    }
    writeln!(
        out,
        "| {} | {}{} | {} | {} | {} | {} | {} | {} | {holds} |",
        row.role,
        row.slope.name.split(": ").last().unwrap_or(row.slope.name),
        if row.slope.unit.is_empty() { String::new() } else { format!(" ({})", row.slope.unit) },
        shown(&values[0]),
        shown(&values[1]),
        shown(&values[2]),
        format_number(row.limit),
        format_number(row.limit / peak),
        row.carried_by,
    )
}

/// Writes the shares of the leader's processor time at the peak that reports and starts take, which
/// show where an improvement saves most.
fn leader_processor_shares(out: &mut String, slopes: &Slopes, peak: &RegionLoad) -> std::fmt::Result {
    let Some(fit) = slopes.leader_cores.fit else { return Ok(()) };
    let variables = slopes.variables_at(&slopes.leader_cores, peak);
    let total = fit.value_at(variables).max(1e-9);
    writeln!(
        out,
        "Of the leader's processor time at the peak, {:.0}% is spent on reports ({} ms each, {} a second) and {:.0}% on starts ({} ms \
         each, including the ends, commands and commits of the tasks); {:.0}% is constant.\n",
        100.0 * fit.slopes[0] * variables[0] / total,
        format_number(fit.slopes[0] * 1000.0),
        format_number(variables[0]),
        100.0 * fit.slopes[1] * variables[1] / total,
        format_number(fit.slopes[1] * 1000.0),
        100.0 * fit.constant / total,
    )
}
