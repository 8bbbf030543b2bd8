//! Chains of jobs on real controllers that are killed, replaced by another
//! version one after the other, and limited without notice.
//!
//! The long run builds the version in production from the repository's history:
//! `cargo test --release --test roll -- --ignored --nocapture`

mod common;

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::{dir, job, stored, Cluster, PROGRAM};
use coralnotch::http::{self, Client as HttpClient};
use coralnotch::model::{JobExplanation, JobSpec, Name, Shape};
use coralnotch_client::{fresh_id, Client, Final, JobHandle, Settings};

/// A chain as users have them: a first stage, two that need it, a gang that needs
/// both, and a last one that needs the first and the gang.
fn chain() -> Vec<JobSpec> {
    let ids: Vec<Name> = (0..5).map(|_| fresh_id().expect("randomness")).collect();
    let of = |n: usize, needs: &[usize], shape, tasks| JobSpec {
        needs: needs.iter().map(|n| ids[*n].clone()).collect(),
        shape,
        tasks,
        deadline_s: (n == 4).then_some(60.0),
        ..job(ids[n].clone())
    };
    vec![
        of(0, &[], Shape::Array, 2),
        of(1, &[0], Shape::Array, 3),
        of(2, &[0], Shape::Array, 1),
        of(3, &[1, 2], Shape::Gang, 2),
        of(4, &[0, 3], Shape::Array, 2),
    ]
}

/// Submits chains and withdraws the first stage of some; each job's final answer.
fn play(to: std::net::SocketAddr, chains: usize, withdrawn: usize, limit: Duration) -> Vec<Vec<(Name, Final)>> {
    smol::block_on(async {
        let client = Client::open(Settings::new(vec![to])).await.expect("a client");
        let mut all: Vec<Vec<JobHandle>> = Vec::new();
        for n in 0..chains {
            let mut jobs = chain();
            if n < withdrawn {
                // it runs for ever, or its withdrawal would come too late
                jobs[0].estimate_s = 10_000.0;
            }
            // in whatever order: the client sends them as they can be taken
            jobs.reverse();
            let mut handles = client.submit_all(jobs).await.expect("taken in");
            handles.reverse();
            if n < withdrawn {
                handles[0].cancel().await.expect("noted");
            }
            all.push(handles);
        }
        let late = Instant::now() + limit;
        let (mut answers, mut missing) = (Vec::new(), Vec::new());
        for (chain, handles) in all.into_iter().enumerate() {
            let mut of = Vec::new();
            for (stage, h) in handles.into_iter().enumerate() {
                match h.wait_until(late).await {
                    Ok(answer) => of.push((h.id().clone(), answer)),
                    Err(_) => {
                        // what a controller says of it tells whose fault it is
                        let path = format!("/v2/runs/{}?why", h.id());
                        let got = HttpClient::default().send(to, "GET", &path, None, Duration::from_secs(5)).await;
                        let got = got.map(|(status, b)| (status, http::decode::<JobExplanation>(&b).ok()));
                        missing.push(format!("chain {chain} stage {stage}: {got:?}, client {:?}", client.counters()));
                    }
                }
            }
            answers.push(of);
        }
        assert!(missing.is_empty(), "without a final answer:\n{}", missing.join("\n"));
        answers
    })
}

fn check(answers: &[Vec<(Name, Final)>], withdrawn: usize) {
    let mut seen: HashMap<&Name, &Final> = HashMap::new();
    for (n, of) in answers.iter().enumerate() {
        let all = if n < withdrawn { Final::Cancelled } else { Final::Done };
        for (id, a) in of {
            assert_eq!(*a, all, "chain {n}: {id}");
            assert!(seen.insert(id, a).is_none(), "{id} twice");
        }
    }
}

const LOWER: &str = "[[fault]]\nkind = \"state-limits\"\nat_s = 4\nwrite_rps = 40\nvalue_kb = 2\ntxn_ops = 8\n";

/// Every start is watched by the stand-ins: one before its needs are done ends
/// the cluster with a broken rule.
#[test]
fn chains_come_through_kills_and_lower_limits() {
    let dir = dir("chains");
    let crashes = [(1.5, 0), (3.0, 1), (4.5, 2)]
        .map(|(at, node)| format!("[[fault]]\nkind = \"crash\"\nat_s = {at}\nnode = {node}\n"));
    let cluster = Cluster::start(&dir, &(crashes.concat() + LOWER), 12);
    let answers = play(cluster.addr, 12, 3, Duration::from_secs(120));
    let report = cluster.stop();
    check(&answers, 3);
    assert_eq!(stored(&report).len(), 60);
    let _ = fs::remove_dir_all(&dir);
}

/// Builds the version that `deploy/service.toml` calls production.
fn production() -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy: toml::Table =
        toml::from_str(&fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file")).expect("TOML");
    let commit = deploy["production"].as_str().expect("a commit").to_owned();
    let at = Path::new(env!("CARGO_TARGET_TMPDIR")).join("production");
    let program = at.join("target/release/coralnotch");
    if fs::read_to_string(at.join("commit")).is_ok_and(|c| c == commit) && program.is_file() {
        return program;
    }
    let _ = fs::remove_dir_all(&at);
    fs::create_dir_all(&at).expect("a directory");
    let archive = at.join("sources.tar");
    let run = |c: &mut Command| assert!(c.status().expect("it starts").success(), "{c:?}");
    run(Command::new("git").current_dir(root).args(["archive", "-o"]).arg(&archive).arg(&commit));
    run(Command::new("tar").arg("-xf").arg(&archive).arg("-C").arg(&at));
    let mut cargo = Command::new(env!("CARGO"));
    run(cargo
        .current_dir(&at)
        .args(["build", "--release", "--locked", "--bin", "coralnotch"])
        .env_remove("CARGO_TARGET_DIR"));
    fs::write(at.join("commit"), commit).expect("room");
    program
}

/// Three controllers of production are replaced one after the other, under
/// load, with kills (those that had their turn come back new, the others old), an
/// outage, a refused controller and lower limits; then chains are asked for.
#[test]
#[ignore = "the long run: builds production"]
fn production_rolls_to_this_version() {
    let old = production();
    for seed in 0..3 {
        let dir = dir("roll");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut order = [0, 1, 2];
        rng.shuffle(&mut order);
        let mut faults = String::from(LOWER).replace("at_s = 4", "at_s = 24");
        for (n, node) in order.iter().enumerate() {
            let at = 3.0 + 5.0 * n as f64 + rng.f64();
            faults += &format!("[[fault]]\nkind = \"upgrade\"\nat_s = {at:.2}\nnode = {node}\n");
        }
        for _ in 0..4 {
            let (at, node) = (rng.f64() * 30.0, rng.usize(0..3));
            faults += &format!("[[fault]]\nkind = \"crash\"\nat_s = {at:.2}\nnode = {node}\n");
        }
        let (at, node) = (2.0 + rng.f64() * 12.0, rng.usize(0..3));
        faults += &format!("[[fault]]\nkind = \"refused\"\nat_s = {at:.2}\nnode = {node}\nfor_s = 3.0\n");
        let at = 18.0 + rng.f64() * 8.0;
        faults += &format!("[[fault]]\nkind = \"state-outage\"\nat_s = {at:.2}\nfor_s = 2.0\n");
        let cluster = Cluster::of(&dir, &faults, 40, old.clone(), Some(PROGRAM.into()));
        let began = Instant::now();
        let to = cluster.addr;
        // jobs as production knows them, all the time
        let plain = thread::spawn(move || {
            smol::block_on(async {
                let client = Client::open(Settings::new(vec![to])).await.expect("a client");
                let mut handles = Vec::new();
                for _ in 0..200 {
                    handles.push(client.submit(job(fresh_id().expect("randomness"))).await.expect("taken in"));
                    smol::Timer::after(Duration::from_millis(150)).await;
                }
                let late = Instant::now() + Duration::from_secs(240);
                for h in handles {
                    assert_eq!(h.wait_until(late).await.expect("an answer"), Final::Done, "{}", h.id());
                }
            });
        });
        // nothing new is asked for before all had their turn
        thread::sleep(Duration::from_secs_f64(17.0).saturating_sub(began.elapsed()));
        let answers = play(to, 40, 8, Duration::from_secs(180));
        plain.join().expect("plain jobs are done");
        let report = cluster.stop();
        check(&answers, 8);
        assert_eq!(stored(&report).len(), 400);
        println!("seed {seed}, order {order:?}: 200 jobs and 40 chains in {:.0} s", began.elapsed().as_secs_f64());
        let _ = fs::remove_dir_all(&dir);
    }
}
