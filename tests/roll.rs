//! Tests of jobs with dependencies on real controllers, during controller crashes, a rolling upgrade
//! and a reduction of the state service's limits without notice.
//!
//! The long run, which is ignored by default, builds the version in production from the repository's
//! history: `cargo test --release --test roll -- --ignored --nocapture`

mod common;
#[path = "common/stored_jobs.rs"]
mod stored_jobs;

use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::{small_job, test_dir, Cluster, ClusterConfig, PROGRAM};
use coralnotch::http::{self, Client as HttpClient};
use coralnotch::model::{JobExplanation, JobSpec, Name, Shape};
use coralnotch_client::{generate_job_id, Client, FinalAnswer, JobHandle, Settings};
use stored_jobs::stored_jobs;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of jobs in one dependency chain.
const STAGES: usize = 5;

/// Returns the jobs of one dependency chain: a first stage, two that depend on the first, a gang that
/// depends on both of these, and a last stage that depends on the first and on the gang.
fn chain_specs() -> Vec<JobSpec> {
    let ids: Vec<Name> = (0..STAGES).map(|_| generate_job_id().expect("the system provides random bytes")).collect();
    let stage = |index: usize, needs: &[usize], shape, tasks| JobSpec {
        dependencies: needs.iter().map(|needed| ids[*needed].clone()).collect(),
        shape,
        tasks,
        deadline_s: (index == STAGES - 1).then_some(60.0),
        ..small_job(ids[index].clone())
    };
    vec![
        stage(0, &[], Shape::Array, 2),
        stage(1, &[0], Shape::Array, 3),
        stage(2, &[0], Shape::Array, 1),
        stage(3, &[1, 2], Shape::Gang, 2),
        stage(4, &[0, 3], Shape::Array, 2),
    ]
}

/// A job and its final answer.
struct JobAnswer {
    id: Name,
    answer: FinalAnswer,
}

/// Submits `chains` dependency chains and cancels the first job of the first `cancelled` chains.  Returns
/// the final answers of each chain's jobs.
///
/// # Panics
///
/// If a job has no final answer within `timeout`.
fn run_chains(balancer: SocketAddr, chains: usize, cancelled: usize, timeout: Duration) -> Vec<Vec<JobAnswer>> {
    smol::block_on(async {
        let client = Client::open(Settings::new(vec![balancer])).await.expect("the client opens");
        let mut handles_by_chain: Vec<Vec<JobHandle>> = Vec::new();
        for n in 0..chains {
            let mut jobs = chain_specs();
            if n < cancelled {
                // a short job could finish before its cancellation
                jobs[0].estimated_run_time_s = 10_000.0;
            }
            // dependents first: the client must itself submit jobs in the order of their dependencies
            jobs.reverse();
            let mut handles = client.submit_all(jobs).await.expect("the client accepts the jobs");
            handles.reverse();
            if n < cancelled {
                handles[0].cancel().await.expect("the client accepts the cancellation");
            }
            handles_by_chain.push(handles);
        }
        let deadline = Instant::now() + timeout;
        let (mut answers, mut missing) = (Vec::new(), Vec::new());
        for (chain, handles) in handles_by_chain.into_iter().enumerate() {
            let mut answered = Vec::new();
            for (stage, handle) in handles.into_iter().enumerate() {
                match handle.wait_until(deadline).await {
                    Ok(answer) => answered.push(JobAnswer { id: handle.id().clone(), answer }),
                    Err(_) => {
                        // the controller's explanation shows whether the controller or the client is at fault
                        let path = format!("/v2/runs/{}?why", handle.id());
                        let response = HttpClient::default().send(balancer, "GET", &path, None, REQUEST_TIMEOUT).await;
                        let explanation =
                            response.map(|(status, body)| (status, http::decode::<JobExplanation>(&body).ok()));
                        missing.push(format!(
                            "chain {chain} stage {stage}: {explanation:?}, client {:?}",
                            client.counters()
                        ));
                    }
                }
            }
            answers.push(answered);
        }
        assert!(missing.is_empty(), "jobs without a final answer:\n{}", missing.join("\n"));
        answers
    })
}

/// Asserts that all jobs of the first `cancelled` chains are cancelled and all others are done, and that
/// no job has two answers.
fn assert_final_answers(answers: &[Vec<JobAnswer>], cancelled: usize) {
    let mut seen: HashSet<&Name> = HashSet::new();
    for (n, chain) in answers.iter().enumerate() {
        let expected = if n < cancelled { FinalAnswer::Cancelled } else { FinalAnswer::Done };
        for JobAnswer { id, answer } in chain {
            assert_eq!(*answer, expected, "chain {n}: {id}");
            assert!(seen.insert(id), "{id} has more than one final answer");
        }
    }
}

/// Returns a fault in TOML that lowers the state service's limits `at_s` seconds after the start.
fn lower_limits(at_s: u32) -> String {
    format!("[[fault]]\nkind = \"state-limits\"\nat_s = {at_s}\nwrite_rps = 40\nvalue_kb = 2\ntxn_ops = 8\n")
}

/// The emulated workers check that a job's dependencies are done when its tasks start.  Stopping the
/// cluster fails if one was started too early.
#[test]
fn chains_get_final_answers_during_crashes_and_lower_limits() {
    let dir = test_dir("chains");
    let crashes = [(1.5, 0), (3.0, 1), (4.5, 2)]
        .map(|(at, node)| format!("[[fault]]\nkind = \"crash\"\nat_s = {at}\nnode = {node}\n"));
    let faults = crashes.concat() + &lower_limits(4);
    let config = ClusterConfig { faults: &faults, capacity: 12, ..ClusterConfig::default() };
    let cluster = Cluster::start(&dir, config);
    let answers = run_chains(cluster.addr, 12, 3, Duration::from_secs(120));
    let report = cluster.stop();
    assert_final_answers(&answers, 3);
    assert_eq!(stored_jobs(&report).len(), 60);
    let _ = fs::remove_dir_all(&dir);
}

/// Builds the version that `deploy/service.toml` names as `production` and returns the path of the program.
/// A build of the same commit is used again.
fn build_production() -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy: toml::Table =
        toml::from_str(&fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file is readable"))
            .expect("the deploy file is valid TOML");
    let commit = deploy["production"].as_str().expect("`production` is a commit").to_owned();
    let build_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("production");
    let program = build_dir.join("target/release/coralnotch");
    if fs::read_to_string(build_dir.join("commit")).is_ok_and(|built| built == commit) && program.is_file() {
        return program;
    }
    let _ = fs::remove_dir_all(&build_dir);
    fs::create_dir_all(&build_dir).expect("the build directory is created");
    let archive = build_dir.join("sources.tar");
    let run =
        |command: &mut Command| assert!(command.status().expect("the command starts").success(), "{command:?} failed");
    run(Command::new("git").current_dir(root).args(["archive", "-o"]).arg(&archive).arg(&commit));
    run(Command::new("tar").arg("-xf").arg(&archive).arg("-C").arg(&build_dir));
    let mut cargo = Command::new(env!("CARGO"));
    run(cargo
        .current_dir(&build_dir)
        .args(["build", "--release", "--locked", "--bin", "coralnotch"])
        .env_remove("CARGO_TARGET_DIR"));
    fs::write(build_dir.join("commit"), commit).expect("the commit can be recorded");
    program
}

/// Returns a fault plan in TOML: upgrades of the three controllers in the given order, controller crashes,
/// a controller whose requests the state service refuses, an outage of the state service and a reduction
/// of its limits.
fn upgrade_faults(rng: &mut fastrand::Rng, order: [usize; 3]) -> String {
    let mut faults = lower_limits(24);
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
    faults + &format!("[[fault]]\nkind = \"state-outage\"\nat_s = {at:.2}\nfor_s = 2.0\n")
}

/// Submits 200 jobs without dependencies, which the version in production supports too, 150 ms apart.
///
/// # Panics
///
/// If a job is not done within 240 s after the last submission.
async fn run_independent_jobs(balancer: SocketAddr) {
    let client = Client::open(Settings::new(vec![balancer])).await.expect("the client opens");
    let mut handles = Vec::new();
    for _ in 0..200 {
        let id = generate_job_id().expect("the system provides random bytes");
        handles.push(client.submit(small_job(id)).await.expect("the client accepts the job"));
        smol::Timer::after(Duration::from_millis(150)).await;
    }
    let deadline = Instant::now() + Duration::from_secs(240);
    for handle in handles {
        let answer = handle.wait_until(deadline).await.expect("the job has a final answer in time");
        assert_eq!(answer, FinalAnswer::Done, "{}", handle.id());
    }
}

/// A rolling upgrade from the version in production under load.  A controller that crashes restarts with
/// this version if it was upgraded before the crash, and with the old version otherwise.  Jobs with
/// dependencies are submitted once all controllers are upgraded.
#[test]
#[ignore = "the long run: builds production"]
fn jobs_complete_during_a_rolling_upgrade_from_production() {
    let production = build_production();
    for seed in 0..3 {
        let dir = test_dir("roll");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut order = [0, 1, 2];
        rng.shuffle(&mut order);
        let config = ClusterConfig {
            faults: &upgrade_faults(&mut rng, order),
            capacity: 40,
            controller: production.clone(),
            upgrade: Some(PROGRAM.into()),
            ..ClusterConfig::default()
        };
        let cluster = Cluster::start(&dir, config);
        let started_at = Instant::now();
        let balancer = cluster.addr;
        let independent_jobs = thread::spawn(move || smol::block_on(run_independent_jobs(balancer)));
        // the old version does not support dependencies: none is submitted before the last upgrade
        thread::sleep(Duration::from_secs_f64(17.0).saturating_sub(started_at.elapsed()));
        let answers = run_chains(balancer, 40, 8, Duration::from_secs(180));
        independent_jobs.join().expect("the independent jobs are done");
        let report = cluster.stop();
        assert_final_answers(&answers, 8);
        assert_eq!(stored_jobs(&report).len(), 400);
        println!(
            "seed {seed}, upgrade order {order:?}: 200 jobs and 40 chains in {:.0} s",
            started_at.elapsed().as_secs_f64()
        );
        let _ = fs::remove_dir_all(&dir);
    }
}
