//! The small cluster's fixed parts: zones, machine types, time limits, and the controllers'
//! settings.

use std::net::SocketAddr;

use coralnotch_wire::model::MachineType;
use fastrand::Rng;

use super::{Options, Size};
use crate::cloud::{self, Cloud};
use crate::faults::{Fault, Planned};
use crate::settings::{ClusterSettings, ControllerSettings, Team, WorkerTimes};
use crate::state::Limits;
use crate::worker_pool::{self, WorkerPool};

/// Zones, one controller in each.
pub(super) const ZONES: [&str; 3] = ["north", "east", "south"];
/// Intervals and leases in seconds, short ones: a job takes seconds from its submission to its end,
/// not minutes.
pub(super) const HEARTBEAT_INTERVAL_S: f64 = 1.0;
const LEASE_S: f64 = 10.0;
const GANG_WAIT_S: f64 = 15.0;
const GANG_PEER_S: f64 = 2.0;
const CANCEL_S: f64 = 20.0;
/// Requests a second that the cloud allows.
const CLOUD_RPS: f64 = 10.0;
/// Age of the cloud's list of machines, in seconds.
const LIST_LAG_S: f64 = 2.0;
/// Notice that the cloud gives before it reclaims a spot machine, in seconds.
const RECLAIM_NOTICE_S: f64 = 5.0;
/// Share of machines that do not boot.
const BOOT_FAILURE_SHARE: f64 = 0.02;
/// Memory of a controller in MB, as its settings say.
const MEMORY_MB: f64 = 136.0;

/// Addresses at which a controller will listen.
#[derive(Debug, Clone, Copy)]
pub(super) struct ControllerAddresses {
    /// For users and workers.
    pub(super) users: SocketAddr,
    /// For the other controllers.
    pub(super) peers: SocketAddr,
}

/// The machine types of the small cluster's cloud.
pub fn machine_types() -> Vec<MachineType> {
    let zones = ZONES.map(|zone| zone.into());
    let machine_type = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price * 0.4,
        boot_s: 2.0,
        zones: zones.to_vec(),
    };
    vec![machine_type("small", 4.0, 0.4), machine_type("large", 16.0, 1.5)]
}

/// The state service's limits after a fault, the same ones unless it changes them.
pub(super) fn limits_after(limits: Limits, fault: Fault) -> Limits {
    match fault {
        Fault::StateLimits { write_rps, value_kb, txn_ops } => {
            Limits { write_rps: write_rps as f64, value_kb: value_kb as f64, txn_ops, ..limits }
        }
        _ => limits,
    }
}

/// The lowest limits that the state service has now or after one of the faults.
fn lowest_limits<'a>(plan: impl Iterator<Item = &'a Planned>, size: &Size) -> Limits {
    let mut lowest = size.limits();
    for planned in plan {
        let limits = limits_after(lowest, planned.fault);
        lowest.write_rps = lowest.write_rps.min(limits.write_rps);
        lowest.value_kb = lowest.value_kb.min(limits.value_kb);
        lowest.txn_ops = lowest.txn_ops.min(limits.txn_ops);
    }
    lowest
}

/// The settings of the cluster's controllers; `plan` are the faults that will come.
pub(super) fn cluster_settings<'a>(
    addresses: &[ControllerAddresses],
    plan: impl Iterator<Item = &'a Planned>,
    size: &Size,
) -> ClusterSettings {
    let node = |(index, addresses): (usize, &ControllerAddresses)| ControllerSettings {
        name: controller_name(index),
        zone: ZONES[index].into(),
        bind: addresses.users,
        peer_bind: addresses.peers,
    };
    ClusterSettings {
        nodes: addresses.iter().enumerate().map(node).collect(),
        zones: ZONES.map(Into::into).to_vec(),
        teams: vec![Team { name: "demo".into(), cpus: 0.0, cpus_max: 0.0 }],
        workers: WorkerTimes {
            report_s: HEARTBEAT_INTERVAL_S,
            lease_s: LEASE_S,
            gang_wait_s: GANG_WAIT_S,
            gang_peer_s: GANG_PEER_S,
            cancel_s: CANCEL_S,
        },
        state: size.limits(),
        state_next: lowest_limits(plan, size),
        cloud_rps: CLOUD_RPS,
        list_lag_s: LIST_LAG_S,
        cores: size.cores,
        memory_mb: MEMORY_MB,
        sockets: size.sockets,
    }
}

pub(super) fn controller_name(index: usize) -> String {
    format!("node-{index}")
}

/// The cloud, with no machine rented yet.
pub(super) fn cloud(options: &Options) -> Cloud {
    Cloud::new(cloud::Settings {
        types: machine_types(),
        capacity: options.capacity,
        rps: CLOUD_RPS,
        list_lag_s: LIST_LAG_S,
        notice_s: RECLAIM_NOTICE_S,
        boot_fail: BOOT_FAILURE_SHARE,
    })
}

/// The workers, none of which is up yet.
pub(super) fn worker_pool(rng: Rng) -> WorkerPool {
    let settings = worker_pool::Settings { lease_s: LEASE_S, gang_wait_s: GANG_WAIT_S, gang_peer_s: GANG_PEER_S };
    WorkerPool::new(settings, 1.0, rng)
}
