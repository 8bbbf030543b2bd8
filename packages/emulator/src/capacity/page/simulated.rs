//! The results of the bench, which simulates sites.

use std::fmt::Write as _;

use super::{format_number, Section};
use crate::capacity::bench::BenchRow;

/// Returns the section with the results of the bench.
pub(super) fn bench(rows: &[BenchRow]) -> Section {
    let mut out = String::from(
        "## On the bench (simulated)\n\nThe sites are copies of the fleet sites in the target's shape, with nine zones; each was played once unless it has two rows. \
         Processor figures are shares of a controller's own processor. *Code*: `leader hears` is the code before reports were \
         forwarded, `all hear` the code that forwards them.\n\n",
    );
    out += "| site | times | controllers | teams | day | code | machines | figure | least class; team | busiest controller, mean (peak); others | connections | state requests a second; refused | started; killed by leases | acceptance p95 | rules broken | journal |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for row in rows {
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2}; {:.2} | {:.2} ({:.2}); {:.2} | {} | {:.0}; {} | {}; {} | {} s | {} | {} |",
            row.site,
            row.times,
            row.controllers,
            row.teams,
            row.day,
            row.code,
            row.machines,
            row.figure,
            row.least_class,
            row.least_team,
            row.busiest_mean,
            row.busiest_peak,
            row.others_mean,
            row.connections,
            row.state_requests,
            row.state_refused,
            row.started,
            row.killed,
            format_number(row.accept_p95_s),
            row.broken,
            row.journal,
        )?;
    }
    out.push('\n');
    Ok(out)
}
