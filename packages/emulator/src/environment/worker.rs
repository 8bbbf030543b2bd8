//! The worker of one machine: its heartbeats and its server for direct commands.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Client, Request, Response};
use coralnotch_wire::model::Name;
use coralnotch_wire::workers::{DirectCommandBody, HeartbeatReply};
use futures_lite::future::or;
use serde::Deserialize;
use smol::channel::Receiver;
use smol::net::TcpListener;
use smol::LocalExecutor;

use super::{server_limits, BootedMachine, Environment, Traffic};
use crate::worker_pool::NewMachine;

/// Minimum time between a heartbeat and an early one that follows it.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker tries the next controller.
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of the delay, in milliseconds, before a worker follows a redirection.  The delay is
/// random, so that the workers do not all contact a new leader at the same time.
const MAX_REDIRECT_DELAY_MS: u64 = 500;

/// Body of an answer with status 421, which names the controller that accepts heartbeats.
#[derive(Deserialize, Default)]
struct Redirection {
    #[serde(rename = "answerTo", default)]
    leader: Option<String>,
}

/// The controller that receives a worker's next heartbeat, and the delay before it is sent.
struct NextHeartbeat {
    controller: usize,
    delay: Duration,
}

impl Environment {
    /// Runs one machine's worker until the machine is gone or the future is dropped.
    pub(super) async fn run_worker(self: Rc<Self>, machine: BootedMachine, wake_receiver: Receiver<()>) {
        let BootedMachine { name, kind, zone, spot } = machine;
        let Ok(listener) = TcpListener::bind((self.host.get(), 0)).await else {
            tracing::error!(machine = %name, "worker failed to bind a port for direct commands; it does not start");
            return;
        };
        let Ok(address) = listener.local_addr() else { return };
        let machine = NewMachine { name: name.clone(), kind, zone, spot, address: address.to_string().into() };
        self.worker_pool.borrow_mut().add_machine(machine, Instant::now());
        let (environment, machine_name) = (self.clone(), name.clone());
        let handler = move |request: Request| {
            let answer = environment.answer_direct_request(&machine_name, &request);
            async move {
                match answer {
                    Some(answer) => answer,
                    // The machine is gone, so the request never gets an answer.
                    None => std::future::pending().await,
                }
            }
        };
        let executor = Rc::new(LocalExecutor::new());
        let server = http::serve(executor.clone(), listener, server_limits(), Rc::new(handler));
        executor.run(or(server, self.send_heartbeats(name, wake_receiver))).await;
    }

    /// Handles a direct request and counts its traffic; returns `None` if the machine is gone.
    fn answer_direct_request(&self, machine: &Name, request: &Request) -> Option<Response> {
        let answer = self.handle_direct_request(machine, request)?;
        self.wake_changed_workers();
        let any_address = SocketAddr::new(self.host.get(), 0);
        let request_head = http::request_head(any_address, &request.method, &request.path, request.body.len());
        let answer_head = http::response_head(&answer, false);
        self.count_traffic(|traffic| {
            traffic.direct += 1;
            traffic.direct_bytes +=
                (request_head.len() + request.body.len() + answer_head.len() + answer.body.len()) as u64;
        });
        Some(answer)
    }

    fn handle_direct_request(&self, machine: &Name, request: &Request) -> Option<Response> {
        let mut worker_pool = self.worker_pool.borrow_mut();
        let now = Instant::now();
        let status = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => 200,
            ("POST", "/commands") => match http::decode::<DirectCommandBody>(&request.body) {
                Ok(body) => match worker_pool.apply_direct_commands(machine, body, now) {
                    true => 200,
                    false => 409,
                },
                Err(_) => return Some(Response::error(400, "malformed")),
            },
            _ => return Some(Response::error(404, "no such path")),
        };
        Some(Response::new(status, &worker_pool.heartbeat(machine, now)?.0))
    }

    /// Sends heartbeats at the nominal interval, and earlier ones when the machine has changed;
    /// returns when the machine is gone.
    async fn send_heartbeats(&self, machine: Name, wake_receiver: Receiver<()>) {
        let client = Client::new(1);
        let mut controller = self.rng.borrow_mut().usize(0..self.controllers.len().max(1));
        let mut due = Instant::now();
        let mut last_sent: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let has_changed = self.worker_pool.borrow().has_changed(&machine);
            let early = has_changed.then(|| last_sent.map_or(now, |sent| sent + MIN_HEARTBEAT_INTERVAL));
            let next = early.map_or(due, |early| due.min(early));
            if now < next {
                wait_until_or_woken(next, &wake_receiver).await;
                continue;
            }
            last_sent = Some(now);
            let Some(next_heartbeat) = self.send_heartbeat(&client, &machine, controller, now).await else { return };
            controller = next_heartbeat.controller;
            due = Instant::now() + next_heartbeat.delay;
        }
    }

    /// Sends one heartbeat, applies its answer and determines the next heartbeat.  Returns `None` if
    /// the machine is gone or there is no such controller.
    async fn send_heartbeat(
        &self,
        client: &Client,
        machine: &Name,
        controller: usize,
        now: Instant,
    ) -> Option<NextHeartbeat> {
        let (heartbeat, sent) = self.worker_pool.borrow_mut().heartbeat(machine, now)?;
        let address = self.controllers.get(controller)?.addr;
        let body = http::encode(&heartbeat);
        let head = http::request_head(address, "POST", "/hello", body.len());
        self.count_traffic(|traffic| {
            traffic.heartbeats += 1;
            traffic.heartbeat_bytes += (head.len() + body.len()) as u64;
        });
        let answer = client.send(address, "POST", "/hello", Some(&body), HEARTBEAT_TIMEOUT).await;
        self.count_answer(&answer);
        Some(match answer {
            Ok((200, body)) => {
                if let Ok(reply) = http::decode::<HeartbeatReply>(&body) {
                    self.worker_pool.borrow_mut().apply_reply(machine, sent, reply, Instant::now());
                }
                let jitter = 0.75 + 0.5 * self.rng.borrow_mut().f64();
                NextHeartbeat { controller, delay: Duration::from_secs_f64(self.heartbeat_interval_s * jitter) }
            }
            Ok((421, body)) => self.follow_redirection(controller, &body),
            _ => self.next_controller(controller),
        })
    }

    /// Determines the next heartbeat after a redirection: to the named leader if it is another known
    /// controller, otherwise to the next controller.
    fn follow_redirection(&self, from: usize, body: &[u8]) -> NextHeartbeat {
        let leader = http::decode::<Redirection>(body).unwrap_or_default().leader;
        let leader_index = self.controllers.iter().position(|controller| Some(&controller.name) == leader.as_ref());
        match leader_index.filter(|leader_index| *leader_index != from) {
            Some(controller) => {
                let delay = Duration::from_millis(self.rng.borrow_mut().u64(0..MAX_REDIRECT_DELAY_MS));
                NextHeartbeat { controller, delay }
            }
            None => self.next_controller(from),
        }
    }

    fn next_controller(&self, controller: usize) -> NextHeartbeat {
        NextHeartbeat { controller: (controller + 1) % self.controllers.len(), delay: NEXT_CONTROLLER_DELAY }
    }

    fn count_answer(&self, answer: &Result<(u16, Vec<u8>), http::Error>) {
        self.count_traffic(|traffic| {
            match answer {
                Ok((200, _)) => traffic.answered += 1,
                Ok((421, _)) => traffic.redirected += 1,
                _ => traffic.failed += 1,
            }
            if let Ok((status, body)) = answer {
                let response =
                    Response { status: *status, body: body.clone(), retry_after: None, closes_when_scarce: false };
                traffic.answer_bytes += (http::response_head(&response, false).len() + body.len()) as u64;
            }
        });
    }

    fn count_traffic(&self, add: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        add(&mut traffic);
        self.traffic.set(traffic);
    }
}

async fn wait_until_or_woken(at: Instant, wake_receiver: &Receiver<()>) {
    let timer = async {
        smol::Timer::at(at).await;
    };
    let wake = async {
        let _ = wake_receiver.recv().await;
    };
    or(timer, wake).await;
}
