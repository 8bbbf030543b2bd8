//! Workers' reports by way of all controllers, with real processes: there are more machines than
//! the leader takes reports of by itself.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coralnotch::http::{self, Client};
use coralnotch::model::{JobSpec, JobState, Name};
use coralnotch::operators::telemetry::Status;
use coralnotch_emulator::up::Size;

const LIMIT: Duration = Duration::from_secs(2);
/// Tasks that take a machine each, more than the leader of such controllers hears by itself.
const TASKS: u32 = 40;
const SOCKETS: usize = 40;

/// Where the controllers listen, as their settings say.
fn controllers(dir: &std::path::Path) -> Vec<SocketAddr> {
    let bind = |i: usize| {
        let text = fs::read_to_string(dir.join(format!("node-{i}.toml"))).expect("settings");
        let line = text.lines().find(|l| l.starts_with("bind = ")).expect("a line");
        line.trim_start_matches("bind = ").trim_matches('"').parse().expect("an address")
    };
    (0..3).map(bind).collect()
}

async fn statuses(client: &Client, at: &[SocketAddr]) -> Vec<Status> {
    let mut all = Vec::new();
    for a in at {
        if let Ok((200, body)) = client.send(*a, "GET", "/v2/status", None, LIMIT).await {
            all.extend(http::decode::<Status>(&body));
        }
    }
    all
}

async fn stage(client: &Client, to: SocketAddr, id: &str) -> Option<JobState> {
    let (status, body) = client.send(to, "GET", &format!("/v2/runs/{id}"), None, LIMIT).await.ok()?;
    (status == 200).then(|| http::decode(&body).ok()).flatten()
}

/// Reports reach the leader by way of the others, a leader that ends included, and no rule is
/// seen broken: the job is done.
#[test]
fn reports_reach_the_leader_by_way_of_the_others() {
    let dir = common::dir("spread");
    let faults =
        "[[fault]]\nkind = \"crash\"\nat_s = 14\nnode = 0\n\n[[fault]]\nkind = \"crash\"\nat_s = 20\nnode = 1\n";
    let size = Size { sockets: SOCKETS, ..Size::default() };
    let cluster = common::Cluster::sized(&dir, faults, 20, size);
    let id: Name = "j-000077".into();
    let spec = JobSpec { tasks: TASKS, cpus: 16.0, estimate_s: 16.0, spot: false, ..common::job(id.clone()) };
    let forwarded = smol::block_on(async {
        let client = Client::default();
        let at = controllers(&dir);
        let began = Instant::now();
        loop {
            let sent = client.send(cluster.addr, "POST", "/v2/runs", Some(&http::encode(&spec)), LIMIT).await;
            if matches!(sent, Ok((200 | 201, _))) {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(30), "it is accepted");
            smol::Timer::after(Duration::from_millis(300)).await;
        }
        let mut forwarded = 0;
        loop {
            for s in statuses(&client, &at).await {
                forwarded = forwarded.max(s.counters.get("reports forwarded").copied().unwrap_or(0));
            }
            if stage(&client, cluster.addr, &id).await.is_some_and(|s| s.stage == "done") {
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
