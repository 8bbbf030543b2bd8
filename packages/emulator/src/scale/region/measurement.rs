//! Measurements of a region: counters, the current leader and the resource usage of its processes.

use std::cell::RefCell;
use std::time::Duration;

use coralnotch_wire::http;
use serde::Deserialize;

use super::Region;
use crate::error::Error;
use crate::scale::control::{self, StateStats, WorkerStats};
use crate::scale::process::{combined_usage, ManagedProcess, Meter};
use crate::scale::result::RegionFigures;

/// Timeout of a status request to a controller.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The controller that leads a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// The controller's name.
    pub name: String,
    /// The term in which the controller leads.
    pub term: u64,
}

/// The fields of a controller's status that show whether the controller leads.
#[derive(Debug, Deserialize)]
struct StatusPart {
    name: String,
    #[serde(default)]
    leading: Option<LeadingPart>,
}

#[derive(Debug, Default, Deserialize)]
struct LeadingPart {
    #[serde(default)]
    term: u64,
}

/// A region's counters at one moment, counted since the start of the region's processes.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Counters of the workers' process.
    pub workers: WorkerStats,
    state: StateStats,
    user_requests: u64,
    leader: Option<Leader>,
}

impl Snapshot {
    /// Returns the leader, or `None` if no controller reported that it leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }
}

impl Region {
    /// Fetches the workers' counters; each timed job start is returned by one call only.
    pub async fn worker_stats(&self) -> Result<WorkerStats, Error> {
        Ok(control::stats(&self.client, self.workers_control).await?)
    }

    /// Fetches all counters of the region and determines its leader.
    pub async fn snapshot(&self) -> Result<Snapshot, Error> {
        Ok(Snapshot {
            leader: self.leader().await,
            workers: self.worker_stats().await?,
            state: control::stats(&self.client, self.state_control).await?,
            user_requests: self.users.requests.get(),
        })
    }

    /// Returns the first controller whose status reports that it leads.
    async fn leader(&self) -> Option<Leader> {
        for settings in &self.settings {
            let answer = self.client.send(settings.bind, "GET", "/v2/status", None, STATUS_TIMEOUT).await;
            let Ok((200, body)) = answer else { continue };
            if let Ok(StatusPart { name, leading: Some(LeadingPart { term }) }) = http::decode(&body) {
                return Some(Leader { name, term });
            }
        }
        None
    }

    /// Resets the meters and the start gap at the beginning of a phase.
    pub fn begin_phase(&self) {
        self.start_gap.set(None);
        self.for_each_meter(|meter| meter.begin());
    }

    /// Samples the resource usage of all processes; returns their total memory in MB.
    pub fn sample(&self) -> f64 {
        let mut memory_mb = 0.0;
        self.for_each_meter(|meter| memory_mb += meter.sample());
        memory_mb
    }

    fn for_each_meter(&self, mut apply: impl FnMut(&mut Meter)) {
        for process in [&self.state, &self.cloud, &self.workers] {
            apply(process.borrow_mut().meter());
        }
        for running in self.controllers.borrow_mut().iter_mut().filter_map(|controller| controller.running.as_mut()) {
            apply(running.meter());
        }
    }

    /// Returns the figures of a phase of `seconds` seconds between two snapshots.
    pub fn figures(&self, before: &Snapshot, after: &Snapshot, seconds: f64) -> RegionFigures {
        let rate = |counter: &dyn Fn(&Snapshot) -> u64| counter(after).saturating_sub(counter(before)) as f64 / seconds;
        let (mut leader, mut followers) = (Vec::new(), Vec::new());
        for (controller, settings) in self.controllers.borrow_mut().iter_mut().zip(&self.settings) {
            let Some(running) = &mut controller.running else { continue };
            let is_leader = after.leader.as_ref().is_some_and(|leader| leader.name == settings.name);
            let role = if is_leader { &mut leader } else { &mut followers };
            role.push(running.meter().usage());
        }
        let used = |process: &RefCell<ManagedProcess>| combined_usage([process.borrow_mut().meter().usage()]);
        let traffic = |snapshot: &Snapshot| snapshot.workers.traffic;
        let replicas = before.workers.replicas.max(1);
        let next_start = self.start_gap.get().and_then(|gap| gap.next_start());
        RegionFigures {
            workers: after.workers.machines,
            running: after.workers.running,
            one_leader: before.leader.is_some() && before.leader == after.leader,
            starts_per_s: rate(&|s| s.workers.started),
            reports_per_s: rate(&|s| traffic(s).heartbeats),
            reports_elsewhere_per_s: rate(&|s| traffic(s).redirected + traffic(s).failed),
            direct_per_s: rate(&|s| traffic(s).direct),
            bytes_per_s: rate(&|s| traffic(s).heartbeat_bytes + traffic(s).answer_bytes + traffic(s).direct_bytes),
            user_requests_per_s: rate(&|s| s.user_requests),
            state_requests_per_s: rate(&|s| s.state.requests),
            state_refused: after.state.refused.saturating_sub(before.state.refused),
            state_changes_per_s: rate(&|s| s.state.changes),
            state_keys: after.state.keys,
            killed: after.workers.killed.saturating_sub(before.workers.killed),
            leader: combined_usage(leader),
            followers: combined_usage(followers),
            state: used(&self.state),
            cloud: used(&self.cloud),
            worker_process: used(&self.workers),
            next_start_s: next_start.map(|time| time.as_secs_f64()),
            replicas_back: Some(after.workers.replicas as f64 / replicas as f64),
        }
    }
}
