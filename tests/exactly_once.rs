//! Checks that each job gets exactly one final answer while real controller and client processes are
//! killed at random.  A job is stored twice if a client loses its ids in a crash, or if it retries a
//! submission under a new id.  Two more tests cause these two faults and require that the checker
//! reports them.
//!
//! The long run is ignored by default.  Its command is
//! `cargo test --release --test exactly_once -- --ignored --nocapture`

mod common;
#[path = "common/stored_jobs.rs"]
mod stored_jobs;

use std::collections::{HashMap, HashSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::{small_job, test_dir, Cluster, ClusterConfig, PROGRAM};
use coralnotch::commands::submit::AnswerLine;
use coralnotch::http::{self, Client};
use coralnotch::model::{JobState, Name};
use coralnotch_client::{generate_job_id, FinalAnswer};
use coralnotch_emulator::history::{self, UserAnswer};
use stored_jobs::stored_jobs;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes a file of jobs without ids, one JSON object per line, as input for `coralnotch submit`.
fn write_jobs(file: &Path, jobs: usize) {
    let mut spec = serde_json::to_value(small_job("j-1".into())).expect("a job specification can be serialized");
    spec.as_object_mut().expect("a job specification is a JSON object").remove("nameId");
    let mut lines = String::new();
    for n in 0..jobs {
        spec["lane"] = format!("demo-{n}").into();
        lines += &format!("{spec}\n");
    }
    fs::write(file, lines).expect("the job file can be written");
}

/// A `coralnotch submit` process that submits a file of jobs and waits for all final answers.
struct Submitter {
    args: Vec<String>,
    /// Output file to which the process appends the answers.
    answers_file: PathBuf,
    process: Option<Child>,
    /// Whether the process has exited successfully.
    finished: bool,
}

impl Submitter {
    /// Starts client `number`.  A client with a journal resumes its jobs after a crash; one without a
    /// journal submits them again under new ids.
    fn start(dir: &Path, number: usize, jobs: usize, balancer: SocketAddr, journal: bool) -> Submitter {
        let path = |name: &str| dir.join(format!("{name}-{number}"));
        write_jobs(&path("jobs"), jobs);
        let text = |path: PathBuf| path.display().to_string();
        let mut args = vec!["submit".into(), text(path("jobs")), "--node".into(), balancer.to_string()];
        args.extend(["--wait", "--patience", "0", "--out"].map(String::from));
        args.push(text(path("out")));
        if journal {
            args.extend(["--journal".into(), text(path("journal"))]);
        }
        let mut submitter = Submitter { args, answers_file: path("out"), process: None, finished: false };
        submitter.spawn();
        submitter
    }

    fn spawn(&mut self) {
        let process = Command::new(PROGRAM).args(&self.args).stdout(Stdio::null()).stderr(Stdio::inherit()).spawn();
        self.process = Some(process.expect("the client program starts"));
    }

    /// Records whether the process has exited.
    ///
    /// # Panics
    ///
    /// If the process failed.
    fn poll(&mut self) {
        if let Some(Ok(Some(status))) = self.process.as_mut().map(Child::try_wait) {
            assert!(status.success(), "client {:?} failed: {status}", self.args);
            self.finished = true;
        }
    }

    /// Kills the process and starts it again, unless it has finished.
    fn crash(&mut self) {
        if self.finished {
            return;
        }
        self.kill();
        self.spawn();
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the answers that the client has written so far, without an incomplete last line.
    fn answers(&self) -> Vec<AnswerLine> {
        let text = fs::read_to_string(&self.answers_file).unwrap_or_default();
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        complete.lines().map(|line| serde_json::from_str(line).expect("a complete line is a valid answer")).collect()
    }
}

impl Drop for Submitter {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the checker on the answers and returns the violations that it finds.
///
/// `first_seen` and `completed` have the times at which an answer was first seen and a job completed.
fn check(
    jobs: usize,
    answers: &[AnswerLine],
    first_seen: &HashMap<Name, Instant>,
    stored: &HashSet<Name>,
    completed: &HashMap<Name, Instant>,
) -> Vec<String> {
    let given = |line: &AnswerLine| UserAnswer {
        id: line.id.clone(),
        answer: if line.answer == FinalAnswer::Done { "done".into() } else { format!("{:?}", line.answer) },
        first_seen_at: first_seen.get(&line.id).copied(),
    };
    let given: Vec<UserAnswer> = answers.iter().map(given).collect();
    history::find_violations(jobs, &given, Some(stored), completed)
}

/// A crash of one client.
struct ClientCrash {
    /// Seconds after the clients started.
    at_s: f64,
    /// Index of the client.
    client: usize,
}

/// Runs the clients until all have finished, and crashes them as planned.  Returns the time at which
/// the answer for each job was first seen.
///
/// # Panics
///
/// If a client fails, or the clients have not finished within `timeout`.
fn run_clients(clients: &mut [Submitter], mut crashes: Vec<ClientCrash>, timeout: Duration) -> HashMap<Name, Instant> {
    let started_at = Instant::now();
    let mut first_seen = HashMap::new();
    // latest first: the next crash is popped from the end
    crashes.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
    loop {
        clients.iter_mut().for_each(Submitter::poll);
        if clients.iter().all(|client| client.finished) {
            return first_seen;
        }
        assert!(started_at.elapsed() < timeout, "the clients have not finished within {timeout:?}");
        while let Some(crash) = crashes.pop_if(|crash| started_at.elapsed().as_secs_f64() >= crash.at_s) {
            clients[crash.client].crash();
        }
        for answer in clients.iter().flat_map(Submitter::answers) {
            first_seen.entry(answer.id).or_insert_with(Instant::now);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns a fault plan in TOML with faults at random times within `within_s` seconds: controller
/// crashes, a controller whose requests the state service refuses, slow responses of the state service
/// and an outage of it.
fn fault_plan(rng: &mut fastrand::Rng, crashes: usize, within_s: f64) -> String {
    let mut text = String::new();
    for _ in 0..crashes {
        let (at, node) = (rng.f64() * within_s, rng.usize(0..3));
        text += &format!("[[fault]]\nkind = \"crash\"\nat_s = {at:.2}\nnode = {node}\n");
    }
    let (at, node) = (rng.f64() * within_s, rng.usize(0..3));
    text += &format!("[[fault]]\nkind = \"refused\"\nat_s = {at:.2}\nnode = {node}\nfor_s = 3.0\n");
    let at = rng.f64() * within_s;
    text += &format!("[[fault]]\nkind = \"delay\"\nat_s = {at:.2}\nby_ms = 300\nfor_s = 2.0\n");
    let at = rng.f64() * within_s;
    text + &format!("[[fault]]\nkind = \"state-outage\"\nat_s = {at:.2}\nfor_s = 2.0\n")
}

/// Parameters of one test run.
struct Run {
    /// Name of the test's directory.
    name: &'static str,
    clients: usize,
    jobs_per_client: usize,
    seed: u64,
    /// Period after the start, in seconds, in which the faults and client crashes are injected.
    faults_within_s: f64,
    /// Number of machines that the cloud rents out of each type in each zone, separately for spot and
    /// on-demand machines.
    capacity: usize,
    /// Time within which all jobs must have a final answer.
    timeout: Duration,
}

/// Runs a cluster with four controller crashes and three crashes of each client, and asserts that each
/// job has exactly one final answer.
fn assert_exactly_once(run: &Run) {
    let dir = test_dir(run.name);
    let mut rng = fastrand::Rng::with_seed(run.seed);
    let faults = fault_plan(&mut rng, 4, run.faults_within_s);
    let config = ClusterConfig { faults: &faults, capacity: run.capacity, ..ClusterConfig::default() };
    let cluster = Cluster::start(&dir, config);
    let started_at = Instant::now();
    let start = |number| Submitter::start(&dir, number, run.jobs_per_client, cluster.addr, true);
    let mut clients: Vec<Submitter> = (0..run.clients).map(start).collect();
    let crash = |n| ClientCrash { at_s: 0.3 + rng.f64() * run.faults_within_s, client: n % run.clients };
    let crashes = (0..run.clients * 3).map(crash).collect();
    let first_seen = run_clients(&mut clients, crashes, run.timeout);
    let answers: Vec<AnswerLine> = clients.iter().flat_map(Submitter::answers).collect();
    let report = cluster.stop();
    let jobs = run.clients * run.jobs_per_client;
    let violations = check(jobs, &answers, &first_seen, &stored_jobs(&report), &report.completed_at);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    println!(
        "{} jobs, each with exactly one final answer, in {:.1} s",
        answers.len(),
        started_at.elapsed().as_secs_f64()
    );
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn each_job_gets_one_final_answer_when_controllers_and_clients_crash() {
    assert_exactly_once(&Run {
        name: "once",
        clients: 3,
        jobs_per_client: 100,
        seed: 11,
        faults_within_s: 8.0,
        capacity: 12,
        timeout: Duration::from_secs(180),
    });
}

/// The same test with 5,000 jobs; it takes some minutes.
#[test]
#[ignore = "the long run"]
fn five_thousand_jobs_get_one_final_answer_each() {
    assert_exactly_once(&Run {
        name: "once-long",
        clients: 10,
        jobs_per_client: 500,
        seed: 12,
        faults_within_s: 60.0,
        capacity: 40,
        timeout: Duration::from_secs(1500),
    });
}

/// A client without a journal submits its jobs again under new ids after a crash.  The checker must
/// report the additional jobs.
#[test]
fn checker_reports_jobs_submitted_twice_without_a_journal() {
    let dir = test_dir("bypassed");
    let cluster = Cluster::start(&dir, ClusterConfig::default());
    let mut clients = [Submitter::start(&dir, 0, 20, cluster.addr, false)];
    let crashes = vec![ClientCrash { at_s: 1.0, client: 0 }];
    let first_seen = run_clients(&mut clients, crashes, Duration::from_secs(120));
    let answers = clients[0].answers();
    let report = cluster.stop();
    let violations = check(20, &answers, &first_seen, &stored_jobs(&report), &report.completed_at);
    assert!(
        violations.iter().any(|violation| violation.contains("jobs are stored, 20 were handed out")),
        "{violations:?}"
    );
    let _ = fs::remove_dir_all(&dir);
}

/// A client that generates a new id for each attempt stores a job twice when an answer is lost.  The
/// checker must report the additional jobs.
#[test]
fn checker_reports_retries_under_new_ids() {
    let dir = test_dir("anew");
    let cluster = Cluster::start(&dir, ClusterConfig::default());
    let balancer = cluster.addr;
    let answers: Vec<AnswerLine> = smol::block_on(async {
        let client = Client::default();
        let mut lines = Vec::new();
        for _ in 0..5 {
            // the answer to the first accepted submission is treated as lost
            let mut answer_lost = false;
            let id = loop {
                let id = generate_job_id().expect("the system provides random bytes");
                let body = http::encode(&small_job(id.clone()));
                let response = client.send(balancer, "POST", "/v2/runs", Some(&body), REQUEST_TIMEOUT).await;
                if response.is_ok_and(|(status, _)| status < 300) && std::mem::replace(&mut answer_lost, true) {
                    break id;
                }
            };
            loop {
                let response = client.send(balancer, "GET", &format!("/v2/runs/{id}"), None, REQUEST_TIMEOUT).await;
                let state = response.ok().and_then(|(_, b)| http::decode::<JobState>(&b).ok());
                if state.is_some_and(|s| s.stage == "done") {
                    break;
                }
                smol::Timer::after(Duration::from_millis(300)).await;
            }
            lines.push(AnswerLine { id, answer: FinalAnswer::Done });
        }
        lines
    });
    let report = cluster.stop();
    let violations = check(5, &answers, &HashMap::new(), &stored_jobs(&report), &report.completed_at);
    assert!(
        violations.iter().any(|violation| violation.contains("jobs are stored, 5 were handed out")),
        "{violations:?}"
    );
    let _ = fs::remove_dir_all(&dir);
}
