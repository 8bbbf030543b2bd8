//! The load balancer's probes and connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::Client;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;

use super::Environment;
use crate::balancer::SubmissionReader;

/// Interval and limit of health probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// Limit of connecting to a controller.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Controllers that are tried for one connection of a user.
const MAX_TRIES: usize = 3;
/// The open connections of a controller are reset when it has been unhealthy for longer than this.
const RESET_AFTER: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A connection to a controller.
struct Connection {
    controller: usize,
    stream: TcpStream,
}

impl Environment {
    /// Probes a controller's health, until it is dropped.
    pub async fn probe(self: Rc<Self>, index: usize) {
        let client = Client::new(1);
        let Some(controller) = self.controllers.get(index).cloned() else { return };
        loop {
            let answer = client.send(controller.addr, "GET", "/healthz", None, PROBE_LIMIT).await;
            let is_healthy = matches!(answer, Ok((200, _)));
            self.balancer.borrow_mut().record_probe(index, is_healthy, Instant::now());
            smol::Timer::after(PROBE_INTERVAL).await;
        }
    }

    /// Accepts users' connections and forwards them to controllers, until it is dropped.
    pub async fn balance(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((user, _)) => executor.spawn(self.clone().forward(user)).detach(),
                Err(error) => {
                    tracing::error!(%error, "load balancer cannot accept a connection");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Forwards one connection until either side ends it or the controller has been unhealthy for
    /// too long.
    async fn forward(self: Rc<Self>, user: TcpStream) {
        let Some(Connection { controller, stream }) = self.connect().await else { return };
        let requests = self.copy_requests(user.clone(), stream.clone());
        let responses = async {
            let _ = smol::io::copy(stream, user).await;
        };
        or(or(requests, responses), self.wait_unhealthy(controller)).await;
        self.balancer.borrow_mut().record_close(controller);
    }

    /// Connects to a controller of the balancer's choice; `None` if none can be reached.
    async fn connect(&self) -> Option<Connection> {
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIES {
            let controller = self.balancer.borrow().choose(&tried, Instant::now())?;
            let connect = async { TcpStream::connect(self.controllers[controller].addr).await.ok() };
            let timeout = async {
                smol::Timer::after(CONNECT_LIMIT).await;
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

    /// Copies a user's bytes to a controller.  Submissions among them are uploaded for the workers
    /// before the controller can read them.
    async fn copy_requests(&self, mut user: TcpStream, mut controller: TcpStream) {
        let (mut buffer, mut reader) = (vec![0u8; 4096], SubmissionReader::default());
        while let Ok(length @ 1..) = user.read(&mut buffer).await {
            let requests_before = reader.requests;
            for spec in reader.take(&buffer[..length]) {
                self.worker_pool.borrow_mut().upload(spec);
            }
            if let Some(counts) = self.request_counts.borrow_mut().as_mut() {
                counts.add(reader.requests - requests_before);
            }
            if controller.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
    }

    /// Returns when a controller has been unhealthy for too long.
    async fn wait_unhealthy(&self, controller: usize) {
        let mut unhealthy_since: Option<Instant> = None;
        loop {
            smol::Timer::after(PROBE_INTERVAL).await;
            if self.balancer.borrow().is_healthy(controller) {
                unhealthy_since = None;
            } else if unhealthy_since.get_or_insert_with(Instant::now).elapsed() > RESET_AFTER {
                return;
            }
        }
    }
}
