//! The resources that a worker spends on the control protocol, compared with the worker's budget.

use std::fmt::Write as _;

use super::{format_number, Section};
use crate::capacity::{region_loads, RegionLoad, Results, Slope, Slopes};
use crate::scale::scenario::Scenario;

/// Cores that a worker may spend on control.
const WORKER_CORES: f64 = 0.025;
/// Memory that a worker may spend on control, in MB.
const WORKER_MEMORY_MB: f64 = 128.0;
/// Bytes per second that a worker may exchange with controllers.
const WORKER_BYTES_PER_S: f64 = 11_000.0;
/// Bytes that TCP and IP add to a request and its response: a segment and an acknowledgement in each
/// direction, with 52 bytes of headers each.
const PACKET_BYTES: f64 = 4.0 * 52.0;
/// Heartbeat intervals of the deployments, in seconds.
const REPORT_INTERVALS_S: [f64; 3] = [3.0, 5.0, 8.0];

/// Returns the section on a worker's budget and adds the limits that do not hold to `unmet_limits`.
pub(super) fn budget(results: &Results, slopes: &Slopes, unmet_limits: &mut Vec<String>) -> Section {
    let scenario = results.scenario();
    let mut out = String::from("## A worker's budget\n\n");
    writeln!(
        out,
        "A worker runs {} tasks and sends a report every {} s and when something changes. Bytes are those of the HTTP messages in both \
         directions, plus {PACKET_BYTES} for TCP and IP with each request and its response (assumption). Processor and memory are those \
         of the process that simulates a region's workers, with its connections, divided by the number of workers.\n",
        scenario.target.tasks_per_worker, scenario.region.report_s
    )?;
    out += "| | steady | peak | budget | |\n| --- | --- | --- | --- | --- |\n";
    let loads = region_loads(scenario);
    let per_worker = |quantity: &dyn Fn(&RegionLoad) -> Option<f64>| {
        [
            quantity(&loads[0]).map(|value| value / loads[0].workers),
            quantity(&loads[1]).map(|value| value / loads[1].workers),
        ]
    };
    let value = |slope: &Slope, load: &RegionLoad| slopes.predict(slope, load).map(|prediction| prediction.0);
    let messages = |load: &RegionLoad| Some(value(&slopes.reports, load)? + value(&slopes.direct, load)?);
    let bytes = |load: &RegionLoad| Some(value(&slopes.bytes, load)? * 1000.0 + messages(load)? * PACKET_BYTES);
    let rows = [
        ("bytes a second", per_worker(&bytes), WORKER_BYTES_PER_S),
        ("messages a second", per_worker(&messages), f64::INFINITY),
        ("processor, cores", per_worker(&|load| value(&slopes.worker_cores, load)), WORKER_CORES),
        ("memory, MB", per_worker(&|load| value(&slopes.worker_memory, load)), WORKER_MEMORY_MB),
    ];
    for (name, [steady, peak], limit) in rows {
        let shown = |value: Option<f64>| value.map_or("no slope".to_owned(), format_number);
        let holds = if peak.unwrap_or(f64::INFINITY) <= limit { "holds" } else { "**does not hold**" };
        if holds != "holds" {
            unmet_limits.push(format!(
                "a worker's {name} at the peak: {}, budget {}",
                shown(peak),
                format_number(limit)
            ));
        }
        let limit = if limit.is_finite() { format_number(limit) } else { "none".to_owned() };
        writeln!(out, "| {name} | {} | {} | {limit} | {holds} |", shown(steady), shown(peak))?;
    }
    bytes_by_interval(&mut out, scenario, slopes, &loads[1])?;
    Ok(out)
}

/// Writes the bytes per second of a worker at other heartbeat intervals.  The part that does not come
/// from task starts is proportional to the number of heartbeats.
fn bytes_by_interval(out: &mut String, scenario: &Scenario, slopes: &Slopes, peak: &RegionLoad) -> std::fmt::Result {
    let (Some(bytes), Some(reports)) = (slopes.bytes.fit, slopes.reports.fit) else { return Ok(()) };
    let without_starts = bytes.slopes[0] * 1000.0 + reports.slopes[0] * PACKET_BYTES;
    let for_starts = (bytes.slopes[1] * 1000.0 + reports.slopes[1] * PACKET_BYTES) * peak.starts / peak.workers;
    out.push_str("\nBytes a second of one worker by report interval, without task starts (at the peak): ");
    let by_interval = REPORT_INTERVALS_S.map(|interval_s| {
        let at_interval = without_starts * scenario.region.report_s / interval_s;
        format!("{interval_s} s: {} ({})", format_number(at_interval), format_number(at_interval + for_starts))
    });
    writeln!(out, "{}.\n", by_interval.join("; "))
}
