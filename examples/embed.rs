//! Example of a program that embeds the scheduling decisions of coralnotch.  It adds two machines and a
//! job to a cluster, runs a placement pass and prints the machine of each task.  It starts no process
//! and opens no socket.
//!
//! Run it with `cargo run --example embed -- settings.toml`.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use coralnotch::cluster::Cluster;
use coralnotch::config::Config;
use coralnotch::model::{JobSpec, MachineType, Priority, Shape};
use coralnotch::policy::Policy;
use coralnotch::workers::{Heartbeat, HeartbeatSource};

#[expect(clippy::too_many_lines, reason = "an example is read from top to bottom")]
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let file = std::env::args().nth(1).ok_or("usage: embed SETTINGS")?;
    let config = Config::load(Path::new(&file))?;
    let text =
        |list: Vec<_>| list.iter().map(|f: &coralnotch::policy::check::PolicyError| f.to_string()).collect::<String>();
    let policy = Policy::new(&config).map_err(text)?;

    let now = Instant::now();
    let mut cluster = Cluster::new(1, Arc::new(policy), HashMap::new(), now);
    cluster.set_types(&[MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.4,
        boot_s: 30.0,
        zones: vec!["a".into()],
    }]);
    for (name, spot) in [("i-000001", false), ("i-000002", true)] {
        let heartbeat = Heartbeat {
            machine: name.into(),
            address: "127.0.0.1:9000".into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot,
            incarnation: 1,
            sequence: 1,
            fencing_token: 0,
            reclaim_in_s: None,
            tasks: Vec::new(),
        };
        cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Worker, now);
    }
    let spec = JobSpec {
        id: "j-000001".into(),
        class: "demo".into(),
        team: "demo".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 5,
        cpus: 3.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img-01".into(),
        image_gb: 2.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread_by_zone: false,
        spot: true,
        estimated_run_time_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    cluster.add_job(Arc::new(spec), 1, None, now);
    for unplaced in cluster.run_placement_pass(now) {
        println!("{} tasks of {} cannot be placed", unplaced.count, unplaced.spec.id);
    }
    for (name, machine) in &cluster.machines {
        let tasks: Vec<String> = machine.tasks.keys().map(|task| task.to_string()).collect();
        println!("{name} (spot: {}) is assigned {}", machine.spot, tasks.join(", "));
    }
    Ok(())
}
