//! The `up` command: runs a cluster on one machine, with the emulated services in this process and
//! each controller in a process of its own.

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
pub use self::options::{ClusterLimits, Options};
pub(crate) use self::processes::controller_program;

use self::deployment::{cluster_settings, controller_name, ControllerAddresses, HEARTBEAT_INTERVAL_S, ZONES};
use self::injection::FaultInjector;
use self::listeners::Listeners;
use self::processes::Processes;
use crate::environment::{Controller, Environment, RequestCounts};
use crate::error::{Error, IoContext};
use crate::faults::{self, PlannedFault};
use crate::state::State;

/// Interval at which the controller processes and the fault plan are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start within which at least one controller must serve users; otherwise the run
/// fails.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Observations of a cluster run, collected when the run ends.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Number of tasks that began to run.
    pub tasks_started: u64,
    /// Number of tasks that were killed because the lease of their worker expired.
    pub tasks_killed: u64,
    /// Cost of all rented machines, in the currency of the machine types' prices.
    pub cost: f64,
    /// Violations of the protocol, one line each.
    pub violations: Vec<String>,
    /// Number of users' requests in each second since the cluster became ready.
    pub requests_per_second: Vec<u64>,
    /// Keys in the state service at the end of the run.
    pub stored_keys: Vec<String>,
    /// Time at which the last task of each completed job completed.
    pub completed_at: HashMap<Name, Instant>,
}

/// Runs a cluster until `stop` yields a message or, if `options.exit` is set, until the demo job is
/// over.  Calls `ready` with the address of the load balancer once a controller serves users.
///
/// # Errors
///
/// Returns [`Error::Input`] if an option cannot be used; nothing has been started then.  Returns
/// [`Error::Io`] if a listener, file or process cannot be opened or started.  Returns
/// [`Error::Failed`] if no controller becomes ready, if the demo job is rejected, or if a violation
/// of the protocol was observed.
pub fn run(options: &Options, stop: Receiver<()>, ready: impl FnOnce(SocketAddr)) -> Result<Report, Error> {
    let plan: VecDeque<PlannedFault> = read_plan(options)?.into();
    let program = controller_program(options.controller.as_deref())?;
    let temporary = || std::env::temp_dir().join(format!("coralnotch-{}", std::process::id()));
    let dir = options.dir.clone().unwrap_or_else(temporary);
    fs::create_dir_all(&dir).context(dir.display().to_string())?;
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let listeners = Listeners::open(options.port).await?;
        let balancer = listeners.users_address()?;
        let settings = cluster_settings(&listeners.controllers, plan.iter(), &options.limits);
        listeners.write_settings(&dir, &settings)?;
        let environment = new_environment(options, &listeners.controllers);
        listeners.serve(&environment, &executor);
        let processes = Processes::new(options, program, dir, ZONES.len());
        let injector = FaultInjector::new(environment.clone(), executor.clone(), options.limits.state_limits());
        let mut cluster =
            Cluster { options, environment: environment.clone(), executor, processes, injector, plan, balancer };
        let stop_requested = async {
            let _ = stop.recv().await;
            Ok(())
        };
        let result = or(cluster.run(ready), stop_requested).await;
        drop(cluster);
        result?;
        report(&environment)
    }))
}

/// Returns the faults given in the options and those of the fault file, sorted by time.
fn read_plan(options: &Options) -> Result<Vec<PlannedFault>, Error> {
    let mut plan = options.plan.clone();
    let Some(file) = &options.faults else { return Ok(plan) };
    let text = fs::read_to_string(file)
        .map_err(|e| Error::Input(format!("cannot read the fault file {}: {e}", file.display())))?;
    plan.extend(
        faults::parse(&text, ZONES.len())
            .map_err(|e| Error::Input(format!("invalid fault file {}:\n{e}", file.display())))?,
    );
    plan.sort_by_key(|planned| planned.at);
    Ok(plan)
}

/// Creates the emulated services for controllers that listen on `addresses`.
fn new_environment(options: &Options, addresses: &[ControllerAddresses]) -> Rc<Environment> {
    let mut rng = Rng::with_seed(options.seed);
    let workers = deployment::worker_pool(rng.fork());
    let controller = |(index, addresses): (usize, &ControllerAddresses)| Controller {
        name: controller_name(index),
        addr: addresses.users,
    };
    let controllers = addresses.iter().enumerate().map(controller).collect();
    let state = State::new(options.limits.state_limits());
    Environment::new(state, deployment::cloud(options), workers, controllers, HEARTBEAT_INTERVAL_S, rng)
}

/// A cluster whose emulated services already accept connections.
struct Cluster<'a> {
    options: &'a Options,
    environment: Rc<Environment>,
    executor: Rc<LocalExecutor<'static>>,
    processes: Processes,
    injector: FaultInjector,
    /// Faults that have not been injected yet, sorted by time.
    plan: VecDeque<PlannedFault>,
    /// Address of the load balancer.
    balancer: SocketAddr,
}

impl Cluster<'_> {
    /// Starts the controllers and supervises them until [`run_demo`] returns.
    async fn run(&mut self, ready: impl FnOnce(SocketAddr)) -> Result<(), Error> {
        for index in 0..self.processes.count() {
            self.processes.start(index)?;
            self.executor.spawn(self.environment.clone().run_health_probes(index)).detach();
        }
        self.wait_ready().await?;
        *self.environment.request_counts.borrow_mut() = Some(RequestCounts::start());
        ready(self.balancer);
        let demo = run_demo(self.options, self.balancer);
        or(demo, self.supervise()).await
    }

    /// Waits until the load balancer considers at least one controller healthy.  Restarts controllers
    /// that exit in the meantime.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Failed`] if no controller is healthy after [`READY_LIMIT`].
    async fn wait_ready(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        while !(0..self.processes.count()).any(|index| self.environment.balancer.borrow().is_healthy(index)) {
            if began.elapsed() > READY_LIMIT {
                let dir = self.processes.dir().display();
                return Err(Error::Failed(format!(
                    "no controller became ready within {READY_LIMIT:?}; see the controller logs in {dir}"
                )));
            }
            self.processes.restart_exited(Instant::now())?;
            smol::Timer::after(POLL_INTERVAL).await;
        }
        let dir = self.processes.dir().display();
        print_line(&format!("ready: submit to {}; settings and logs in {dir}; Ctrl-C ends it", self.balancer));
        Ok(())
    }

    /// Restarts controllers that exited and injects each fault of the plan at its time; never
    /// returns unless a controller cannot be started.
    async fn supervise(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        loop {
            self.processes.restart_exited(Instant::now())?;
            while let Some(planned) = self.plan.front().copied().filter(|planned| began.elapsed() >= planned.at) {
                self.plan.pop_front();
                print_line(&format!("{:5.1} s  {:?}", began.elapsed().as_secs_f64(), planned.fault));
                self.injector.inject(&mut self.processes, planned.fault);
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// Runs the demo job if `options.demo` is set.  Returns only if the job fails or `options.exit` is
/// set; otherwise the cluster keeps running.
async fn run_demo(options: &Options, balancer: SocketAddr) -> Result<(), Error> {
    if options.demo {
        demo::run_job(balancer, &demo::demo_job()).await?;
    }
    if !options.exit {
        std::future::pending::<()>().await;
    }
    Ok(())
}

/// Collects the observations of the run and prints a summary.
///
/// # Errors
///
/// Returns [`Error::Failed`] if a violation of the protocol was observed.
fn report(environment: &Environment) -> Result<Report, Error> {
    let workers = environment.worker_pool.borrow();
    let requests = environment.request_counts.borrow();
    let report = Report {
        tasks_started: workers.started,
        tasks_killed: workers.killed,
        cost: environment.cloud.borrow().cost(Instant::now()),
        violations: workers.violations.clone(),
        requests_per_second: requests.as_ref().map(|counts| counts.per_second.clone()).unwrap_or_default(),
        stored_keys: environment.state.borrow().keys_under(""),
        completed_at: workers.completed_at().clone(),
    };
    let Report { tasks_started, tasks_killed, cost, violations, .. } = &report;
    print_line(&format!(
        "{tasks_started} tasks started, {tasks_killed} killed because a worker's lease expired; the machines cost {cost:.2}"
    ));
    if !violations.is_empty() {
        return Err(Error::Failed(format!("violations of the protocol:\n{}", violations.join("\n"))));
    }
    Ok(report)
}

/// Prints a line to standard output.  Write errors, as from a closed pipe, are ignored so that the
/// cluster keeps running.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}
