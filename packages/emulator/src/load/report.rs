//! Reports of load runs.

use std::fs;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::Scenario;
use crate::error::Error;

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Times {
    /// How many.
    pub count: u64,
    /// Half were quicker.
    pub p50_ms: f64,
    /// 99 of 100 were quicker.
    pub p99_ms: f64,
    /// 999 of 1,000 were quicker.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// Share and time of a curve of quantiles.
    pub curve: Vec<(f64, f64)>,
}

impl Times {
    /// Quantiles of a histogram in microseconds.
    pub(super) fn of(histogram: &Histogram<u64>) -> Times {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let quantiles = (0..=100).map(|percent| percent as f64 / 100.0).chain([0.995, 0.999]);
        let curve = quantiles.map(|quantile| (quantile, at(quantile))).collect();
        Times { count: histogram.len(), p50_ms: at(0.5), p99_ms: at(0.99), p999_ms: at(0.999), max_ms: at(1.0), curve }
    }
}

/// The result of a load run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The scenario.
    pub scenario: Scenario,
    /// Jobs that arrived.
    pub jobs: usize,
    /// Accepted a second, from the first arrival to the last acceptance.
    pub accepted_per_s: f64,
    /// From a job's arrival to its acceptance.
    pub accept: Times,
    /// From a job's arrival to its final answer.
    pub answer: Times,
    /// Users' requests that reached the balancer, by second.
    pub requests: Vec<u64>,
    /// The same for each job.
    pub requests_per_job: f64,
    /// Violations of the protocol, and answers that are wrong or missing, a line each.
    pub wrong: Vec<String>,
}

/// Reads a report from its JSON file.
pub fn read(file: &Path) -> Result<Report, Error> {
    let unusable = |error: &dyn std::fmt::Display| Error::Input(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| unusable(&error))?;
    serde_json::from_str(&text).map_err(|error| unusable(&error))
}

/// Formats a figure of a report.
type Figure = dyn Fn(&Report) -> String;

/// A table of reports side by side, with a line for each figure.
pub fn table(reports: &[(&str, &Report)]) -> String {
    let rows: [(&str, &Figure); 12] = [
        ("users", &|r| format!("{:?}", r.scenario.users)),
        ("jobs", &|r| r.jobs.to_string()),
        ("answered", &|r| r.answer.count.to_string()),
        ("accepted a second", &|r| format!("{:.1}", r.accepted_per_s)),
        ("to accept, ms: p50", &|r| format!("{:.0}", r.accept.p50_ms)),
        ("  p99", &|r| format!("{:.0}", r.accept.p99_ms)),
        ("  p99.9", &|r| format!("{:.0}", r.accept.p999_ms)),
        ("to answer, ms: p50", &|r| format!("{:.0}", r.answer.p50_ms)),
        ("  p99", &|r| format!("{:.0}", r.answer.p99_ms)),
        ("  p99.9", &|r| format!("{:.0}", r.answer.p999_ms)),
        ("requests a job", &|r| format!("{:.1}", r.requests_per_job)),
        ("most requests in a second", &|r| r.requests.iter().max().copied().unwrap_or(0).to_string()),
    ];
    let mut text = format!("{:28}", "");
    for (name, _) in reports {
        text += &format!("{name:>16}");
    }
    for (what, of) in rows {
        text += &format!("\n{what:28}");
        for (_, r) in reports {
            text += &format!("{:>16}", of(r));
        }
    }
    text
}
