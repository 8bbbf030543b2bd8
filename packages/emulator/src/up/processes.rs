//! Starts, kills, upgrades and restarts the controller processes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::{print_line, Options};
use crate::error::{Error, IoContext};

/// Delay before a controller that exited is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// A controller and its process.
#[derive(Debug, Default)]
struct Controller {
    /// The running process; `None` before the first start and after an exit.
    process: Option<Child>,
    /// Time at which the process exited; `None` while it runs and before the first start.
    exited_at: Option<Instant>,
    /// Whether starts run the upgrade program.
    is_upgraded: bool,
}

/// The controller processes of a cluster.  Dropping this value kills them.
#[derive(Debug)]
pub(super) struct Processes {
    program: PathBuf,
    /// The program that upgraded controllers run.
    upgrade: PathBuf,
    /// Directory of the settings and log files.
    dir: PathBuf,
    controllers: Vec<Controller>,
    /// Time before which no controller is restarted.
    down_until: Option<Instant>,
}

impl Processes {
    /// Prepares `count` controllers without starting them.
    pub(super) fn new(options: &Options, program: PathBuf, dir: PathBuf, count: usize) -> Processes {
        Processes {
            upgrade: options.upgrade.clone().unwrap_or_else(|| program.clone()),
            program,
            dir,
            controllers: (0..count).map(|_| Controller::default()).collect(),
            down_until: None,
        }
    }

    /// Returns the directory of the settings and log files.
    pub(super) fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns the number of controllers, running or not.
    pub(super) fn count(&self) -> usize {
        self.controllers.len()
    }

    fn log_file(&self, index: usize) -> PathBuf {
        self.dir.join(format!("node-{index}.log"))
    }

    /// Starts a controller with its settings file; appends its standard error to its log file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the log file cannot be opened or the program cannot be started.
    pub(super) fn start(&mut self, index: usize) -> Result<(), Error> {
        let settings = self.dir.join(format!("node-{index}.toml"));
        let log = self.log_file(index);
        let open = fs::OpenOptions::new().create(true).append(true).open(&log);
        let log = open.context(log.display().to_string())?;
        let controller = &mut self.controllers[index];
        let program = if controller.is_upgraded { &self.upgrade } else { &self.program };
        let process = Command::new(program)
            .args(["serve", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        controller.process = Some(process.context(program.display().to_string())?);
        Ok(())
    }

    /// Kills a controller; [`Processes::restart_exited`] restarts it after [`RESTART_DELAY`].
    pub(super) fn crash(&mut self, index: usize) {
        let controller = self.controllers.get_mut(index);
        if let Some(process) = controller.and_then(|controller| controller.process.as_mut()) {
            let _ = process.kill();
        }
    }

    /// Kills a controller; its next start runs the upgrade program.
    pub(super) fn upgrade(&mut self, index: usize) {
        self.controllers[index].is_upgraded = true;
        self.crash(index);
    }

    /// Kills all controllers; none is restarted before `until`.
    pub(super) fn crash_all(&mut self, until: Instant) {
        self.down_until = Some(until);
        (0..self.controllers.len()).for_each(|index| self.crash(index));
    }

    /// Records which controllers exited, and restarts those that exited more than [`RESTART_DELAY`]
    /// before `now`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a controller cannot be started.
    pub(super) fn restart_exited(&mut self, now: Instant) -> Result<(), Error> {
        let is_down = self.down_until.is_some_and(|until| now < until);
        for index in 0..self.controllers.len() {
            self.record_exit(index, now);
            let exited_at = self.controllers[index].exited_at;
            if !is_down && exited_at.is_some_and(|at| now.saturating_duration_since(at) > RESTART_DELAY) {
                self.controllers[index].exited_at = None;
                self.start(index)?;
            }
        }
        Ok(())
    }

    /// Records and prints the exit of a controller's process, if the process has exited.
    fn record_exit(&mut self, index: usize, now: Instant) {
        let controller = &mut self.controllers[index];
        if let Some(Ok(Some(status))) = controller.process.as_mut().map(Child::try_wait) {
            controller.process = None;
            controller.exited_at = Some(now);
            print_line(&format!("node-{index} exited ({status}); see {}", self.log_file(index).display()));
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in self.controllers.iter_mut().filter_map(|controller| controller.process.as_mut()) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns the path of the controller program: `given`, or else `coralnotch` in the directory of this
/// program.
///
/// # Errors
///
/// Returns [`Error::Input`] if there is no such file.
pub(crate) fn controller_program(given: Option<&Path>) -> Result<PathBuf, Error> {
    let default_path = || std::env::current_exe().ok().map(|path| path.with_file_name("coralnotch"));
    let path = given.map(Path::to_owned).or_else(default_path).unwrap_or_else(|| "coralnotch".into());
    match path.is_file() {
        true => Ok(path),
        false => Err(Error::Input(format!(
            "controller program {} not found: build it with `cargo build --release --workspace`, or give its path with --controller",
            path.display()
        ))),
    }
}
