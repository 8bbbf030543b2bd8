//! The simulated workers of a region: they speak the complete worker protocol, but start no processes
//! for the tasks.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use coralnotch_wire::http::{self, Request, Response};
use coralnotch_wire::model::MachineType;
use fastrand::Rng;
use smol::LocalExecutor;

use super::{control_limits, listen, no_cloud, print_ready};
use crate::environment::{BootedMachine, Controller, Environment};
use crate::error::Error;
use crate::scale::control::{path, AffectedMachines, JobStart, MachineEvents, Upload, WorkerStats};
use crate::settings::WorkerTimes;
use crate::state::{Limits, State};
use crate::worker_pool::{self, WorkerPool};

/// Parameters of the workers of a region.
pub(super) struct Workers {
    pub(super) host: IpAddr,
    pub(super) types: Vec<MachineType>,
    /// Names and addresses of the controllers.
    pub(super) controllers: Vec<(String, SocketAddr)>,
    pub(super) times: WorkerTimes,
    pub(super) seed: u64,
}

impl Workers {
    /// Runs the workers and serves a control interface to the run, the users and the cloud's process.
    pub(super) async fn serve(self, executor: Rc<LocalExecutor<'static>>) -> Result<(), Error> {
        let mut rng = Rng::with_seed(self.seed);
        let WorkerTimes { report_s, lease_s, gang_wait_s, gang_peer_s, .. } = self.times;
        let settings = worker_pool::Settings { lease_s, gang_wait_s, gang_peer_s };
        let pool = WorkerPool::new(settings, 1.0, rng.fork());
        let controllers = self.controllers.into_iter().map(|(name, addr)| Controller { name, addr }).collect();
        let environment = Environment::new(State::new(Limits::NONE), no_cloud(), pool, controllers, report_s, rng);
        environment.host.set(self.host);
        executor.spawn(environment.clone().run_clock(executor.clone())).detach();
        let control = listen(self.host).await?;
        print_ready(&[control.address]);
        let control_interface = ControlInterface { environment, executor: executor.clone(), types: self.types };
        let handler = move |request: Request| {
            let answer = control_interface.answer(&request);
            async move { answer }
        };
        http::serve(executor, control.listener, control_limits(), Rc::new(handler)).await;
        Ok(())
    }
}

struct ControlInterface {
    environment: Rc<Environment>,
    executor: Rc<LocalExecutor<'static>>,
    types: Vec<MachineType>,
}

impl ControlInterface {
    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", path::STATS) => Response::new(200, &self.take_stats()),
            ("POST", path::UPLOAD) => match http::decode::<Upload>(&request.body) {
                Ok(upload) => {
                    self.upload(upload);
                    Response::new(200, &AffectedMachines { machines: 0 })
                }
                Err(_) => Response::error(400, "malformed"),
            },
            ("POST", path::MACHINES) => match http::decode::<MachineEvents>(&request.body) {
                Ok(events) => Response::new(200, &AffectedMachines { machines: self.apply_machine_events(events) }),
                Err(_) => Response::error(400, "malformed"),
            },
            _ => Response::error(404, "no such path"),
        }
    }

    fn upload(&self, upload: Upload) {
        let mut workers = self.environment.worker_pool.borrow_mut();
        for spec in upload.specs {
            let id = spec.id.clone();
            workers.upload(spec);
            if upload.timed {
                workers.request_start_timing(&id);
            }
        }
    }

    /// Removes the machines that are gone and starts workers for the machines that came up; returns
    /// how many came up.
    fn apply_machine_events(&self, events: MachineEvents) -> usize {
        events.gone.iter().for_each(|name| self.environment.remove_machine(name));
        let count = events.up.len();
        for machine in events.up {
            let Some(kind) = self.types.iter().find(|kind| kind.name == machine.kind).cloned() else { continue };
            let machine = BootedMachine { name: machine.name, kind, zone: machine.zone, spot: machine.spot };
            self.environment.start_worker(&self.executor, machine);
        }
        count
    }

    /// Returns the workers' counters and removes the timed job starts that they contain, so that each
    /// is reported once.
    fn take_stats(&self) -> WorkerStats {
        let mut workers = self.environment.worker_pool.borrow_mut();
        let running = workers.running_tasks();
        let timed_starts = std::mem::take(&mut workers.timed_starts);
        let (now, wall_clock) = (Instant::now(), SystemTime::now());
        let begun = timed_starts.into_iter().map(|start| {
            let age = now.saturating_duration_since(start.at);
            let at = wall_clock.checked_sub(age).unwrap_or(wall_clock);
            let at_us = at.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
            JobStart { job: start.job, at_us }
        });
        WorkerStats {
            machines: workers.machines().len() as u64,
            running: running.all,
            replicas: running.service_replicas,
            started: workers.started,
            killed: workers.killed,
            broken: workers.violations.clone(),
            begun: begun.collect(),
            traffic: self.environment.traffic.get(),
        }
    }
}
