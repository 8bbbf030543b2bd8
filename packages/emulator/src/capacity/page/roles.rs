//! What each role of a region needs at the target, beside its limit.

use std::fmt::Write as _;

use super::{short, Section};
use crate::capacity::{loads, RegionLoad, Results, Slope, Slopes};
use crate::scale::scenario::Scenario;

/// Times the peak that a control machine is chosen for.
const MARGIN: f64 = 2.0;

/// A row of the roles: what is needed at each load, beside its limit.
struct Row<'a> {
    role: &'static str,
    slope: &'a Slope,
    limit: f64,
    /// What carries it.
    by: &'static str,
}

fn rows<'a>(scenario: &Scenario, slopes: &'a Slopes) -> Vec<Row<'a>> {
    let region = &scenario.region;
    let row = |role, slope, limit, by| Row { role, slope, limit, by };
    vec![
        row("leader", &slopes.leader_cores, region.cores, "duties before requests; passes bounded by their share"),
        row("leader", &slopes.leader_memory, region.memory_mb, "ended jobs leave memory"),
        row("leader", &slopes.leader_files, region.sockets as f64, "above `spread_from`: reports by way of the others"),
        row("other controller", &slopes.follower_cores, region.cores, "users' requests; reports that are forwarded"),
        row("other controller", &slopes.follower_memory, region.memory_mb, "ended jobs leave memory"),
        row(
            "state service",
            &slopes.state_requests,
            region.state.rps,
            "watches and confirmations in proportion to the controllers",
        ),
        row("state service", &slopes.state_changes, region.state.write_rps, "starts and ends share pages"),
    ]
}

pub(super) fn roles(results: &Results, slopes: &Slopes, failing: &mut Vec<String>) -> Section {
    let scenario = results.scenario();
    let all = loads(scenario);
    let mut out = String::from("## What a region of the target needs\n\n");
    for l in &all {
        writeln!(
            out,
            "- {}: {} workers, {} running tasks, {} starts a second",
            l.name,
            short(l.workers),
            short(l.running),
            short(l.starts)
        )?;
    }
    out += "\nLimits are those of `examples/scale/target.toml`; a controller's core is its one thread. *Head-room*: limit over peak.\n\n";
    out += "| role | quantity | steady | peak | one region lost | limit | head-room | carried by | |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for row in rows(scenario, slopes) {
        role_row(&mut out, &row, slopes, &all, failing)?;
    }
    out.push('\n');
    let peak = slopes.value(&slopes.leader_cores, &all[1]).map_or(0.0, |v| v.0);
    let memory = slopes.value(&slopes.leader_memory, &all[2]).map_or(0.0, |v| v.0);
    let files = slopes.value(&slopes.leader_files, &all[2]).map_or(0.0, |v| v.0);
    let bytes = slopes.value(&slopes.bytes, &all[2]).map_or(0.0, |v| v.0);
    writeln!(
        out,
        "A control machine for twice the peak, at the slopes above: {} cores, which one thread has to give, {} MB, {} \
         connections, {} MB a second to and from workers. Any controller may lead, so all {} are alike.\n",
        short(peak * MARGIN),
        short(memory * MARGIN),
        short(files * MARGIN),
        short(bytes * MARGIN / 1000.0),
        scenario.target.controllers,
    )?;
    shares(&mut out, slopes, &all[1])?;
    Ok(out)
}

fn role_row(
    out: &mut String,
    row: &Row<'_>,
    slopes: &Slopes,
    all: &[RegionLoad; 3],
    failing: &mut Vec<String>,
) -> std::fmt::Result {
    let values: Vec<Option<(f64, f64)>> = all.iter().map(|l| slopes.value(row.slope, l)).collect();
    let shown = |v: &Option<(f64, f64)>| v.map_or("no slope".to_owned(), |v| short(v.0));
    let peak = values[1].map_or(f64::INFINITY, |v| v.0);
    let lost = values[2].map_or(f64::INFINITY, |v| v.0);
    let holds = match () {
        () if peak > row.limit => "**does not hold**",
        () if lost > row.limit => "does not hold with a region lost",
        () => "holds",
    };
    if holds != "holds" {
        failing.push(format!(
            "{} at the peak: {} {}, limit {} ({holds})",
            row.slope.name,
            shown(&values[1]),
            row.slope.unit,
            short(row.limit)
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
        short(row.limit),
        short(row.limit / peak),
        row.by,
    )
}

/// What the leader's processor goes to at the peak: which mechanism is worth most.
fn shares(out: &mut String, slopes: &Slopes, peak: &RegionLoad) -> std::fmt::Result {
    let Some(f) = slopes.leader_cores.fit else { return Ok(()) };
    let at = slopes.place(&slopes.leader_cores, peak);
    let all = f.at(at).max(1e-9);
    writeln!(
        out,
        "Of the leader's processor at the peak {:.0}% goes with reports ({} ms each, {} a second), {:.0}% with starts ({} ms \
         each, their ends, commands and commits included), {:.0}% is constant.\n",
        100.0 * f.slopes[0] * at[0] / all,
        short(f.slopes[0] * 1000.0),
        short(at[0]),
        100.0 * f.slopes[1] * at[1] / all,
        short(f.slopes[1] * 1000.0),
        100.0 * f.constant / all,
    )
}
