//! A controller from its start: the one place that drives all slices.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::net::TcpListener;

use crate::config::Config;
use crate::controller::Controller;
use crate::http::{serve, ServerLimits};
use crate::policy::Policy;
use crate::runtime::executor::PriorityExecutor;

/// Runs a controller on this thread.
pub fn run(config: Config, policy: Policy) -> std::io::Result<()> {
    let turns = PriorityExecutor::default();
    // sockets are left for the state service, the cloud and siblings, and for
    // direct commands to workers
    let most = config.deployment.quota.fd_limit;
    let connections = most.saturating_sub(64 + policy.direct_calls).max(16);
    let limits = ServerLimits {
        connections,
        scarce: (connections as f64 * policy.scarce_share) as usize,
        idle: policy.connection_idle,
        arrive: Duration::from_secs(10),
        // the most patient are users that submit
        answer: Duration::from_secs(5),
    };
    let (bind, peer_bind) = (config.bind, config.peer_bind);
    let node = Arc::new(Controller::new(config, policy, Instant::now()));
    let requests = turns.requests.clone();
    smol::block_on(turns.clone().run(async {
        let listener = TcpListener::bind(bind).await?;
        tracing::info!("{} listens on {bind}", node.config.name);
        let peers = TcpListener::bind(peer_bind).await?;
        turns.spawn_control(node.clone().serve_peers(peers));
        let (n, e) = (node.clone(), turns.control.clone());
        turns.spawn_control(async move { n.run_peer_connections(|w| e.spawn(w).detach()).await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_peer_polling().await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_cancellation_notices().await });
        let n = node.clone();
        turns.spawn_control(async move { n.publish_features().await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_stall_detector().await });
        let n = node.clone();
        let watch = turns.control.spawn(async move { n.run_watch().await });
        let watch = async {
            match watch.await {
                Ok(never) => match never {},
                Err(error) => error.to_string(),
            }
        };
        let n = node.clone();
        turns.spawn_control(async move { n.run_elections().await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_submissions().await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_confirmations().await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_lookups().await });
        let n = node.clone();
        turns.spawn_control(async move { n.run_heartbeat_forwarding().await });
        turns.spawn_control(node.clone().run_initial_type_fetch());
        let n = node.clone();
        requests.spawn(async move { n.scheduling_delay.measure(n.policy.pass_gap * 2).await }).detach();
        let handler = Rc::new(move |r| node.clone().handle_request(r));
        let serving = serve(requests.clone(), listener, limits, handler);
        let served = requests.spawn(async move {
            serving.await;
            "the listener failed".to_owned()
        });
        let why = futures_lite::future::or(watch, served).await;
        Err(std::io::Error::other(why))
    }))
}
