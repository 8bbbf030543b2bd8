//! Reports of load runs, their JSON files, and the table that compares them.

use std::fs;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::Scenario;
use crate::error::Error;

/// Quantiles of a latency, in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of measured jobs.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
    /// Points of the quantile curve: a share of the jobs from 0 to 1, and the latency that this share
    /// does not exceed.
    pub curve: Vec<(f64, f64)>,
}

impl LatencySummary {
    /// Computes the quantiles of a histogram whose values are in microseconds.
    pub(super) fn from_histogram(histogram: &Histogram<u64>) -> LatencySummary {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let quantiles = (0..=100).map(|percent| percent as f64 / 100.0).chain([0.995, 0.999]);
        let curve = quantiles.map(|quantile| (quantile, at(quantile))).collect();
        LatencySummary {
            count: histogram.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: at(1.0),
            curve,
        }
    }
}

/// The result of a load run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The scenario that was run, without its faults.
    pub scenario: Scenario,
    /// Number of jobs that arrived.
    pub jobs: usize,
    /// Accepted jobs per second, from the start of the run to the last acceptance.
    pub accepted_per_s: f64,
    /// Latency from a job's arrival to its acceptance.
    pub accept: LatencySummary,
    /// Latency from a job's arrival to its final answer.
    pub answer: LatencySummary,
    /// Number of users' requests that reached the load balancer in each second since the cluster
    /// became ready.
    pub requests: Vec<u64>,
    /// Mean number of users' requests for each job that arrived.
    pub requests_per_job: f64,
    /// Violations of the protocol, and wrong or missing answers, one line each.
    pub wrong: Vec<String>,
}

/// Reads a report from its JSON file.
///
/// # Errors
///
/// Returns [`Error::Input`] if the file cannot be read or does not contain a report.
pub fn read(file: &Path) -> Result<Report, Error> {
    let input_error =
        |error: &dyn std::fmt::Display| Error::Input(format!("cannot read the report {}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| input_error(&error))?;
    serde_json::from_str(&text).map_err(|error| input_error(&error))
}

/// A function that formats one figure of a report.
type Figure = dyn Fn(&Report) -> String;

/// Returns a text table with a column for each named report and a line for each figure.
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
    for (label, format_figure) in rows {
        text += &format!("\n{label:28}");
        for (_, r) in reports {
            text += &format!("{:>16}", format_figure(r));
        }
    }
    text
}
