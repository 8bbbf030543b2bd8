//! The text of the capacity page.

use std::fmt::Write as _;

use super::bench::BenchRow;
use super::{loads, RegionLoad, Results, Slope, Slopes};
use crate::error::Error;
use crate::scale::result::{Phase, RegionFigures, ScaleReport};
use crate::scale::scenario::Scenario;

/// What a worker may spend on control.
const WORKER_CORES: f64 = 0.025;
const WORKER_MEMORY_MB: f64 = 128.0;
const WORKER_BYTES_PER_S: f64 = 11_000.0;
/// Bytes that TCP and IP add to a request and its answer: a segment and an acknowledgement each
/// way, 52 bytes of headers each.
const PACKET_BYTES: f64 = 4.0 * 52.0;
/// Urgent work starts within this.
const URGENT_MS: f64 = 2700.0;
/// Report intervals of the deployments.
const REPORT_INTERVALS_S: [f64; 3] = [3.0, 5.0, 8.0];
/// Times the peak that a control machine is chosen for.
const MARGIN: f64 = 2.0;

const HEAD: &str = "\
# Capacity

Made by `coralnotch-emulator capacity` from the files in `docs/capacity/`; a test makes it again
and fails if it differs. Figures of scale runs are wall-clock, on one machine that everything
shares, and hold as ratios elsewhere. Figures of the bench are simulated. What the design is and
why: [design-scale.md](design-scale.md).

";

/// The whole page.
pub fn text(r: &Results) -> Result<String, Error> {
    let slopes = Slopes::of(r);
    let mut page = HEAD.to_owned();
    let mut failing = Vec::new();
    let parts = [
        steps(r),
        slope_table(&slopes, r.scenario()),
        roles(r, &slopes, &mut failing),
        budget(r, &slopes, &mut failing),
        times(r, &mut failing),
        bench(&r.bench),
        not_holding(&failing),
        assumptions(r.scenario()),
    ];
    for part in parts {
        page += &part.map_err(|e| Error::Failed(e.to_string()))?;
    }
    Ok(page)
}

type Part = Result<String, std::fmt::Error>;

/// A number with as many digits as say something.
fn short(v: f64) -> String {
    match v.abs() {
        a if a >= 100.0 => format!("{v:.0}"),
        a if a >= 10.0 => format!("{v:.1}"),
        a if a >= 1.0 => format!("{v:.2}"),
        a if a >= 0.001 || a == 0.0 => format!("{v:.3}"),
        _ => format!("{v:.1e}"),
    }
}

fn sum(p: &Phase, f: fn(&RegionFigures) -> f64) -> f64 {
    p.regions.iter().map(f).sum()
}

fn most(p: &Phase, f: fn(&RegionFigures) -> f64) -> f64 {
    p.regions.iter().map(f).fold(0.0, f64::max)
}

/// How far one machine got.
fn steps(r: &Results) -> Part {
    let s = r.scenario();
    let mut t = String::from("## How far one machine gets\n\n");
    let t_ = &s.target;
    writeln!(
        t,
        "`coralnotch-emulator scale examples/scale/target.toml` on {} cores: {} regions, {} controllers, {} teams; \
         the target is {} workers, {} running tasks and {} starts a second.\n",
        r.runs[0].1.machine_cores,
        t_.regions,
        t_.controllers,
        t_.teams,
        t_.workers,
        t_.workers * t_.tasks_per_worker,
        t_.starts_per_s
    )?;
    t += "| part | workers | running | starts a second, peak (asked for) | reports a second, peak | cores in all, peak | leader, peak: mean (most in a second) | acceptance p95, peak | urgent p95, peak | rules broken | ended |\n";
    t += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (_, run) in &r.runs {
        step_row(&mut t, run)?;
    }
    writeln!(t, "\n{}", r.notes)?;
    Ok(t)
}

fn step_row(t: &mut String, run: &ScaleReport) -> std::fmt::Result {
    for step in &run.steps {
        let ended = step.stopped.as_deref().unwrap_or("whole");
        let Some(p) = step.phases.iter().find(|p| p.name == "peak") else {
            writeln!(t, "| {} | | | | | | | | | {} | {ended} |", step.part, step.broken.len())?;
            continue;
        };
        writeln!(
            t,
            "| {} | {:.0} | {:.0} | {} ({}) | {} | {} | {} ({}) | {} ms | {} ms | {} | {ended} |",
            step.part,
            sum(p, |r| r.workers as f64),
            sum(p, |r| r.running as f64),
            short(sum(p, |r| r.starts_per_s)),
            short(run.scenario.target.starts_per_s * step.part),
            short(sum(p, |r| r.reports_per_s)),
            short(p.cores_in_all),
            short(most(p, |r| r.leader.cores)),
            short(most(p, |r| r.leader.cores_most)),
            short(p.accept.p95_ms),
            short(p.urgent.p95_ms),
            step.broken.len(),
        )?;
    }
    Ok(())
}

/// Every slope with its points, its residual and how far beyond the target lies.
fn slope_table(slopes: &Slopes, s: &Scenario) -> Part {
    let peak = loads(s)[1];
    let mut t = String::from(
        "## Slopes\n\nLeast squares over the regions of all steps in the phases in which nothing fails (steady, peak, after the \
         peak), one point a region and phase. *Beyond*: the region's peak at the target over the largest that was measured.\n\n",
    );
    t += "| quantity | constant | a | b | points | residual | measured up to | beyond |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for slope in slopes.all() {
        let Some(f) = slope.fit else {
            writeln!(t, "| {} | not told by the points | | | | | | |", slope.name)?;
            continue;
        };
        writeln!(
            t,
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
    t.push('\n');
    Ok(t)
}

/// A row of the roles: what is needed at each load, beside its limit.
struct Row<'a> {
    role: &'static str,
    slope: &'a Slope,
    limit: f64,
    /// What carries it.
    by: &'static str,
}

fn rows<'a>(s: &Scenario, slopes: &'a Slopes) -> Vec<Row<'a>> {
    let r = &s.region;
    let row = |role, slope, limit, by| Row { role, slope, limit, by };
    vec![
        row("leader", &slopes.leader_cores, r.cores, "duties before requests; passes bounded by their share"),
        row("leader", &slopes.leader_memory, r.memory_mb, "ended jobs leave memory"),
        row("leader", &slopes.leader_files, r.sockets as f64, "above `spread_from`: reports by way of the others"),
        row("other controller", &slopes.follower_cores, r.cores, "users' requests; reports that are forwarded"),
        row("other controller", &slopes.follower_memory, r.memory_mb, "ended jobs leave memory"),
        row(
            "state service",
            &slopes.state_requests,
            r.state.rps,
            "watches and confirmations in proportion to the controllers",
        ),
        row("state service", &slopes.state_changes, r.state.write_rps, "starts and ends share pages"),
    ]
}

fn roles(r: &Results, slopes: &Slopes, failing: &mut Vec<String>) -> Part {
    let s = r.scenario();
    let all = loads(s);
    let mut t = String::from("## What a region of the target needs\n\n");
    for l in &all {
        writeln!(
            t,
            "- {}: {} workers, {} running tasks, {} starts a second",
            l.name,
            short(l.workers),
            short(l.running),
            short(l.starts)
        )?;
    }
    t += "\nLimits are those of `examples/scale/target.toml`; a controller's core is its one thread. *Head-room*: limit over peak.\n\n";
    t += "| role | quantity | steady | peak | one region lost | limit | head-room | carried by | |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for row in rows(s, slopes) {
        role_row(&mut t, &row, slopes, &all, failing)?;
    }
    t.push('\n');
    let peak = slopes.value(&slopes.leader_cores, &all[1]).map_or(0.0, |v| v.0);
    let memory = slopes.value(&slopes.leader_memory, &all[2]).map_or(0.0, |v| v.0);
    let files = slopes.value(&slopes.leader_files, &all[2]).map_or(0.0, |v| v.0);
    let bytes = slopes.value(&slopes.bytes, &all[2]).map_or(0.0, |v| v.0);
    writeln!(
        t,
        "A control machine for twice the peak, at the slopes above: {} cores, which one thread has to give, {} MB, {} \
         connections, {} MB a second to and from workers. Any controller may lead, so all {} are alike.\n",
        short(peak * MARGIN),
        short(memory * MARGIN),
        short(files * MARGIN),
        short(bytes * MARGIN / 1000.0),
        s.target.controllers,
    )?;
    shares(&mut t, slopes, &all[1])?;
    Ok(t)
}

fn role_row(
    t: &mut String,
    row: &Row<'_>,
    slopes: &Slopes,
    all: &[RegionLoad; 3],
    failing: &mut Vec<String>,
) -> std::fmt::Result {
    let values: Vec<Option<(f64, f64)>> = all.iter().map(|l| slopes.value(row.slope, l)).collect();
    let told = |v: &Option<(f64, f64)>| v.map_or("no slope".to_owned(), |v| short(v.0));
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
            told(&values[1]),
            row.slope.unit,
            short(row.limit)
        ));
    }
    writeln!(
        t,
        "| {} | {}{} | {} | {} | {} | {} | {} | {} | {holds} |",
        row.role,
        row.slope.name.split(": ").last().unwrap_or(row.slope.name),
        if row.slope.unit.is_empty() { String::new() } else { format!(" ({})", row.slope.unit) },
        told(&values[0]),
        told(&values[1]),
        told(&values[2]),
        short(row.limit),
        short(row.limit / peak),
        row.by,
    )
}

/// What the leader's processor goes to at the peak: which mechanism is worth most.
fn shares(t: &mut String, slopes: &Slopes, peak: &RegionLoad) -> std::fmt::Result {
    let Some(f) = slopes.leader_cores.fit else { return Ok(()) };
    let at = slopes.place(&slopes.leader_cores, peak);
    let all = f.at(at).max(1e-9);
    writeln!(
        t,
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

/// What a worker spends on control.
fn budget(r: &Results, slopes: &Slopes, failing: &mut Vec<String>) -> Part {
    let s = r.scenario();
    let mut t = String::from("## A worker's budget\n\n");
    writeln!(
        t,
        "{} tasks a worker, a report every {} s and when something changes. Bytes are those of the HTTP messages both ways, and \
         {PACKET_BYTES} for TCP and IP with each (assumption). Processor and memory are those of the hollow worker with its \
         connections, over the number of workers.\n",
        s.target.tasks_per_worker, s.region.report_s
    )?;
    t += "| | steady | peak | budget | |\n| --- | --- | --- | --- | --- |\n";
    let all = loads(s);
    let each = |f: &dyn Fn(&RegionLoad) -> Option<f64>| {
        [f(&all[0]).map(|v| v / all[0].workers), f(&all[1]).map(|v| v / all[1].workers)]
    };
    let value = |slope: &Slope, l: &RegionLoad| slopes.value(slope, l).map(|v| v.0);
    let messages = |l: &RegionLoad| Some(value(&slopes.reports, l)? + value(&slopes.direct, l)?);
    let bytes = |l: &RegionLoad| Some(value(&slopes.bytes, l)? * 1000.0 + messages(l)? * PACKET_BYTES);
    let rows = [
        ("bytes a second", each(&bytes), WORKER_BYTES_PER_S),
        ("messages a second", each(&messages), f64::INFINITY),
        ("processor, cores", each(&|l| value(&slopes.worker_cores, l)), WORKER_CORES),
        ("memory, MB", each(&|l| value(&slopes.worker_memory, l)), WORKER_MEMORY_MB),
    ];
    for (name, [steady, peak], limit) in rows {
        let told = |v: Option<f64>| v.map_or("no slope".to_owned(), short);
        let holds = if peak.unwrap_or(f64::INFINITY) <= limit { "holds" } else { "**does not hold**" };
        if holds != "holds" {
            failing.push(format!("a worker's {name} at the peak: {}, budget {}", told(peak), short(limit)));
        }
        let limit = if limit.is_finite() { short(limit) } else { "none".to_owned() };
        writeln!(t, "| {name} | {} | {} | {limit} | {holds} |", told(steady), told(peak))?;
    }
    intervals(&mut t, s, slopes, &all[1])?;
    Ok(t)
}

/// Bytes at other report intervals: what comes of time alone goes with their number.
fn intervals(t: &mut String, s: &Scenario, slopes: &Slopes, peak: &RegionLoad) -> std::fmt::Result {
    let (Some(bytes), Some(reports)) = (slopes.bytes.fit, slopes.reports.fit) else { return Ok(()) };
    let quiet = bytes.slopes[0] * 1000.0 + reports.slopes[0] * PACKET_BYTES;
    let more = (bytes.slopes[1] * 1000.0 + reports.slopes[1] * PACKET_BYTES) * peak.starts / peak.workers;
    t.push_str("\nBytes a second of one worker by report interval, in a quiet second (at the peak): ");
    let each = REPORT_INTERVALS_S.map(|i| {
        let at = quiet * s.region.report_s / i;
        format!("{i} s: {} ({})", short(at), short(at + more))
    });
    writeln!(t, "{}.\n", each.join("; "))
}

/// Times that users notice, by step and phase.
fn times(r: &Results, failing: &mut Vec<String>) -> Part {
    let mut t = String::from("## Times\n\nFrom submission to acceptance, from the acceptance of urgent work (four tasks) to the start of the last, and from the \
         end of a leader (or of all controllers of a region) to the next start.\n\n");
    t += "| part | phase | acceptance p50, p95, most (ms) | urgent p50, p95, most (ms) | not begun at the end | next start (s) | killed by leases | replicas back, first region |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (_, run) in &r.runs {
        for step in &run.steps {
            for p in &step.phases {
                time_row(&mut t, step.part, p)?;
                let quiet = p.name == "steady" || p.name == "peak";
                if quiet && p.urgent.p95_ms > URGENT_MS {
                    failing.push(format!(
                        "urgent work at {} of the target, {}: 95 of 100 within {} s, asked for 2.7 s",
                        step.part,
                        p.name,
                        short(p.urgent.p95_ms / 1000.0)
                    ));
                }
            }
        }
    }
    t.push('\n');
    Ok(t)
}

fn time_row(t: &mut String, part: f64, p: &Phase) -> std::fmt::Result {
    let gaps: Vec<String> = p.regions.iter().filter_map(|r| r.next_start_s).map(short).collect();
    let back = p.regions.first().and_then(|r| r.replicas_back).map_or(String::new(), short);
    let (a, u) = (&p.accept, &p.urgent);
    writeln!(
        t,
        "| {part} | {} | {}, {}, {} | {}, {}, {} | {} | {} | {} | {back} |",
        p.name,
        short(a.p50_ms),
        short(a.p95_ms),
        short(a.max_ms),
        short(u.p50_ms),
        short(u.p95_ms),
        short(u.max_ms),
        p.urgent_waiting,
        gaps.join(", "),
        p.regions.iter().map(|r| r.killed).sum::<u64>(),
    )
}

fn bench(rows: &[BenchRow]) -> Part {
    let mut t = String::from(
        "## On the bench (simulated)\n\nCopies of the fleet sites in the target's shape, nine zones; one play each unless a row stands \
         twice. Processor in shares of a controller's own. *Code*: `leader hears` is the code before reports were forwarded, `all hear` with it.\n\n",
    );
    t += "| site | times | controllers | teams | day | code | machines | figure | least class; team | busiest controller, mean (peak); others | connections | state requests a second; refused | started; killed by leases | acceptance p95 | rules broken | journal |\n";
    t += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for b in rows {
        writeln!(
            t,
            "| {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2}; {:.2} | {:.2} ({:.2}); {:.2} | {} | {:.0}; {} | {}; {} | {} s | {} | {} |",
            b.site,
            b.times,
            b.controllers,
            b.teams,
            b.day,
            b.code,
            b.machines,
            b.figure,
            b.least_class,
            b.least_team,
            b.busiest_mean,
            b.busiest_peak,
            b.others_mean,
            b.connections,
            b.state_requests,
            b.state_refused,
            b.started,
            b.killed,
            short(b.accept_p95_s),
            b.broken,
            b.journal,
        )?;
    }
    t.push('\n');
    Ok(t)
}

fn not_holding(failing: &[String]) -> Part {
    let mut t = String::from("## What does not hold\n\n");
    if failing.is_empty() {
        t += "Nothing of what is reckoned here; see the assumptions.\n";
    }
    for f in failing {
        writeln!(t, "- {f}")?;
    }
    t.push('\n');
    Ok(t)
}

fn assumptions(s: &Scenario) -> Part {
    let r = &s.region;
    let mut t = String::from("## Assumptions\n\nFigures without a slope:\n\n");
    writeln!(
        t,
        "- A region's state service allows {} requests and {} changes a second, values of {} KiB, {} changes a transaction; its \
         cloud {} requests a second, its list {} s old: those of the largest deployment today.",
        short(r.state.rps), short(r.state.write_rps), r.state.value_kb, r.state.txn_ops, short(r.cloud_rps), r.list_lag_s
    )?;
    t += "- The steady load is a quarter of the peak's starts. Arrays have 300 tasks, services 30 replicas.\n";
    t += "- Links between regions and the carrying of configuration: nothing of either runs yet. By design 0.43 changes a second on \
          average, 9 in a busy second, 1 KB each to four regions: 36 KB a second; shares of 1,200 quotas renewed every 10 s: 480 \
          messages a second over all links if sent one by one, 12 if by region. No processor figure.\n";
    t += "- Users and the balancer are one process here, which polls each job every 5 s; they are not part of the 17 machines.\n";
    Ok(t)
}
