//! The fixed properties of the cluster that `up` runs: zones, machine types, time limits, and the
//! settings of the controllers.

use std::net::SocketAddr;

use coralnotch_wire::model::MachineType;
use fastrand::Rng;

use super::{ClusterLimits, Options};
use crate::cloud::{self, Cloud};
use crate::faults::{Fault, PlannedFault};
use crate::settings::{ClusterSettings, ControllerSettings, Team, WorkerTimes};
use crate::state::Limits;
use crate::worker_pool::{self, WorkerPool};

/// Names of the zones; each has one controller.
pub(super) const ZONES: [&str; 3] = ["north", "east", "south"];
/// Interval of a worker's heartbeats, in seconds.  All intervals and leases of this cluster are short
/// so that a job takes seconds from its submission to its end, not minutes.
pub(super) const HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Duration of a worker's lease, in seconds.
const LEASE_S: f64 = 10.0;
/// Time that a task of a gang waits for the other tasks to start, in seconds.
const GANG_WAIT_S: f64 = 15.0;
/// Time within which the tasks of a gang detect the loss of one of them, in seconds.  A checkpoint of
/// the gang counts only if all of its tasks stop within this time.
const GANG_PEER_S: f64 = 2.0;
/// Time within which the tasks of a cancelled job have left the machines, in seconds.
const CANCEL_S: f64 = 20.0;
/// Rate limit of the cloud, in requests per second.
const CLOUD_RPS: f64 = 10.0;
/// Age of the machine list that the cloud returns, in seconds.
const LIST_LAG_S: f64 = 2.0;
/// Nominal time from the cloud's notice until it reclaims a spot machine, in seconds.
const RECLAIM_NOTICE_S: f64 = 5.0;
/// Share of the rented machines that fail to boot, from 0 to 1.
const BOOT_FAILURE_SHARE: f64 = 0.02;
/// Memory quota in the settings of each controller, in MB; the emulator does not enforce it.
const MEMORY_MB: f64 = 136.0;

/// Addresses on which a controller listens.
#[derive(Debug, Clone, Copy)]
pub(super) struct ControllerAddresses {
    /// Address for users and workers.
    pub(super) users: SocketAddr,
    /// Address for the other controllers.
    pub(super) peers: SocketAddr,
}

/// Returns the machine types that the emulated cloud offers in `up` and in load runs.
pub fn machine_types() -> Vec<MachineType> {
    let zones = ZONES.map(|zone| zone.into());
    let machine_type = |name: &str, cpus: f64, price_per_hour: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price_per_hour,
        spot_price_per_hour: price_per_hour * 0.4,
        boot_s: 2.0,
        zones: zones.to_vec(),
    };
    vec![machine_type("small", 4.0, 0.4), machine_type("large", 16.0, 1.5)]
}

/// Returns the limits of the state service after `fault`; only [`Fault::StateLimits`] changes them.
pub(super) fn limits_after(limits: Limits, fault: Fault) -> Limits {
    match fault {
        Fault::StateLimits { write_rps, value_kb, txn_ops } => {
            Limits { write_rps: write_rps as f64, value_kb: value_kb as f64, txn_ops, ..limits }
        }
        _ => limits,
    }
}

/// Returns the lowest value of each limit of the state service, at the start or after any fault of
/// the plan.
fn lowest_limits<'a>(plan: impl Iterator<Item = &'a PlannedFault>, cluster_limits: &ClusterLimits) -> Limits {
    let mut lowest = cluster_limits.state_limits();
    for planned in plan {
        let limits = limits_after(lowest, planned.fault);
        lowest.write_rps = lowest.write_rps.min(limits.write_rps);
        lowest.value_kb = lowest.value_kb.min(limits.value_kb);
        lowest.txn_ops = lowest.txn_ops.min(limits.txn_ops);
    }
    lowest
}

/// Returns the settings of the controllers that listen on `addresses`.  The faults of `plan` determine
/// the lower limits that the settings announce for the state service.
pub(super) fn cluster_settings<'a>(
    addresses: &[ControllerAddresses],
    plan: impl Iterator<Item = &'a PlannedFault>,
    cluster_limits: &ClusterLimits,
) -> ClusterSettings {
    let controller = |(index, addresses): (usize, &ControllerAddresses)| ControllerSettings {
        name: controller_name(index),
        zone: ZONES[index].into(),
        bind: addresses.users,
        peer_bind: addresses.peers,
    };
    ClusterSettings {
        nodes: addresses.iter().enumerate().map(controller).collect(),
        zones: ZONES.map(Into::into).to_vec(),
        teams: vec![Team { name: "demo".into(), cpus: 0.0, cpus_max: 0.0 }],
        workers: WorkerTimes {
            report_s: HEARTBEAT_INTERVAL_S,
            lease_s: LEASE_S,
            gang_wait_s: GANG_WAIT_S,
            gang_peer_s: GANG_PEER_S,
            cancel_s: CANCEL_S,
        },
        state: cluster_limits.state_limits(),
        state_next: lowest_limits(plan, cluster_limits),
        cloud_rps: CLOUD_RPS,
        list_lag_s: LIST_LAG_S,
        cores: cluster_limits.cores,
        memory_mb: MEMORY_MB,
        sockets: cluster_limits.sockets,
    }
}

/// Returns the name of a controller in settings and file names.
pub(super) fn controller_name(index: usize) -> String {
    format!("node-{index}")
}

/// Creates the cloud, with no machine rented.
pub(super) fn cloud(options: &Options) -> Cloud {
    Cloud::new(cloud::Settings {
        types: machine_types(),
        capacity: options.capacity,
        rps: CLOUD_RPS,
        list_lag_s: LIST_LAG_S,
        reclaim_notice_s: RECLAIM_NOTICE_S,
        boot_failure_share: BOOT_FAILURE_SHARE,
    })
}

/// Creates the worker pool, with no worker running.
pub(super) fn worker_pool(rng: Rng) -> WorkerPool {
    let settings = worker_pool::Settings { lease_s: LEASE_S, gang_wait_s: GANG_WAIT_S, gang_peer_s: GANG_PEER_S };
    WorkerPool::new(settings, 1.0, rng)
}
