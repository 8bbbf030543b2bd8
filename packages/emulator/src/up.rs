//! A cluster on one machine: the emulated services in this process, and the controllers as
//! processes of their own.

mod demo;
mod deployment;
mod injection;
mod listeners;
mod options;
mod processes;

use std::collections::{HashMap, VecDeque};
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::Name;
use fastrand::Rng;
use futures_lite::future::or;
use smol::channel::Receiver;
use smol::LocalExecutor;

pub use self::deployment::machine_types;
pub use self::options::{Options, Size};
pub(crate) use self::processes::controller_program;

use self::deployment::{cluster_settings, controller_name, ControllerAddresses, HEARTBEAT_INTERVAL_S, ZONES};
use self::injection::FaultInjector;
use self::listeners::Listeners;
use self::processes::Processes;
use crate::environment::{Controller, Environment, RequestCounts};
use crate::error::{Error, IoContext};
use crate::faults::{self, Planned};
use crate::state::State;

/// Interval of looks at the processes and at the fault plan.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A cluster in which no controller serves users after this has failed.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// What was seen while a cluster ran.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks that were killed because the lease of their worker expired.
    pub killed: u64,
    /// Cost of the machines, in the currency of the machine types.
    pub cost: f64,
    /// Violations of the protocol, a line each.
    pub violations: Vec<String>,
    /// Users' requests in each second, from when the cluster was ready.
    pub requests_per_second: Vec<u64>,
    /// Keys that the state service held at the end.
    pub stored_keys: Vec<String>,
    /// When each completed job's last task completed.
    pub completed_at: HashMap<Name, Instant>,
}

/// Runs a cluster until `stop` yields a message, or until the demonstration is over if it is to end
/// then.  `ready` is called with the load balancer's address once a controller serves users.
///
/// # Errors
///
/// [`Error::Input`] if an option cannot be used, before anything is started; [`Error::Failed`] if
/// the cluster does not get ready or a rule of the protocol was broken.
pub fn run(options: &Options, stop: Receiver<()>, ready: impl FnOnce(SocketAddr)) -> Result<Report, Error> {
    let plan: VecDeque<Planned> = read_plan(options)?.into();
    let program = controller_program(options.controller.as_deref())?;
    let temporary = || std::env::temp_dir().join(format!("coralnotch-{}", std::process::id()));
    let dir = options.dir.clone().unwrap_or_else(temporary);
    fs::create_dir_all(&dir).context(dir.display().to_string())?;
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let listeners = Listeners::open(options.port).await?;
        let balancer = listeners.users_address()?;
        let settings = cluster_settings(&listeners.controllers, plan.iter(), &options.size);
        listeners.write_settings(&dir, &settings)?;
        let environment = new_environment(options, &listeners.controllers);
        listeners.serve(&environment, &executor);
        let processes = Processes::new(options, program, dir, ZONES.len());
        let injector = FaultInjector::new(environment.clone(), executor.clone(), options.size.limits());
        let mut cluster =
            Cluster { options, environment: environment.clone(), executor, processes, injector, plan, balancer };
        let stopped = async {
            let _ = stop.recv().await;
            Ok(())
        };
        let result = or(cluster.run(ready), stopped).await;
        drop(cluster);
        result?;
        report(&environment)
    }))
}

/// The faults of the options and of their file, in the order of their times.
fn read_plan(options: &Options) -> Result<Vec<Planned>, Error> {
    let mut plan = options.plan.clone();
    let Some(file) = &options.faults else { return Ok(plan) };
    let text = fs::read_to_string(file).map_err(|e| Error::Input(format!("{}: {e}", file.display())))?;
    plan.extend(faults::parse(&text, ZONES.len()).map_err(|e| Error::Input(format!("{}:\n{e}", file.display())))?);
    plan.sort_by_key(|planned| planned.at);
    Ok(plan)
}

/// The emulated services around controllers at these addresses.
fn new_environment(options: &Options, addresses: &[ControllerAddresses]) -> Rc<Environment> {
    let mut rng = Rng::with_seed(options.seed);
    let workers = deployment::worker_pool(rng.fork());
    let controller = |(index, addresses): (usize, &ControllerAddresses)| Controller {
        name: controller_name(index),
        addr: addresses.users,
    };
    let controllers = addresses.iter().enumerate().map(controller).collect();
    let state = State::new(options.size.limits());
    Environment::new(state, deployment::cloud(options), workers, controllers, HEARTBEAT_INTERVAL_S, rng)
}

/// A cluster whose emulated services are served.
struct Cluster<'a> {
    options: &'a Options,
    environment: Rc<Environment>,
    executor: Rc<LocalExecutor<'static>>,
    processes: Processes,
    injector: FaultInjector,
    /// Faults to come, the next one first.
    plan: VecDeque<Planned>,
    /// Address of the load balancer.
    balancer: SocketAddr,
}

impl Cluster<'_> {
    /// Starts the controllers, and supervises them until the demonstration is over.
    async fn run(&mut self, ready: impl FnOnce(SocketAddr)) -> Result<(), Error> {
        for index in 0..self.processes.count() {
            self.processes.start(index)?;
            self.executor.spawn(self.environment.clone().probe(index)).detach();
        }
        self.wait_ready().await?;
        *self.environment.request_counts.borrow_mut() = Some(RequestCounts::begin());
        ready(self.balancer);
        let demonstration = demonstrate(self.options, self.balancer);
        or(demonstration, self.supervise()).await
    }

    async fn wait_ready(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        while !(0..self.processes.count()).any(|index| self.environment.balancer.borrow().is_healthy(index)) {
            if began.elapsed() > READY_LIMIT {
                let dir = self.processes.dir().display();
                return Err(Error::Failed(format!("no controller is ready; see the logs in {dir}")));
            }
            self.processes.restart_ended(Instant::now())?;
            smol::Timer::after(POLL_INTERVAL).await;
        }
        let dir = self.processes.dir().display();
        print_line(&format!("ready: submit to {}; settings and logs in {dir}; Ctrl-C ends it", self.balancer));
        Ok(())
    }

    /// Restarts controllers that ended, and injects the faults when their time comes.
    async fn supervise(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        loop {
            self.processes.restart_ended(Instant::now())?;
            while let Some(planned) = self.plan.front().copied().filter(|planned| began.elapsed() >= planned.at) {
                self.plan.pop_front();
                print_line(&format!("{:5.1} s  {:?}", began.elapsed().as_secs_f64(), planned.fault));
                self.injector.inject(&mut self.processes, planned.fault);
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// Runs the demonstration, if the options ask for one; returns only if they say that it ends the
/// cluster.
async fn demonstrate(options: &Options, balancer: SocketAddr) -> Result<(), Error> {
    if options.demo {
        demo::run_job(balancer, &demo::demo_job()).await?;
    }
    if !options.exit {
        std::future::pending::<()>().await;
    }
    Ok(())
}

/// Reports what was seen, and prints it in short; an error if a rule of the protocol was broken.
fn report(environment: &Environment) -> Result<Report, Error> {
    let workers = environment.worker_pool.borrow();
    let requests = environment.request_counts.borrow();
    let report = Report {
        started: workers.started,
        killed: workers.killed,
        cost: environment.cloud.borrow().cost(Instant::now()),
        violations: workers.violations.clone(),
        requests_per_second: requests.as_ref().map(|counts| counts.per_second.clone()).unwrap_or_default(),
        stored_keys: environment.state.borrow().keys_under(""),
        completed_at: workers.completed_at().clone(),
    };
    let Report { started, killed, cost, violations, .. } = &report;
    print_line(&format!("{started} tasks started, {killed} killed by a lease; the machines cost {cost:.2}"));
    if !violations.is_empty() {
        return Err(Error::Failed(format!("rules broken:\n{}", violations.join("\n"))));
    }
    Ok(report)
}

/// Prints a line, and goes on if nobody reads the output any more.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}
