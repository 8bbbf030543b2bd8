//! Figures of the simulated sites.

use std::fmt::Write as _;

use super::{short, Section};
use crate::capacity::bench::BenchRow;

pub(super) fn bench(rows: &[BenchRow]) -> Section {
    let mut out = String::from(
        "## On the bench (simulated)\n\nCopies of the fleet sites in the target's shape, nine zones; one play each unless a row stands \
         twice. Processor in shares of a controller's own. *Code*: `leader hears` is the code before reports were forwarded, `all hear` with it.\n\n",
    );
    out += "| site | times | controllers | teams | day | code | machines | figure | least class; team | busiest controller, mean (peak); others | connections | state requests a second; refused | started; killed by leases | acceptance p95 | rules broken | journal |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for b in rows {
        writeln!(
            out,
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
    out.push('\n');
    Ok(out)
}
