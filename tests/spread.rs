//! Heartbeats by way of all controllers, with real processes: there are more machines than the
//! leader has sockets for, so that the followers must forward the heartbeats of some.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use common::{small_job, test_dir, Cluster, ClusterConfig};
use coralnotch::http::{self, Client};
use coralnotch::model::{JobSpec, JobState, Name};
use coralnotch::operators::status::Status;
use coralnotch_emulator::up::Size;

/// Limit of one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);
/// Sockets of each controller.
const SOCKETS: usize = 40;
/// Tasks that need a machine each: more machines than the leader takes heartbeats from directly.
const TASKS: u32 = 40;

/// Addresses of the controllers, read from their settings files.
fn controller_addresses(dir: &Path) -> Vec<SocketAddr> {
    let bind = |node: usize| {
        let text = fs::read_to_string(dir.join(format!("node-{node}.toml"))).expect("settings");
        let line = text.lines().find(|line| line.starts_with("bind = ")).expect("a line");
        line.trim_start_matches("bind = ").trim_matches('"').parse().expect("an address")
    };
    (0..3).map(bind).collect()
}

/// Status of each controller that answers.
async fn statuses(client: &Client, controllers: &[SocketAddr]) -> Vec<Status> {
    let mut statuses = Vec::new();
    for controller in controllers {
        if let Ok((200, body)) = client.send(*controller, "GET", "/v2/status", None, REQUEST_LIMIT).await {
            statuses.extend(http::decode::<Status>(&body));
        }
    }
    statuses
}

async fn job_state(client: &Client, balancer: SocketAddr, id: &str) -> Option<JobState> {
    let (status, body) = client.send(balancer, "GET", &format!("/v2/runs/{id}"), None, REQUEST_LIMIT).await.ok()?;
    (status == 200).then(|| http::decode(&body).ok()).flatten()
}

/// Submits a job until it is accepted.
async fn submit(client: &Client, balancer: SocketAddr, spec: &JobSpec, limit: Duration) {
    let began = Instant::now();
    loop {
        let response = client.send(balancer, "POST", "/v2/runs", Some(&http::encode(spec)), REQUEST_LIMIT).await;
        if matches!(response, Ok((200 | 201, _))) {
            return;
        }
        assert!(began.elapsed() < limit, "it is accepted");
        smol::Timer::after(Duration::from_millis(300)).await;
    }
}

const FAULTS: &str = r#"
[[fault]]
kind = "crash"
at_s = 14
node = 0

[[fault]]
kind = "crash"
at_s = 20
node = 1
"#;

/// Followers forward heartbeats to the leader, also after the leader crashed; the job is done and
/// no rule of the protocol is broken.
#[test]
fn reports_reach_the_leader_by_way_of_the_others() {
    let dir = test_dir("spread");
    let size = Size { sockets: SOCKETS, ..Size::default() };
    let cluster =
        Cluster::start(&dir, ClusterConfig { faults: FAULTS, capacity: 20, size, ..ClusterConfig::default() });
    let id: Name = "j-000077".into();
    let spec = JobSpec { tasks: TASKS, cpus: 16.0, estimate_s: 16.0, spot: false, ..small_job(id.clone()) };
    let forwarded = smol::block_on(async {
        let client = Client::default();
        let controllers = controller_addresses(&dir);
        let began = Instant::now();
        submit(&client, cluster.addr, &spec, Duration::from_secs(30)).await;
        let mut forwarded = 0;
        loop {
            for status in statuses(&client, &controllers).await {
                forwarded = forwarded.max(status.counters.get("reports forwarded").copied().unwrap_or(0));
            }
            if job_state(&client, cluster.addr, &id).await.is_some_and(|state| state.stage == "done") {
                return forwarded;
            }
            assert!(began.elapsed() < Duration::from_secs(120), "it is done");
            smol::Timer::after(Duration::from_millis(300)).await;
        }
    });
    assert!(forwarded > 20, "{forwarded} reports were forwarded");
    let report = cluster.stop();
    assert!(report.started >= u64::from(TASKS));
}
