//! Load runs: jobs that arrive whether or not earlier ones were answered, submitted with the client
//! library or with one request at a time, against a cluster on this machine, with faults.
//!
//! Times count from when a job should have been sent, so a service that stalls is charged for all
//! that it kept waiting.

mod observations;
mod report;
mod scenario;
mod users;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

use coralnotch_client::{fresh_id, Client, Counters, Settings};
use coralnotch_wire::http::Client as HttpClient;
use futures_lite::future::or;
use indicatif::{ProgressBar, ProgressStyle};
use smol::Task;

pub use self::report::{read, table, Report, Times};
pub use self::scenario::{Scenario, ScenarioError, Users};

use self::observations::{lock, Observations};
use self::scenario::CONTROLLERS;
use crate::error::Error;
use crate::faults;
use crate::history::check;
use crate::up::{self, Options};

/// Interval at which the progress is shown.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Connections that a client of the library keeps open; with very many clients it keeps none.
const IDLE_CONNECTIONS: usize = 8;
const MANY_CLIENTS: u64 = 1000;

/// When a run began, and how many jobs arrived in it.
struct Played {
    jobs: usize,
    began: Instant,
}

/// Runs a scenario on a cluster of its own; `controller` is the program of the controllers, the one
/// beside this program if `None`.
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
    let played = match ready.recv() {
        Ok(balancer) => smol::block_on(play(scenario, balancer, &observations)),
        Err(_) => Err(Error::Failed("the cluster did not get ready".into())),
    };
    let _ = stop.try_send(());
    let seen = cluster.join().unwrap_or_else(|_| Err(Error::Failed("the cluster's thread ended".into())))?;
    Ok(report(scenario, &played?, &observations, seen))
}

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
        size: scenario.cluster,
        plan,
        exit: false,
    })
}

fn report(scenario: &Scenario, played: &Played, observations: &Observations, seen: up::Report) -> Report {
    let answers = lock(&observations.answers).clone();
    let accept = Times::of(&lock(&observations.accept));
    let last_accept = *lock(&observations.last_accept);
    let accepting_s = last_accept.map_or(0.0, |at| at.duration_since(played.began).as_secs_f64());
    let expected_answers = if scenario.unfinished { answers.len() } else { played.jobs };
    let mut wrong = check(expected_answers, &answers, None, &seen.completed_at);
    wrong.extend(seen.violations);
    let requests = seen.requests_per_second;
    Report {
        scenario: scenario.clone(),
        jobs: played.jobs,
        accepted_per_s: if accepting_s > 0.0 { accept.count as f64 / accepting_s } else { 0.0 },
        answer: Times::of(&lock(&observations.answer)),
        requests_per_job: requests.iter().sum::<u64>() as f64 / played.jobs.max(1) as f64,
        accept,
        requests,
        wrong,
    }
}

/// Sends each job when it is due, and waits for the answers as long as the scenario says.
async fn play(scenario: &Scenario, balancer: SocketAddr, observations: &Arc<Observations>) -> Result<Played, Error> {
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
    Ok(Played { jobs: arrivals.len(), began })
}

fn progress_bar(jobs: usize) -> ProgressBar {
    let bar = ProgressBar::new(jobs as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} over, {elapsed}") {
        bar.set_style(style);
    }
    bar
}

/// The clients of a run.
enum Clients {
    Library(Vec<Client>),
    Http { balancer: SocketAddr, clients: Vec<Arc<HttpClient>> },
}

impl Clients {
    async fn open(scenario: &Scenario, balancer: SocketAddr) -> Result<Clients, Error> {
        if scenario.users == Users::OneRequest {
            let clients = (0..scenario.clients).map(|_| Arc::new(HttpClient::new(1))).collect();
            return Ok(Clients::Http { balancer, clients });
        }
        let mut clients = Vec::new();
        for _ in 0..scenario.clients {
            let mut settings = Settings::new(vec![balancer]);
            settings.retry_budget = scenario.retry_budget;
            settings.max_idle_connections = if scenario.clients > MANY_CLIENTS { 0 } else { IDLE_CONNECTIONS };
            clients.push(Client::open(settings).await.map_err(failed)?);
        }
        Ok(Clients::Library(clients))
    }

    /// Starts a user with a job that is due; it is cancelled when the task is dropped.
    fn start_user(
        &self,
        scenario: &Scenario,
        index: usize,
        due: Instant,
        observations: &Arc<Observations>,
    ) -> Result<Task<()>, Error> {
        let spec = scenario.job(fresh_id().map_err(failed)?);
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

    /// Prints what the library's clients counted, all together.
    fn print_counters(&self) {
        let Clients::Library(clients) = self else { return };
        let sum = clients.iter().map(Client::counters).fold(Counters::default(), |sum, counters| Counters {
            requests: sum.requests + counters.requests,
            retries: sum.retries + counters.retries,
            held_back: sum.held_back + counters.held_back,
            ..sum
        });
        println!(
            "library: {} requests, {} of them retries, {} times held back",
            sum.requests, sum.retries, sum.held_back
        );
    }
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed(error.to_string())
}

#[cfg(test)]
mod tests;
