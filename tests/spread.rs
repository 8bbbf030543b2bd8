//! Test of heartbeat forwarding with real controller processes.  There are more machines than the
//! leader has sockets for, so that the followers must forward some of the heartbeats.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use common::{small_job, test_dir, Cluster, ClusterConfig};
use coralnotch::http::{self, Client};
use coralnotch::model::{JobSpec, JobState, Name};
use coralnotch::operators::status::Status;
use coralnotch_emulator::up::ClusterLimits;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of open sockets of each controller.
const SOCKETS: usize = 40;
/// Number of tasks, each of which needs a machine of its own: more machines than the leader accepts
/// heartbeats from directly.
const TASKS: u32 = 40;

/// Reads the addresses of the controllers from their settings files.
fn controller_addresses(dir: &Path) -> Vec<SocketAddr> {
    let bind = |node: usize| {
        let text = fs::read_to_string(dir.join(format!("node-{node}.toml"))).expect("the settings file is readable");
        let line = text.lines().find(|line| line.starts_with("bind = ")).expect("the settings have an address");
        line.trim_start_matches("bind = ").trim_matches('"').parse().expect("the address is valid")
    };
    (0..3).map(bind).collect()
}

/// Returns the status of each controller that answers.
async fn statuses(client: &Client, controllers: &[SocketAddr]) -> Vec<Status> {
    let mut statuses = Vec::new();
    for controller in controllers {
        if let Ok((200, body)) = client.send(*controller, "GET", "/v2/status", None, REQUEST_TIMEOUT).await {
            statuses.extend(http::decode::<Status>(&body));
        }
    }
    statuses
}

async fn job_state(client: &Client, balancer: SocketAddr, id: &str) -> Option<JobState> {
    let (status, body) = client.send(balancer, "GET", &format!("/v2/runs/{id}"), None, REQUEST_TIMEOUT).await.ok()?;
    (status == 200).then(|| http::decode(&body).ok()).flatten()
}

/// Retries the submission of a job until it is accepted.
///
/// # Panics
///
/// If the job is not accepted within `timeout`.
async fn submit(client: &Client, balancer: SocketAddr, spec: &JobSpec, timeout: Duration) {
    let started_at = Instant::now();
    loop {
        let response = client.send(balancer, "POST", "/v2/runs", Some(&http::encode(spec)), REQUEST_TIMEOUT).await;
        if matches!(response, Ok((200 | 201, _))) {
            return;
        }
        assert!(started_at.elapsed() < timeout, "the job is not accepted within {timeout:?}");
        smol::Timer::after(Duration::from_millis(300)).await;
    }
}

/// Fault plan: crashes of two controllers.
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

/// Followers forward heartbeats to the leader, also to a new leader after a crash.  The job completes and
/// the protocol is not violated.
#[test]
fn followers_forward_heartbeats_when_the_leader_lacks_sockets() {
    let dir = test_dir("spread");
    let limits = ClusterLimits { sockets: SOCKETS, ..ClusterLimits::default() };
    let cluster =
        Cluster::start(&dir, ClusterConfig { faults: FAULTS, capacity: 20, limits, ..ClusterConfig::default() });
    let id: Name = "j-000077".into();
    let spec = JobSpec { tasks: TASKS, cpus: 16.0, estimated_run_time_s: 16.0, spot: false, ..small_job(id.clone()) };
    let forwarded = smol::block_on(async {
        let client = Client::default();
        let controllers = controller_addresses(&dir);
        let started_at = Instant::now();
        submit(&client, cluster.addr, &spec, Duration::from_secs(30)).await;
        let mut forwarded = 0;
        loop {
            for status in statuses(&client, &controllers).await {
                forwarded = forwarded.max(status.counters.get("reports forwarded").copied().unwrap_or(0));
            }
            if job_state(&client, cluster.addr, &id).await.is_some_and(|state| state.stage == "done") {
                return forwarded;
            }
            assert!(started_at.elapsed() < Duration::from_secs(120), "the job is not done within 120 s");
            smol::Timer::after(Duration::from_millis(300)).await;
        }
    });
    assert!(forwarded > 20, "only {forwarded} heartbeats were forwarded");
    let report = cluster.stop();
    assert!(report.tasks_started >= u64::from(TASKS));
}
