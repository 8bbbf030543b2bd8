//! The text of the capacity page, a module for each section.

mod budget;
mod measured;
mod roles;
mod simulated;
mod times;

use std::fmt::Write as _;

use super::{Results, Slopes};
use crate::error::Error;
use crate::scale::scenario::Scenario;

const HEAD: &str = "\
# Capacity

Made by `coralnotch-emulator capacity` from the files in `docs/capacity/`; a test makes it again
and fails if it differs. Figures of scale runs are wall-clock, on one machine that everything
shares, and hold as ratios elsewhere. Figures of the bench are simulated. What the design is and
why: [design-scale.md](design-scale.md).

";

/// The whole page in Markdown.
pub fn text(results: &Results) -> Result<String, Error> {
    let slopes = Slopes::of(results);
    let mut page = HEAD.to_owned();
    let mut failing = Vec::new();
    let sections = [
        measured::steps(results),
        measured::slope_table(&slopes, results.scenario()),
        roles::roles(results, &slopes, &mut failing),
        budget::budget(results, &slopes, &mut failing),
        times::times(results, &mut failing),
        simulated::bench(&results.bench),
        not_holding(&failing),
        assumptions(results.scenario()),
    ];
    for section in sections {
        page += &section.map_err(|error| Error::Failed(error.to_string()))?;
    }
    Ok(page)
}

/// One section in Markdown.
type Section = Result<String, std::fmt::Error>;

/// Formats a number with about three significant digits.
fn short(v: f64) -> String {
    match v.abs() {
        a if a >= 100.0 => format!("{v:.0}"),
        a if a >= 10.0 => format!("{v:.1}"),
        a if a >= 1.0 => format!("{v:.2}"),
        a if a >= 0.001 || a == 0.0 => format!("{v:.3}"),
        _ => format!("{v:.1e}"),
    }
}

fn not_holding(failing: &[String]) -> Section {
    let mut out = String::from("## What does not hold\n\n");
    if failing.is_empty() {
        out += "Nothing of what is reckoned here; see the assumptions.\n";
    }
    for f in failing {
        writeln!(out, "- {f}")?;
    }
    out.push('\n');
    Ok(out)
}

fn assumptions(scenario: &Scenario) -> Section {
    let region = &scenario.region;
    let mut out = String::from("## Assumptions\n\nFigures without a slope:\n\n");
    writeln!(
        out,
        "- A region's state service allows {} requests and {} changes a second, values of {} KiB, {} changes a transaction; its \
         cloud {} requests a second, its list {} s old: those of the largest deployment today.",
        short(region.state.rps), short(region.state.write_rps), region.state.value_kb, region.state.txn_ops, short(region.cloud_rps), region.list_lag_s
    )?;
    out += "- The steady load is a quarter of the peak's starts. Arrays have 300 tasks, services 30 replicas.\n";
    out += "- Links between regions and the carrying of configuration: nothing of either runs yet. By design 0.43 changes a second on \
          average, 9 in a busy second, 1 KB each to four regions: 36 KB a second; shares of 1,200 quotas renewed every 10 s: 480 \
          messages a second over all links if sent one by one, 12 if by region. No processor figure.\n";
    out += "- Users and the balancer are one process here, which polls each job every 5 s; they are not part of the 17 machines.\n";
    Ok(out)
}
