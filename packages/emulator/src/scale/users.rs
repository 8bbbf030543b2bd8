//! The simulated users of one region.
//!
//! Users submit jobs at a rate that does not depend on how quickly earlier requests are answered
//! (open-loop load), and poll each job until it is done.

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

use super::control::{path, send, AffectedMachines, JobStart, Upload};
use super::scenario::{Arrays, Load, ARRAY_TASKS, GANG_SIZES, GANG_TASK_DURATION_S, SERVICE_REPLICAS};
use crate::balancer::Balancer;

/// Timeout of one submission request.
const SUBMIT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one poll request.
const POLL_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a submission is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a submission is abandoned, including its retries.
const SUBMIT_TOTAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of tasks of an urgent job.
const URGENT_TASKS: u32 = 4;
/// Duration of the tasks of an urgent job, in seconds.
const URGENT_TASK_DURATION_S: f64 = 3.0;
/// Number of services that are submitted concurrently while a region fills.
const CONCURRENT_SUBMISSIONS: usize = 16;
/// Interval between two health probes of a controller.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Measurements of the users of all regions.
pub struct Measurements {
    /// Times from the submission of a job to its acceptance in this phase, in microseconds.
    pub accept_times: RefCell<Histogram<u64>>,
    /// Times from the acceptance of an urgent job to the start of its last task in this phase, in
    /// microseconds.
    pub urgent_start_times: RefCell<Histogram<u64>>,
    /// Urgent jobs that are accepted but not started, with the time of acceptance in microseconds since
    /// the Unix epoch.
    pub unstarted_urgent: RefCell<HashMap<Name, u64>>,
    /// Urgent jobs whose start was reported before their acceptance, with the time of the start in
    /// microseconds since the Unix epoch.
    started_before_acceptance: RefCell<HashMap<Name, u64>>,
    /// Refused submissions and responses that contradict earlier ones, one line for each.
    pub violations: RefCell<Vec<String>>,
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Returns an empty histogram with a precision of three significant digits, which grows as needed.
fn histogram() -> Result<RefCell<Histogram<u64>>, String> {
    Histogram::new(3).map(RefCell::new).map_err(|error| error.to_string())
}

impl Measurements {
    /// Creates empty measurements.
    ///
    /// # Errors
    ///
    /// Fails if a histogram cannot be created.
    pub fn new() -> Result<Measurements, String> {
        Ok(Measurements {
            accept_times: histogram()?,
            urgent_start_times: histogram()?,
            unstarted_urgent: RefCell::default(),
            started_before_acceptance: RefCell::default(),
            violations: RefCell::default(),
        })
    }

    /// Resets the histograms at the beginning of a phase.
    pub fn begin_phase(&self) {
        self.accept_times.borrow_mut().reset();
        self.urgent_start_times.borrow_mut().reset();
    }

    fn record_acceptance(&self, job: &Name, submitted_at: Instant, is_urgent: bool) {
        let _ = self.accept_times.borrow_mut().record(submitted_at.elapsed().as_micros() as u64);
        if !is_urgent {
            return;
        }
        let now = now_us();
        match self.started_before_acceptance.borrow_mut().remove(job) {
            Some(at) => drop(self.urgent_start_times.borrow_mut().record(at.saturating_sub(now))),
            None => drop(self.unstarted_urgent.borrow_mut().insert(job.clone(), now)),
        }
    }

    /// Records that all tasks of an urgent job have started.
    pub fn record_start(&self, start: JobStart) {
        match self.unstarted_urgent.borrow_mut().remove(&start.job) {
            Some(at) => drop(self.urgent_start_times.borrow_mut().record(start.at_us.saturating_sub(at))),
            None => drop(self.started_before_acceptance.borrow_mut().insert(start.job, start.at_us)),
        }
    }
}

/// The simulated users of one region.
pub struct Users {
    /// Index of the region, which is part of the job ids.
    region: usize,
    teams: usize,
    /// Address of the workers' process, to which job descriptions are uploaded.
    workers: SocketAddr,
    controllers: Vec<SocketAddr>,
    balancer: RefCell<Balancer>,
    client: Client,
    rng: RefCell<Rng>,
    next_job_number: Cell<u64>,
    /// Number of requests sent to controllers so far.
    pub requests: Cell<u64>,
    /// Current arrival rate and task duration of arrays.
    pub arrays: Cell<Arrays>,
    load: Load,
    measurements: Rc<Measurements>,
    done_jobs: RefCell<HashSet<Name>>,
}

impl Users {
    /// Creates the users of a region, who send requests to `controllers` and upload job descriptions to
    /// `workers`.
    pub fn new(
        region: usize,
        teams: usize,
        workers: SocketAddr,
        controllers: Vec<SocketAddr>,
        load: Load,
        measurements: Rc<Measurements>,
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
            next_job_number: Cell::new(0),
            requests: Cell::new(0),
            arrays: Cell::new(load.steady),
            load,
            measurements,
            done_jobs: RefCell::default(),
        })
    }

    /// Reports whether at least one controller is healthy.
    pub fn has_healthy_controller(&self) -> bool {
        (0..self.controllers.len()).any(|index| self.balancer.borrow().is_healthy(index))
    }

    /// Starts the health probes of all controllers.
    pub fn start_probes(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        for index in 0..self.controllers.len() {
            executor.spawn(self.clone().probe(index)).detach();
        }
    }

    /// Starts the arrival of arrays, gangs and urgent jobs.
    pub fn start_arrivals(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let (this, ex) = (self.clone(), executor.clone());
        executor.spawn(async move { this.arrivals(&ex, |u| u.arrays.get().per_s, Users::array, false).await }).detach();
        let (this, ex) = (self.clone(), executor.clone());
        executor.spawn(async move { this.arrivals(&ex, |u| u.load.gangs_per_s, Users::gang, false).await }).detach();
        let (this, ex) = (self.clone(), executor.clone());
        executor.spawn(async move { this.arrivals(&ex, |u| u.load.urgent_per_s, Users::urgent, true).await }).detach();
    }

    async fn probe(self: Rc<Self>, index: usize) {
        let client = Client::new(1);
        loop {
            let answer = client.send(self.controllers[index], "GET", "/healthz", None, PROBE_TIMEOUT).await;
            let is_healthy = matches!(answer, Ok((200, _)));
            self.balancer.borrow_mut().record_probe(index, is_healthy, Instant::now());
            smol::Timer::after(PROBE_INTERVAL).await;
        }
    }

    /// Generates jobs as a Poisson process whose rate may change over time.
    async fn arrivals(
        self: &Rc<Self>,
        executor: &Rc<LocalExecutor<'static>>,
        rate: fn(&Users) -> f64,
        new_spec: fn(&Users) -> JobSpec,
        timed: bool,
    ) {
        // The integral of the rate since the last arrival; on this scale the intervals between arrivals
        // are exponentially distributed with a mean of 1, whatever the rate.
        let mut expected_arrivals = 0.0;
        let mut updated_at = Instant::now();
        let mut next_arrival = -(1.0 - self.rng.borrow_mut().f64()).ln();
        loop {
            smol::Timer::after(Duration::from_millis(20)).await;
            let now = Instant::now();
            expected_arrivals += rate(self) * now.duration_since(updated_at).as_secs_f64();
            updated_at = now;
            while expected_arrivals >= next_arrival {
                expected_arrivals -= next_arrival;
                next_arrival = -(1.0 - self.rng.borrow_mut().f64()).ln();
                let (users, spec) = (self.clone(), new_spec(self));
                executor.spawn(async move { users.run_job(spec, timed).await }).detach();
            }
        }
    }

    /// Submits the region's services; returns once each was accepted, refused or abandoned.
    pub async fn submit_services(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let remaining = Rc::new(Cell::new(self.load.services));
        let mut submissions = Vec::new();
        for _ in 0..CONCURRENT_SUBMISSIONS {
            let (users, remaining, spawner) = (self.clone(), remaining.clone(), executor.clone());
            submissions.push(executor.spawn(async move {
                while remaining.get() > 0 {
                    remaining.set(remaining.get() - 1);
                    let spec = users.service();
                    if users.submit(&spec, false).await {
                        let users = users.clone();
                        spawner.spawn(async move { users.poll_until_done(&spec).await }).detach();
                    }
                }
            }));
        }
        for submission in submissions {
            submission.await;
        }
    }

    fn new_id(&self) -> Name {
        let number = self.next_job_number.get();
        self.next_job_number.set(number + 1);
        format!("j-{:02}{number:010}", self.region + 1).into()
    }

    fn base_spec(&self, tasks: u32) -> JobSpec {
        let id = self.new_id();
        let team = self.rng.borrow_mut().usize(0..self.teams);
        JobSpec {
            team: format!("team-{team:04}").into(),
            memory_gb: 1.0,
            image: "tools".into(),
            image_gb: 0.05,
            spot: false,
            ..(*example::job_array(&id, tasks)).clone()
        }
    }

    fn service(&self) -> JobSpec {
        let spec = self.base_spec(SERVICE_REPLICAS);
        JobSpec {
            class: "serve".into(),
            shape: Shape::Service,
            priority: Priority::High,
            spread_by_zone: true,
            estimated_run_time_s: 0.0,
            ..spec
        }
    }

    fn array(&self) -> JobSpec {
        JobSpec {
            class: "sweep".into(),
            estimated_run_time_s: self.arrays.get().task_duration_s,
            ..self.base_spec(ARRAY_TASKS)
        }
    }

    fn gang(&self) -> JobSpec {
        let total_weight: u32 = GANG_SIZES.iter().map(|gang| gang.1).sum();
        let mut position = self.rng.borrow_mut().u32(0..total_weight);
        let mut tasks = GANG_SIZES[0].0;
        for (size, weight) in GANG_SIZES {
            tasks = size;
            if position < weight {
                break;
            }
            position -= weight;
        }
        let spec = self.base_spec(tasks);
        JobSpec {
            class: "train".into(),
            shape: Shape::Gang,
            one_zone: true,
            gpus: 1.0,
            estimated_run_time_s: GANG_TASK_DURATION_S,
            ..spec
        }
    }

    fn urgent(&self) -> JobSpec {
        let spec = self.base_spec(URGENT_TASKS);
        JobSpec {
            class: "urgent".into(),
            priority: Priority::Production,
            estimated_run_time_s: URGENT_TASK_DURATION_S,
            ..spec
        }
    }

    /// Returns a randomly chosen healthy controller, or `None` if there is none.
    fn choose_controller(&self) -> Option<SocketAddr> {
        let balancer = self.balancer.borrow();
        let healthy: Vec<usize> = (0..self.controllers.len()).filter(|index| balancer.is_healthy(*index)).collect();
        let index = self.rng.borrow_mut().choice(healthy)?;
        Some(self.controllers[index])
    }

    async fn request(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let address = self.choose_controller()?;
        self.requests.set(self.requests.get() + 1);
        self.client.send(address, method, target, body, timeout).await.ok()
    }

    /// Submits a job and, if it was accepted, polls it until it is done.
    async fn run_job(&self, spec: JobSpec, timed: bool) {
        if self.submit(&spec, timed).await {
            self.poll_until_done(&spec).await;
        }
    }

    /// Uploads and submits a job; reports whether the job was accepted.  If `timed` is set, the time
    /// until all tasks of the job have started is measured.
    async fn submit(&self, spec: &JobSpec, timed: bool) -> bool {
        let upload = Upload { specs: vec![spec.clone()], timed };
        if let Err(error) = send::<_, AffectedMachines>(&self.client, self.workers, path::UPLOAD, &upload).await {
            tracing::error!("cannot upload a job description to the workers' process: {error}");
            return false;
        }
        let (body, submitted_at) = (http::encode(spec), Instant::now());
        while submitted_at.elapsed() < SUBMIT_TOTAL_TIMEOUT {
            match self.request("POST", "/v2/runs", Some(&body), SUBMIT_REQUEST_TIMEOUT).await {
                Some((200 | 201, _)) => {
                    self.measurements.record_acceptance(&spec.id, submitted_at, timed);
                    return true;
                }
                Some((status @ (400 | 422), _)) => {
                    self.measurements
                        .violations
                        .borrow_mut()
                        .push(format!("job {} of team {} was refused with status {status}", spec.id, spec.team));
                    return false;
                }
                _ => drop(smol::Timer::after(RETRY_DELAY).await),
            }
        }
        false
    }

    /// Polls a job until it is done, and once more to check that it stays done.
    async fn poll_until_done(&self, spec: &JobSpec) {
        let target = format!("/v2/runs/{}", spec.id);
        loop {
            smol::Timer::after(POLL_INTERVAL).await;
            let Some((status, body)) = self.request("GET", &target, None, POLL_REQUEST_TIMEOUT).await else { continue };
            if status == 404 {
                self.measurements
                    .violations
                    .borrow_mut()
                    .push(format!("job {} was accepted but is not known any more (status 404)", spec.id));
                return;
            }
            let stage = http::decode::<JobState>(&body).map(|state| state.stage).unwrap_or_default();
            let was_done = self.done_jobs.borrow().contains(&spec.id);
            match (stage.as_str(), was_done) {
                ("done", true) => {
                    self.done_jobs.borrow_mut().remove(&spec.id);
                    return;
                }
                ("done", false) => drop(self.done_jobs.borrow_mut().insert(spec.id.clone())),
                ("cancelled", _) => {
                    self.measurements
                        .violations
                        .borrow_mut()
                        .push(format!("job {} is cancelled, but no user cancelled it", spec.id));
                    return;
                }
                (other @ ("pending" | "running"), true) => {
                    self.measurements
                        .violations
                        .borrow_mut()
                        .push(format!("job {} is {other} after it was done", spec.id));
                    return;
                }
                _ => {}
            }
        }
    }
}
