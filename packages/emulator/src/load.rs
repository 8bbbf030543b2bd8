//! Load and experiments: jobs that arrive whether or not the last ones were
//! answered, by the library or by a client that sends one request at a time,
//! against a cluster of this machine, with faults.
//!
//! Times are counted from when a job should have been sent, so a service that
//! stands still is charged for all that it kept waiting.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coralnotch_client::{fresh_id, Client, Counters, Final, Settings};
use coralnotch_wire::example;
use coralnotch_wire::http::{self, Client as Http};
use coralnotch_wire::model::{JobSpec, JobState, Name};
use fastrand::Rng;
use futures_lite::future::or;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::faults;
use crate::history::{check, Given};
use crate::up::{self, Options, Size};

/// Who submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Users {
    /// The client library.
    Library,
    /// One request at a time, again after a second, as `coralnotch submit` was.
    OneRequest,
}

/// A scenario, as its file has it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of arrivals and of the stand-ins' chances.
    #[serde(default = "one")]
    pub seed: u64,
    /// Who submits.
    pub users: Users,
    /// Independent clients; jobs go round among them.
    #[serde(default = "one")]
    pub clients: u64,
    /// With the library: whether retries keep to their budget.
    #[serde(default = "yes")]
    pub retry_budget: bool,
    /// Arrivals a second, at random times.
    #[serde(default)]
    pub rate: f64,
    /// For how long jobs arrive, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Arrivals at given times instead, in seconds.
    #[serde(default)]
    pub trace_s: Vec<f64>,
    /// How long to wait for answers after the last arrival, in seconds.
    pub settle_s: f64,
    /// Jobs may be unfinished at the end: no answer is missing then.
    #[serde(default)]
    pub unfinished: bool,
    /// Tasks of a job.
    #[serde(default = "one")]
    pub tasks: u64,
    /// Time of a task, in seconds.
    pub expect_s: f64,
    /// Machines of each type, zone and kind.
    #[serde(default = "dozen")]
    pub capacity: usize,
    /// How much the services allow.
    #[serde(default)]
    pub cluster: Size,
    /// What goes wrong, from when the cluster is ready.
    #[serde(default, rename = "fault", skip_serializing)]
    pub faults: Vec<toml::Table>,
}

fn one() -> u64 {
    1
}
fn yes() -> bool {
    true
}
fn dozen() -> usize {
    12
}

/// Most jobs of a scenario.
const JOBS_MOST: usize = 100_000;
/// One try of the one-request client, and its pause.
const TRY: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);

impl Scenario {
    /// Reads a scenario; the error is all that is wrong with it.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let s: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim().to_owned())?;
        let mut wrong = Vec::new();
        let mut must = |ok: bool, why: &str| {
            if !ok {
                wrong.push(why.to_owned());
            }
        };
        let amount = |v: f64| v.is_finite() && v >= 0.0;
        must(
            amount(s.rate) && amount(s.for_s) && amount(s.settle_s) && amount(s.expect_s),
            "a time or rate is negative",
        );
        must(s.trace_s.iter().all(|t| amount(*t)), "trace_s has a negative time");
        must(s.trace_s.is_empty() == (s.rate * s.for_s > 0.0), "either rate and for_s, or trace_s");
        must(s.rate * s.for_s <= JOBS_MOST as f64 && s.trace_s.len() <= JOBS_MOST, "more than 100000 jobs");
        must((1..=20_000).contains(&s.clients), "clients: from 1 to 20000");
        must((1..=1000).contains(&s.tasks), "tasks: from 1 to 1000");
        must(s.cluster.state_rps >= 10.0 && s.cluster.write_rps >= 10.0, "cluster: rates of at least 10");
        if let Err(e) = faults::plan(s.faults.clone(), 3) {
            wrong.push(e.to_string());
        }
        match wrong.is_empty() {
            true => Ok(s),
            false => Err(wrong.join("\n")),
        }
    }

    /// When jobs arrive, from the start.
    pub fn arrivals(&self) -> Vec<Duration> {
        let mut rng = Rng::with_seed(self.seed);
        let mut at: Vec<f64> = self.trace_s.clone();
        let mut t = 0.0;
        while self.trace_s.is_empty() && at.len() < JOBS_MOST {
            t += -(1.0 - rng.f64()).ln() / self.rate;
            if t > self.for_s {
                break;
            }
            at.push(t);
        }
        at.sort_by(f64::total_cmp);
        at.into_iter().map(Duration::from_secs_f64).collect()
    }

    fn job(&self, id: Name) -> JobSpec {
        JobSpec {
            class: "demo".into(),
            team: "demo".into(),
            cpus: 0.5,
            memory: 0.5,
            image: "load-image".into(),
            image_gb: 0.1,
            estimate_s: self.expect_s,
            ..(*example::spec(&id, self.tasks as u32)).clone()
        }
    }
}

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Times {
    /// How many.
    pub count: u64,
    /// Half were quicker.
    pub p50_ms: f64,
    /// 99 of 100 were quicker.
    pub p99_ms: f64,
    /// 999 of 1,000 were quicker.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// Share and time of a curve of quantiles.
    pub curve: Vec<(f64, f64)>,
}

impl Times {
    fn of(h: &Histogram<u64>) -> Times {
        let at = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let curve = (0..=100).map(|p| p as f64 / 100.0).chain([0.995, 0.999]).map(|q| (q, at(q))).collect();
        Times { count: h.len(), p50_ms: at(0.5), p99_ms: at(0.99), p999_ms: at(0.999), max_ms: at(1.0), curve }
    }
}

/// What came of a scenario.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The scenario.
    pub scenario: Scenario,
    /// Jobs that arrived.
    pub jobs: usize,
    /// Accepted a second, from the first arrival to the last acceptance.
    pub accepted_per_s: f64,
    /// From a job's arrival to its acceptance.
    pub accept: Times,
    /// From a job's arrival to its final answer.
    pub answer: Times,
    /// Users' requests that reached the balancer, by second.
    pub requests: Vec<u64>,
    /// The same for each job.
    pub requests_per_job: f64,
    /// Rules that were seen broken, and answers that are wrong or missing.
    pub wrong: Vec<String>,
}

/// What the users of a run note down.
struct Notes {
    accept: Mutex<Histogram<u64>>,
    answer: Mutex<Histogram<u64>>,
    last_accept: Mutex<Option<Instant>>,
    given: Mutex<Vec<Given>>,
    over: AtomicU64,
}

/// In microseconds, three digits; it grows to what it is given.
fn histogram() -> Result<Mutex<Histogram<u64>>, Error> {
    Histogram::new(3).map(Mutex::new).map_err(|e| Error::Failed(e.to_string()))
}

impl Notes {
    fn accepted(&self, due: Instant) {
        let now = Instant::now();
        let _ = lock(&self.accept).record((now - due).as_micros() as u64);
        *lock(&self.last_accept) = Some(now);
    }

    fn answered(&self, id: Name, answer: &str, due: Instant) {
        let now = Instant::now();
        let _ = lock(&self.answer).record((now - due).as_micros() as u64);
        lock(&self.given).push(Given { id, answer: answer.into(), seen: Some(now) });
        self.over.fetch_add(1, Ordering::Relaxed);
    }
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// One job of the one-request client, to its end.
async fn one_request(to: SocketAddr, http: &Http, spec: JobSpec, due: Instant, notes: &Notes) {
    let body = http::encode(&spec);
    loop {
        match http.send(to, "POST", "/v2/runs", Some(&body), TRY).await {
            Ok((200 | 201, _)) => break,
            Ok((400 | 422, _)) => return notes.answered(spec.id, "refused", due),
            _ => smol::Timer::after(PAUSE).await,
        };
    }
    notes.accepted(due);
    loop {
        smol::Timer::after(PAUSE).await;
        let got = http.send(to, "GET", &format!("/v2/runs/{}", spec.id), None, TRY).await;
        if let Ok((200, body)) = got {
            let stage = http::decode::<JobState>(&body).map(|s| s.stage);
            if let Ok(end @ ("done" | "cancelled")) = stage.as_deref() {
                return notes.answered(spec.id, end, due);
            }
        }
    }
}

/// One job of the library, to its end.
async fn by_library(client: &Client, spec: JobSpec, due: Instant, notes: &Notes) {
    let (id, mut changes) = (spec.id.clone(), client.changes());
    let Ok(handle) = client.submit(spec).await else { return };
    let accepted = async {
        loop {
            match changes.recv().await {
                Ok(c) if c.id == id => return,
                Err(async_broadcast::RecvError::Closed) => return,
                _ => {}
            }
        }
    };
    accepted.await;
    drop(changes);
    notes.accepted(due);
    match handle.take().await {
        Ok(Final::Done) => notes.answered(id, "done", due),
        Ok(Final::Cancelled) => notes.answered(id, "cancelled", due),
        Ok(Final::Refused { .. }) => notes.answered(id, "refused", due),
        Err(_) => {}
    }
}

async fn play(s: &Scenario, to: SocketAddr, notes: Arc<Notes>) -> Result<(usize, Instant), Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Failed(e.to_string());
    let mut library = Vec::new();
    let https: Vec<Arc<Http>> = (0..s.clients).map(|_| Arc::new(Http::new(1))).collect();
    if s.users == Users::Library {
        for _ in 0..s.clients {
            let mut settings = Settings::new(vec![to]);
            settings.retry_budget = s.retry_budget;
            // where there are many clients each has little to keep open
            settings.max_idle_connections = if s.clients > 1000 { 0 } else { 8 };
            library.push(Client::open(settings).await.map_err(|e| failed(&e))?);
        }
    }
    let began = Instant::now();
    let arrivals = s.arrivals();
    let bar = ProgressBar::new(arrivals.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} over, {elapsed}") {
        bar.set_style(style);
    }
    let mut tasks = Vec::new();
    for (n, at) in arrivals.iter().enumerate() {
        let due = began + *at;
        smol::Timer::at(due).await;
        bar.set_position(notes.over.load(Ordering::Relaxed));
        let spec = s.job(fresh_id().map_err(|e| failed(&e))?);
        let (k, notes) = (n % s.clients as usize, notes.clone());
        tasks.push(match library.get(k).cloned() {
            Some(c) => smol::spawn(async move { by_library(&c, spec, due, &notes).await }),
            None => {
                let http = https[k].clone();
                smol::spawn(async move { one_request(to, &http, spec, due, &notes).await })
            }
        });
    }
    let settle = Instant::now() + Duration::from_secs_f64(s.settle_s);
    let all = async {
        for t in tasks {
            t.await;
        }
    };
    let shown = async {
        loop {
            smol::Timer::after(Duration::from_millis(200)).await;
            bar.set_position(notes.over.load(Ordering::Relaxed));
        }
    };
    let late = async {
        smol::Timer::at(settle).await;
    };
    or(all, or(shown, late)).await;
    bar.finish_and_clear();
    let sum = library.iter().map(Client::counters).fold(Counters::default(), |a, b| Counters {
        requests: a.requests + b.requests,
        retries: a.retries + b.retries,
        held_back: a.held_back + b.held_back,
        ..a
    });
    if s.users == Users::Library {
        println!(
            "library: {} requests, {} of them retries, {} times held back",
            sum.requests, sum.retries, sum.held_back
        );
    }
    Ok((arrivals.len(), began))
}

/// Runs a scenario on a cluster of its own.
pub fn run(s: &Scenario, controller: Option<PathBuf>) -> Result<Report, Error> {
    let plan = faults::plan(s.faults.clone(), 3).map_err(|e| Error::Input(e.to_string()))?;
    let options = Options {
        upgrade: None,
        port: 0,
        controller,
        dir: None,
        seed: s.seed,
        capacity: s.capacity,
        demo: false,
        faults: None,
        size: s.cluster,
        plan,
        exit: false,
    };
    let (stop, stopped) = smol::channel::bounded(1);
    let (ready_sender, ready) = std::sync::mpsc::channel();
    let cluster = std::thread::spawn(move || {
        up::run(&options, stopped, move |addr| {
            let _ = ready_sender.send(addr);
        })
    });
    let notes = Arc::new(Notes {
        accept: histogram()?,
        answer: histogram()?,
        last_accept: Mutex::default(),
        given: Mutex::default(),
        over: AtomicU64::new(0),
    });
    let played = match ready.recv() {
        Ok(to) => smol::block_on(play(s, to, notes.clone())),
        Err(_) => Err(Error::Failed("the cluster did not get ready".into())),
    };
    let _ = stop.try_send(());
    let over = cluster.join().unwrap_or_else(|_| Err(Error::Failed("the cluster's thread ended".into())))?;
    let (jobs, began) = played?;
    let given = lock(&notes.given).clone();
    let accept = Times::of(&lock(&notes.accept));
    let spent = lock(&notes.last_accept).map_or(0.0, |t| t.duration_since(began).as_secs_f64());
    let answer = Times::of(&lock(&notes.answer));
    let requests = over.requests_per_second.clone();
    let due = if s.unfinished { given.len() } else { jobs };
    let mut wrong = check(due, &given, None, &over.completed_at);
    wrong.extend(over.violations);
    Ok(Report {
        scenario: s.clone(),
        jobs,
        accepted_per_s: if spent > 0.0 { accept.count as f64 / spent } else { 0.0 },
        answer,
        requests_per_job: requests.iter().sum::<u64>() as f64 / jobs.max(1) as f64,
        accept,
        requests,
        wrong,
    })
}

/// Reads a report.
pub fn read(file: &Path) -> Result<Report, Error> {
    let text = fs::read_to_string(file).map_err(|e| Error::Input(format!("{}: {e}", file.display())))?;
    serde_json::from_str(&text).map_err(|e| Error::Input(format!("{}: {e}", file.display())))
}

/// A figure of a report, as text.
type Figure = dyn Fn(&Report) -> String;

/// Figures of reports side by side, a line each.
pub fn table(reports: &[(&str, &Report)]) -> String {
    let rows: [(&str, &Figure); 12] = [
        ("users", &|r| format!("{:?}", r.scenario.users)),
        ("jobs", &|r| r.jobs.to_string()),
        ("answered", &|r| r.answer.count.to_string()),
        ("accepted a second", &|r| format!("{:.1}", r.accepted_per_s)),
        ("to accept, ms: p50", &|r| format!("{:.0}", r.accept.p50_ms)),
        ("  p99", &|r| format!("{:.0}", r.accept.p99_ms)),
        ("  p99.9", &|r| format!("{:.0}", r.accept.p999_ms)),
        ("to answer, ms: p50", &|r| format!("{:.0}", r.answer.p50_ms)),
        ("  p99", &|r| format!("{:.0}", r.answer.p99_ms)),
        ("  p99.9", &|r| format!("{:.0}", r.answer.p999_ms)),
        ("requests a job", &|r| format!("{:.1}", r.requests_per_job)),
        ("most requests in a second", &|r| r.requests.iter().max().copied().unwrap_or(0).to_string()),
    ];
    let mut text = format!("{:28}", "");
    for (name, _) in reports {
        text += &format!("{name:>16}");
    }
    for (what, of) in rows {
        text += &format!("\n{what:28}");
        for (_, r) in reports {
            text += &format!("{:>16}", of(r));
        }
    }
    text
}

#[cfg(test)]
mod tests;
