//! A cluster on one machine: the stand-ins in this process, and controllers as
//! processes of their own.

use std::collections::{HashMap, VecDeque};
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::example;
use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{JobSpec, JobState, MachineType, Name};
use fastrand::Rng;
use futures_lite::future::or;
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use smol::LocalExecutor;

use crate::cloud::{self, Cloud};
use crate::faults::{self, Fault, Planned};
use crate::serve::{Controller, World};
use crate::settings::{Cluster, NodePlace, Team, WorkerTimes};
use crate::state::{Limits, State};
use crate::worker_pool::{self, WorkerPool};

/// Zones, one controller in each.
const ZONES: [&str; 3] = ["north", "east", "south"];
/// Intervals and leases of the small cluster, in seconds: a job's way through
/// it takes seconds, not minutes.
const REPORT_S: f64 = 1.0;
const LEASE_S: f64 = 10.0;
const GANG_WAIT_S: f64 = 15.0;
const GANG_PEER_S: f64 = 2.0;
const CANCEL_S: f64 = 20.0;
/// What the cloud allows.
const CLOUD_RPS: f64 = 10.0;
const LIST_LAG_S: f64 = 2.0;
/// Memory of a controller, as its settings say.
const MEMORY_MB: f64 = 136.0;
/// A controller that ended is started again after this.
const RESTART: Duration = Duration::from_secs(2);
/// Interval of looks at processes and at the plan of faults.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Within this the cluster has to be ready.
const READY: Duration = Duration::from_secs(30);

/// What `up` is to do.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Where users come: port of the load balancer, 0 for any that is free.
    #[arg(long, default_value_t = 7070)]
    pub port: u16,
    /// The controller program; beside this program if not given.
    #[arg(long)]
    pub controller: Option<PathBuf>,
    /// The program that a controller comes back with after a fault `upgrade`;
    /// the same if not given.
    #[arg(long)]
    pub upgrade: Option<PathBuf>,
    /// Directory for settings and logs; a new one under the temporary
    /// directory if not given.
    #[arg(long)]
    pub dir: Option<PathBuf>,
    /// Seed of the stand-ins' chances.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Machines of each type, zone and kind that can be rented.
    #[arg(long, default_value_t = 4)]
    pub capacity: usize,
    /// Submit a job at once and follow it.
    #[arg(long)]
    pub demo: bool,
    /// Faults at given times, see docs/emulator.md.
    #[arg(long)]
    pub faults: Option<PathBuf>,
    /// How much the services allow.
    #[arg(skip)]
    pub size: Size,
    /// Faults beside those of the file.
    #[arg(skip)]
    pub plan: Vec<Planned>,
    /// With --demo: end when the job is done.
    #[arg(long, requires = "demo")]
    pub exit: bool,
}

/// The size of the cluster's services.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Requests a second that the state service allows.
    pub state_rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Sockets of each controller.
    pub sockets: usize,
    /// Share of a core for each controller, as its settings say; nothing here
    /// enforces it.
    pub cores: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size { state_rps: 300.0, write_rps: 100.0, sockets: 1000, cores: 0.5 }
    }
}

impl Size {
    fn limits(&self) -> Limits {
        Limits { rps: self.state_rps, write_rps: self.write_rps, value_kb: 16.0, txn_ops: 24 }
    }
}

/// Why there is no cluster.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// What was given can't be used.
    #[error("{0}")]
    Input(String),
    /// The machine refused something.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// Its error.
        error: io::Error,
    },
    /// It did not get ready, or the job did not get done.
    #[error("{0}")]
    Failed(String),
}

fn tried<T>(what: impl Into<String>, r: io::Result<T>) -> Result<T, Error> {
    r.map_err(|error| Error::Io { what: what.into(), error })
}

/// What came of a cluster's life.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks killed by the lease of their worker.
    pub killed: u64,
    /// What the machines cost, in the types' currency.
    pub cost: f64,
    /// Rules that were seen broken.
    pub broken: Vec<String>,
    /// Users' requests by second, from when the cluster was ready.
    pub per_second: Vec<u64>,
    /// Keys that the state service held at the end.
    pub keys: Vec<String>,
    /// When each job's last task completed.
    pub completed: HashMap<Name, Instant>,
}

/// Controllers' processes; they end with this.
struct Processes {
    program: PathBuf,
    /// What it is after an upgrade, and who had that.
    upgrade: PathBuf,
    upgraded: Vec<bool>,
    /// The state service's limits now.
    limits: Limits,
    dir: PathBuf,
    running: Vec<Option<Child>>,
    ended: Vec<Option<Instant>>,
    /// Nothing is started before.
    down_until: Option<Instant>,
}

impl Processes {
    /// None is running yet.
    fn new(options: &Options, program: PathBuf, dir: PathBuf) -> Processes {
        Processes {
            upgrade: options.upgrade.clone().unwrap_or_else(|| program.clone()),
            upgraded: vec![false; ZONES.len()],
            limits: options.size.limits(),
            program,
            dir,
            running: ZONES.iter().map(|_| None).collect(),
            ended: ZONES.iter().map(|_| None).collect(),
            down_until: None,
        }
    }

    fn start(&mut self, i: usize) -> Result<(), Error> {
        let settings = self.dir.join(format!("node-{i}.toml"));
        let log = self.dir.join(format!("node-{i}.log"));
        let open = fs::OpenOptions::new().create(true).append(true).open(&log);
        let log = tried(log.display().to_string(), open)?;
        let program = if self.upgraded[i] { &self.upgrade } else { &self.program };
        let child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.running[i] = Some(tried(program.display().to_string(), child)?);
        Ok(())
    }

    /// Kills a controller; it is started again like any that ended.
    fn crash(&mut self, i: usize) {
        if let Some(c) = self.running.get_mut(i).and_then(Option::as_mut) {
            let _ = c.kill();
        }
    }

    /// Starts again what ended a while ago.
    fn watch(&mut self, now: Instant) -> Result<(), Error> {
        for i in 0..self.running.len() {
            if let Some(Ok(Some(status))) = self.running[i].as_mut().map(Child::try_wait) {
                say(&format!("node-{i} ended ({status}); see {}", self.dir.join(format!("node-{i}.log")).display()));
                (self.running[i], self.ended[i]) = (None, Some(now));
            }
            let down = self.down_until.is_some_and(|t| now < t);
            if !down && self.ended[i].is_some_and(|t| now.saturating_duration_since(t) > RESTART) {
                self.ended[i] = None;
                self.start(i)?;
            }
        }
        Ok(())
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for c in self.running.iter_mut().flatten() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

fn say(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// The types that the small cloud has.
pub fn types() -> Vec<MachineType> {
    let zones = ZONES.map(|z| z.into());
    let one = |name: &str, cpus: f64, price: f64| MachineType {
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
    vec![one("small", 4.0, 0.4), one("large", 16.0, 1.5)]
}

/// Limits as a fault makes them.
fn later(limits: &mut Limits, fault: Fault) {
    if let Fault::StateLimits { write_rps, value_kb, txn_ops } = fault {
        (limits.write_rps, limits.value_kb, limits.txn_ops) = (write_rps as f64, value_kb as f64, txn_ops);
    }
}

/// The least that the service allows now or after a fault.
fn least(plan: &VecDeque<Planned>, size: &Size) -> Limits {
    let mut limits = size.limits();
    for p in plan.iter().filter(|p| matches!(p.fault, Fault::StateLimits { .. })) {
        let mut l = limits;
        later(&mut l, p.fault);
        limits.write_rps = limits.write_rps.min(l.write_rps);
        limits.value_kb = limits.value_kb.min(l.value_kb);
        limits.txn_ops = limits.txn_ops.min(l.txn_ops);
    }
    limits
}

/// What the controllers are told.
fn cluster(binds: &[(SocketAddr, SocketAddr)], plan: &VecDeque<Planned>, size: &Size) -> Cluster {
    let node = |(i, (bind, peer_bind)): (usize, &(SocketAddr, SocketAddr))| NodePlace {
        name: format!("node-{i}"),
        zone: ZONES[i].into(),
        bind: *bind,
        peer_bind: *peer_bind,
    };
    Cluster {
        nodes: binds.iter().enumerate().map(node).collect(),
        zones: ZONES.map(Into::into).to_vec(),
        teams: vec![Team { name: "demo".into(), cpus: 0.0, cpus_max: 0.0 }],
        workers: WorkerTimes {
            report_s: REPORT_S,
            lease_s: LEASE_S,
            gang_wait_s: GANG_WAIT_S,
            gang_peer_s: GANG_PEER_S,
            cancel_s: CANCEL_S,
        },
        state: size.limits(),
        state_next: least(plan, size),
        cloud_rps: CLOUD_RPS,
        list_lag_s: LIST_LAG_S,
        cores: size.cores,
        memory_mb: MEMORY_MB,
        sockets: size.sockets,
    }
}

/// An address that is free now.
fn free() -> Result<SocketAddr, Error> {
    let bound = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    tried("a free port", bound)
}

/// The controller program, if it is there.
pub(crate) fn program(given: Option<&Path>) -> Result<PathBuf, Error> {
    let beside = || std::env::current_exe().ok().map(|p| p.with_file_name("coralnotch"));
    let path = given.map(Path::to_owned).or_else(beside).unwrap_or_else(|| "coralnotch".into());
    match path.is_file() {
        true => Ok(path),
        false => Err(Error::Input(format!(
            "{} is not there: build it with `cargo build --release --workspace`, or name it with --controller",
            path.display()
        ))),
    }
}

/// The job that `--demo` submits.
fn demo() -> JobSpec {
    // the protocol's form; the time makes it new to the state service
    let id = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(1, |d| d.as_millis());
    JobSpec {
        class: "demo".into(),
        team: "demo".into(),
        image: "demo-image".into(),
        image_gb: 0.5,
        estimate_s: 4.0,
        ..(*example::spec(&format!("j-{id}"), 12)).clone()
    }
}

/// Submits a job and prints each change until it is over.
async fn follow(to: SocketAddr, spec: &JobSpec) -> Result<(), Error> {
    let (client, began, limit) = (Client::default(), Instant::now(), Duration::from_secs(5));
    let since = || format!("{:5.1} s", began.elapsed().as_secs_f64());
    loop {
        match client.send(to, "POST", "/v2/runs", Some(&http::encode(spec)), limit).await {
            Ok((200 | 201, _)) => break,
            Ok((status @ (400 | 422), _)) => return Err(Error::Failed(format!("{} is refused: {status}", spec.id))),
            _ => smol::Timer::after(Duration::from_secs(1)).await,
        };
    }
    say(&format!("{}  {} is submitted: {} tasks of {} s", since(), spec.id, spec.tasks, spec.estimate_s));
    let mut shown = None;
    loop {
        let got = client.send(to, "GET", &format!("/v2/runs/{}", spec.id), None, limit).await;
        if let Ok((200, body)) = got {
            if let Ok(s) = http::decode::<JobState>(&body) {
                if shown.as_ref() != Some(&s) {
                    say(&format!("{}  {} is {}: {} running, {} done", since(), spec.id, s.stage, s.running, s.done));
                }
                if s.stage == "done" || s.stage == "cancelled" {
                    return Ok(());
                }
                shown = Some(s);
            }
        }
        smol::Timer::after(Duration::from_millis(500)).await;
    }
}

fn plan(options: &Options) -> Result<Vec<Planned>, Error> {
    let mut plan = options.plan.clone();
    let Some(file) = &options.faults else { return Ok(plan) };
    let text = fs::read_to_string(file).map_err(|e| Error::Input(format!("{}: {e}", file.display())))?;
    plan.extend(faults::parse(&text, ZONES.len()).map_err(|e| Error::Input(format!("{}:\n{e}", file.display())))?);
    plan.sort_by_key(|p| p.at);
    Ok(plan)
}

/// Carries out one fault; what ends it comes later.
fn inject(world: &Rc<World>, ex: &Rc<LocalExecutor<'static>>, nodes: &mut Processes, fault: Fault) {
    let (now, w) = (Instant::now(), world.clone());
    match fault {
        Fault::Crash { node } => nodes.crash(node),
        Fault::Upgrade { node } => {
            nodes.upgraded[node] = true;
            nodes.crash(node);
        }
        Fault::StateLimits { .. } => {
            later(&mut nodes.limits, fault);
            world.state.borrow_mut().limit(nodes.limits);
        }
        Fault::Down { lasts } => {
            nodes.down_until = Some(now + lasts);
            (0..nodes.running.len()).for_each(|i| nodes.crash(i));
        }
        Fault::StateOutage { lasts } => {
            world.state.borrow_mut().fail(now);
            let over = async move {
                smol::Timer::after(lasts).await;
                w.state.borrow_mut().heal(Instant::now());
            };
            ex.spawn(over).detach();
        }
        Fault::Refused { node, lasts } => {
            world.refused.borrow_mut().insert(node);
            let over = async move {
                smol::Timer::after(lasts).await;
                w.refused.borrow_mut().remove(&node);
            };
            ex.spawn(over).detach();
        }
        Fault::Delay { by, lasts } => {
            world.delay.set(by);
            let over = async move {
                smol::Timer::after(lasts).await;
                w.delay.set(Duration::ZERO);
            };
            ex.spawn(over).detach();
        }
        Fault::CloudOutage { lasts } => {
            world.cloud.borrow_mut().fail(true);
            let over = async move {
                smol::Timer::after(lasts).await;
                w.cloud.borrow_mut().fail(false);
            };
            ex.spawn(over).detach();
        }
        Fault::KillMachines { count } | Fault::SpotWave { count } => {
            let wave = matches!(fault, Fault::SpotWave { .. });
            let mut rng = world.rng.borrow_mut();
            let mut names: Vec<Name> = world.worker_pool.borrow().machines().keys().cloned().collect();
            rng.shuffle(&mut names);
            let mut cloud = world.cloud.borrow_mut();
            let hit = |n: &Name| match wave {
                true => cloud.take_back(n, &mut rng, now),
                false => cloud.kill(n, now),
            };
            let events = names.iter().filter_map(hit).take(count).collect();
            drop((cloud, rng));
            w.carry_out(ex, events);
        }
    }
}

/// The listeners of a cluster, and where its controllers will listen.
struct Listeners {
    cloud: TcpListener,
    users: TcpListener,
    /// Of the state service, one for each controller, so that one of them can be refused.
    states: Vec<TcpListener>,
    /// For users and workers, and for the other controllers.
    binds: Vec<(SocketAddr, SocketAddr)>,
}

impl Listeners {
    async fn open(users_port: u16) -> Result<Listeners, Error> {
        let bind = |port: u16| TcpListener::bind(("127.0.0.1", port));
        let cloud = tried("cloud", bind(0).await)?;
        let users = tried(format!("port {users_port} for users"), bind(users_port).await)?;
        let (mut states, mut binds) = (Vec::new(), Vec::new());
        for _ in ZONES {
            states.push(tried("state service", bind(0).await)?);
            binds.push((free()?, free()?));
        }
        Ok(Listeners { cloud, users, states, binds })
    }

    /// Writes the settings of all controllers.
    fn write_settings(&self, dir: &Path, cluster: &Cluster) -> Result<(), Error> {
        let cloud = address(&self.cloud)?;
        for (i, on) in self.states.iter().enumerate() {
            let file = dir.join(format!("node-{i}.toml"));
            tried(file.display().to_string(), fs::write(&file, cluster.file(i, address(on)?, cloud)))?;
        }
        Ok(())
    }

    /// Serves the stand-ins.
    fn serve(self, world: &Rc<World>, ex: &Rc<LocalExecutor<'static>>) {
        for (i, on) in self.states.into_iter().enumerate() {
            ex.spawn(world.clone().serve_state(ex.clone(), on, i)).detach();
        }
        ex.spawn(world.clone().serve_cloud(ex.clone(), self.cloud)).detach();
        ex.spawn(world.clone().time(ex.clone())).detach();
        ex.spawn(world.clone().balance(ex.clone(), self.users)).detach();
    }
}

fn address(l: &TcpListener) -> Result<SocketAddr, Error> {
    tried("a listener", l.local_addr())
}

/// The stand-ins around controllers at these addresses.
fn world(options: &Options, binds: &[(SocketAddr, SocketAddr)]) -> Rc<World> {
    let mut rng = Rng::with_seed(options.seed);
    let cloud = Cloud::new(cloud::Settings {
        types: types(),
        capacity: options.capacity,
        rps: CLOUD_RPS,
        list_lag_s: LIST_LAG_S,
        notice_s: 5.0,
        boot_fail: 0.02,
    });
    let times = worker_pool::Settings { lease_s: LEASE_S, gang_wait_s: GANG_WAIT_S, gang_peer_s: GANG_PEER_S };
    let workers = WorkerPool::new(times, 1.0, rng.fork());
    let controller = |(i, b): (usize, &(SocketAddr, SocketAddr))| Controller { name: format!("node-{i}"), addr: b.0 };
    let controllers = binds.iter().enumerate().map(controller).collect();
    World::new(State::new(options.size.limits()), cloud, workers, controllers, REPORT_S, rng)
}

/// A cluster whose stand-ins are served.
struct Running<'a> {
    options: &'a Options,
    world: Rc<World>,
    ex: Rc<LocalExecutor<'static>>,
    nodes: Processes,
    plan: VecDeque<Planned>,
    users_at: SocketAddr,
}

impl Running<'_> {
    /// Starts the controllers, and keeps them and the plan of faults until the demonstration is over.
    async fn run(&mut self, ready: impl FnOnce(SocketAddr)) -> Result<(), Error> {
        for i in 0..ZONES.len() {
            self.nodes.start(i)?;
            self.ex.spawn(self.world.clone().probe(i)).detach();
        }
        self.wait_ready().await?;
        *self.world.per_second.borrow_mut() = Some((Instant::now(), Vec::new()));
        ready(self.users_at);
        let shown = show(self.options, self.users_at);
        or(shown, self.keep()).await
    }

    async fn wait_ready(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        while !(0..ZONES.len()).any(|i| self.world.balancer.borrow().healthy(i)) {
            let dir = self.nodes.dir.display();
            if began.elapsed() > READY {
                return Err(Error::Failed(format!("no controller is ready; see the logs in {dir}")));
            }
            self.nodes.watch(Instant::now())?;
            smol::Timer::after(LOOK_EVERY).await;
        }
        let dir = self.nodes.dir.display();
        say(&format!("ready: submit to {}; settings and logs in {dir}; Ctrl-C ends it", self.users_at));
        Ok(())
    }

    /// Starts controllers that ended again, and carries out the faults as their time comes.
    async fn keep(&mut self) -> Result<(), Error> {
        let since = Instant::now();
        loop {
            self.nodes.watch(Instant::now())?;
            while let Some(p) = self.plan.front().copied().filter(|p| since.elapsed() >= p.at) {
                self.plan.pop_front();
                say(&format!("{:5.1} s  {:?}", since.elapsed().as_secs_f64(), p.fault));
                inject(&self.world, &self.ex, &mut self.nodes, p.fault);
            }
            smol::Timer::after(LOOK_EVERY).await;
        }
    }
}

/// The demonstration, if one is asked for; without `exit` it does not end.
async fn show(options: &Options, users_at: SocketAddr) -> Result<(), Error> {
    if options.demo {
        follow(users_at, &demo()).await?;
    }
    if !options.exit {
        std::future::pending::<()>().await;
    }
    Ok(())
}

/// What came of a cluster's life; an error if a rule was seen broken.
fn report(world: &World) -> Result<Report, Error> {
    let workers = world.worker_pool.borrow();
    let report = Report {
        started: workers.started,
        killed: workers.killed,
        cost: world.cloud.borrow().cost(Instant::now()),
        broken: workers.violations.clone(),
        per_second: world.per_second.borrow().as_ref().map(|p| p.1.clone()).unwrap_or_default(),
        keys: world.state.borrow().under(""),
        completed: workers.completed_at().clone(),
    };
    let Report { started, killed, cost, broken, .. } = &report;
    say(&format!("{started} tasks started, {killed} killed by a lease; the machines cost {cost:.2}"));
    if !broken.is_empty() {
        return Err(Error::Failed(format!("rules broken:\n{}", broken.join("\n"))));
    }
    Ok(report)
}

/// Runs a cluster until `stop` says so; `ready` learns where users come.
pub fn up(
    options: &Options,
    stop: smol::channel::Receiver<()>,
    ready: impl FnOnce(SocketAddr),
) -> Result<Report, Error> {
    let plan: VecDeque<Planned> = plan(options)?.into();
    let program = program(options.controller.as_deref())?;
    let temporary = || std::env::temp_dir().join(format!("coralnotch-{}", std::process::id()));
    let dir = options.dir.clone().unwrap_or_else(temporary);
    tried(dir.display().to_string(), fs::create_dir_all(&dir))?;
    let ex = Rc::new(LocalExecutor::new());
    smol::block_on(ex.clone().run(async {
        let listeners = Listeners::open(options.port).await?;
        let users_at = address(&listeners.users)?;
        listeners.write_settings(&dir, &cluster(&listeners.binds, &plan, &options.size))?;
        let world = world(options, &listeners.binds);
        listeners.serve(&world, &ex);
        let nodes = Processes::new(options, program, dir);
        let mut running = Running { options, world: world.clone(), ex: ex.clone(), nodes, plan, users_at };
        let asked = async {
            let _ = stop.recv().await;
            Ok(())
        };
        let result = or(running.run(ready), asked).await;
        drop(running);
        result?;
        report(&world)
    }))
}
