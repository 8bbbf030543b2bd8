//! Exactly-once execution, with real controllers and real client processes that are all killed
//! now and then: each job gets exactly one final answer.  Two more tests show that the checker
//! reports clients that do not keep to the protocol.
//!
//! The long run: `cargo test --release --test exactly_once -- --ignored --nocapture`

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
use coralnotch_client::{fresh_id, FinalAnswer};
use coralnotch_emulator::history::{self, Given};
use stored_jobs::stored_jobs;

/// Limit of one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);

/// Writes jobs without ids as JSON lines, the input of `coralnotch submit`.
fn write_jobs(file: &Path, jobs: usize) {
    let mut spec = serde_json::to_value(small_job("j-1".into())).expect("a job");
    spec.as_object_mut().expect("a map").remove("nameId");
    let mut lines = String::new();
    for n in 0..jobs {
        spec["lane"] = format!("demo-{n}").into();
        lines += &format!("{spec}\n");
    }
    fs::write(file, lines).expect("the jobs are written");
}

/// A client process that submits a file of jobs and waits for all answers.
struct Submitter {
    args: Vec<String>,
    answers_file: PathBuf,
    process: Option<Child>,
    finished: bool,
}

impl Submitter {
    /// Starts client `number`; one with a journal resumes after a crash instead of submitting anew.
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
        self.process = Some(process.expect("the program starts"));
    }

    /// Notes whether the process has ended; panics if it failed.
    fn poll(&mut self) {
        if let Some(Ok(Some(status))) = self.process.as_mut().map(Child::try_wait) {
            assert!(status.success(), "{:?} ends with {status}", self.args);
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

    /// The answers that the client has written so far; an incomplete last line is left out.
    fn answers(&self) -> Vec<AnswerLine> {
        let text = fs::read_to_string(&self.answers_file).unwrap_or_default();
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        complete.lines().map(|line| serde_json::from_str(line).expect("a whole line")).collect()
    }
}

impl Drop for Submitter {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the checker; returns what it finds wrong.
fn check(
    jobs: usize,
    answers: &[AnswerLine],
    seen: &HashMap<Name, Instant>,
    stored: &HashSet<Name>,
    completed: &HashMap<Name, Instant>,
) -> Vec<String> {
    let given = |line: &AnswerLine| Given {
        id: line.id.clone(),
        answer: if line.answer == FinalAnswer::Done { "done".into() } else { format!("{:?}", line.answer) },
        seen: seen.get(&line.id).copied(),
    };
    let given: Vec<Given> = answers.iter().map(given).collect();
    history::check(jobs, &given, Some(stored), completed)
}

/// A crash of one client.
struct ClientCrash {
    /// Seconds after the clients started.
    at_s: f64,
    /// Index of the client.
    client: usize,
}

/// Runs the clients until all have finished, and crashes them as planned.  Returns when each
/// answer was first seen.
fn run_clients(clients: &mut [Submitter], mut crashes: Vec<ClientCrash>, limit: Duration) -> HashMap<Name, Instant> {
    let began = Instant::now();
    let mut seen = HashMap::new();
    // the next crash is the last element
    crashes.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
    loop {
        clients.iter_mut().for_each(Submitter::poll);
        if clients.iter().all(|client| client.finished) {
            return seen;
        }
        assert!(began.elapsed() < limit, "the jobs do not come to their end");
        while let Some(crash) = crashes.pop_if(|crash| began.elapsed().as_secs_f64() >= crash.at_s) {
            clients[crash.client].crash();
        }
        for answer in clients.iter().flat_map(Submitter::answers) {
            seen.entry(answer.id).or_insert_with(Instant::now);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// A fault plan in TOML: controller crashes, a refused controller, slow answers and an outage of
/// the state service, at random times within `within_s` seconds.
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

/// The size of one run.
struct Run {
    /// Name of its directory.
    name: &'static str,
    clients: usize,
    jobs_per_client: usize,
    seed: u64,
    /// All faults and crashes come within so many seconds.
    faults_within_s: f64,
    /// Machines of each type, zone and kind.
    capacity: usize,
    /// All jobs must have an answer by then.
    limit: Duration,
}

/// Plays a run with four controller crashes and three crashes of each client.
fn assert_exactly_once(run: &Run) {
    let dir = test_dir(run.name);
    let mut rng = fastrand::Rng::with_seed(run.seed);
    let faults = fault_plan(&mut rng, 4, run.faults_within_s);
    let config = ClusterConfig { faults: &faults, capacity: run.capacity, ..ClusterConfig::default() };
    let cluster = Cluster::start(&dir, config);
    let began = Instant::now();
    let start = |number| Submitter::start(&dir, number, run.jobs_per_client, cluster.addr, true);
    let mut clients: Vec<Submitter> = (0..run.clients).map(start).collect();
    let crash = |n| ClientCrash { at_s: 0.3 + rng.f64() * run.faults_within_s, client: n % run.clients };
    let crashes = (0..run.clients * 3).map(crash).collect();
    let seen = run_clients(&mut clients, crashes, run.limit);
    let answers: Vec<AnswerLine> = clients.iter().flat_map(Submitter::answers).collect();
    let report = cluster.stop();
    let jobs = run.clients * run.jobs_per_client;
    let wrong = check(jobs, &answers, &seen, &stored_jobs(&report), &report.completed_at);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    println!("{} jobs, each answered once, in {:.1} s", answers.len(), began.elapsed().as_secs_f64());
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn each_job_is_answered_once_whatever_is_killed() {
    assert_exactly_once(&Run {
        name: "once",
        clients: 3,
        jobs_per_client: 100,
        seed: 11,
        faults_within_s: 8.0,
        capacity: 12,
        limit: Duration::from_secs(180),
    });
}

/// The same with 5,000 jobs; it takes some minutes.
#[test]
#[ignore = "the long run"]
fn five_thousand_jobs_are_answered_once() {
    assert_exactly_once(&Run {
        name: "once-long",
        clients: 10,
        jobs_per_client: 500,
        seed: 12,
        faults_within_s: 60.0,
        capacity: 40,
        limit: Duration::from_secs(1500),
    });
}

/// A client without a journal submits its jobs again under new ids after a crash, and the checker
/// reports the additional jobs.
#[test]
fn the_checker_sees_a_bypassed_journal() {
    let dir = test_dir("bypassed");
    let cluster = Cluster::start(&dir, ClusterConfig::default());
    let mut clients = [Submitter::start(&dir, 0, 20, cluster.addr, false)];
    let crashes = vec![ClientCrash { at_s: 1.0, client: 0 }];
    let seen = run_clients(&mut clients, crashes, Duration::from_secs(120));
    let answers = clients[0].answers();
    let report = cluster.stop();
    let wrong = check(20, &answers, &seen, &stored_jobs(&report), &report.completed_at);
    assert!(wrong.iter().any(|w| w.contains("jobs are stored, 20 were handed out")), "{wrong:?}");
    let _ = fs::remove_dir_all(&dir);
}

/// A client that makes a new id for each try stores a job twice whenever an answer is lost, and the
/// checker reports it.
#[test]
fn the_checker_sees_ids_made_anew() {
    let dir = test_dir("anew");
    let cluster = Cluster::start(&dir, ClusterConfig::default());
    let balancer = cluster.addr;
    let answers: Vec<AnswerLine> = smol::block_on(async {
        let client = Client::default();
        let mut lines = Vec::new();
        for _ in 0..5 {
            // the answer to the first accepted try is treated as lost
            let mut answer_lost = false;
            let id = loop {
                let id = fresh_id().expect("randomness");
                let body = http::encode(&small_job(id.clone()));
                let response = client.send(balancer, "POST", "/v2/runs", Some(&body), REQUEST_LIMIT).await;
                if response.is_ok_and(|(status, _)| status < 300) && std::mem::replace(&mut answer_lost, true) {
                    break id;
                }
            };
            loop {
                let response = client.send(balancer, "GET", &format!("/v2/runs/{id}"), None, REQUEST_LIMIT).await;
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
    let wrong = check(5, &answers, &HashMap::new(), &stored_jobs(&report), &report.completed_at);
    assert!(wrong.iter().any(|w| w.contains("jobs are stored, 5 were handed out")), "{wrong:?}");
    let _ = fs::remove_dir_all(&dir);
}
