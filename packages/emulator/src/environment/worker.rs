//! One machine's worker: its heartbeats, and its server for direct commands.

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

/// Least time between two heartbeats of a worker.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(500);
/// Limit of one heartbeat.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(4);
/// Pause before a worker tries the next controller.
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(1);
/// Greatest pause, in milliseconds, before a worker follows a redirection; at random, so that not
/// all workers come to a new leader at the same time.
const MAX_REDIRECT_DELAY_MS: u64 = 500;

/// The answer 421: the controller that takes heartbeats now.
#[derive(Deserialize, Default)]
struct Redirection {
    #[serde(rename = "answerTo", default)]
    leader: Option<String>,
}

/// Where a worker sends its next heartbeat, and how long it waits before that.
struct NextTry {
    controller: usize,
    delay: Duration,
}

impl Environment {
    /// Runs one machine's worker until this is dropped.
    pub(super) async fn run_worker(self: Rc<Self>, machine: BootedMachine, woken: Receiver<()>) {
        let BootedMachine { name, kind, zone, spot } = machine;
        let Ok(listener) = TcpListener::bind((self.host.get(), 0)).await else {
            tracing::error!(machine = %name, "worker has no free port to listen on");
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
                    // the machine is gone: nothing answers there
                    None => std::future::pending().await,
                }
            }
        };
        let executor = Rc::new(LocalExecutor::new());
        let server = http::serve(executor.clone(), listener, server_limits(), Rc::new(handler));
        executor.run(or(server, self.send_heartbeats(name, woken))).await;
    }

    /// Answers a direct request and counts it; `None` if the machine is gone.
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
                Err(_) => return Some(Response::refuse(400, "malformed")),
            },
            _ => return Some(Response::refuse(404, "no such path")),
        };
        Some(Response::new(status, &worker_pool.heartbeat(machine, now)?.0))
    }

    /// Sends a heartbeat every interval, and earlier when something changed; returns when the
    /// machine is gone.
    async fn send_heartbeats(&self, machine: Name, woken: Receiver<()>) {
        let client = Client::new(1);
        let mut controller = self.rng.borrow_mut().usize(0..self.controllers.len().max(1));
        let mut due = Instant::now();
        let mut last_sent: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let has_changed = self.worker_pool.borrow().has_changed(&machine);
            let early = has_changed.then(|| last_sent.map_or(now, |sent| sent + MIN_HEARTBEAT_GAP));
            let next = early.map_or(due, |early| due.min(early));
            if now < next {
                wait_until_or_woken(next, &woken).await;
                continue;
            }
            last_sent = Some(now);
            let Some(next_try) = self.send_heartbeat(&client, &machine, controller, now).await else { return };
            controller = next_try.controller;
            due = Instant::now() + next_try.delay;
        }
    }

    /// Sends one heartbeat and applies its answer; `None` if the machine is gone.
    async fn send_heartbeat(
        &self,
        client: &Client,
        machine: &Name,
        controller: usize,
        now: Instant,
    ) -> Option<NextTry> {
        let (heartbeat, sent) = self.worker_pool.borrow_mut().heartbeat(machine, now)?;
        let address = self.controllers.get(controller)?.addr;
        let body = http::encode(&heartbeat);
        let head = http::request_head(address, "POST", "/hello", body.len());
        self.count_traffic(|traffic| {
            traffic.heartbeats += 1;
            traffic.heartbeat_bytes += (head.len() + body.len()) as u64;
        });
        let answer = client.send(address, "POST", "/hello", Some(&body), HEARTBEAT_LIMIT).await;
        self.count_answer(&answer);
        Some(match answer {
            Ok((200, body)) => {
                if let Ok(reply) = http::decode::<HeartbeatReply>(&body) {
                    self.worker_pool.borrow_mut().apply_reply(machine, sent, reply, Instant::now());
                }
                let jitter = 0.75 + 0.5 * self.rng.borrow_mut().f64();
                NextTry { controller, delay: Duration::from_secs_f64(self.heartbeat_interval_s * jitter) }
            }
            Ok((421, body)) => self.follow_redirection(controller, &body),
            _ => self.next_controller(controller),
        })
    }

    /// Where a worker goes that a controller redirected: to the leader if it knows that one.
    fn follow_redirection(&self, from: usize, body: &[u8]) -> NextTry {
        let leader = http::decode::<Redirection>(body).unwrap_or_default().leader;
        let known = self.controllers.iter().position(|controller| Some(&controller.name) == leader.as_ref());
        match known.filter(|known| *known != from) {
            Some(controller) => {
                let delay = Duration::from_millis(self.rng.borrow_mut().u64(0..MAX_REDIRECT_DELAY_MS));
                NextTry { controller, delay }
            }
            None => self.next_controller(from),
        }
    }

    fn next_controller(&self, controller: usize) -> NextTry {
        NextTry { controller: (controller + 1) % self.controllers.len(), delay: NEXT_CONTROLLER_DELAY }
    }

    fn count_answer(&self, answer: &Result<(u16, Vec<u8>), http::Error>) {
        self.count_traffic(|traffic| {
            match answer {
                Ok((200, _)) => traffic.answered += 1,
                Ok((421, _)) => traffic.redirected += 1,
                _ => traffic.failed += 1,
            }
            if let Ok((status, body)) = answer {
                let response = Response { status: *status, body: body.clone(), retry_after: None, seldom: false };
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

async fn wait_until_or_woken(at: Instant, woken: &Receiver<()>) {
    let timer = async {
        smol::Timer::at(at).await;
    };
    let wake = async {
        let _ = woken.recv().await;
    };
    or(timer, wake).await;
}
