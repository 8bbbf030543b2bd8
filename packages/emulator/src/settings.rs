//! The settings files of a cluster's controllers.

use std::net::SocketAddr;

use crate::state::Limits;

/// A controller's place in its cluster.
#[derive(Debug, Clone)]
pub struct NodePlace {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where users and workers come.
    pub bind: SocketAddr,
    /// Where the other controllers come.
    pub peer_bind: SocketAddr,
}

/// How workers behave, all in seconds.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimes {
    /// Interval of reports.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// How long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// How quickly a gang notices a loss.
    pub gang_peer_s: f64,
    /// Within this a cancelled job is gone.
    pub cancel_s: f64,
}

/// A team with what is guaranteed to it and what it may use at most, in cores; 0 for none.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed cores.
    pub cpus: f64,
    /// Most cores.
    pub cpus_max: f64,
}

/// What all controllers of a cluster are told.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// The controllers.
    pub nodes: Vec<NodePlace>,
    /// Zones.
    pub zones: Vec<String>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Workers.
    pub workers: WorkerTimes,
    /// What the state service allows.
    pub state: Limits,
    /// What it allows from some moment on.
    pub state_next: Limits,
    /// What the cloud allows, in requests a second.
    pub cloud_rps: f64,
    /// How old the cloud's list is, in seconds.
    pub list_lag_s: f64,
    /// Share of a core for each controller.
    pub cores: f64,
    /// Memory of each, in MB.
    pub memory_mb: f64,
    /// Sockets of each.
    pub sockets: usize,
}

impl Cluster {
    /// The settings file of controller `i`.
    pub fn file(&self, i: usize, state: SocketAddr, cloud: SocketAddr) -> String {
        let node = &self.nodes[i];
        let NodePlace { name, zone, bind, peer_bind } = node;
        let siblings: String = (0..self.nodes.len()).filter(|j| *j != i).map(|j| sibling(&self.nodes[j])).collect();
        let teams: String = self.teams.iter().map(team).collect();
        let WorkerTimes { report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s } = self.workers;
        let Limits { rps, write_rps, value_kb, txn_ops } = self.state;
        let next = self.state_next;
        let (cloud_rps, list_lag_s, size, zones) = (self.cloud_rps, self.list_lag_s, self.nodes.len(), &self.zones);
        let (cores, memory_mb, sockets) = (self.cores, self.memory_mb, self.sockets);
        format!(
            "host_name = \"{name}\"\ndomain = \"{zone}\"\nbind = \"{bind}\"\npeer_bind = \"{peer_bind}\"\n\n{siblings}\
             [services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n\
             [deployment]\nsize = {size}\nzones = {zones:?}\n\n{teams}\
             [deployment.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = {gang_wait_s:?}\n\
             gang_peer_s = {gang_peer_s:?}\ncancel_s = {cancel_s:?}\n\n\
             [deployment.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n\n\
             [deployment.state.next]\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n\
             [deployment.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = {list_lag_s:?}\n\n\
             [deployment.quota]\ncores = {cores:?}\nram_mb = {memory_mb:?}\nfd_limit = {sockets}\n",
            next.write_rps, next.value_kb, next.txn_ops,
        )
    }
}

fn sibling(n: &NodePlace) -> String {
    format!("[[siblings]]\nhost_name = \"{}\"\ndomain = \"{}\"\naddr = \"{}\"\n\n", n.name, n.zone, n.peer_bind)
}

fn team(t: &Team) -> String {
    let Team { name, cpus, cpus_max } = t;
    format!("[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n\n")
}
