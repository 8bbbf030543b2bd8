//! The processes of a scale run: a state service, a cloud, or the workers of a region each in
//! one of their own, so that their processor time is known; and a wrapper that turns into a
//! controller and ends with the run.

use std::cell::RefCell;
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coralnotch_wire::http::{self, Client, Request, Response, ServerLimits};
use coralnotch_wire::model::{MachineType, Name};
use fastrand::Rng;
use rustix::process::{getppid, set_parent_process_death_signal, Signal};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use smol::LocalExecutor;

use super::control::{
    path, send, Begun, CloudStats, Done, Kill, MachineEvents, MachineUp, StateStats, Upload, WorkerStats, ZoneChange,
};
use crate::cloud::{self, Cloud, Event};
use crate::environment::{BootedMachine, Controller, Environment};
use crate::error::Error;
use crate::settings::WorkerTimes;
use crate::state::{Limits, State};
use crate::worker_pool::{self, WorkerPool};

/// Interval at which time passes for machines.
const TICK: Duration = Duration::from_millis(20);
/// Files that a process of a scale run wants to open at once.
const FILES_WANTED: u64 = 20_000;

/// What a process is to be.  Its file is written by the run that starts it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// The state service of a region, with a listener for each controller.
    State {
        /// Address to listen on.
        host: IpAddr,
        /// Controllers.
        listeners: usize,
        /// What it allows.
        limits: StateLimits,
    },
    /// The cloud of a region.
    Cloud {
        /// Address to listen on.
        host: IpAddr,
        /// Machine types.
        types: Vec<MachineType>,
        /// Machines of each type, zone and kind.
        capacity: usize,
        /// Requests a second that it allows.
        rps: f64,
        /// How old its list is.
        list_lag_s: f64,
        /// Where the workers' process takes what happens to machines.
        workers: SocketAddr,
        /// Seed of its chances.
        seed: u64,
    },
    /// The workers of a region.
    Workers {
        /// Address to listen on.
        host: IpAddr,
        /// Machine types.
        types: Vec<MachineType>,
        /// Names and addresses of the controllers.
        controllers: Vec<(String, SocketAddr)>,
        /// Interval of reports, in seconds.
        report_s: f64,
        /// Lease, in seconds.
        lease_s: f64,
        /// How long a gang's task waits, in seconds.
        gang_wait_s: f64,
        /// How quickly a gang notices a loss, in seconds.
        gang_peer_s: f64,
        /// Seed of their chances.
        seed: u64,
    },
    /// A controller.
    Controller {
        /// The program.
        program: PathBuf,
        /// Its settings.
        settings: PathBuf,
        /// Where its log goes.
        log: PathBuf,
    },
}

/// The state service's limits, as a role's file has them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB a value.
    pub value_kb: f64,
    /// Puts and deletes a transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// In the state service's form.
    pub fn limits(&self) -> Limits {
        let StateLimits { rps, write_rps, value_kb, txn_ops } = *self;
        Limits { rps, write_rps, value_kb, txn_ops }
    }
}

fn failed(what: &str, e: impl std::fmt::Display) -> Error {
    Error::Failed(format!("{what}: {e}"))
}

/// Becomes a role and stays it until the process is ended.
pub fn run(file: &str, parent: u32) -> Result<(), Error> {
    // whoever started this takes it along when it ends, however it ends
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| failed("the parent's end", e))?;
    if getppid().is_none_or(|p| p.as_raw_nonzero().get().unsigned_abs() != parent) {
        return Err(Error::Failed("the run that started this has ended".into()));
    }
    let role: Role = serde_json::from_str(file).map_err(|e| Error::Input(format!("role: {e}")))?;
    raise_file_limit()?;
    let ex = Rc::new(LocalExecutor::new());
    match role {
        Role::State { host, listeners, limits } => {
            smol::block_on(ex.clone().run(serve_state(ex, host, listeners, limits)))
        }
        Role::Cloud { host, types, capacity, rps, list_lag_s, workers, seed } => {
            let settings = cloud::Settings { types, capacity, rps, list_lag_s, notice_s: 5.0, boot_fail: 0.0 };
            smol::block_on(ex.clone().run(serve_cloud(ex, host, settings, workers, seed)))
        }
        Role::Workers { host, types, controllers, report_s, lease_s, gang_wait_s, gang_peer_s, seed } => {
            let times = WorkerTimes { report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s: lease_s };
            let hollow = Hollow { host, types, controllers, times, seed };
            smol::block_on(ex.clone().run(hollow.serve(ex)))
        }
        Role::Controller { program, settings, log } => become_controller(&program, &settings, &log),
    }
}

/// Raises this process's limit of open files as far as it may, and says if that is too little.
pub fn raise_file_limit() -> Result<(), Error> {
    let have = rlimit::increase_nofile_limit(FILES_WANTED).map_err(|e| failed("limit of open files", e))?;
    if have < FILES_WANTED {
        return Err(Error::Failed(format!(
            "{have} open files are allowed and {FILES_WANTED} needed: raise the hard limit (ulimit -Hn)"
        )));
    }
    Ok(())
}

fn become_controller(
    program: &std::path::Path,
    settings: &std::path::Path,
    log: &std::path::Path,
) -> Result<(), Error> {
    let open = std::fs::OpenOptions::new().create(true).append(true).open(log);
    let log = open.map_err(|error| Error::Io { what: log.display().to_string(), error })?;
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(settings);
    // the signal at the parent's end outlives this
    let error = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).exec();
    Err(Error::Io { what: program.display().to_string(), error })
}

/// Tells whoever started this where it listens.
fn ready(addresses: &[SocketAddr]) {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut out = io::stdout();
    let _ = writeln!(out, "ready {}", list.join(" "));
    let _ = out.flush();
}

async fn listen(host: IpAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let on = TcpListener::bind((host, 0)).await.map_err(|e| failed("a listener", e))?;
    let at = on.local_addr().map_err(|e| failed("a listener", e))?;
    Ok((on, at))
}

/// The control interface is for the run alone.
fn control_limits() -> ServerLimits {
    ServerLimits {
        connections: 64,
        scarce: 64,
        idle: Duration::from_secs(600),
        arrive: Duration::from_secs(60),
        answer: Duration::from_secs(60),
    }
}

fn no_cloud() -> Cloud {
    Cloud::new(cloud::Settings {
        types: Vec::new(),
        capacity: 0,
        rps: f64::INFINITY,
        list_lag_s: 0.0,
        notice_s: 0.0,
        boot_fail: 0.0,
    })
}

fn no_workers(rng: &mut Rng) -> WorkerPool {
    WorkerPool::new(worker_pool::Settings { lease_s: 0.0, gang_wait_s: 0.0, gang_peer_s: 0.0 }, 1.0, rng.fork())
}

async fn serve_state(
    ex: Rc<LocalExecutor<'static>>,
    host: IpAddr,
    listeners: usize,
    limits: StateLimits,
) -> Result<(), Error> {
    let mut rng = Rng::with_seed(0);
    let workers = no_workers(&mut rng);
    let environment = Environment::new(State::new(limits.limits()), no_cloud(), workers, Vec::new(), 1.0, rng);
    let (control, at) = listen(host).await?;
    let mut addresses = vec![at];
    for i in 0..listeners {
        let (on, at) = listen(host).await?;
        addresses.push(at);
        ex.spawn(environment.clone().serve_state(ex.clone(), on, i)).detach();
    }
    ready(&addresses);
    let handler = move |r: Request| {
        let answer = match (r.method.as_str(), r.path.as_str()) {
            ("GET", path::STATS) => Response::new(200, &state_stats(&environment.state.borrow())),
            _ => Response::refuse(404, "no such path"),
        };
        async move { answer }
    };
    http::serve(ex, control, control_limits(), Rc::new(handler)).await;
    Ok(())
}

fn state_stats(s: &State) -> StateStats {
    StateStats { requests: s.requests, refused: s.refused, changes: s.changes_made, keys: s.len() as u64 }
}

/// The cloud's process: it tells the workers' process what happens to machines, in order.
struct CloudRole {
    environment: Rc<Environment>,
    workers: SocketAddr,
    client: Client,
    /// What is still to be told.
    events: RefCell<MachineEvents>,
}

async fn serve_cloud(
    ex: Rc<LocalExecutor<'static>>,
    host: IpAddr,
    settings: cloud::Settings,
    workers: SocketAddr,
    seed: u64,
) -> Result<(), Error> {
    let mut rng = Rng::with_seed(seed);
    let none = no_workers(&mut rng);
    let environment = Environment::new(State::new(Limits::NONE), Cloud::new(settings), none, Vec::new(), 1.0, rng);
    let role = Rc::new(CloudRole { environment, workers, client: Client::new(1), events: RefCell::default() });
    let (control, at) = listen(host).await?;
    let (on, service) = listen(host).await?;
    ready(&[at, service]);
    ex.spawn(role.clone().time()).detach();
    let r = role.clone();
    let calls = move |request: Request| r.clone().call(request);
    ex.spawn(http::serve(ex.clone(), on, control_limits(), Rc::new(calls))).detach();
    let handler = move |request: Request| role.clone().control(request);
    http::serve(ex, control, control_limits(), Rc::new(handler)).await;
    Ok(())
}

impl CloudRole {
    /// Notes what happened to machines.
    fn note(&self, events: Vec<Event>) {
        let mut all = self.events.borrow_mut();
        for e in events {
            match e {
                Event::Up(name) => {
                    if let Some(BootedMachine { name, kind, zone, spot }) = self.environment.booted_machine(&name) {
                        all.up.push(MachineUp { name, kind: kind.name, zone, spot });
                    }
                }
                Event::Gone(name) => {
                    all.up.retain(|u| u.name != name);
                    all.gone.push(name);
                }
                Event::ReclaimNotice(..) => {}
            }
        }
    }

    /// Tells the workers what they do not know yet.
    async fn tell(&self) {
        let events = std::mem::take(&mut *self.events.borrow_mut());
        if events.gone.is_empty() && events.up.is_empty() {
            return;
        }
        if let Err(e) = send::<_, Done>(&self.client, self.workers, path::MACHINES, &events).await {
            tracing::error!("{e}");
        }
    }

    async fn time(self: Rc<Self>) {
        loop {
            smol::Timer::after(TICK).await;
            let events = self.environment.cloud.borrow_mut().step(Instant::now());
            self.note(events);
            self.tell().await;
        }
    }

    /// A call of a controller's.  Deleted machines are gone when it is answered.
    async fn call(self: Rc<Self>, r: Request) -> Response {
        let (answer, events) =
            self.environment.cloud.borrow_mut().ask(&r, &mut self.environment.rng.borrow_mut(), Instant::now());
        self.note(events);
        self.tell().await;
        answer
    }

    async fn control(self: Rc<Self>, r: Request) -> Response {
        let answer = match (r.method.as_str(), r.path.as_str()) {
            ("GET", path::STATS) => {
                Response::new(200, &CloudStats { rented: self.environment.cloud.borrow().machines().len() as u64 })
            }
            ("POST", path::KILL) => match http::decode::<Kill>(&r.body) {
                Ok(k) => Response::new(200, &Done { machines: self.kill(k.count, None) }),
                Err(_) => Response::refuse(400, "malformed"),
            },
            ("POST", path::ZONE) => match http::decode::<ZoneChange>(&r.body) {
                Ok(z) => Response::new(200, &Done { machines: self.change_zone(&z) }),
                Err(_) => Response::refuse(400, "malformed"),
            },
            _ => Response::refuse(404, "no such path"),
        };
        self.tell().await;
        answer
    }

    /// Lets machines die, at random, all or those of a zone; how many did.
    fn kill(&self, count: usize, zone: Option<&Name>) -> usize {
        let mut cloud = self.environment.cloud.borrow_mut();
        let alive = |m: &cloud::Rented| m.died_at.is_none() && zone.is_none_or(|z| m.zone == *z);
        let mut names: Vec<Name> = cloud.machines().iter().filter(|(_, m)| alive(m)).map(|(n, _)| n.clone()).collect();
        self.environment.rng.borrow_mut().shuffle(&mut names);
        let now = Instant::now();
        let events: Vec<Event> = names.iter().take(count).filter_map(|n| cloud.kill(n, now)).collect();
        drop(cloud);
        let killed = events.len();
        self.note(events);
        killed
    }

    fn change_zone(&self, z: &ZoneChange) -> usize {
        let mut cloud = self.environment.cloud.borrow_mut();
        if !z.closed {
            cloud.open_zone(&z.zone);
            return 0;
        }
        cloud.close_zone(&z.zone);
        drop(cloud);
        self.kill(usize::MAX, Some(&z.zone))
    }
}

/// The workers of a region: the whole worker protocol, without tasks' processes.
struct Hollow {
    host: IpAddr,
    types: Vec<MachineType>,
    controllers: Vec<(String, SocketAddr)>,
    times: WorkerTimes,
    seed: u64,
}

impl Hollow {
    async fn serve(self, ex: Rc<LocalExecutor<'static>>) -> Result<(), Error> {
        let mut rng = Rng::with_seed(self.seed);
        let WorkerTimes { report_s, lease_s, gang_wait_s, gang_peer_s, .. } = self.times;
        let workers = WorkerPool::new(worker_pool::Settings { lease_s, gang_wait_s, gang_peer_s }, 1.0, rng.fork());
        let controllers = self.controllers.into_iter().map(|(name, addr)| Controller { name, addr }).collect();
        let environment = Environment::new(State::new(Limits::NONE), no_cloud(), workers, controllers, report_s, rng);
        environment.host.set(self.host);
        ex.spawn(environment.clone().run_clock(ex.clone())).detach();
        let (control, at) = listen(self.host).await?;
        ready(&[at]);
        let (types, e) = (Rc::new(self.types), ex.clone());
        let handler = move |r: Request| {
            let answer = workers_control(&environment, &e, &types, &r);
            async move { answer }
        };
        http::serve(ex, control, control_limits(), Rc::new(handler)).await;
        Ok(())
    }
}

fn workers_control(
    environment: &Rc<Environment>,
    ex: &Rc<LocalExecutor<'static>>,
    types: &[MachineType],
    r: &Request,
) -> Response {
    match (r.method.as_str(), r.path.as_str()) {
        ("GET", path::STATS) => Response::new(200, &worker_stats(environment)),
        ("POST", path::UPLOAD) => match http::decode::<Upload>(&r.body) {
            Ok(u) => {
                let mut workers = environment.worker_pool.borrow_mut();
                for spec in u.specs {
                    let id = spec.id.clone();
                    workers.upload(spec);
                    if u.timed {
                        workers.time_start(&id);
                    }
                }
                Response::new(200, &Done { machines: 0 })
            }
            Err(_) => Response::refuse(400, "malformed"),
        },
        ("POST", path::MACHINES) => match http::decode::<MachineEvents>(&r.body) {
            Ok(events) => {
                events.gone.iter().for_each(|n| environment.remove_machine(n));
                let count = events.up.len();
                for u in events.up {
                    if let Some(kind) = types.iter().find(|t| t.name == u.kind).cloned() {
                        environment.start_worker(ex, BootedMachine { name: u.name, kind, zone: u.zone, spot: u.spot });
                    }
                }
                Response::new(200, &Done { machines: count })
            }
            Err(_) => Response::refuse(400, "malformed"),
        },
        _ => Response::refuse(404, "no such path"),
    }
}

fn worker_stats(environment: &Environment) -> WorkerStats {
    let mut workers = environment.worker_pool.borrow_mut();
    let running = workers.running_tasks();
    let (now, today) = (Instant::now(), SystemTime::now());
    let since_epoch = |t: Instant| {
        let at = today.checked_sub(now.saturating_duration_since(t)).unwrap_or(today);
        at.duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
    };
    let timed_starts = std::mem::take(&mut workers.timed_starts);
    WorkerStats {
        machines: workers.machines().len() as u64,
        running: running.all,
        replicas: running.service_replicas,
        started: workers.started,
        killed: workers.killed,
        broken: workers.violations.clone(),
        begun: timed_starts.into_iter().map(|start| Begun { job: start.job, at_us: since_epoch(start.at) }).collect(),
        traffic: environment.traffic.get(),
    }
}
