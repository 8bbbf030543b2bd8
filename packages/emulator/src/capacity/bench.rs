//! Results of the users' bench at large sizes, as stored in `docs/capacity/bench.json`.

use serde::{Deserialize, Serialize};

/// The result of one simulated day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchRow {
    /// Name of the deployment of which the simulated site is a copy.
    pub site: String,
    /// Factor by which the deployment's machines and traffic are multiplied.
    pub times: f64,
    /// Number of controllers.
    pub controllers: u32,
    /// Number of teams.
    pub teams: u32,
    /// Name of the simulated day.
    pub day: String,
    /// Label of the code version that was simulated.
    pub code: String,
    /// Largest number of machines at one time.
    pub machines: u32,
    /// The bench's overall figure for the day.
    pub figure: f64,
    /// Smallest served share of a job class.
    pub least_class: f64,
    /// Smallest served share of a team.
    pub least_team: f64,
    /// Mean processor usage of the busiest controller, as a share of the controller's processor.
    pub busiest_mean: f64,
    /// Peak processor usage of the busiest controller, as a share of the controller's processor.
    pub busiest_peak: f64,
    /// Mean processor usage of the other controllers, as a share of a controller's processor.
    pub others_mean: f64,
    /// Largest number of connections of one controller.
    pub connections: u32,
    /// Requests per second to the state service.
    pub state_requests: f64,
    /// Requests that the state service refused.
    pub state_refused: u64,
    /// Number of tasks that were started.
    pub started: u64,
    /// Number of tasks killed because the lease of their worker expired.
    pub killed: u64,
    /// 95th percentile of the time from submission to acceptance, in seconds.
    pub accept_p95_s: f64,
    /// Number of violations of the protocol.
    pub broken: u64,
    /// Journal entry that records the result.
    pub journal: String,
}
