//! One region of a run: its processes, and the faults that they are given.

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
use super::control::{self, Done};
use super::process::Running;
use super::role::Role;
use super::users::Users;
use crate::error::Error;
use crate::settings::ControllerSettings;

/// A controller that was ended is started again after this.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// A controller's process.
#[derive(Default)]
struct ControllerProcess {
    running: Option<Running>,
    /// When it is started, if that is planned.
    start_at: Option<Instant>,
}

/// A region.
pub struct Region {
    /// Its zones.
    pub zones: Vec<Name>,
    /// Its users.
    pub users: Rc<Users>,
    settings: Vec<ControllerSettings>,
    /// In the order of their settings.
    controllers: RefCell<Vec<ControllerProcess>>,
    state: RefCell<Running>,
    cloud: RefCell<Running>,
    workers: RefCell<Running>,
    /// Control interfaces of the state service, the cloud and the workers.
    state_control: SocketAddr,
    cloud_control: SocketAddr,
    workers_control: SocketAddr,
    client: Client,
    /// Directory of settings and logs.
    dir: PathBuf,
    /// The controller program.
    program: PathBuf,
    start_gap: Cell<Option<StartGap>>,
}

impl Region {
    /// Starts controllers whose time has come; an error if a process ended by itself.
    pub fn supervise(&self) -> Result<(), Error> {
        let now = Instant::now();
        let services = [("state service", &self.state), ("cloud", &self.cloud), ("workers", &self.workers)];
        for (name, process) in services {
            if let Some(status) = process.borrow_mut().ended() {
                return Err(Error::Failed(format!("the {name} of {} ended: {status}", self.dir.display())));
            }
        }
        let mut controllers = self.controllers.borrow_mut();
        for (controller, settings) in controllers.iter_mut().zip(&self.settings) {
            if let Some(status) = controller.running.as_mut().and_then(Running::ended) {
                return Err(Error::Failed(format!("{} ended by itself: {status}", settings.name)));
            }
            if controller.start_at.is_some_and(|at| at <= now) {
                controller.start_at = None;
                controller.running = Some(self.start_controller(&settings.name)?);
            }
        }
        Ok(())
    }

    fn start_controller(&self, name: &str) -> Result<Running, Error> {
        let role = Role::Controller {
            program: self.program.clone(),
            settings: self.dir.join(format!("{name}.toml")),
            log: self.dir.join(format!("{name}.log")),
        };
        Running::start_controller(&role, &self.dir, name)
    }

    /// Kills the selected controllers; each is started again after `pause`, or when that is planned
    /// later if `None`.
    fn end_controllers(&self, is_selected: impl Fn(&ControllerSettings) -> bool, pause: Option<Duration>) {
        let mut controllers = self.controllers.borrow_mut();
        let selected = controllers.iter_mut().zip(&self.settings).filter(|(_, settings)| is_selected(settings));
        for (controller, settings) in selected {
            tracing::info!(controller = %settings.name, "controller killed");
            if let Some(mut running) = controller.running.take() {
                running.kill();
            }
            controller.start_at = pause.map(|pause| Instant::now() + pause);
        }
    }

    /// Kills the leader, and measures how long no task starts; `started` is the number of starts so
    /// far.
    pub fn end_leader(&self, leader: Option<&Leader>, started: u64) {
        if let Some(leader) = leader {
            self.end_controllers(|settings| settings.name == leader.name, Some(RESTART_DELAY));
            self.start_gap.set(Some(StartGap::begin(started)));
        }
    }

    /// Kills all controllers, and measures how long no task starts; `started` is the number of starts
    /// so far.
    pub fn end_all_controllers(&self, started: u64) {
        self.end_controllers(|_| true, Some(RESTART_DELAY));
        self.start_gap.set(Some(StartGap::begin(started)));
    }

    /// Whether the time without starts is being measured.
    pub fn is_measuring_gap(&self) -> bool {
        self.start_gap.get().is_some_and(|gap| gap.next_start().is_none())
    }

    /// Records how many tasks have started by now.
    pub fn record_started(&self, started: u64) {
        if let Some(mut gap) = self.start_gap.get() {
            gap.record(started, Instant::now());
            self.start_gap.set(Some(gap));
        }
    }

    /// Lets machines die without notice; returns how many did.
    pub async fn kill_machines(&self, count: usize) -> Result<usize, Error> {
        let kill = control::Kill { count };
        let answer = control::send(&self.client, self.cloud_control, control::path::KILL, &kill).await;
        answer.map(|done: Done| done.machines).map_err(Error::from)
    }

    /// Lets a zone fail with its machines and controllers.
    pub async fn fail_zone(&self, zone: &Name) -> Result<(), Error> {
        self.end_controllers(|settings| settings.zone == **zone, None);
        self.change_zone(zone, true).await
    }

    /// Ends the failure of a zone; controllers that do not run are started.
    pub async fn restore_zone(&self, zone: &Name) -> Result<(), Error> {
        for controller in self.controllers.borrow_mut().iter_mut().filter(|controller| controller.running.is_none()) {
            controller.start_at = Some(Instant::now());
        }
        self.change_zone(zone, false).await
    }

    async fn change_zone(&self, zone: &Name, closed: bool) -> Result<(), Error> {
        let change = control::ZoneChange { zone: zone.clone(), closed };
        let answer = control::send(&self.client, self.cloud_control, control::path::ZONE, &change).await;
        answer.map(|_: Done| ()).map_err(Error::from)
    }
}
