//! The users of one region: jobs that arrive whether or not the last ones were answered, and
//! polls until they are over.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coralnotch_wire::example;
use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{JobSpec, JobState, Name, Priority, Shape};
use fastrand::Rng;
use hdrhistogram::Histogram;
use smol::LocalExecutor;

use super::control::{path, send, Begun, Done, Upload};
use super::scenario::{Arrays, Load, ARRAY_TASKS, GANG_RUN_S, GANG_SIZES, SERVICE_TASKS};
use crate::balancer::Balancer;

/// One request's limit, the pause before the next try, and the interval of polls.
const SUBMIT_LIMIT: Duration = Duration::from_secs(5);
const POLL_LIMIT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(1);
const POLL_EVERY: Duration = Duration::from_secs(5);
/// A submission is given up after this.
const SUBMIT_GIVES_UP: Duration = Duration::from_secs(60);
/// Tasks of an urgent job, and how long they run.
const URGENT_TASKS: u32 = 4;
const URGENT_RUN_S: f64 = 3.0;
/// Services that are submitted at once while a region fills.
const SERVICES_AT_ONCE: usize = 16;
/// Interval and limit of health probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// What the users of all regions note down in a phase.
pub struct Notes {
    /// From submission to acceptance, in microseconds.
    pub accept: RefCell<Histogram<u64>>,
    /// From the acceptance of an urgent job to the start of its last task.
    pub urgent: RefCell<Histogram<u64>>,
    /// Urgent jobs that were accepted and have not begun, with when.
    pub accepted: RefCell<HashMap<Name, u64>>,
    /// Those that had begun before their acceptance was noted.
    begun_early: RefCell<HashMap<Name, u64>>,
    /// Answers that contradict earlier ones.
    pub wrong: RefCell<Vec<String>>,
}

/// Microseconds of the time of day.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// In microseconds, three digits; it grows to what it is given.
fn histogram() -> Result<RefCell<Histogram<u64>>, String> {
    Histogram::new(3).map(RefCell::new).map_err(|e| e.to_string())
}

impl Notes {
    /// Nothing is noted yet.
    pub fn new() -> Result<Notes, String> {
        Ok(Notes {
            accept: histogram()?,
            urgent: histogram()?,
            accepted: RefCell::default(),
            begun_early: RefCell::default(),
            wrong: RefCell::default(),
        })
    }

    /// A phase begins.
    pub fn begin(&self) {
        self.accept.borrow_mut().reset();
        self.urgent.borrow_mut().reset();
    }

    fn accepted(&self, job: &Name, since: Instant, urgent: bool) {
        let _ = self.accept.borrow_mut().record(since.elapsed().as_micros() as u64);
        if !urgent {
            return;
        }
        let now = now_us();
        match self.begun_early.borrow_mut().remove(job) {
            Some(at) => drop(self.urgent.borrow_mut().record(at.saturating_sub(now))),
            None => drop(self.accepted.borrow_mut().insert(job.clone(), now)),
        }
    }

    /// All tasks of an urgent job have begun.
    pub fn begun(&self, b: Begun) {
        match self.accepted.borrow_mut().remove(&b.job) {
            Some(at) => drop(self.urgent.borrow_mut().record(b.at_us.saturating_sub(at))),
            None => drop(self.begun_early.borrow_mut().insert(b.job, b.at_us)),
        }
    }
}

/// The users of one region.
pub struct Users {
    /// Their number, for ids and teams.
    region: usize,
    teams: usize,
    /// The workers' process, which takes job descriptions.
    workers: SocketAddr,
    controllers: Vec<SocketAddr>,
    balancer: RefCell<Balancer>,
    client: Client,
    rng: RefCell<Rng>,
    next: Cell<u64>,
    /// Requests so far.
    pub requests: Cell<u64>,
    /// Arrays as they arrive now.
    pub arrays: Cell<Arrays>,
    load: Load,
    notes: Rc<Notes>,
    ended: RefCell<HashSet<Name>>,
}

impl Users {
    /// Users of a region with these controllers.
    pub fn new(
        region: usize,
        teams: usize,
        workers: SocketAddr,
        controllers: Vec<SocketAddr>,
        load: Load,
        notes: Rc<Notes>,
        seed: u64,
    ) -> Rc<Users> {
        Rc::new(Users {
            region,
            teams,
            workers,
            balancer: RefCell::new(Balancer::new(controllers.len())),
            controllers,
            client: Client::new(64),
            rng: RefCell::new(Rng::with_seed(seed)),
            next: Cell::new(0),
            requests: Cell::new(0),
            arrays: Cell::new(load.steady),
            load,
            notes,
            ended: RefCell::default(),
        })
    }

    /// Whether a controller takes users.
    pub fn any_healthy(&self) -> bool {
        (0..self.controllers.len()).any(|i| self.balancer.borrow().is_healthy(i))
    }

    /// Probes the controllers, and lets gangs, arrays and urgent jobs arrive.
    pub fn start(self: &Rc<Self>, ex: &Rc<LocalExecutor<'static>>) {
        for i in 0..self.controllers.len() {
            ex.spawn(self.clone().probe(i)).detach();
        }
    }

    /// Lets gangs, arrays and urgent jobs arrive from now on.
    pub fn arrive(self: &Rc<Self>, ex: &Rc<LocalExecutor<'static>>) {
        let (u, e) = (self.clone(), ex.clone());
        ex.spawn(async move { u.arrivals(&e, |u| u.arrays.get().per_s, Users::array, false).await }).detach();
        let (u, e) = (self.clone(), ex.clone());
        ex.spawn(async move { u.arrivals(&e, |u| u.load.gangs_per_s, Users::gang, false).await }).detach();
        let (u, e) = (self.clone(), ex.clone());
        ex.spawn(async move { u.arrivals(&e, |u| u.load.urgent_per_s, Users::urgent, true).await }).detach();
    }

    async fn probe(self: Rc<Self>, i: usize) {
        let client = Client::new(1);
        loop {
            let answer = client.send(self.controllers[i], "GET", "/healthz", None, PROBE_LIMIT).await;
            let ok = matches!(answer, Ok((200, _)));
            self.balancer.borrow_mut().record_probe(i, ok, Instant::now());
            smol::Timer::after(PROBE_EVERY).await;
        }
    }

    /// Jobs at random times, at a rate that may change.
    async fn arrivals(
        self: &Rc<Self>,
        ex: &Rc<LocalExecutor<'static>>,
        rate: fn(&Users) -> f64,
        make: fn(&Users) -> JobSpec,
        timed: bool,
    ) {
        let mut owed = 0.0;
        let mut at = Instant::now();
        let mut due = -(1.0 - self.rng.borrow_mut().f64()).ln();
        loop {
            smol::Timer::after(Duration::from_millis(20)).await;
            let now = Instant::now();
            owed += rate(self) * now.duration_since(at).as_secs_f64();
            at = now;
            while owed >= due {
                owed -= due;
                due = -(1.0 - self.rng.borrow_mut().f64()).ln();
                let (u, spec) = (self.clone(), make(self));
                ex.spawn(async move { u.job(spec, timed).await }).detach();
            }
        }
    }

    /// Submits the region's services; returns once all were accepted or given up.
    pub async fn fill(self: &Rc<Self>, ex: &Rc<LocalExecutor<'static>>) {
        let left = Rc::new(Cell::new(self.load.services));
        let mut all = Vec::new();
        for _ in 0..SERVICES_AT_ONCE {
            let (u, left, e) = (self.clone(), left.clone(), ex.clone());
            all.push(ex.spawn(async move {
                while left.get() > 0 {
                    left.set(left.get() - 1);
                    let spec = u.service();
                    if u.submit(&spec, false).await {
                        let u = u.clone();
                        e.spawn(async move { u.follow(&spec).await }).detach();
                    }
                }
            }));
        }
        for task in all {
            task.await;
        }
    }

    fn id(&self) -> Name {
        let n = self.next.get();
        self.next.set(n + 1);
        format!("j-{:02}{n:010}", self.region + 1).into()
    }

    fn spec(&self, tasks: u32) -> JobSpec {
        let id = self.id();
        let team = self.rng.borrow_mut().usize(0..self.teams);
        JobSpec {
            team: format!("team-{team:04}").into(),
            memory: 1.0,
            image: "tools".into(),
            image_gb: 0.05,
            spot: false,
            ..(*example::spec(&id, tasks)).clone()
        }
    }

    fn service(&self) -> JobSpec {
        let spec = self.spec(SERVICE_TASKS);
        JobSpec {
            class: "serve".into(),
            shape: Shape::Service,
            priority: Priority::High,
            spread: true,
            estimate_s: 0.0,
            ..spec
        }
    }

    fn array(&self) -> JobSpec {
        JobSpec { class: "sweep".into(), estimate_s: self.arrays.get().run_s, ..self.spec(ARRAY_TASKS) }
    }

    fn gang(&self) -> JobSpec {
        let all: u32 = GANG_SIZES.iter().map(|g| g.1).sum();
        let mut at = self.rng.borrow_mut().u32(0..all);
        let mut tasks = GANG_SIZES[0].0;
        for (size, times) in GANG_SIZES {
            tasks = size;
            if at < times {
                break;
            }
            at -= times;
        }
        let spec = self.spec(tasks);
        JobSpec { class: "train".into(), shape: Shape::Gang, one_zone: true, gpus: 1.0, estimate_s: GANG_RUN_S, ..spec }
    }

    fn urgent(&self) -> JobSpec {
        let spec = self.spec(URGENT_TASKS);
        JobSpec { class: "urgent".into(), priority: Priority::Production, estimate_s: URGENT_RUN_S, ..spec }
    }

    /// A healthy controller, at random.
    fn controller(&self) -> Option<SocketAddr> {
        let balancer = self.balancer.borrow();
        let healthy: Vec<usize> = (0..self.controllers.len()).filter(|i| balancer.is_healthy(*i)).collect();
        let i = self.rng.borrow_mut().choice(healthy)?;
        Some(self.controllers[i])
    }

    async fn request(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let to = self.controller()?;
        self.requests.set(self.requests.get() + 1);
        self.client.send(to, method, target, body, limit).await.ok()
    }

    /// One job, to its end.
    async fn job(&self, spec: JobSpec, timed: bool) {
        if self.submit(&spec, timed).await {
            self.follow(&spec).await;
        }
    }

    /// Uploads and submits a job; whether it was accepted.
    async fn submit(&self, spec: &JobSpec, timed: bool) -> bool {
        let upload = Upload { specs: vec![spec.clone()], timed };
        if let Err(e) = send::<_, Done>(&self.client, self.workers, path::UPLOAD, &upload).await {
            tracing::error!("{e}");
            return false;
        }
        let (body, since) = (http::encode(spec), Instant::now());
        while since.elapsed() < SUBMIT_GIVES_UP {
            match self.request("POST", "/v2/runs", Some(&body), SUBMIT_LIMIT).await {
                Some((200 | 201, _)) => {
                    self.notes.accepted(&spec.id, since, timed);
                    return true;
                }
                Some((status @ (400 | 422), _)) => {
                    self.notes.wrong.borrow_mut().push(format!("{} of {} is refused: {status}", spec.id, spec.team));
                    return false;
                }
                _ => drop(smol::Timer::after(PAUSE).await),
            }
        }
        false
    }

    /// Polls a job until it is over, and once more after that.
    async fn follow(&self, spec: &JobSpec) {
        let target = format!("/v2/runs/{}", spec.id);
        loop {
            smol::Timer::after(POLL_EVERY).await;
            let Some((status, body)) = self.request("GET", &target, None, POLL_LIMIT).await else { continue };
            if status == 404 {
                self.notes.wrong.borrow_mut().push(format!("forgotten: {}", spec.id));
                return;
            }
            let stage = http::decode::<JobState>(&body).map(|s| s.stage).unwrap_or_default();
            let over = self.ended.borrow().contains(&spec.id);
            match (stage.as_str(), over) {
                ("done", true) => {
                    self.ended.borrow_mut().remove(&spec.id);
                    return;
                }
                ("done", false) => drop(self.ended.borrow_mut().insert(spec.id.clone())),
                ("cancelled", _) => {
                    self.notes.wrong.borrow_mut().push(format!("went_back: {} is cancelled", spec.id));
                    return;
                }
                (other @ ("pending" | "running"), true) => {
                    self.notes.wrong.borrow_mut().push(format!("went_back: {} is {other} after done", spec.id));
                    return;
                }
                _ => {}
            }
        }
    }
}
