//! Real controllers and real client processes, all of which are killed now and
//! then: each job gets exactly one final answer.  And the checker that says so
//! fails for clients that do it wrong.
//!
//! The long run: `cargo test --release --test exactly_once -- --ignored --nocapture`

mod common;

use std::collections::{HashMap, HashSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::{dir, job, stored, Cluster, PROGRAM};
use coralnotch::commands::submit::Line;
use coralnotch::http::{self, Client};
use coralnotch::model::{JobState, Name};
use coralnotch_client::{fresh_id, Final};
use coralnotch_emulator::history::{self, Given};

/// Jobs without ids, a line each.
fn input(file: &Path, jobs: usize) {
    let mut v = serde_json::to_value(job("j-1".into())).expect("a job");
    v.as_object_mut().expect("a map").remove("nameId");
    let text: String = (0..jobs)
        .map(|n| {
            v["lane"] = format!("demo-{n}").into();
            format!("{v}\n")
        })
        .collect();
    fs::write(file, text).expect("room");
}

/// A client process that submits a file and waits for all answers.
struct Submitter {
    args: Vec<String>,
    out: PathBuf,
    child: Option<Child>,
    finished: bool,
}

impl Submitter {
    fn new(dir: &Path, k: usize, jobs: usize, to: SocketAddr, journal: bool) -> Submitter {
        let path = |what: &str| dir.join(format!("{what}-{k}"));
        input(&path("jobs"), jobs);
        let text = |p: PathBuf| p.display().to_string();
        let mut args = vec!["submit".into(), text(path("jobs")), "--node".into(), to.to_string()];
        args.extend(["--wait", "--patience", "0", "--out"].map(String::from));
        args.push(text(path("out")));
        if journal {
            args.extend(["--journal".into(), text(path("journal"))]);
        }
        let mut s = Submitter { args, out: path("out"), child: None, finished: false };
        s.start();
        s
    }

    fn start(&mut self) {
        let child = Command::new(PROGRAM).args(&self.args).stdout(Stdio::null()).stderr(Stdio::inherit()).spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Looks after the process.
    fn poll(&mut self) {
        if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
            assert!(status.success(), "{:?} ends with {status}", self.args);
            self.finished = true;
        }
    }

    fn crash(&mut self) {
        if self.finished {
            return;
        }
        if let Some(mut c) = self.child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
        self.start();
    }

    /// The answers so far, as they stand in the file.
    fn answers(&self) -> Vec<Line> {
        let text = fs::read_to_string(&self.out).unwrap_or_default();
        let whole = text.rfind('\n').map_or("", |n| &text[..n]);
        whole.lines().map(|l| serde_json::from_str(l).expect("a whole line")).collect()
    }
}

impl Drop for Submitter {
    fn drop(&mut self) {
        if let Some(c) = self.child.as_mut() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

/// What the checker says of a history.
fn check(
    jobs: usize,
    answers: &[Line],
    seen: &HashMap<Name, Instant>,
    stored: &HashSet<Name>,
    completed: &HashMap<Name, Instant>,
) -> Vec<String> {
    let given = |l: &Line| Given {
        id: l.id.clone(),
        answer: if l.answer == Final::Done { "done".into() } else { format!("{:?}", l.answer) },
        seen: seen.get(&l.id).copied(),
    };
    let given: Vec<Given> = answers.iter().map(given).collect();
    history::check(jobs, &given, Some(stored), completed)
}

/// Runs clients until all have ended, killing one at each of these times;
/// when each answer was first seen.
fn play(clients: &mut [Submitter], mut kills: Vec<(f64, usize)>, limit: Duration) -> HashMap<Name, Instant> {
    let (began, mut seen) = (Instant::now(), HashMap::new());
    kills.sort_by(|a, b| b.0.total_cmp(&a.0));
    loop {
        clients.iter_mut().for_each(Submitter::poll);
        if clients.iter().all(|c| c.finished) {
            return seen;
        }
        assert!(began.elapsed() < limit, "the jobs do not come to their end");
        while kills.last().is_some_and(|k| began.elapsed().as_secs_f64() >= k.0) {
            if let Some((_, k)) = kills.pop() {
                clients[k].crash();
            }
        }
        for c in clients.iter() {
            for l in c.answers() {
                seen.entry(l.id).or_insert_with(Instant::now);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Crashes, a controller refused, slow answers and an outage at times drawn from a seed.
fn faults(rng: &mut fastrand::Rng, crashes: usize, within_s: f64) -> String {
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

fn exactly_once(name: &str, clients: usize, jobs: usize, seed: u64, within_s: f64, capacity: usize, limit: Duration) {
    let (dir, mut rng) = (dir(name), fastrand::Rng::with_seed(seed));
    let cluster = Cluster::start(&dir, &faults(&mut rng, 4, within_s), capacity);
    let began = Instant::now();
    let mut all: Vec<Submitter> = (0..clients).map(|k| Submitter::new(&dir, k, jobs, cluster.addr, true)).collect();
    let kills = (0..clients * 3).map(|k| (0.3 + rng.f64() * within_s, k % clients)).collect();
    let seen = play(&mut all, kills, limit);
    let answers: Vec<Line> = all.iter().flat_map(Submitter::answers).collect();
    let report = cluster.stop();
    let wrong = check(clients * jobs, &answers, &seen, &stored(&report), &report.completed);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    println!("{} jobs, each answered once, in {:.1} s", answers.len(), began.elapsed().as_secs_f64());
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn each_job_is_answered_once_whatever_is_killed() {
    exactly_once("once", 3, 100, 11, 8.0, 12, Duration::from_secs(180));
}

/// 5,000 jobs; some minutes, by name only.
#[test]
#[ignore = "the long run"]
fn five_thousand_jobs_are_answered_once() {
    exactly_once("once-long", 10, 500, 12, 60.0, 40, Duration::from_secs(1500));
}

/// Without a journal a client that starts again submits anew: the checker
/// must see it.
#[test]
fn the_checker_sees_a_bypassed_journal() {
    let dir = dir("bypassed");
    let cluster = Cluster::start(&dir, "", 8);
    let mut all = [Submitter::new(&dir, 0, 20, cluster.addr, false)];
    let seen = play(&mut all, vec![(1.0, 0)], Duration::from_secs(120));
    let answers = all[0].answers();
    let report = cluster.stop();
    let wrong = check(20, &answers, &seen, &stored(&report), &report.completed);
    assert!(wrong.iter().any(|w| w.contains("jobs are stored, 20 were handed out")), "{wrong:?}");
    let _ = fs::remove_dir_all(&dir);
}

/// A client that makes a new id for each try stores a job twice whenever an
/// answer is lost: the checker must see it.
#[test]
fn the_checker_sees_ids_made_anew() {
    let dir = dir("anew");
    let cluster = Cluster::start(&dir, "", 8);
    let to = cluster.addr;
    let answers: Vec<Line> = smol::block_on(async {
        let client = Client::default();
        let mut lines = Vec::new();
        for _ in 0..5 {
            // the answer to the first try is lost on its way
            let mut lost = false;
            let id = loop {
                let id = fresh_id().expect("randomness");
                let body = http::encode(&job(id.clone()));
                let got = client.send(to, "POST", "/v2/runs", Some(&body), Duration::from_secs(5)).await;
                if got.is_ok_and(|(status, _)| status < 300) && std::mem::replace(&mut lost, true) {
                    break id;
                }
            };
            loop {
                let got = client.send(to, "GET", &format!("/v2/runs/{id}"), None, Duration::from_secs(5)).await;
                let state = got.ok().and_then(|(_, b)| http::decode::<JobState>(&b).ok());
                if state.is_some_and(|s| s.stage == "done") {
                    break;
                }
                smol::Timer::after(Duration::from_millis(300)).await;
            }
            lines.push(Line { id, answer: Final::Done });
        }
        lines
    });
    let report = cluster.stop();
    let wrong = check(5, &answers, &HashMap::new(), &stored(&report), &report.completed);
    assert!(wrong.iter().any(|w| w.contains("jobs are stored, 5 were handed out")), "{wrong:?}");
    let _ = fs::remove_dir_all(&dir);
}
