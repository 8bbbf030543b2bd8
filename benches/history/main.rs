//! Measures the cost of a long job history to a controller.  An emulated state service is filled
//! with ended and unfinished jobs, and a controller process is started with it.  The benchmark
//! measures the time until the controller leads, its memory and its responses.
//!
//!     cargo bench --bench history -- --ended 1000,20000,100000,400000

mod state;

use coralnotch_emulator::state::{Limits, State};

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use coralnotch::http::{self, Client};
use coralnotch::model::{JobOutcome, JobSpec, OutcomeRecord, Priority, Shape};
use coralnotch::operators::status::Status;
use coralnotch::state_store::client::key;
use rmpv::Value;

#[derive(Parser)]
struct Args {
    /// Numbers of ended jobs in the state service; one run for each.
    #[arg(long, value_delimiter = ',', default_value = "1000,20000,100000,400000")]
    ended: Vec<u32>,
    /// Number of unfinished jobs in the state service.
    #[arg(long, default_value_t = 1000)]
    unfinished: u32,
    /// Number of queries for ended jobs; 64 are sent concurrently.
    #[arg(long, default_value_t = 10_000)]
    queries: u32,
    /// Passed by `cargo bench`; has no effect.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Writes the settings file of the controller and returns its path.  `ports` are the ports for users and
/// for peers.
fn write_settings(dir: &std::path::Path, state: SocketAddr, cloud: SocketAddr, ports: [u16; 2]) -> std::path::PathBuf {
    let text = format!(
        r#"host_name = "reef-0"
domain = "a"
bind = "127.0.0.1:{}"
peer_bind = "127.0.0.1:{}"
[services]
cloud = "{cloud}"
state = "{state}"
[deployment]
size = 3
zones = ["a"]
[[deployment.teams]]
name = "team"
[deployment.workers]
report_s = 5.0
lease_s = 31.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 61.0
[deployment.state]
rps = 250.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 24
[deployment.cloud]
rps = 12.0
list_lag_s = 10.0
[deployment.quota]
cores = 0.088
ram_mb = 158.0
fd_limit = 2874
"#,
        ports[0], ports[1]
    );
    let file = dir.join("settings.toml");
    std::fs::write(&file, text).expect("the settings file can be written");
    file
}

fn job_spec(n: u32) -> JobSpec {
    JobSpec {
        id: job_id(n),
        class: "history".into(),
        team: "team".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 3,
        cpus: 6.0,
        gpus: 1.0,
        memory_gb: 24.0,
        image: format!("img-{:02}", n % 8).into(),
        image_gb: 6.2,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread_by_zone: false,
        spot: true,
        estimated_run_time_s: 60.0,
        checkpoint_interval_s: 20.0,
        checkpoint_duration_s: 6.0,
        deadline_s: Some(250.0),
        dependencies: Vec::new(),
    }
}

/// Returns the id of job `n`.  The factor is odd, so that the multiplication permutes the numbers: the ids
/// are distinct and in no order.
fn job_id(n: u32) -> coralnotch::model::Name {
    format!("j-{:010}", n.wrapping_mul(2_654_435_761)).into()
}

fn free_port() -> u16 {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port").port()
}

/// Returns the peak and the current resident memory of a process, in MB.
fn memory_mb(child: &Child) -> (f64, f64) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
    };
    (field("VmHWM:"), field("VmRSS:"))
}

/// Sends a request and returns the status and the body of the response; the status is 0 if there is none.
async fn request(client: &Client, addr: SocketAddr, method: &str, path: &str, body: Option<&[u8]>) -> (u16, Vec<u8>) {
    client.send(addr, method, path, body, Duration::from_secs(5)).await.unwrap_or((0, Vec::new()))
}

/// Submits 100 jobs one after the other, numbered from `first`.  Returns the 50th and the 99th
/// percentile of the latency, in milliseconds.
async fn measure_submissions(addr: SocketAddr, first: u32) -> (f64, f64) {
    let client = Client::default();
    let mut latencies_ms = Vec::new();
    for n in first..first + 100 {
        let (body, sent_at) = (http::encode(&job_spec(n)), Instant::now());
        let (status, _) = request(&client, addr, "POST", "/v2/runs", Some(&body)).await;
        assert!(status == 201, "the controller answered a submission with status {status}");
        latencies_ms.push(sent_at.elapsed().as_secs_f64() * 1e3);
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    latencies_ms.sort_by(f64::total_cmp);
    (latencies_ms[50], latencies_ms[98])
}

/// Measures a controller with `ended` ended jobs and `args.unfinished` unfinished ones, and prints a row of
/// figures.
#[expect(clippy::too_many_lines, reason = "one measurement from its set-up to its printed row")]
fn measure_history(args: &Args, ended: u32) {
    let mut store = State::new(Limits::NONE);
    for n in 0..ended + args.unfinished {
        store.insert_without_event(format!("{}{}", key::JOB, job_id(n)), &job_spec(n));
        if n < ended {
            store.insert_without_event(
                format!("{}{}", key::OUTCOME, job_id(n)),
                &OutcomeRecord { outcome: JobOutcome::Done },
            );
        }
    }
    let types = r#"{"hulls":[{"label":"m","cpus":16,"accelerators":2,"memGb":64,"localGb":150,
        "fetchGbPerS":0.2,"hourly":6.5,"lowPrice":2.4,"bootS":30,"bays":["a"]}]}"#;
    let types: Value = serde_json::from_str(types).expect("the machine types are valid JSON");
    let (sender, addresses) = std::sync::mpsc::channel();
    // the thread ends with the process
    std::thread::spawn(move || state::serve(store, types, |s, c| sender.send((s, c)).expect("the receiver waits")));
    let (state, cloud) = addresses.recv().expect("the emulated services start");
    let dir = std::env::temp_dir().join(format!("coralnotch-history-{}-{ended}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the settings folder is created");
    let ports = [free_port(), free_port()];
    let settings_file = write_settings(&dir, state, cloud, ports);
    let controller: SocketAddr = ([127, 0, 0, 1], ports[0]).into();
    let started_at = Instant::now();
    let mut child = Command::new(env!("CARGO_BIN_EXE_coralnotch"))
        .args(["serve", "--config"])
        .arg(&settings_file)
        .env("LOG_LEVEL", "error")
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the controller starts");
    let client = Arc::new(Client::new(64));
    smol::block_on(async {
        while started_at.elapsed() < Duration::from_secs(600) {
            let (status, body) = request(&client, controller, "GET", "/v2/status", None).await;
            if status == 200 && http::decode::<Status>(&body).is_ok_and(|status| status.leading.is_some()) {
                break;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let leading_after_s = started_at.elapsed().as_secs_f64();
        let (peak_at_start, _) = memory_mb(&child);
        let idle_latencies = measure_submissions(controller, ended + args.unfinished).await;
        // many concurrent queries for old jobs, and submissions at the same time
        let (mut answered, mut refused, mut other) = (0, 0, 0);
        let queries = async {
            let requests = (0..args.queries).map(|n| {
                let client = client.clone();
                async move {
                    let path = format!("/v2/runs/{}", job_id(n.wrapping_mul(7919) % ended.max(1)));
                    request(&client, controller, "GET", &path, None).await.0
                }
            });
            let mut statuses = futures_util::StreamExt::buffer_unordered(futures_util::stream::iter(requests), 64);
            while let Some(status) = futures_util::StreamExt::next(&mut statuses).await {
                match status {
                    200 => answered += 1,
                    503 => refused += 1,
                    _ => other += 1,
                }
            }
        };
        let ((), loaded_latencies) =
            futures_lite::future::zip(queries, measure_submissions(controller, ended + args.unfinished + 100)).await;
        let (peak_after_queries, current) = memory_mb(&child);
        println!(
            "{ended:>9} {:>10} {leading_after_s:>8.1} {peak_at_start:>8.1} {peak_after_queries:>8.1} {current:>8.1}   {answered:>6}/{refused}/{other:<4} {:>7.0}/{:<6.0} {:>7.0}/{:.0}",
            args.unfinished, idle_latencies.0, idle_latencies.1, loaded_latencies.0, loaded_latencies.1
        );
        let _ = std::io::stdout().flush();
    });
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_dir_all(&dir);
}

fn main() {
    let args = Args::parse();
    println!(
        "    ended unfinished  leads s  peak MB  ... after queries, and now   answered/refused/other   submission ms p50/p99, and during the queries"
    );
    for ended in args.ended.clone() {
        measure_history(&args, ended);
    }
}
