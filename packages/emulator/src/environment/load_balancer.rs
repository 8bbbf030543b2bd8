//! I/O of the load balancer: health probes and forwarded connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::Client;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use super::Environment;
use crate::balancer::SubmissionReader;

/// Interval of a controller's health probes, and of the checks whether it is still unhealthy.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of connecting to a controller.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of controllers that are tried for one connection of a user.
const MAX_CONNECT_ATTEMPTS: usize = 3;
/// Time for which a controller must be unhealthy before its open connections are closed.
const UNHEALTHY_RESET_DELAY: Duration = Duration::from_secs(5);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An open connection to the controller with this index.
struct Connection {
    controller: usize,
    stream: TcpStream,
}

impl Environment {
    /// Probes a controller's health until the future is dropped.
    pub async fn run_health_probes(self: Rc<Self>, index: usize) {
        let client = Client::new(1);
        let Some(controller) = self.controllers.get(index).cloned() else { return };
        loop {
            let answer = client.send(controller.addr, "GET", "/healthz", None, PROBE_TIMEOUT).await;
            let is_healthy = matches!(answer, Ok((200, _)));
            self.balancer.borrow_mut().record_probe(index, is_healthy, Instant::now());
            smol::Timer::after(PROBE_INTERVAL).await;
        }
    }

    /// Accepts users' connections and forwards them to controllers until the future is dropped.
    pub async fn serve_load_balancer(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((user, _)) => executor.spawn(self.clone().forward(user)).detach(),
                Err(error) => {
                    tracing::error!(%error, "load balancer failed to accept a connection; retrying after a delay");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Forwards one connection until either side closes it, or until the controller has been
    /// unhealthy for longer than [`UNHEALTHY_RESET_DELAY`].
    async fn forward(self: Rc<Self>, user: TcpStream) {
        let Some(Connection { controller, stream }) = self.connect().await else { return };
        let requests = self.copy_requests(user.clone(), stream.clone());
        let responses = async {
            let _ = smol::io::copy(stream, user).await;
        };
        or(or(requests, responses), self.wait_until_unhealthy(controller)).await;
        self.balancer.borrow_mut().record_close(controller);
    }

    /// Connects to a controller that the balancer chooses; returns `None` if no controller can be
    /// reached.
    async fn connect(&self) -> Option<Connection> {
        let mut tried = Vec::new();
        while tried.len() < MAX_CONNECT_ATTEMPTS {
            let controller = self.balancer.borrow().choose(&tried, Instant::now())?;
            let connect = async { TcpStream::connect(self.controllers[controller].addr).await.ok() };
            let timeout = async {
                smol::Timer::after(CONNECT_TIMEOUT).await;
                None
            };
            let stream = or(connect, timeout).await;
            self.balancer.borrow_mut().record_connection(controller, stream.is_some(), Instant::now());
            match stream {
                Some(stream) => return Some(Connection { controller, stream }),
                None => tried.push(controller),
            }
        }
        None
    }

    /// Copies a user's bytes to a controller.  The specs of submissions among them are uploaded for
    /// the workers before the controller can read them.
    async fn copy_requests(&self, mut user: TcpStream, mut controller: TcpStream) {
        let (mut buffer, mut reader) = (vec![0u8; 4096], SubmissionReader::default());
        while let Ok(bytes_read @ 1..) = user.read(&mut buffer).await {
            let requests_before = reader.requests;
            for spec in reader.parse(&buffer[..bytes_read]) {
                self.worker_pool.borrow_mut().upload(spec);
            }
            if let Some(counts) = self.request_counts.borrow_mut().as_mut() {
                counts.add(reader.requests - requests_before);
            }
            if controller.write_all(&buffer[..bytes_read]).await.is_err() {
                break;
            }
        }
    }

    /// Returns once a controller has been unhealthy for longer than [`UNHEALTHY_RESET_DELAY`].
    async fn wait_until_unhealthy(&self, controller: usize) {
        let mut unhealthy_since: Option<Instant> = None;
        loop {
            smol::Timer::after(PROBE_INTERVAL).await;
            if self.balancer.borrow().is_healthy(controller) {
                unhealthy_since = None;
            } else if unhealthy_since.get_or_insert_with(Instant::now).elapsed() > UNHEALTHY_RESET_DELAY {
                return;
            }
        }
    }
}
