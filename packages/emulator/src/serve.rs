//! The stand-ins over TCP, on one thread: what the plain state machines decide
//! is carried out here, and nothing is decided.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Client, Request, Response, ServerLimits};
use coralnotch_wire::model::{MachineType, Name};
use coralnotch_wire::workers::{DirectCommandBody, HeartbeatReply};
use fastrand::Rng;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Deserialize, Serialize};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task};

use crate::balancer::{Balancer, SubmissionReader};
use crate::cloud::{Cloud, Event};
use crate::state::{State, Step};
use crate::worker_pool::{NewMachine, WorkerPool};

/// Interval at which time passes for machines and watches.
const TICK: Duration = Duration::from_millis(20);
/// A worker reports at most so often.
const REPORT_GAP: Duration = Duration::from_millis(500);
/// How long a worker waits for an answer, and before it tries the next node.
const REPORT_LIMIT: Duration = Duration::from_secs(4);
const NEXT_NODE: Duration = Duration::from_secs(1);
/// Interval and limit of probes, and the limit of a connection.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBE_LIMIT: Duration = Duration::from_secs(1);
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Controllers that one user's connection is tried at.
const TRIES: usize = 3;
/// A controller unhealthy for so long has its open connections reset.
const RESET_AFTER: Duration = Duration::from_secs(5);
/// Connections open at once at a stand-in.
const CONNECTIONS: usize = 4000;

/// A controller, as workers and the balancer know it.
#[derive(Debug, Clone)]
pub struct Controller {
    /// Its name.
    pub name: String,
    /// Where it listens for users and workers.
    pub addr: SocketAddr,
}

/// Everything around the controllers.
pub struct World {
    /// State service.
    pub state: RefCell<State>,
    /// Cloud.
    pub cloud: RefCell<Cloud>,
    /// Machines.
    pub worker_pool: RefCell<WorkerPool>,
    /// Load balancer.
    pub balancer: RefCell<Balancer>,
    /// Chance.
    pub rng: RefCell<Rng>,
    /// Users' requests by second, from when this was set.
    pub per_second: RefCell<Option<(Instant, Vec<u64>)>>,
    /// Controllers that the state service refuses.
    pub refused: RefCell<HashSet<usize>>,
    /// How much longer the state service's answers take.
    pub delay: Cell<Duration>,
    controllers: Vec<Controller>,
    report_s: f64,
    workers: RefCell<HashMap<Name, Worker>>,
    /// Address that the workers listen on.
    pub host: Cell<IpAddr>,
    /// What passed between workers and controllers.
    pub traffic: Cell<Traffic>,
}

/// A machine's worker: its sockets are gone when this is dropped.
struct Worker {
    /// There is something to report.
    wake: smol::channel::Sender<()>,
    _work: Task<()>,
}

/// A machine that is up.
#[derive(Debug, Clone)]
pub struct Booted {
    /// Its name.
    pub name: Name,
    /// Its type.
    pub kind: MachineType,
    /// Its zone.
    pub zone: Name,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Messages between workers and controllers, with their bytes as HTTP has them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Reports sent.
    pub reports: u64,
    /// ... answered with 200.
    pub answered: u64,
    /// ... sent to another controller.
    pub redirected: u64,
    /// ... with another answer or none.
    pub failed: u64,
    /// Bytes of reports.
    pub report_bytes: u64,
    /// Bytes of their answers.
    pub answer_bytes: u64,
    /// Direct commands.
    pub direct: u64,
    /// Bytes of direct commands and of their answers.
    pub direct_bytes: u64,
}

fn limits() -> ServerLimits {
    ServerLimits {
        connections: CONNECTIONS,
        scarce: CONNECTIONS,
        idle: Duration::from_secs(600),
        arrive: Duration::from_secs(60),
        answer: Duration::from_secs(600),
    }
}

#[derive(Deserialize, Default)]
struct Elsewhere {
    #[serde(rename = "answerTo", default)]
    answer_to: Option<String>,
}

impl World {
    /// A world around these controllers; `report_s` is the interval of the
    /// workers' reports, in seconds.
    pub fn new(
        state: State,
        cloud: Cloud,
        worker_pool: WorkerPool,
        controllers: Vec<Controller>,
        report_s: f64,
        rng: Rng,
    ) -> Rc<World> {
        let addrs: Vec<SocketAddr> = controllers.iter().map(|c| c.addr).collect();
        Rc::new(World {
            state: RefCell::new(state),
            cloud: RefCell::new(cloud),
            worker_pool: RefCell::new(worker_pool),
            balancer: RefCell::new(Balancer::new(&addrs)),
            rng: RefCell::new(rng),
            per_second: RefCell::default(),
            refused: RefCell::default(),
            delay: Cell::default(),
            controllers,
            report_s,
            workers: RefCell::default(),
            host: Cell::new(Ipv4Addr::LOCALHOST.into()),
            traffic: Cell::default(),
        })
    }

    /// Serves the state service to controller `i` on a listener of its own.
    pub async fn serve_state(self: Rc<Self>, ex: Rc<LocalExecutor<'static>>, on: TcpListener, i: usize) {
        let handler = move |r: Request| {
            let w = self.clone();
            async move {
                let late = w.delay.get();
                if !late.is_zero() {
                    smol::Timer::after(late).await;
                }
                if w.refused.borrow().contains(&i) {
                    return Response::refuse(503, "trouble");
                }
                let step = w.state.borrow_mut().ask(&r, Instant::now());
                let watch = match step {
                    Step::Answer(a) => return a,
                    Step::Watch(watch) => watch,
                };
                loop {
                    smol::Timer::after(TICK).await;
                    if w.refused.borrow().contains(&i) {
                        return Response::refuse(503, "trouble");
                    }
                    if let Some(a) = w.state.borrow_mut().news(&watch, Instant::now()) {
                        return a;
                    }
                }
            }
        };
        http::serve(ex, on, limits(), Rc::new(handler)).await;
    }

    /// Serves the cloud on a listener.
    pub async fn serve_cloud(self: Rc<Self>, ex: Rc<LocalExecutor<'static>>, on: TcpListener) {
        let e = ex.clone();
        let handler = move |r: Request| {
            let (answer, events) = self.cloud.borrow_mut().ask(&r, &mut self.rng.borrow_mut(), Instant::now());
            self.clone().carry_out(&e, events);
            async move { answer }
        };
        http::serve(ex, on, limits(), Rc::new(handler)).await;
    }

    /// What the cloud did reaches the machines.
    pub fn carry_out(self: Rc<Self>, ex: &Rc<LocalExecutor<'static>>, events: Vec<Event>) {
        for e in events {
            match e {
                Event::Up(name) => {
                    let booted = self.booted(&name);
                    if let Some(b) = booted {
                        self.clone().boot(ex, b);
                    }
                }
                Event::Notice(name, at) => self.notice(&name, at),
                Event::Gone(name) => self.gone(&name),
            }
        }
    }

    /// A machine as the cloud has it.
    pub fn booted(&self, name: &Name) -> Option<Booted> {
        let cloud = self.cloud.borrow();
        let m = cloud.machines().get(name)?;
        Some(Booted { name: name.clone(), kind: cloud.kind(&m.kind)?.clone(), zone: m.zone.clone(), spot: m.spot })
    }

    /// Starts the worker of a machine that is up.
    pub fn boot(self: Rc<Self>, ex: &Rc<LocalExecutor<'static>>, b: Booted) {
        let (wake, woken) = smol::channel::bounded(1);
        let name = b.name.clone();
        let work = ex.spawn(self.clone().worker(b, woken));
        self.workers.borrow_mut().insert(name, Worker { wake, _work: work });
    }

    /// The cloud takes a machine back at that time.
    pub fn notice(&self, name: &Name, at: Instant) {
        self.worker_pool.borrow_mut().schedule_reclaim(name, at);
        self.wake_changed();
    }

    /// A machine is gone, and its sockets with it.
    pub fn gone(&self, name: &Name) {
        self.worker_pool.borrow_mut().remove_machine(name);
        self.workers.borrow_mut().remove(name);
    }

    /// Workers with something to report look at it.
    fn wake_changed(&self) {
        let changed = self.worker_pool.borrow_mut().take_changed();
        let workers = self.workers.borrow();
        for w in changed.iter().filter_map(|n| workers.get(n)) {
            let _ = w.wake.try_send(());
        }
    }

    /// Adds to what passed between workers and controllers.
    fn passed(&self, add: impl FnOnce(&mut Traffic)) {
        let mut t = self.traffic.get();
        add(&mut t);
        self.traffic.set(t);
    }

    /// Lets time pass, until it is dropped.
    pub async fn time(self: Rc<Self>, ex: Rc<LocalExecutor<'static>>) {
        loop {
            smol::Timer::after(TICK).await;
            let now = Instant::now();
            self.worker_pool.borrow_mut().step(now);
            self.wake_changed();
            let events = self.cloud.borrow_mut().step(now);
            self.clone().carry_out(&ex, events);
        }
    }

    /// One machine's worker, with its server and all its sockets; gone when
    /// this is dropped.
    async fn worker(self: Rc<Self>, b: Booted, woken: smol::channel::Receiver<()>) {
        let name = b.name;
        let Ok(listener) = TcpListener::bind((self.host.get(), 0)).await else {
            tracing::error!("no port for {name}");
            return;
        };
        let Ok(address) = listener.local_addr() else { return };
        let at: Name = address.to_string().into();
        let machine = NewMachine { name: name.clone(), kind: b.kind, zone: b.zone, spot: b.spot, address: at };
        self.worker_pool.borrow_mut().add_machine(machine, Instant::now());
        let (w, n) = (self.clone(), name.clone());
        let handler = move |r: Request| {
            let answer = w.direct(&n, &r);
            async move {
                match answer {
                    Some(a) => a,
                    // no machine any more: no answer either
                    None => std::future::pending().await,
                }
            }
        };
        let ex = Rc::new(LocalExecutor::new());
        let server = http::serve(ex.clone(), listener, limits(), Rc::new(handler));
        ex.run(or(server, self.reports(name, woken))).await;
    }

    fn direct(&self, name: &Name, r: &Request) -> Option<Response> {
        let answer = self.direct_answer(name, r)?;
        self.wake_changed();
        let asked = http::request_head(SocketAddr::new(self.host.get(), 0), &r.method, &r.path, r.body.len());
        let told = http::response_head(&answer, false);
        self.passed(|t| {
            t.direct += 1;
            t.direct_bytes += (asked.len() + r.body.len() + told.len() + answer.body.len()) as u64;
        });
        Some(answer)
    }

    fn direct_answer(&self, name: &Name, r: &Request) -> Option<Response> {
        let (mut worker_pool, now) = (self.worker_pool.borrow_mut(), Instant::now());
        let status = match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/status") => 200,
            ("POST", "/commands") => match http::decode::<DirectCommandBody>(&r.body) {
                Ok(body) => match worker_pool.apply_direct_commands(name, body, now) {
                    true => 200,
                    false => 409,
                },
                Err(_) => return Some(Response::refuse(400, "malformed")),
            },
            _ => return Some(Response::refuse(404, "no such path")),
        };
        Some(Response::new(status, &worker_pool.heartbeat(name, now)?.0))
    }

    /// Reports every interval, and early when something changed.
    async fn reports(&self, name: Name, woken: smol::channel::Receiver<()>) {
        let (client, mut at) = (Client::new(1), self.rng.borrow_mut().usize(0..self.controllers.len().max(1)));
        let mut due = Instant::now();
        let mut last: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let early = self.worker_pool.borrow().has_changed(&name).then(|| last.map_or(now, |t| t + REPORT_GAP));
            let next = early.map_or(due, |t| due.min(t));
            if now < next {
                let timer = async {
                    smol::Timer::at(next).await;
                };
                let wake = async {
                    let _ = woken.recv().await;
                };
                or(timer, wake).await;
                continue;
            }
            let Some((report, sent)) = self.worker_pool.borrow_mut().heartbeat(&name, now) else { return };
            let Some(to) = self.controllers.get(at) else { return };
            last = Some(now);
            let body = http::encode(&report);
            let head = http::request_head(to.addr, "POST", "/hello", body.len()).len();
            self.passed(|t| {
                t.reports += 1;
                t.report_bytes += (head + body.len()) as u64;
            });
            let answer = client.send(to.addr, "POST", "/hello", Some(&body), REPORT_LIMIT).await;
            self.count_answer(&answer);
            let wait = match answer {
                Ok((200, body)) => {
                    if let Ok(a) = http::decode::<HeartbeatReply>(&body) {
                        self.worker_pool.borrow_mut().apply_reply(&name, sent, a, Instant::now());
                    }
                    Duration::from_secs_f64(self.report_s * (0.75 + 0.5 * self.rng.borrow_mut().f64()))
                }
                Ok((421, body)) => {
                    let (next, wait) = self.elsewhere(at, &body);
                    at = next;
                    wait
                }
                _ => {
                    at = (at + 1) % self.controllers.len();
                    NEXT_NODE
                }
            };
            due = Instant::now() + wait;
        }
    }

    /// Where a worker that was sent away from controller `at` goes, and when.
    fn elsewhere(&self, at: usize, body: &[u8]) -> (usize, Duration) {
        let named = http::decode::<Elsewhere>(body).unwrap_or_default().answer_to;
        let known = self.controllers.iter().position(|c| Some(&c.name) == named.as_ref());
        match known.filter(|k| *k != at) {
            Some(k) => (k, Duration::from_millis(self.rng.borrow_mut().u64(0..500))),
            None => ((at + 1) % self.controllers.len(), NEXT_NODE),
        }
    }

    fn count_answer(&self, answer: &Result<(u16, Vec<u8>), http::Error>) {
        self.passed(|t| {
            match answer {
                Ok((200, _)) => t.answered += 1,
                Ok((421, _)) => t.redirected += 1,
                _ => t.failed += 1,
            }
            if let Ok((status, body)) = answer {
                let r = Response { status: *status, body: body.clone(), retry_after: None, seldom: false };
                t.answer_bytes += (http::response_head(&r, false).len() + body.len()) as u64;
            }
        });
    }

    /// Probes the controllers.
    pub async fn probe(self: Rc<Self>, i: usize) {
        let client = Client::new(1);
        let Some(c) = self.controllers.get(i).cloned() else { return };
        loop {
            let ok = matches!(client.send(c.addr, "GET", "/healthz", None, PROBE_LIMIT).await, Ok((200, _)));
            self.balancer.borrow_mut().probed(i, ok, Instant::now());
            smol::Timer::after(PROBE_EVERY).await;
        }
    }

    /// Takes users' connections and passes them on.
    pub async fn balance(self: Rc<Self>, ex: Rc<LocalExecutor<'static>>, on: TcpListener) {
        loop {
            match on.accept().await {
                Ok((user, _)) => ex.spawn(self.clone().pass_on(user)).detach(),
                Err(e) => {
                    tracing::error!("balancer: {e}");
                    smol::Timer::after(Duration::from_millis(100)).await;
                }
            }
        }
    }

    fn count(&self, requests: u64) {
        if let Some((since, seconds)) = self.per_second.borrow_mut().as_mut() {
            let at = since.elapsed().as_secs() as usize;
            seconds.resize(seconds.len().max(at + 1), 0);
            seconds[at] += requests;
        }
    }

    async fn pass_on(self: Rc<Self>, user: TcpStream) {
        let mut tried = Vec::new();
        while tried.len() < TRIES {
            let Some(i) = self.balancer.borrow().choose(&tried, Instant::now()) else { return };
            let connect = async { TcpStream::connect(self.controllers[i].addr).await.ok() };
            let late = async {
                smol::Timer::after(CONNECT_LIMIT).await;
                None
            };
            let made = or(connect, late).await;
            self.balancer.borrow_mut().connected(i, made.is_some(), Instant::now());
            let Some(node) = made else {
                tried.push(i);
                continue;
            };
            let (mut up, mut down) = (user.clone(), node.clone());
            let ahead = async {
                let (mut buf, mut tap) = (vec![0u8; 4096], SubmissionReader::default());
                while let Ok(n @ 1..) = up.read(&mut buf).await {
                    let before = tap.requests;
                    for spec in tap.take(&buf[..n]) {
                        self.worker_pool.borrow_mut().upload(spec);
                    }
                    self.count(tap.requests - before);
                    if down.write_all(&buf[..n]).await.is_err() {
                        break;
                    }
                }
            };
            let back = async {
                let _ = smol::io::copy(node.clone(), user.clone()).await;
            };
            let reset = async {
                let mut sick: Option<Instant> = None;
                loop {
                    smol::Timer::after(PROBE_EVERY).await;
                    match self.balancer.borrow().healthy(i) {
                        true => sick = None,
                        false if sick.get_or_insert_with(Instant::now).elapsed() > RESET_AFTER => return,
                        false => {}
                    }
                }
            };
            or(or(ahead, back), reset).await;
            self.balancer.borrow_mut().closed(i);
            return;
        }
    }
}
