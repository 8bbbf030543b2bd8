//! Startup of a controller: creates it and runs its servers and background loops.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future::or;
use smol::net::TcpListener;
use smol::Task;

use crate::config::Config;
use crate::controller::Controller;
use crate::http::{serve, ServerLimits};
use crate::policy::Policy;
use crate::runtime::executor::PriorityExecutor;
use crate::state_store::initial_read::UnsupportedLayout;

/// Number of file descriptors that are reserved for the state service, the cloud, peers and files.
const RESERVED_FILE_DESCRIPTORS: usize = 64;

/// Minimum number of connections that the server accepts, whatever the limit of file descriptors.
const MIN_CONNECTIONS: usize = 16;

/// The reason for which a controller stops.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    UnsupportedLayout(#[from] UnsupportedLayout),
    #[error("the HTTP server for users and workers stopped accepting connections")]
    HttpServerStopped,
}

/// Runs a controller on this thread.
///
/// # Errors
///
/// Returns only with an error: if a listener cannot be bound, if the stored data has an unsupported
/// layout, or if the HTTP server stops.
pub fn run(config: Config, policy: Policy) -> std::io::Result<()> {
    let executor = PriorityExecutor::default();
    let limits = server_limits(&config, &policy);
    let (bind, peer_bind) = (config.bind, config.peer_bind);
    let controller = Arc::new(Controller::new(config, policy, Instant::now()));
    let main = run_controller(executor.clone(), controller, limits, bind, peer_bind);
    smol::block_on(executor.run(main))
}

/// Returns the limits of the HTTP server for users and workers.
fn server_limits(config: &Config, policy: &Policy) -> ServerLimits {
    let reserved = RESERVED_FILE_DESCRIPTORS + policy.direct_calls;
    let max_connections = config.deployment.quota.fd_limit.saturating_sub(reserved).max(MIN_CONNECTIONS);
    ServerLimits {
        max_connections,
        scarce_connections: (max_connections as f64 * policy.scarce_share) as usize,
        idle_timeout: policy.connection_idle,
        transfer_timeout: Duration::from_secs(10),
        // users wait longest for the reply to a submission
        response_timeout: Duration::from_secs(5),
    }
}

/// Runs a controller until the watch of the state service or the HTTP server ends, and returns the
/// error.
async fn run_controller(
    executor: PriorityExecutor,
    controller: Arc<Controller>,
    limits: ServerLimits,
    bind: SocketAddr,
    peer_bind: SocketAddr,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(bind).await?;
    tracing::info!(controller = controller.config.name, address = %bind, "listening");
    let peer_listener = TcpListener::bind(peer_bind).await?;
    let watch = spawn_control_loops(&executor, &controller, peer_listener);
    let requests = executor.requests.clone();
    let measured_controller = controller.clone();
    let delay_measurement =
        async move { measured_controller.scheduling_delay.measure(measured_controller.policy.pass_gap * 2).await };
    requests.spawn(delay_measurement).detach();
    let handler = Rc::new(move |request| controller.clone().handle_request(request));
    let server_future = serve(requests.clone(), listener, limits, handler);
    let server = requests.spawn(async move {
        server_future.await;
        RunError::HttpServerStopped
    });
    let watch_error = async {
        match watch.await {
            Ok(never) => match never {},
            Err(error) => RunError::from(error),
        }
    };
    Err(std::io::Error::other(or(watch_error, server).await))
}

/// Spawns the background loops of the controller with control priority.  Returns the watch of the
/// state service, which ends if the layout of the stored data is not supported.  The other loops run
/// until the executor is dropped.
fn spawn_control_loops(
    executor: &PriorityExecutor,
    controller: &Arc<Controller>,
    peer_listener: TcpListener,
) -> Task<Result<Infallible, UnsupportedLayout>> {
    executor.spawn_control(controller.clone().serve_peers(peer_listener));
    let connections = executor.control.clone();
    spawn_loop(executor, controller, |c| async move {
        c.run_peer_connections(|connection| connections.spawn(connection).detach()).await;
    });
    spawn_loop(executor, controller, |c| async move { c.run_peer_polling().await });
    spawn_loop(executor, controller, |c| async move { c.run_cancellation_notices().await });
    spawn_loop(executor, controller, |c| async move { c.publish_features().await });
    spawn_loop(executor, controller, |c| async move { c.run_stall_detector().await });
    let watch_controller = controller.clone();
    let watch = executor.control.spawn(async move { watch_controller.run_watch().await });
    spawn_loop(executor, controller, |c| async move { c.run_elections().await });
    spawn_loop(executor, controller, |c| async move { c.run_submissions().await });
    spawn_loop(executor, controller, |c| async move { c.run_confirmations().await });
    spawn_loop(executor, controller, |c| async move { c.run_lookups().await });
    spawn_loop(executor, controller, |c| async move { c.run_heartbeat_forwarding().await });
    spawn_loop(executor, controller, Controller::run_initial_type_fetch);
    watch
}

/// Spawns one background loop of the controller with control priority.
fn spawn_loop<F>(executor: &PriorityExecutor, controller: &Arc<Controller>, run: impl FnOnce(Arc<Controller>) -> F)
where
    F: Future<Output = ()> + 'static,
{
    executor.spawn_control(run(controller.clone()));
}
