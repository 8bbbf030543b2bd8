//! Generates the settings files of a cluster's controllers, in the TOML form that `coralnotch serve`
//! reads.

use std::net::SocketAddr;

use crate::state::Limits;

/// The settings that differ between the controllers of a cluster.
#[derive(Debug, Clone)]
pub struct ControllerSettings {
    /// Host name of the controller, unique in the cluster.
    pub name: String,
    /// Name of the zone in which the controller runs.
    pub zone: String,
    /// Address on which the controller listens for users and workers.
    pub bind: SocketAddr,
    /// Address on which the controller listens for the other controllers.
    pub peer_bind: SocketAddr,
}

/// Time limits of the workers, all in seconds.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimes {
    /// Interval of a worker's heartbeats.
    pub report_s: f64,
    /// Duration of a worker's lease; a worker that gets no answer for so long kills its tasks.
    pub lease_s: f64,
    /// Time that a task of a gang waits for the other tasks.
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang detect the loss of one of them.  A checkpoint of the gang
    /// counts only if all of its tasks stop within this time.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job have left the machines.
    pub cancel_s: f64,
}

/// A team with its quotas of CPU cores; a value of 0 means that there is no quota.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name of the team, as jobs state it.
    pub name: String,
    /// Guaranteed CPU cores.
    pub cpus: f64,
    /// Maximum number of CPU cores at any time.
    pub cpus_max: f64,
}

/// The settings of a cluster, from which the file of each controller is generated.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// The settings of each controller, by its index.
    pub nodes: Vec<ControllerSettings>,
    /// Names of all zones of the cluster.
    pub zones: Vec<String>,
    /// Teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Time limits of the workers.
    pub workers: WorkerTimes,
    /// Limits of the state service at the start.
    pub state: Limits,
    /// Limits that the state service may have later without notice; its `rps` is not used.
    pub state_next: Limits,
    /// Rate limit of the cloud, in requests per second.
    pub cloud_rps: f64,
    /// Age of the machine list that the cloud returns, in seconds.
    pub list_lag_s: f64,
    /// CPU quota of each controller, in cores.
    pub cores: f64,
    /// Memory quota of each controller, in MB.
    pub memory_mb: f64,
    /// Number of sockets that each controller may open.
    pub sockets: usize,
}

impl ClusterSettings {
    /// Returns the text of the settings file of the controller `index`.  `state` and `cloud` are the
    /// addresses of the state service and of the cloud.
    ///
    /// # Panics
    ///
    /// Panics if there is no controller with this index.
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

/// Returns the section that describes another controller.
fn peer_section(peer: &ControllerSettings) -> String {
    let ControllerSettings { name, zone, peer_bind, .. } = peer;
    format!("[[siblings]]\nhost_name = \"{name}\"\ndomain = \"{zone}\"\naddr = \"{peer_bind}\"\n\n")
}

/// Returns the section that describes a team.
fn team_section(team: &Team) -> String {
    let Team { name, cpus, cpus_max } = team;
    format!("[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n\n")
}
