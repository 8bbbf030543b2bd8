//! The `load` command: an open-loop load test of a cluster on this machine, with faults.  Jobs arrive
//! whether or not earlier ones have been answered, and are submitted either with the client library
//! or with one request at a time.
//!
//! Latencies are measured from the time when a job should have been sent, not from when it was sent.
//! They therefore include the delay of every job that a stalled service kept waiting.

mod observations;
mod report;
mod scenario;
mod users;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

use coralnotch_client::{generate_job_id, Client, Counters, Settings};
use coralnotch_wire::http::Client as HttpClient;
use futures_lite::future::or;
use indicatif::{ProgressBar, ProgressStyle};
use smol::Task;

pub use self::report::{read, table, LatencySummary, Report};
pub use self::scenario::{Scenario, ScenarioError, Users};

use self::observations::{lock, Observations};
use self::scenario::CONTROLLERS;
use crate::error::Error;
use crate::faults;
use crate::history::find_violations;
use crate::up::{self, Options};

/// Interval at which the progress bar is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Idle connections that each client of the library keeps open.
const IDLE_CONNECTIONS: usize = 8;
/// Largest number of clients that keep idle connections; with more clients, none is kept.
const MAX_CLIENTS_WITH_IDLE_CONNECTIONS: u64 = 1000;

/// The load that was generated in a run.
struct GeneratedLoad {
    /// Number of jobs that arrived.
    jobs: usize,
    /// Start of the run, from which the times of arrival count.
    began: Instant,
}

/// Runs a scenario on a new cluster.  `controller` is the path of the controller program; `None`
/// selects `coralnotch` in the directory of this program.
///
/// # Errors
///
/// Returns [`Error::Input`] if the fault plan or the controller program cannot be used, and the error
/// of [`up::run`] if the cluster fails.  Returns [`Error::Failed`] if a client cannot be opened.
pub fn run(scenario: &Scenario, controller: Option<PathBuf>) -> Result<Report, Error> {
    let options = cluster_options(scenario, controller)?;
    let (stop, stopped) = smol::channel::bounded(1);
    let (ready_sender, ready) = mpsc::channel();
    let cluster = thread::spawn(move || {
        up::run(&options, stopped, move |addr| {
            let _ = ready_sender.send(addr);
        })
    });
    let observations = Arc::new(Observations::new().map_err(failed)?);
    let generated = match ready.recv() {
        Ok(balancer) => smol::block_on(generate_load(scenario, balancer, &observations)),
        Err(_) => Err(Error::Failed("the cluster ended before a controller became ready".into())),
    };
    let _ = stop.try_send(());
    let cluster_report =
        cluster.join().unwrap_or_else(|_| Err(Error::Failed("the thread of the cluster panicked".into())))?;
    Ok(report(scenario, &generated?, &observations, cluster_report))
}

/// Returns the options of a cluster for the scenario.
fn cluster_options(scenario: &Scenario, controller: Option<PathBuf>) -> Result<Options, Error> {
    let plan = faults::plan(scenario.faults.clone(), CONTROLLERS).map_err(|error| Error::Input(error.to_string()))?;
    Ok(Options {
        upgrade: None,
        port: 0,
        controller,
        dir: None,
        seed: scenario.seed,
        capacity: scenario.capacity,
        demo: false,
        faults: None,
        limits: scenario.cluster,
        plan,
        exit: false,
    })
}

/// Creates the report of a run and checks the answers that the users were given.
fn report(
    scenario: &Scenario,
    generated: &GeneratedLoad,
    observations: &Observations,
    cluster_report: up::Report,
) -> Report {
    let answers = lock(&observations.answers).clone();
    let accept = LatencySummary::from_histogram(&lock(&observations.accept));
    let last_accept = *lock(&observations.last_accept);
    let accepting_s = last_accept.map_or(0.0, |at| at.duration_since(generated.began).as_secs_f64());
    let expected_answers = if scenario.unfinished { answers.len() } else { generated.jobs };
    let mut wrong = find_violations(expected_answers, &answers, None, &cluster_report.completed_at);
    wrong.extend(cluster_report.violations);
    let requests = cluster_report.requests_per_second;
    Report {
        scenario: scenario.clone(),
        jobs: generated.jobs,
        accepted_per_s: if accepting_s > 0.0 { accept.count as f64 / accepting_s } else { 0.0 },
        answer: LatencySummary::from_histogram(&lock(&observations.answer)),
        requests_per_job: requests.iter().sum::<u64>() as f64 / generated.jobs.max(1) as f64,
        accept,
        requests,
        wrong,
    }
}

/// Submits each job at its time of arrival, then waits until all jobs have a final answer, at most
/// `settle_s` after the last arrival.
async fn generate_load(
    scenario: &Scenario,
    balancer: SocketAddr,
    observations: &Arc<Observations>,
) -> Result<GeneratedLoad, Error> {
    let clients = Clients::open(scenario, balancer).await?;
    let began = Instant::now();
    let arrivals = scenario.arrivals();
    let bar = progress_bar(arrivals.len());
    let mut users = Vec::new();
    for (n, arrival) in arrivals.iter().enumerate() {
        let due = began + *arrival;
        smol::Timer::at(due).await;
        bar.set_position(observations.answered_jobs());
        let client = n % scenario.clients as usize;
        users.push(clients.start_user(scenario, client, due, observations)?);
    }
    let deadline = Instant::now() + Duration::from_secs_f64(scenario.settle_s);
    let all_answered = async {
        for user in users {
            user.await;
        }
    };
    let show_progress = async {
        loop {
            smol::Timer::after(PROGRESS_INTERVAL).await;
            bar.set_position(observations.answered_jobs());
        }
    };
    let timeout = async {
        smol::Timer::at(deadline).await;
    };
    or(all_answered, or(show_progress, timeout)).await;
    bar.finish_and_clear();
    clients.print_counters();
    Ok(GeneratedLoad { jobs: arrivals.len(), began })
}

fn progress_bar(jobs: usize) -> ProgressBar {
    let bar = ProgressBar::new(jobs as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs answered, {elapsed}") {
        bar.set_style(style);
    }
    bar
}

/// The clients of a run, to which the jobs are assigned in rotation.
enum Clients {
    /// Clients of the client library.
    Library(Vec<Client>),
    /// Plain HTTP clients that send one request at a time.
    Http { balancer: SocketAddr, clients: Vec<Arc<HttpClient>> },
}

impl Clients {
    /// Opens the clients that the scenario asks for.
    async fn open(scenario: &Scenario, balancer: SocketAddr) -> Result<Clients, Error> {
        if scenario.users == Users::OneRequest {
            let clients = (0..scenario.clients).map(|_| Arc::new(HttpClient::new(1))).collect();
            return Ok(Clients::Http { balancer, clients });
        }
        let mut clients = Vec::new();
        for _ in 0..scenario.clients {
            let mut settings = Settings::new(vec![balancer]);
            settings.retry_budget = scenario.retry_budget;
            settings.max_idle_connections =
                if scenario.clients > MAX_CLIENTS_WITH_IDLE_CONNECTIONS { 0 } else { IDLE_CONNECTIONS };
            clients.push(Client::open(settings).await.map_err(failed)?);
        }
        Ok(Clients::Library(clients))
    }

    /// Starts a user that submits one job with the client `index`.  Latencies count from `due`.
    /// Dropping the returned task stops the user.
    fn start_user(
        &self,
        scenario: &Scenario,
        index: usize,
        due: Instant,
        observations: &Arc<Observations>,
    ) -> Result<Task<()>, Error> {
        let spec = scenario.job(generate_job_id().map_err(failed)?);
        let observations = observations.clone();
        Ok(match self {
            Clients::Library(clients) => {
                let client = clients[index].clone();
                smol::spawn(async move { users::run_with_library(&client, spec, due, &observations).await })
            }
            Clients::Http { balancer, clients } => {
                let (balancer, client) = (*balancer, clients[index].clone());
                smol::spawn(async move { users::run_with_requests(balancer, &client, spec, due, &observations).await })
            }
        })
    }

    /// Prints the sums of the counters of all library clients; prints nothing for HTTP clients.
    fn print_counters(&self) {
        let Clients::Library(clients) = self else { return };
        let sum = clients.iter().map(Client::counters).fold(Counters::default(), |sum, counters| Counters {
            requests: sum.requests + counters.requests,
            retries: sum.retries + counters.retries,
            delayed_retries: sum.delayed_retries + counters.delayed_retries,
            ..sum
        });
        println!(
            "client library: {} requests, {} of them retries, {} delays by the retry budget",
            sum.requests, sum.retries, sum.delayed_retries
        );
    }
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed(error.to_string())
}

#[cfg(test)]
mod tests;
