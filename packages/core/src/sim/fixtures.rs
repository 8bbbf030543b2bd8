//! Fixtures shared by the unit tests of other modules: a leader's state, a heartbeat and a
//! machine type.

use super::*;

/// Returns the state of a new leader in the given term, with one machine type and no team
/// limits.
pub fn new_cluster(term: u64, now: Instant) -> Cluster {
    let config = Config::parse("sim", SETTINGS).expect("the example settings are valid");
    let policy = Arc::new(Policy::new(&config).expect("the default policy is valid"));
    let mut cluster = Cluster::new(term, policy, HashMap::new(), now);
    cluster.set_types(&[machine_type("t")]);
    cluster
}

/// Returns a heartbeat of a machine without tasks.
pub fn heartbeat(machine: &str, zone: &str, incarnation: u64, sequence: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: "127.0.0.1:9".into(),
        machine_type: "t".into(),
        zone: zone.into(),
        spot: false,
        incarnation,
        sequence,
        fencing_token: token,
        reclaim_in_s: None,
        tasks: vec![],
    }
}

/// Returns a machine type with 8 cores and 64 GB of memory that is available in every zone.
pub fn machine_type(name: &str) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.5,
        boot_s: 10.0,
        zones: vec![],
    }
}
