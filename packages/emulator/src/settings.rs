//! The settings files of a cluster's controllers, in the form that `coralnotch serve` reads.

use std::net::SocketAddr;

use crate::state::Limits;

/// What differs between the controllers of a cluster.
#[derive(Debug, Clone)]
pub struct ControllerSettings {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for users and workers.
    pub bind: SocketAddr,
    /// Address for the other controllers.
    pub peer_bind: SocketAddr,
}

/// Time limits of the workers, all in seconds.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimes {
    /// Interval of heartbeats.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// How long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// How quickly a gang notices a loss.
    pub gang_peer_s: f64,
    /// A cancelled job has left the machines within this time.
    pub cancel_s: f64,
}

/// A team with its quota in cores; 0 for none.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed cores.
    pub cpus: f64,
    /// Limit of cores.
    pub cpus_max: f64,
}

/// Settings that all controllers of a cluster share.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// The controllers.
    pub nodes: Vec<ControllerSettings>,
    /// Zones.
    pub zones: Vec<String>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Time limits of the workers.
    pub workers: WorkerTimes,
    /// What the state service allows.
    pub state: Limits,
    /// Lower limits that it may have later without notice.
    pub state_next: Limits,
    /// Requests a second that the cloud allows.
    pub cloud_rps: f64,
    /// Age of the cloud's list of machines, in seconds.
    pub list_lag_s: f64,
    /// Share of a core for each controller.
    pub cores: f64,
    /// Memory of each controller, in MB.
    pub memory_mb: f64,
    /// Sockets that each may open.
    pub sockets: usize,
}

impl ClusterSettings {
    /// The settings file of one controller, for a state service and a cloud at these addresses.
    pub fn controller_file(&self, index: usize, state: SocketAddr, cloud: SocketAddr) -> String {
        let ControllerSettings { name, zone, bind, peer_bind } = &self.nodes[index];
        let peers = self.nodes.iter().enumerate().filter(|(peer, _)| *peer != index);
        let peers: String = peers.map(|(_, peer)| peer_section(peer)).collect();
        let teams: String = self.teams.iter().map(team_section).collect();
        let WorkerTimes { report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s } = self.workers;
        let Limits { rps, write_rps, value_kb, txn_ops } = self.state;
        let next = self.state_next;
        let (cloud_rps, list_lag_s, size, zones) = (self.cloud_rps, self.list_lag_s, self.nodes.len(), &self.zones);
        let (cores, memory_mb, sockets) = (self.cores, self.memory_mb, self.sockets);
        format!(
            "host_name = \"{name}\"\ndomain = \"{zone}\"\nbind = \"{bind}\"\npeer_bind = \"{peer_bind}\"\n\n{peers}\
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

fn peer_section(peer: &ControllerSettings) -> String {
    let ControllerSettings { name, zone, peer_bind, .. } = peer;
    format!("[[siblings]]\nhost_name = \"{name}\"\ndomain = \"{zone}\"\naddr = \"{peer_bind}\"\n\n")
}

fn team_section(team: &Team) -> String {
    let Team { name, cpus, cpus_max } = team;
    format!("[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n\n")
}
