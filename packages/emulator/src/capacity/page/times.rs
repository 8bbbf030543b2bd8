//! The times that users notice, by step and phase.

use std::fmt::Write as _;

use super::{short, Section};
use crate::capacity::Results;
use crate::scale::result::Phase;

/// Urgent work starts within this.
const URGENT_MS: f64 = 2700.0;

/// Times that users notice, by step and phase.
pub(super) fn times(results: &Results, failing: &mut Vec<String>) -> Section {
    let mut out = String::from("## Times\n\nFrom submission to acceptance, from the acceptance of urgent work (four tasks) to the start of the last, and from the \
         end of a leader (or of all controllers of a region) to the next start.\n\n");
    out += "| part | phase | acceptance p50, p95, most (ms) | urgent p50, p95, most (ms) | not begun at the end | next start (s) | killed by leases | replicas back, first region |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (_, run) in &results.runs {
        for step in &run.steps {
            for phase in &step.phases {
                time_row(&mut out, step.part, phase)?;
                let quiet = phase.name == "steady" || phase.name == "peak";
                if quiet && phase.urgent.p95_ms > URGENT_MS {
                    failing.push(format!(
                        "urgent work at {} of the target, {}: 95 of 100 within {} s, asked for 2.7 s",
                        step.part,
                        phase.name,
                        short(phase.urgent.p95_ms / 1000.0)
                    ));
                }
            }
        }
    }
    out.push('\n');
    Ok(out)
}

fn time_row(out: &mut String, part: f64, phase: &Phase) -> std::fmt::Result {
    let gaps: Vec<String> = phase.regions.iter().filter_map(|r| r.next_start_s).map(short).collect();
    let back = phase.regions.first().and_then(|r| r.replicas_back).map_or(String::new(), short);
    let (accept, urgent) = (&phase.accept, &phase.urgent);
    writeln!(
        out,
        "| {part} | {} | {}, {}, {} | {}, {}, {} | {} | {} | {} | {back} |",
        phase.name,
        short(accept.p50_ms),
        short(accept.p95_ms),
        short(accept.max_ms),
        short(urgent.p50_ms),
        short(urgent.p95_ms),
        short(urgent.max_ms),
        phase.urgent_waiting,
        gaps.join(", "),
        phase.regions.iter().map(|r| r.killed).sum::<u64>(),
    )
}
