//! Starts the processes of a region and writes the settings of its controllers.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use coralnotch_wire::http::Client;
use coralnotch_wire::model::{MachineType, Name};

use super::{ControllerProcess, Region};
use crate::error::{Error, IoContext};
use crate::scale::process::ManagedProcess;
use crate::scale::role::Role;
use crate::scale::scenario::{Load, Scenario};
use crate::scale::users::{Measurements, Users};
use crate::settings::{ClusterSettings, ControllerSettings, Team, WorkerTimes};

/// A team's maximum of cores as a multiple of its equal share.
const TEAM_MAX_FACTOR: f64 = 40.0;
/// Machines that the cloud can rent out, as a multiple of the workers that the load fills.
const SPARE_MACHINE_FACTOR: f64 = 1.1;

/// Returns the two machine types.  Half of the workers have one accelerator; the others have as
/// many as are needed to reach the target's number of accelerators.
fn machine_types(scenario: &Scenario, zones: &[Name]) -> Vec<MachineType> {
    let target = &scenario.target;
    let cpus = target.tasks_per_worker as f64;
    let gpus = 2.0 * target.accelerators as f64 / target.workers as f64 - 1.0;
    let machine_type = |name: &str, gpus: f64, price_per_hour: f64| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price_per_hour,
        spot_price_per_hour: price_per_hour,
        boot_s: 2.0,
        zones: zones.to_vec(),
    };
    vec![machine_type("plain", 1.0, 1.0), machine_type("accelerated", gpus.floor().max(1.0), 1.2)]
}

/// Returns an address on `host` whose port is currently free.
fn free_address(host: IpAddr) -> Result<SocketAddr, Error> {
    let bound = TcpListener::bind((host, 0)).and_then(|listener| listener.local_addr());
    bound.context(format!("cannot find a free port on {host}"))
}

/// Returns the settings of a region's controllers, spread evenly over the zones.
fn controller_settings(
    region: usize,
    count: usize,
    zones: &[Name],
    host: IpAddr,
) -> Result<Vec<ControllerSettings>, Error> {
    let settings = |index: usize| {
        Ok(ControllerSettings {
            name: format!("r{region}-c{index}"),
            zone: zones[index % zones.len()].to_string(),
            bind: free_address(host)?,
            peer_bind: free_address(host)?,
        })
    };
    (0..count).map(settings).collect()
}

/// The processes of a region's services and the addresses on which they listen.
struct Services {
    state: ManagedProcess,
    state_control: SocketAddr,
    /// Addresses of the state service, one for each controller.
    state_services: Vec<SocketAddr>,
    cloud: ManagedProcess,
    cloud_control: SocketAddr,
    cloud_service: SocketAddr,
    workers: ManagedProcess,
    workers_control: SocketAddr,
}

/// Parameters for starting the services of a region.
struct ServiceConfig<'a> {
    scenario: &'a Scenario,
    load: &'a Load,
    /// Index of the region, from 0.
    number: usize,
    host: IpAddr,
    zones: &'a [Name],
    controllers: &'a [ControllerSettings],
    seed: u64,
    /// Directory of the settings files and logs.
    dir: &'a Path,
}

impl Services {
    fn start(config: &ServiceConfig<'_>) -> Result<Services, Error> {
        let ServiceConfig { host, seed, dir, .. } = *config;
        let region = &config.scenario.region;
        let types = machine_types(config.scenario, config.zones);
        let process_name = |service: &str| format!("r{}-{service}", config.number);
        let role = Role::Workers {
            host,
            types: types.clone(),
            controllers: config.controllers.iter().map(|settings| (settings.name.clone(), settings.bind)).collect(),
            report_s: region.report_s,
            lease_s: region.lease_s,
            gang_wait_s: region.gang_wait_s,
            gang_peer_s: region.gang_peer_s,
            seed,
        };
        let (workers, addresses) = ManagedProcess::start(&role, dir, &process_name("workers"))?;
        let workers_control = address(&addresses, 0)?;
        let filled = config.load.workers as f64 * SPARE_MACHINE_FACTOR;
        let role = Role::Cloud {
            host,
            types,
            capacity: (filled / (2 * config.zones.len()) as f64).ceil() as usize,
            rps: region.cloud_rps,
            list_lag_s: region.list_lag_s,
            workers: workers_control,
            seed,
        };
        let (cloud, addresses) = ManagedProcess::start(&role, dir, &process_name("cloud"))?;
        let (cloud_control, cloud_service) = (address(&addresses, 0)?, address(&addresses, 1)?);
        let role = Role::State { host, listeners: config.controllers.len(), limits: region.state };
        let (state, mut addresses) = ManagedProcess::start(&role, dir, &process_name("state"))?;
        let state_control = address(&addresses, 0)?;
        let state_services = addresses.split_off(1);
        let services = Services {
            state,
            state_control,
            state_services,
            cloud,
            cloud_control,
            cloud_service,
            workers,
            workers_control,
        };
        Ok(services)
    }

    /// Writes the settings file of each controller.
    fn write_settings(&self, config: &ServiceConfig<'_>) -> Result<(), Error> {
        let cluster = cluster_settings(config);
        for (index, settings) in config.controllers.iter().enumerate() {
            let file = config.dir.join(format!("{}.toml", settings.name));
            let text = cluster.controller_file(index, address(&self.state_services, index)?, self.cloud_service);
            std::fs::write(&file, text).context(file.display().to_string())?;
        }
        Ok(())
    }
}

impl Region {
    /// Starts all processes of the region with index `number`, sized for the fraction `part` of the
    /// target.
    pub fn start(
        scenario: &Scenario,
        part: f64,
        number: usize,
        program: &Path,
        dir: &Path,
        measurements: Rc<Measurements>,
    ) -> Result<Region, Error> {
        let target = &scenario.target;
        let host = IpAddr::V4(Ipv4Addr::new(127, 0, (number + 1) as u8, 1));
        let share = |all: usize| (number + 1) * all / target.regions - number * all / target.regions;
        let zones: Vec<Name> = (0..share(target.zones)).map(|zone| format!("r{number}-z{zone}").into()).collect();
        let settings = controller_settings(number, share(target.controllers), &zones, host)?;
        let load = scenario.load(part);
        let seed = scenario.seed + number as u64;
        let config =
            ServiceConfig { scenario, load: &load, number, host, zones: &zones, controllers: &settings, seed, dir };
        let services = Services::start(&config)?;
        services.write_settings(&config)?;
        let Services { state, state_control, cloud, cloud_control, workers, workers_control, .. } = services;
        let controller_addresses = settings.iter().map(|settings| settings.bind).collect();
        let start_now = |_| ControllerProcess { running: None, start_at: Some(Instant::now()) };
        let region = Region {
            users: Users::new(number, target.teams, workers_control, controller_addresses, load, measurements, seed),
            zones,
            controllers: RefCell::new(settings.iter().map(start_now).collect()),
            settings,
            state: RefCell::new(state),
            cloud: RefCell::new(cloud),
            workers: RefCell::new(workers),
            state_control,
            cloud_control,
            workers_control,
            client: Client::new(8),
            dir: dir.to_owned(),
            program: program.to_owned(),
            start_gap: Cell::new(None),
        };
        region.supervise()?;
        Ok(region)
    }
}

fn address(addresses: &[SocketAddr], index: usize) -> Result<SocketAddr, Error> {
    let address = addresses.get(index).copied();
    address.ok_or_else(|| Error::Failed("a process printed fewer listen addresses than expected".into()))
}

/// Returns the settings that all controllers of a region share.
fn cluster_settings(config: &ServiceConfig<'_>) -> ClusterSettings {
    let (region, target) = (&config.scenario.region, &config.scenario.target);
    let share = (config.load.workers * target.tasks_per_worker) as f64 / target.teams as f64;
    let team = |index: usize| Team {
        name: format!("team-{index:04}"),
        cpus: share,
        cpus_max: (share * TEAM_MAX_FACTOR).max(TEAM_MAX_FACTOR * 2.0),
    };
    ClusterSettings {
        nodes: config.controllers.to_vec(),
        zones: config.zones.iter().map(|zone| zone.to_string()).collect(),
        teams: (0..target.teams).map(team).collect(),
        workers: WorkerTimes {
            report_s: region.report_s,
            lease_s: region.lease_s,
            gang_wait_s: region.gang_wait_s,
            gang_peer_s: region.gang_peer_s,
            cancel_s: region.cancel_s,
        },
        state: region.state.limits(),
        state_next: region.state.limits(),
        cloud_rps: region.cloud_rps,
        list_lag_s: region.list_lag_s,
        cores: region.cores,
        memory_mb: region.memory_mb,
        sockets: region.sockets,
    }
}
