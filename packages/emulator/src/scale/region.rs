//! One region of a run: its processes, and what was measured of them.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{MachineType, Name};
use serde::Deserialize;

use super::control::{self, StateStats, WorkerStats};
use super::process::{together, Running};
use super::result::RegionFigures;
use super::role::Role;
use super::scenario::{Load, Scenario};
use super::users::{Notes, Users};
use crate::error::Error;
use crate::settings::{ClusterSettings, ControllerSettings, Team, WorkerTimes};

/// A controller that was ended is started again after this.
const RESTART: Duration = Duration::from_secs(3);
/// A team may use so many times its share.
const TEAM_MOST: f64 = 40.0;
/// Machines beside those that the load fills.
const SPARE: f64 = 1.1;
/// How long a controller may take to say how it stands.
const STATUS_LIMIT: Duration = Duration::from_secs(2);
/// Without a start for so long, starts have ceased.
const QUIET: Duration = Duration::from_secs(1);

/// Who leads, and in which term.
pub type Leader = (String, u64);

#[derive(Debug, Default, Deserialize)]
struct LeadingPart {
    #[serde(default)]
    term: u64,
}

/// The part of a controller's status that matters here.
#[derive(Debug, Deserialize)]
struct StatusPart {
    name: String,
    #[serde(default)]
    leading: Option<LeadingPart>,
}

/// Figures at one moment, all counted from the start of the processes.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The workers.
    pub workers: WorkerStats,
    state: StateStats,
    user_requests: u64,
    leader: Option<Leader>,
}

impl Snapshot {
    /// Who led.
    pub fn leader(&self) -> &Option<Leader> {
        &self.leader
    }
}

/// What a fault of this phase is measured by.
#[derive(Debug, Clone, Copy)]
struct Gap {
    since: Instant,
    started: u64,
    last: Instant,
    quiet: bool,
    next_start: Option<Duration>,
}

/// A region.
pub struct Region {
    /// Its zones.
    pub zones: Vec<Name>,
    /// Its users.
    pub users: Rc<Users>,
    nodes: Vec<ControllerSettings>,
    controllers: RefCell<Vec<Option<Running>>>,
    /// When each controller that was ended is started again.
    due: RefCell<Vec<Option<Instant>>>,
    state: RefCell<Running>,
    cloud: RefCell<Running>,
    workers: RefCell<Running>,
    state_at: SocketAddr,
    cloud_at: SocketAddr,
    workers_at: SocketAddr,
    client: Client,
    dir: PathBuf,
    program: PathBuf,
    gap: Cell<Option<Gap>>,
}

/// The machine types: half of the workers have one accelerator, the others as many as make up
/// the target's.
fn types(s: &Scenario, zones: &[Name]) -> Vec<MachineType> {
    let t = &s.target;
    let cpus = t.tasks_per_worker as f64;
    let gpus = 2.0 * t.accelerators as f64 / t.workers as f64 - 1.0;
    let one = |name: &str, gpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price,
        boot_s: 2.0,
        zones: zones.to_vec(),
    };
    vec![one("plain", 1.0, 1.0), one("accelerated", gpus.floor().max(1.0), 1.2)]
}

/// An address on this host that is free now.
fn free(host: IpAddr) -> Result<SocketAddr, Error> {
    let bound = TcpListener::bind((host, 0)).and_then(|l| l.local_addr());
    bound.map_err(|error| Error::Io { what: format!("a free port on {host}"), error })
}

/// Settings of a region's controllers, which are spread over its zones.
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
            bind: free(host)?,
            peer_bind: free(host)?,
        })
    };
    (0..count).map(settings).collect()
}

impl Region {
    /// Starts all processes of region `n`.
    pub fn start(
        s: &Scenario,
        part: f64,
        n: usize,
        program: &Path,
        dir: &Path,
        notes: Rc<Notes>,
    ) -> Result<Region, Error> {
        let host = IpAddr::V4(Ipv4Addr::new(127, 0, (n + 1) as u8, 1));
        let share = |all: usize| (n + 1) * all / s.target.regions - n * all / s.target.regions;
        let zones: Vec<Name> = (0..share(s.target.zones)).map(|z| format!("r{n}-z{z}").into()).collect();
        let nodes = controller_settings(n, share(s.target.controllers), &zones, host)?;
        let (load, types) = (s.load(part), types(s, &zones));
        let seed = s.seed + n as u64;
        let r = &s.region;
        let role = Role::Workers {
            host,
            types: types.clone(),
            controllers: nodes.iter().map(|c| (c.name.clone(), c.bind)).collect(),
            report_s: r.report_s,
            lease_s: r.lease_s,
            gang_wait_s: r.gang_wait_s,
            gang_peer_s: r.gang_peer_s,
            seed,
        };
        let (workers, at) = Running::start(&role, dir, &format!("r{n}-workers"))?;
        let workers_at = address(&at, 0)?;
        let capacity = (load.workers as f64 * SPARE / (2 * zones.len()) as f64).ceil() as usize;
        let (rps, list_lag_s) = (r.cloud_rps, r.list_lag_s);
        let role = Role::Cloud { host, types, capacity, rps, list_lag_s, workers: workers_at, seed };
        let (cloud, at) = Running::start(&role, dir, &format!("r{n}-cloud"))?;
        let (cloud_at, cloud_service) = (address(&at, 0)?, address(&at, 1)?);
        let role = Role::State { host, listeners: nodes.len(), limits: r.state };
        let (state, states) = Running::start(&role, dir, &format!("r{n}-state"))?;
        let cluster = cluster(s, &load, &nodes, &zones);
        for (i, node) in nodes.iter().enumerate() {
            let file = dir.join(format!("{}.toml", node.name));
            let text = cluster.controller_file(i, address(&states, i + 1)?, cloud_service);
            std::fs::write(&file, text).map_err(|error| Error::Io { what: file.display().to_string(), error })?;
        }
        let binds = nodes.iter().map(|c| c.bind).collect();
        let region = Region {
            users: Users::new(n, s.target.teams, workers_at, binds, load, notes, seed),
            zones,
            controllers: RefCell::new(nodes.iter().map(|_| None).collect()),
            due: RefCell::new(nodes.iter().map(|_| Some(Instant::now())).collect()),
            nodes,
            state: RefCell::new(state),
            cloud: RefCell::new(cloud),
            workers: RefCell::new(workers),
            state_at: address(&states, 0)?,
            cloud_at,
            workers_at,
            client: Client::new(8),
            dir: dir.to_owned(),
            program: program.to_owned(),
            gap: Cell::new(None),
        };
        region.keep()?;
        Ok(region)
    }

    /// Starts controllers whose time has come; an error if something ended by itself.
    pub fn keep(&self) -> Result<(), Error> {
        let now = Instant::now();
        for (what, p) in [("state service", &self.state), ("cloud", &self.cloud), ("workers", &self.workers)] {
            if let Some(status) = p.borrow_mut().ended() {
                return Err(Error::Failed(format!("the {what} of {} ended: {status}", self.dir.display())));
            }
        }
        for i in 0..self.nodes.len() {
            if let Some(status) = self.controllers.borrow_mut()[i].as_mut().and_then(Running::ended) {
                return Err(Error::Failed(format!("{} ended by itself: {status}", self.nodes[i].name)));
            }
            if self.due.borrow()[i].is_some_and(|t| t <= now) {
                self.due.borrow_mut()[i] = None;
                self.start_controller(i)?;
            }
        }
        Ok(())
    }

    fn start_controller(&self, i: usize) -> Result<(), Error> {
        let name = &self.nodes[i].name;
        let role = Role::Controller {
            program: self.program.clone(),
            settings: self.dir.join(format!("{name}.toml")),
            log: self.dir.join(format!("{name}.log")),
        };
        let running = Running::start_controller(&role, &self.dir, name)?;
        self.controllers.borrow_mut()[i] = Some(running);
        Ok(())
    }

    /// Ends controllers; each is started again after `pause`, or with a later call if `None`.
    fn end(&self, which: impl Fn(&ControllerSettings) -> bool, pause: Option<Duration>) {
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| which(n)) {
            tracing::info!("ends {}", node.name);
            if let Some(mut c) = self.controllers.borrow_mut()[i].take() {
                c.kill();
            }
            self.due.borrow_mut()[i] = pause.map(|p| Instant::now() + p);
        }
    }

    /// Ends the leader.
    pub fn end_leader(&self, leader: &Option<Leader>, started: u64) {
        if let Some((name, _)) = leader {
            self.end(|n| n.name == *name, Some(RESTART));
            self.expect_gap(started);
        }
    }

    /// Ends all controllers.
    pub fn end_all(&self, started: u64) {
        self.end(|_| true, Some(RESTART));
        self.expect_gap(started);
    }

    fn expect_gap(&self, started: u64) {
        let since = Instant::now();
        self.gap.set(Some(Gap { since, started, last: since, quiet: false, next_start: None }));
    }

    /// Whether a pause of starts is being measured.
    pub fn expects_start(&self) -> bool {
        self.gap.get().is_some_and(|g| g.next_start.is_none())
    }

    /// So many tasks had started by now.
    pub fn started(&self, started: u64) {
        let Some(mut g) = self.gap.get() else { return };
        let now = Instant::now();
        if started > g.started {
            if g.quiet && g.next_start.is_none() {
                g.next_start = Some(now - g.since);
            }
            (g.started, g.last) = (started, now);
        }
        g.quiet |= now - g.last > QUIET;
        self.gap.set(Some(g));
    }

    /// Lets machines die.
    pub async fn kill_machines(&self, count: usize) -> Result<usize, Error> {
        let sent = control::send(&self.client, self.cloud_at, control::path::KILL, &control::Kill { count }).await;
        sent.map(|d: control::Done| d.machines).map_err(Error::Failed)
    }

    /// A zone fails with its machines and controllers, or is back.
    pub async fn change_zone(&self, zone: &Name, closed: bool) -> Result<(), Error> {
        if closed {
            self.end(|n| n.zone == **zone, None);
        } else {
            let gone = |i: usize| self.controllers.borrow()[i].is_none();
            for i in (0..self.nodes.len()).filter(|i| gone(*i)) {
                self.due.borrow_mut()[i] = Some(Instant::now());
            }
        }
        let change = control::ZoneChange { zone: zone.clone(), closed };
        let sent = control::send(&self.client, self.cloud_at, control::path::ZONE, &change).await;
        sent.map(|_: control::Done| ()).map_err(Error::Failed)
    }

    /// The workers' figures now.
    pub async fn worker_stats(&self) -> Result<WorkerStats, Error> {
        control::stats(&self.client, self.workers_at).await.map_err(Error::Failed)
    }

    /// All figures now.
    pub async fn snapshot(&self) -> Result<Snapshot, Error> {
        Ok(Snapshot {
            leader: self.leader().await,
            workers: self.worker_stats().await?,
            state: control::stats(&self.client, self.state_at).await.map_err(Error::Failed)?,
            user_requests: self.users.requests.get(),
        })
    }

    /// Who leads by its own word.
    pub async fn leader(&self) -> Option<Leader> {
        for node in &self.nodes {
            let answer = self.client.send(node.bind, "GET", "/v2/status", None, STATUS_LIMIT).await;
            let Ok((200, body)) = answer else { continue };
            if let Ok(StatusPart { name, leading: Some(l) }) = http::decode(&body) {
                return Some((name, l.term));
            }
        }
        None
    }

    /// A phase begins.
    pub fn begin(&self) {
        self.gap.set(None);
        self.each_meter(|m| m.begin());
    }

    /// Notes what all processes use; the memory that they hold together, in MB.
    pub fn sample(&self) -> f64 {
        let mut sum = 0.0;
        self.each_meter(|m| sum += m.sample());
        sum
    }

    fn each_meter(&self, mut work: impl FnMut(&mut super::process::Meter)) {
        for p in [&self.state, &self.cloud, &self.workers] {
            work(p.borrow_mut().meter());
        }
        for c in self.controllers.borrow_mut().iter_mut().flatten() {
            work(c.meter());
        }
    }

    /// What came of a phase that lasted so long.
    pub fn figures(&self, before: &Snapshot, after: &Snapshot, seconds: f64) -> RegionFigures {
        let rate = |f: &dyn Fn(&Snapshot) -> u64| f(after).saturating_sub(f(before)) as f64 / seconds;
        let leads = |i: usize| after.leader.as_ref().is_some_and(|l| l.0 == self.nodes[i].name);
        let (mut leader, mut followers) = (Vec::new(), Vec::new());
        for (i, c) in self.controllers.borrow_mut().iter_mut().enumerate() {
            let Some(c) = c else { continue };
            let used = c.meter().used();
            if leads(i) {
                leader.push(used);
            } else {
                followers.push(used);
            }
        }
        let used = |p: &RefCell<Running>| together([p.borrow_mut().meter().used()]);
        let traffic = |s: &Snapshot| s.workers.traffic;
        let replicas = before.workers.replicas.max(1);
        let gap = self.gap.get();
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
            leader: together(leader),
            followers: together(followers),
            state: used(&self.state),
            cloud: used(&self.cloud),
            worker_process: used(&self.workers),
            next_start_s: gap.and_then(|g| g.next_start).map(|d| d.as_secs_f64()),
            replicas_back: Some(after.workers.replicas as f64 / replicas as f64),
        }
    }
}

fn address(list: &[SocketAddr], i: usize) -> Result<SocketAddr, Error> {
    list.get(i).copied().ok_or_else(|| Error::Failed("a process told too few addresses".into()))
}

/// What the controllers of a region are told.
fn cluster(s: &Scenario, load: &Load, nodes: &[ControllerSettings], zones: &[Name]) -> ClusterSettings {
    let r = &s.region;
    let share = (load.workers * s.target.tasks_per_worker) as f64 / s.target.teams as f64;
    let team = |i: usize| Team {
        name: format!("team-{i:04}"),
        cpus: share,
        cpus_max: (share * TEAM_MOST).max(TEAM_MOST * 2.0),
    };
    ClusterSettings {
        nodes: nodes.to_vec(),
        zones: zones.iter().map(|z| z.to_string()).collect(),
        teams: (0..s.target.teams).map(team).collect(),
        workers: WorkerTimes {
            report_s: r.report_s,
            lease_s: r.lease_s,
            gang_wait_s: r.gang_wait_s,
            gang_peer_s: r.gang_peer_s,
            cancel_s: r.cancel_s,
        },
        state: r.state.limits(),
        state_next: r.state.limits(),
        cloud_rps: r.cloud_rps,
        list_lag_s: r.list_lag_s,
        cores: r.cores,
        memory_mb: r.memory_mb,
        sockets: r.sockets,
    }
}
