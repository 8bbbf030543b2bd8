//! The times that users experience, by step and phase.

use std::fmt::Write as _;

use super::{format_number, Section};
use crate::capacity::Results;
use crate::scale::result::Phase;

/// Time within which 95 of 100 urgent jobs must have started, in milliseconds.
const URGENT_START_TARGET_MS: f64 = 2700.0;

/// Returns the section on times and adds the targets that were missed to `unmet_limits`.
pub(super) fn times(results: &Results, unmet_limits: &mut Vec<String>) -> Section {
    let mut out = String::from("## Times\n\nThe times are those from submission to acceptance, from the acceptance of an urgent job (four tasks) to the start of its last \
         task, and from the kill of a leader (or of all controllers of a region) to the next task start.\n\n");
    out += "| part | phase | acceptance p50, p95, most (ms) | urgent p50, p95, most (ms) | not begun at the end | next start (s) | killed by leases | replicas back, first region |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (_, run) in &results.runs {
        for step in &run.steps {
            for phase in &step.phases {
                time_row(&mut out, step.part, phase)?;
                let is_fault_free = phase.name == "steady" || phase.name == "peak";
                if is_fault_free && phase.urgent.p95_ms > URGENT_START_TARGET_MS {
                    unmet_limits.push(format!(
                        "urgent work at {} of the target, phase {}: 95 of 100 jobs start within {} s, the target is 2.7 s",
                        step.part,
                        phase.name,
                        format_number(phase.urgent.p95_ms / 1000.0)
                    ));
                }
            }
        }
    }
    out.push('\n');
    Ok(out)
}

fn time_row(out: &mut String, part: f64, phase: &Phase) -> std::fmt::Result {
    let next_starts: Vec<String> =
        phase.regions.iter().filter_map(|region| region.next_start_s).map(format_number).collect();
    let replicas_back =
        phase.regions.first().and_then(|region| region.replicas_back).map_or(String::new(), format_number);
    let (accept, urgent) = (&phase.accept, &phase.urgent);
    writeln!(
        out,
        "| {part} | {} | {}, {}, {} | {}, {}, {} | {} | {} | {} | {replicas_back} |",
        phase.name,
        format_number(accept.p50_ms),
        format_number(accept.p95_ms),
        format_number(accept.max_ms),
        format_number(urgent.p50_ms),
        format_number(urgent.p95_ms),
        format_number(urgent.max_ms),
        phase.urgent_waiting,
        next_starts.join(", "),
        phase.regions.iter().map(|region| region.killed).sum::<u64>(),
    )
}
