//! The cloud of a region, which sends machine events to the workers' process in order.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Client, Request, Response};
use coralnotch_wire::model::Name;
use fastrand::Rng;
use smol::LocalExecutor;

use super::{control_limits, listen, no_workers, print_ready};
use crate::cloud::{Cloud, Event, RentedMachine, Settings};
use crate::environment::{BootedMachine, Environment};
use crate::error::Error;
use crate::scale::control::{path, send, AffectedMachines, CloudStats, Kill, MachineEvents, MachineUp, ZoneChange};
use crate::state::{Limits, State};

/// Interval at which the states of the machines are brought up to date.
const TICK: Duration = Duration::from_millis(20);

struct CloudProcess {
    environment: Rc<Environment>,
    /// Address of the control interface of the workers' process.
    workers: SocketAddr,
    client: Client,
    /// Machine events that are not yet sent to the workers' process.
    events: RefCell<MachineEvents>,
}

/// Serves the cloud to the controllers and a control interface to the run.
pub(super) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    host: IpAddr,
    settings: Settings,
    workers: SocketAddr,
    seed: u64,
) -> Result<(), Error> {
    let mut rng = Rng::with_seed(seed);
    let pool = no_workers(&mut rng);
    let environment = Environment::new(State::new(Limits::NONE), Cloud::new(settings), pool, Vec::new(), 1.0, rng);
    let process = Rc::new(CloudProcess { environment, workers, client: Client::new(1), events: RefCell::default() });
    let control = listen(host).await?;
    let service = listen(host).await?;
    print_ready(&[control.address, service.address]);
    executor.spawn(process.clone().run_clock()).detach();
    let service_process = process.clone();
    let handler = move |request: Request| service_process.clone().answer(request);
    executor.spawn(http::serve(executor.clone(), service.listener, control_limits(), Rc::new(handler))).detach();
    let handler = move |request: Request| process.clone().answer_control(request);
    http::serve(executor, control.listener, control_limits(), Rc::new(handler)).await;
    Ok(())
}

impl CloudProcess {
    /// Adds events to those that are sent next; a machine that is gone is not reported as up.
    fn record_events(&self, events: Vec<Event>) {
        let mut pending = self.events.borrow_mut();
        for event in events {
            match event {
                Event::Booted(name) => {
                    if let Some(machine) = self.environment.booted_machine(&name) {
                        let BootedMachine { name, kind, zone, spot } = machine;
                        pending.up.push(MachineUp { name, kind: kind.name, zone, spot });
                    }
                }
                Event::Removed(name) => {
                    pending.up.retain(|machine| machine.name != name);
                    pending.gone.push(name);
                }
                Event::ReclaimNotice(..) => {}
            }
        }
    }

    /// Sends the pending events to the workers' process; logs an error if that fails.
    async fn send_events(&self) {
        let events = std::mem::take(&mut *self.events.borrow_mut());
        if events.gone.is_empty() && events.up.is_empty() {
            return;
        }
        if let Err(error) = send::<_, AffectedMachines>(&self.client, self.workers, path::MACHINES, &events).await {
            tracing::error!(%error, "cannot send machine events to the workers' process");
        }
    }

    async fn run_clock(self: Rc<Self>) {
        loop {
            smol::Timer::after(TICK).await;
            let events = self.environment.cloud.borrow_mut().step(Instant::now());
            self.record_events(events);
            self.send_events().await;
        }
    }

    /// Handles a controller's request.  Deleted machines are removed from the workers' process before
    /// the controller receives the response.
    async fn answer(self: Rc<Self>, request: Request) -> Response {
        let (answer, events) = self.environment.cloud.borrow_mut().handle_request(
            &request,
            &mut self.environment.rng.borrow_mut(),
            Instant::now(),
        );
        self.record_events(events);
        self.send_events().await;
        answer
    }

    /// Handles a request of the run.
    async fn answer_control(self: Rc<Self>, request: Request) -> Response {
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", path::STATS) => {
                let rented = self.environment.cloud.borrow().machines().len() as u64;
                Response::new(200, &CloudStats { rented })
            }
            ("POST", path::KILL) => match http::decode::<Kill>(&request.body) {
                Ok(kill) => Response::new(200, &AffectedMachines { machines: self.kill_machines(kill.count, None) }),
                Err(_) => Response::error(400, "malformed"),
            },
            ("POST", path::ZONE) => match http::decode::<ZoneChange>(&request.body) {
                Ok(change) => Response::new(200, &AffectedMachines { machines: self.change_zone(&change) }),
                Err(_) => Response::error(400, "malformed"),
            },
            _ => Response::error(404, "no such path"),
        };
        self.send_events().await;
        answer
    }

    /// Kills up to `count` randomly chosen machines, in `zone` or in all zones; returns how many were
    /// killed.
    fn kill_machines(&self, count: usize, zone: Option<&Name>) -> usize {
        let mut cloud = self.environment.cloud.borrow_mut();
        let is_candidate =
            |machine: &RentedMachine| machine.died_at.is_none() && zone.is_none_or(|zone| machine.zone == *zone);
        let candidates = cloud.machines().iter().filter(|(_, machine)| is_candidate(machine));
        let mut names: Vec<Name> = candidates.map(|(name, _)| name.clone()).collect();
        self.environment.rng.borrow_mut().shuffle(&mut names);
        let now = Instant::now();
        let events: Vec<Event> = names.iter().take(count).filter_map(|name| cloud.kill(name, now)).collect();
        drop(cloud);
        let killed = events.len();
        self.record_events(events);
        killed
    }

    /// Closes a zone and kills its machines, or opens the zone again; returns how many machines were
    /// killed.
    fn change_zone(&self, change: &ZoneChange) -> usize {
        if !change.closed {
            self.environment.cloud.borrow_mut().open_zone(&change.zone);
            return 0;
        }
        self.environment.cloud.borrow_mut().close_zone(&change.zone);
        self.kill_machines(usize::MAX, Some(&change.zone))
    }
}
