//! A controller from its start: the one place that drives all slices.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::net::TcpListener;

use crate::config::Config;
use crate::http::{serve, ServerLimits};
use crate::node::Node;
use crate::policy::Policy;
use crate::turns::Turns;

/// Runs a controller on this thread.
pub fn run(config: Config, policy: Policy) -> std::io::Result<()> {
    let turns = Turns::default();
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
    let node = Arc::new(Node::new(config, policy, Instant::now()));
    let requests = turns.requests.clone();
    smol::block_on(turns.clone().run(async {
        let listener = TcpListener::bind(bind).await?;
        tracing::info!("{} listens on {bind}", node.config.name);
        let peers = TcpListener::bind(peer_bind).await?;
        turns.duty(node.clone().serve_peers(peers));
        let (n, e) = (node.clone(), turns.duties.clone());
        turns.duty(async move { n.peer_work(|w| e.spawn(w).detach()).await });
        let n = node.clone();
        turns.duty(async move { n.follow().await });
        let n = node.clone();
        turns.duty(async move { n.tell().await });
        let n = node.clone();
        turns.duty(async move { n.show().await });
        let n = node.clone();
        turns.duty(async move { n.run_stall_detector().await });
        let n = node.clone();
        let watch = turns.duties.spawn(async move { n.watch().await });
        let n = node.clone();
        turns.duty(async move { n.stand().await });
        let n = node.clone();
        turns.duty(async move { n.store_submissions().await });
        let n = node.clone();
        turns.duty(async move { n.confirm_open().await });
        let n = node.clone();
        turns.duty(async move { n.look_up().await });
        let n = node.clone();
        turns.duty(async move { n.forward_reports().await });
        turns.duty(node.clone().types_at_start());
        let n = node.clone();
        requests.spawn(async move { n.scheduling_delay.measure(n.policy.pass_gap * 2).await }).detach();
        let handler = Rc::new(move |r| node.clone().handle(r));
        let serving = serve(requests.clone(), listener, limits, handler);
        let served = requests.spawn(async move {
            serving.await;
            "the listener failed"
        });
        let why = futures_lite::future::or(watch, served).await;
        Err(std::io::Error::other(why))
    }))
}
