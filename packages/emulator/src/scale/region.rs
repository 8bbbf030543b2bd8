//! One region of a run: supervises its processes and injects faults.

mod measurement;
mod setup;
mod start_gap;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::Client;
use coralnotch_wire::model::Name;

pub use self::measurement::{Leader, Snapshot};

use self::start_gap::StartGap;
use super::control::{self, AffectedMachines};
use super::process::ManagedProcess;
use super::role::Role;
use super::users::Users;
use crate::error::Error;
use crate::settings::ControllerSettings;

/// Delay before a killed controller is started again.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// A controller's process, which may be down.
#[derive(Default)]
struct ControllerProcess {
    running: Option<ManagedProcess>,
    /// When the controller is started next; `None` if no start is scheduled.
    start_at: Option<Instant>,
}

/// A running region: its services, its controllers and its users.
pub struct Region {
    /// Names of the region's zones.
    pub zones: Vec<Name>,
    /// The simulated users, who submit and poll jobs.
    pub users: Rc<Users>,
    settings: Vec<ControllerSettings>,
    /// Controllers in the order of `settings`.
    controllers: RefCell<Vec<ControllerProcess>>,
    state: RefCell<ManagedProcess>,
    cloud: RefCell<ManagedProcess>,
    workers: RefCell<ManagedProcess>,
    /// Addresses of the control interfaces.
    state_control: SocketAddr,
    cloud_control: SocketAddr,
    workers_control: SocketAddr,
    client: Client,
    /// Directory of the settings files and logs.
    dir: PathBuf,
    /// The controller program.
    program: PathBuf,
    start_gap: Cell<Option<StartGap>>,
}

impl Region {
    /// Starts the controllers whose scheduled start time has passed.
    ///
    /// # Errors
    ///
    /// Fails if a process exited that the run did not kill, or if a controller cannot be started.
    pub fn supervise(&self) -> Result<(), Error> {
        let now = Instant::now();
        let services = [("state service", &self.state), ("cloud", &self.cloud), ("workers", &self.workers)];
        for (name, process) in services {
            if let Some(status) = process.borrow_mut().exit_status() {
                return Err(Error::Failed(format!(
                    "the {name} process of the run in {} exited unexpectedly: {status}",
                    self.dir.display()
                )));
            }
        }
        let mut controllers = self.controllers.borrow_mut();
        for (controller, settings) in controllers.iter_mut().zip(&self.settings) {
            if let Some(status) = controller.running.as_mut().and_then(ManagedProcess::exit_status) {
                return Err(Error::Failed(format!("controller {} exited unexpectedly: {status}", settings.name)));
            }
            if controller.start_at.is_some_and(|at| at <= now) {
                controller.start_at = None;
                controller.running = Some(self.start_controller(&settings.name)?);
            }
        }
        Ok(())
    }

    fn start_controller(&self, name: &str) -> Result<ManagedProcess, Error> {
        let role = Role::Controller {
            program: self.program.clone(),
            settings: self.dir.join(format!("{name}.toml")),
            log: self.dir.join(format!("{name}.log")),
        };
        ManagedProcess::start_controller(&role, &self.dir, name)
    }

    /// Kills the selected controllers and schedules their restart after `restart_delay`; with `None`
    /// they stay down until a restart is scheduled.
    fn kill_controllers(&self, is_selected: impl Fn(&ControllerSettings) -> bool, restart_delay: Option<Duration>) {
        let mut controllers = self.controllers.borrow_mut();
        let selected = controllers.iter_mut().zip(&self.settings).filter(|(_, settings)| is_selected(settings));
        for (controller, settings) in selected {
            tracing::info!(controller = %settings.name, "controller killed");
            if let Some(mut running) = controller.running.take() {
                running.kill();
            }
            controller.start_at = restart_delay.map(|delay| Instant::now() + delay);
        }
    }

    /// Kills the leader, if there is one, and begins to measure how long no task starts; `started`
    /// is the number of task starts so far.
    pub fn kill_leader(&self, leader: Option<&Leader>, started: u64) {
        if let Some(leader) = leader {
            self.kill_controllers(|settings| settings.name == leader.name, Some(RESTART_DELAY));
            self.start_gap.set(Some(StartGap::begin(started)));
        }
    }

    /// Kills all controllers and begins to measure how long no task starts; `started` is the number
    /// of task starts so far.
    pub fn kill_all_controllers(&self, started: u64) {
        self.kill_controllers(|_| true, Some(RESTART_DELAY));
        self.start_gap.set(Some(StartGap::begin(started)));
    }

    /// Reports whether a gap without task starts is being measured.
    pub fn is_measuring_gap(&self) -> bool {
        self.start_gap.get().is_some_and(|gap| gap.next_start().is_none())
    }

    /// Records the number of tasks that have started so far.
    pub fn record_started(&self, started: u64) {
        if let Some(mut gap) = self.start_gap.get() {
            gap.record(started, Instant::now());
            self.start_gap.set(Some(gap));
        }
    }

    /// Kills up to `count` machines without a reclaim notice; returns how many were killed.
    pub async fn kill_machines(&self, count: usize) -> Result<usize, Error> {
        let kill = control::Kill { count };
        let answer = control::send(&self.client, self.cloud_control, control::path::KILL, &kill).await;
        answer.map(|done: AffectedMachines| done.machines).map_err(Error::from)
    }

    /// Fails a zone: kills the machines and controllers in it and closes it for new machines.
    pub async fn fail_zone(&self, zone: &Name) -> Result<(), Error> {
        self.kill_controllers(|settings| settings.zone == **zone, None);
        self.change_zone(zone, true).await
    }

    /// Ends the failure of a zone and schedules the start of all controllers that are not running.
    pub async fn restore_zone(&self, zone: &Name) -> Result<(), Error> {
        for controller in self.controllers.borrow_mut().iter_mut().filter(|controller| controller.running.is_none()) {
            controller.start_at = Some(Instant::now());
        }
        self.change_zone(zone, false).await
    }

    async fn change_zone(&self, zone: &Name, closed: bool) -> Result<(), Error> {
        let change = control::ZoneChange { zone: zone.clone(), closed };
        let answer = control::send(&self.client, self.cloud_control, control::path::ZONE, &change).await;
        answer.map(|_: AffectedMachines| ()).map_err(Error::from)
    }
}
