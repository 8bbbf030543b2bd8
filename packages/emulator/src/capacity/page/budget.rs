//! What a worker spends on control, beside its budget.

use std::fmt::Write as _;

use super::{short, Section};
use crate::capacity::{loads, RegionLoad, Results, Slope, Slopes};
use crate::scale::scenario::Scenario;

/// What a worker may spend on control.
const WORKER_CORES: f64 = 0.025;
const WORKER_MEMORY_MB: f64 = 128.0;
const WORKER_BYTES_PER_S: f64 = 11_000.0;
/// Bytes that TCP and IP add to a request and its answer: a segment and an acknowledgement each
/// way, 52 bytes of headers each.
const PACKET_BYTES: f64 = 4.0 * 52.0;
/// Report intervals of the deployments.
const REPORT_INTERVALS_S: [f64; 3] = [3.0, 5.0, 8.0];

/// What a worker spends on control.
pub(super) fn budget(results: &Results, slopes: &Slopes, failing: &mut Vec<String>) -> Section {
    let scenario = results.scenario();
    let mut out = String::from("## A worker's budget\n\n");
    writeln!(
        out,
        "{} tasks a worker, a report every {} s and when something changes. Bytes are those of the HTTP messages both ways, and \
         {PACKET_BYTES} for TCP and IP with each (assumption). Processor and memory are those of the hollow worker with its \
         connections, over the number of workers.\n",
        scenario.target.tasks_per_worker, scenario.region.report_s
    )?;
    out += "| | steady | peak | budget | |\n| --- | --- | --- | --- | --- |\n";
    let all = loads(scenario);
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
        let shown = |v: Option<f64>| v.map_or("no slope".to_owned(), short);
        let holds = if peak.unwrap_or(f64::INFINITY) <= limit { "holds" } else { "**does not hold**" };
        if holds != "holds" {
            failing.push(format!("a worker's {name} at the peak: {}, budget {}", shown(peak), short(limit)));
        }
        let limit = if limit.is_finite() { short(limit) } else { "none".to_owned() };
        writeln!(out, "| {name} | {} | {} | {limit} | {holds} |", shown(steady), shown(peak))?;
    }
    intervals(&mut out, scenario, slopes, &all[1])?;
    Ok(out)
}

/// Bytes at other report intervals: what comes of time alone goes with their number.
fn intervals(out: &mut String, scenario: &Scenario, slopes: &Slopes, peak: &RegionLoad) -> std::fmt::Result {
    let (Some(bytes), Some(reports)) = (slopes.bytes.fit, slopes.reports.fit) else { return Ok(()) };
    let quiet = bytes.slopes[0] * 1000.0 + reports.slopes[0] * PACKET_BYTES;
    let more = (bytes.slopes[1] * 1000.0 + reports.slopes[1] * PACKET_BYTES) * peak.starts / peak.workers;
    out.push_str("\nBytes a second of one worker by report interval, in a quiet second (at the peak): ");
    let each = REPORT_INTERVALS_S.map(|i| {
        let at = quiet * scenario.region.report_s / i;
        format!("{i} s: {} ({})", short(at), short(at + more))
    });
    writeln!(out, "{}.\n", each.join("; "))
}
