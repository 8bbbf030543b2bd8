//! The controllers' processes: starting, crashing, upgrading and restarting them.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::{print_line, Options};
use crate::error::{Error, IoContext};

/// A controller that ended is started again after this.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// One controller.
#[derive(Debug, Default)]
struct Controller {
    process: Option<Child>,
    /// When its process ended, until it is started again.
    ended_at: Option<Instant>,
    is_upgraded: bool,
}

/// The processes of a cluster's controllers; they are killed when this is dropped.
#[derive(Debug)]
pub(super) struct Processes {
    program: PathBuf,
    /// The program of controllers that were upgraded.
    upgrade: PathBuf,
    /// Directory of settings and logs.
    dir: PathBuf,
    controllers: Vec<Controller>,
    /// No controller is started again before this.
    down_until: Option<Instant>,
}

impl Processes {
    /// Prepares `count` controllers; none is started yet.
    pub(super) fn new(options: &Options, program: PathBuf, dir: PathBuf, count: usize) -> Processes {
        Processes {
            upgrade: options.upgrade.clone().unwrap_or_else(|| program.clone()),
            program,
            dir,
            controllers: (0..count).map(|_| Controller::default()).collect(),
            down_until: None,
        }
    }

    /// Directory of settings and logs.
    pub(super) fn dir(&self) -> &Path {
        &self.dir
    }

    /// Number of controllers.
    pub(super) fn count(&self) -> usize {
        self.controllers.len()
    }

    fn log_file(&self, index: usize) -> PathBuf {
        self.dir.join(format!("node-{index}.log"))
    }

    /// Starts a controller.
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

    /// Kills a controller; it is started again like any that ended.
    pub(super) fn crash(&mut self, index: usize) {
        let controller = self.controllers.get_mut(index);
        if let Some(process) = controller.and_then(|controller| controller.process.as_mut()) {
            let _ = process.kill();
        }
    }

    /// Kills a controller that then starts again with the new program.
    pub(super) fn upgrade(&mut self, index: usize) {
        self.controllers[index].is_upgraded = true;
        self.crash(index);
    }

    /// Kills all controllers and starts none before `until`.
    pub(super) fn crash_all(&mut self, until: Instant) {
        self.down_until = Some(until);
        (0..self.controllers.len()).for_each(|index| self.crash(index));
    }

    /// Notes which controllers ended, and starts again those that ended a while ago.
    pub(super) fn restart_ended(&mut self, now: Instant) -> Result<(), Error> {
        let is_down = self.down_until.is_some_and(|until| now < until);
        for index in 0..self.controllers.len() {
            self.note_end(index, now);
            let ended_at = self.controllers[index].ended_at;
            if !is_down && ended_at.is_some_and(|at| now.saturating_duration_since(at) > RESTART_DELAY) {
                self.controllers[index].ended_at = None;
                self.start(index)?;
            }
        }
        Ok(())
    }

    fn note_end(&mut self, index: usize, now: Instant) {
        let controller = &mut self.controllers[index];
        if let Some(Ok(Some(status))) = controller.process.as_mut().map(Child::try_wait) {
            controller.process = None;
            controller.ended_at = Some(now);
            print_line(&format!("node-{index} ended ({status}); see {}", self.log_file(index).display()));
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

/// Path of the controller program: the given one, or `coralnotch` beside this program.  An error if
/// there is no such file.
pub(crate) fn controller_program(given: Option<&Path>) -> Result<PathBuf, Error> {
    let beside = || std::env::current_exe().ok().map(|path| path.with_file_name("coralnotch"));
    let path = given.map(Path::to_owned).or_else(beside).unwrap_or_else(|| "coralnotch".into());
    match path.is_file() {
        true => Ok(path),
        false => Err(Error::Input(format!(
            "{} is not there: build it with `cargo build --release --workspace`, or name it with --controller",
            path.display()
        ))),
    }
}
