//! Days of the users' bench at large sizes, as `docs/capacity/bench.json` keeps them.

use serde::{Deserialize, Serialize};

/// One day that was played, or that was not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchRow {
    /// Deployment that the site was made from.
    pub site: String,
    /// Times its machines and traffic.
    pub times: f64,
    /// Controllers.
    pub controllers: u32,
    /// Teams.
    pub teams: u32,
    /// Day.
    pub day: String,
    /// The code that was played.
    pub code: String,
    /// Machines at most.
    pub machines: u32,
    /// Figure of the day.
    pub figure: f64,
    /// Least share of a class, and of a team, that was served.
    pub least_class: f64,
    /// ... of a team.
    pub least_team: f64,
    /// Processor of the busiest controller, in shares of its own: mean.
    pub busiest_mean: f64,
    /// ... and peak.
    pub busiest_peak: f64,
    /// The mean of the others.
    pub others_mean: f64,
    /// Most connections of one controller.
    pub connections: u32,
    /// Requests to the state service a second.
    pub state_requests: f64,
    /// Requests that it refused.
    pub state_refused: u64,
    /// Tasks started.
    pub started: u64,
    /// Tasks killed by their leases.
    pub killed: u64,
    /// 95 of 100 submissions were accepted within this, in seconds.
    pub accept_p95_s: f64,
    /// Rules broken.
    pub broken: u64,
    /// The journal's entry.
    pub journal: String,
}
