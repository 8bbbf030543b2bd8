//! What a long history costs a controller: a stand-in state service is filled
//! with ended and unfinished jobs, a controller is started against it as a real
//! process, and its start, its memory and its answers are measured.
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
    /// Ended jobs in the store; a run for each figure.
    #[arg(long, value_delimiter = ',', default_value = "1000,20000,100000,400000")]
    ended: Vec<u32>,
    /// Unfinished jobs in the store.
    #[arg(long, default_value_t = 1000)]
    unfinished: u32,
    /// Queries for ended jobs, 64 at a time.
    #[arg(long, default_value_t = 10_000)]
    queries: u32,
    /// Given by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

fn settings(dir: &std::path::Path, state: SocketAddr, cloud: SocketAddr, ports: [u16; 2]) -> std::path::PathBuf {
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
    std::fs::write(&file, text).expect("the settings can be written");
    file
}

fn job(n: u32) -> JobSpec {
    JobSpec {
        id: id(n),
        class: "history".into(),
        team: "team".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 3,
        cpus: 6.0,
        gpus: 1.0,
        memory: 24.0,
        image: format!("img-{:02}", n % 8).into(),
        image_gb: 6.2,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 20.0,
        save_s: 6.0,
        deadline_s: Some(250.0),
        needs: Vec::new(),
    }
}

/// Ids in no order, each once: an odd factor permutes the numbers.
fn id(n: u32) -> coralnotch::model::Name {
    format!("j-{:010}", n.wrapping_mul(2_654_435_761)).into()
}

fn free_port() -> u16 {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").port()
}

/// Peak and present memory of a process, in MB.
fn memory(child: &Child) -> (f64, f64) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
    };
    (field("VmHWM:"), field("VmRSS:"))
}

async fn ask(http: &Client, to: SocketAddr, method: &str, path: &str, body: Option<&[u8]>) -> (u16, Vec<u8>) {
    http.send(to, method, path, body, Duration::from_secs(5)).await.unwrap_or((0, Vec::new()))
}

/// Submits some jobs one after the other; how long the middle one and the last
/// of a hundred took, in milliseconds.
async fn submissions(to: SocketAddr, from: u32) -> (f64, f64) {
    let http = Client::default();
    let mut took = Vec::new();
    for n in from..from + 100 {
        let (body, began) = (http::encode(&job(n)), Instant::now());
        let (status, _) = ask(&http, to, "POST", "/v2/runs", Some(&body)).await;
        assert!(status == 201, "a submission is answered {status}");
        took.push(began.elapsed().as_secs_f64() * 1e3);
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    took.sort_by(f64::total_cmp);
    (took[50], took[98])
}

#[expect(clippy::too_many_lines, reason = "one measurement from its set-up to its printed row")]
fn run(args: &Args, ended: u32) {
    let mut store = State::new(Limits::NONE);
    for n in 0..ended + args.unfinished {
        store.fill(format!("{}{}", key::JOB, id(n)), &job(n));
        if n < ended {
            store.fill(format!("{}{}", key::OUTCOME, id(n)), &OutcomeRecord { outcome: JobOutcome::Done });
        }
    }
    let types = r#"{"hulls":[{"label":"m","cpus":16,"accelerators":2,"memGb":64,"localGb":150,
        "fetchGbPerS":0.2,"hourly":6.5,"lowPrice":2.4,"bootS":30,"bays":["a"]}]}"#;
    let types: Value = serde_json::from_str(types).expect("our own text");
    let (told, addresses) = std::sync::mpsc::channel();
    // ends with the process
    std::thread::spawn(move || state::serve(store, types, |s, c| told.send((s, c)).expect("it is awaited")));
    let (state, cloud) = addresses.recv().expect("the stand-ins are up");
    let dir = std::env::temp_dir().join(format!("coralnotch-history-{}-{ended}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let ports = [free_port(), free_port()];
    let file = settings(&dir, state, cloud, ports);
    let node: SocketAddr = ([127, 0, 0, 1], ports[0]).into();
    let began = Instant::now();
    let mut child = Command::new(env!("CARGO_BIN_EXE_coralnotch"))
        .args(["serve", "--config"])
        .arg(&file)
        .env("LOG_LEVEL", "error")
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the controller starts");
    let http = Arc::new(Client::new(64));
    smol::block_on(async {
        while began.elapsed() < Duration::from_secs(600) {
            let (status, body) = ask(&http, node, "GET", "/v2/status", None).await;
            if status == 200 && http::decode::<Status>(&body).is_ok_and(|s| s.leading.is_some()) {
                break;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let leads = began.elapsed().as_secs_f64();
        let (peak, _) = memory(&child);
        let quiet = submissions(node, ended + args.unfinished).await;
        // a flood of polls for old jobs, and submissions in the middle of it
        let (mut answered, mut refused, mut other) = (0, 0, 0);
        let flood = async {
            let asked = (0..args.queries).map(|n| {
                let http = http.clone();
                async move {
                    let path = format!("/v2/runs/{}", id(n.wrapping_mul(7919) % ended.max(1)));
                    ask(&http, node, "GET", &path, None).await.0
                }
            });
            let mut asked = futures_util::StreamExt::buffer_unordered(futures_util::stream::iter(asked), 64);
            while let Some(status) = futures_util::StreamExt::next(&mut asked).await {
                match status {
                    200 => answered += 1,
                    503 => refused += 1,
                    _ => other += 1,
                }
            }
        };
        let ((), flooded) = futures_lite::future::zip(flood, submissions(node, ended + args.unfinished + 100)).await;
        let (peak_after, now) = memory(&child);
        println!(
            "{ended:>9} {:>10} {leads:>8.1} {peak:>8.1} {peak_after:>8.1} {now:>8.1}   {answered:>6}/{refused}/{other:<4} {:>7.0}/{:<6.0} {:>7.0}/{:.0}",
            args.unfinished, quiet.0, quiet.1, flooded.0, flooded.1
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
        "    ended unfinished  leads s  peak MB  ... after queries, and now   answered/refused/other   submission ms p50/p99, and in the flood"
    );
    for ended in args.ended.clone() {
        run(&args, ended);
    }
}
