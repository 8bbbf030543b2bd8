//! Processes of a run: starting them, what they use, ending them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use procfs::process::Process as ProcFs;

use super::result::Usage;
use super::role::Role;
use crate::error::Error;

const MEGABYTE: f64 = 1024.0 * 1024.0;

/// A process of a run; it ends with this.
pub struct Running {
    child: Child,
    meter: Meter,
}

impl Running {
    /// Starts a role in a process of its own; what it printed when it was ready.
    pub fn start(role: &Role, dir: &Path, name: &str) -> Result<(Running, Vec<SocketAddr>), Error> {
        let (mut child, out) = Self::spawn(role, dir, name, Stdio::piped())?;
        let ready = match out {
            Some(out) => read_ready(out),
            None => Err("nothing to read from".to_owned()),
        };
        match ready {
            Ok(addresses) => Ok((Running { meter: Meter::new(child.id()), child }, addresses)),
            Err(why) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(Error::Failed(format!("{name} did not get ready: {why}; see {}", dir.display())))
            }
        }
    }

    /// Starts a controller.
    pub fn start_controller(role: &Role, dir: &Path, name: &str) -> Result<Running, Error> {
        let (child, _) = Self::spawn(role, dir, name, Stdio::null())?;
        Ok(Running { meter: Meter::new(child.id()), child })
    }

    fn spawn(role: &Role, dir: &Path, name: &str, out: Stdio) -> Result<(Child, Option<ChildStdout>), Error> {
        let io = |what: &str, error| Error::Io { what: what.to_owned(), error };
        let program = std::env::current_exe().map_err(|e| io("this program", e))?;
        let log: PathBuf = dir.join(format!("{name}.log"));
        let open = std::fs::OpenOptions::new().create(true).append(true).open(&log);
        let log = open.map_err(|e| io(&log.display().to_string(), e))?;
        let text = serde_json::to_string(role).map_err(|e| Error::Failed(format!("{name}: {e}")))?;
        let mut command = Command::new(program);
        command.arg("scale-role").arg(text).arg("--parent").arg(std::process::id().to_string());
        let mut child = command.stdin(Stdio::null()).stdout(out).stderr(log).spawn().map_err(|e| io(name, e))?;
        let out = child.stdout.take();
        Ok((child, out))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Why it ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// What it used, to be read again and again.
    pub fn meter(&mut self) -> &mut Meter {
        &mut self.meter
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The line by which a role tells where it listens.
fn read_ready(out: ChildStdout) -> Result<Vec<SocketAddr>, String> {
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).map_err(|e| e.to_string())?;
    let list = line.trim().strip_prefix("ready ").ok_or_else(|| format!("it said {line:?}"))?;
    list.split(' ').map(|a| a.parse().map_err(|_| format!("no address: {a}"))).collect()
}

/// What a process used since a phase began.
pub struct Meter {
    id: u32,
    /// Processor time at the begin, and at the last sample.
    first: (Instant, f64),
    last: (Instant, f64),
    cores_most: f64,
    memory_mb: f64,
}

impl Meter {
    /// Of the process with this id.
    pub fn new(id: u32) -> Meter {
        let now = (Instant::now(), 0.0);
        Meter { id, first: now, last: now, cores_most: 0.0, memory_mb: 0.0 }
    }

    fn stat(&self) -> Option<(f64, f64)> {
        let stat = ProcFs::new(i32::try_from(self.id).ok()?).ok()?.stat().ok()?;
        let ticks = procfs::ticks_per_second() as f64;
        let memory = stat.rss as f64 * procfs::page_size() as f64 / MEGABYTE;
        Some(((stat.utime + stat.stime) as f64 / ticks, memory))
    }

    /// A phase begins.
    pub fn begin(&mut self) {
        let Some((spent, memory)) = self.stat() else { return };
        self.first = (Instant::now(), spent);
        self.last = self.first;
        (self.cores_most, self.memory_mb) = (0.0, memory);
    }

    /// Notes what was used since the last sample; the memory held now, in MB.
    pub fn sample(&mut self) -> f64 {
        let Some((spent, memory)) = self.stat() else { return 0.0 };
        let now = Instant::now();
        let since = now.duration_since(self.last.0);
        if since > Duration::from_millis(500) {
            self.cores_most = self.cores_most.max((spent - self.last.1) / since.as_secs_f64());
            self.last = (now, spent);
        }
        self.memory_mb = self.memory_mb.max(memory);
        memory
    }

    /// What was used since the phase began.
    pub fn used(&mut self) -> Usage {
        self.sample();
        let Some((spent, _)) = self.stat() else { return Usage::default() };
        let seconds = self.first.0.elapsed().as_secs_f64().max(1e-3);
        let cores = (spent - self.first.1) / seconds;
        let files = ProcFs::new(self.id as i32).and_then(|p| p.fd_count()).unwrap_or(0);
        Usage { processes: 1, cores, cores_most: self.cores_most.max(cores), memory_mb: self.memory_mb, files }
    }
}

/// Several processes of one role together.
pub fn together(all: impl IntoIterator<Item = Usage>) -> Usage {
    let mut sum = Usage::default();
    for u in all {
        sum.processes += u.processes;
        sum.cores += u.cores;
        sum.cores_most = sum.cores_most.max(u.cores_most);
        sum.memory_mb = sum.memory_mb.max(u.memory_mb);
        sum.files = sum.files.max(u.files);
    }
    sum.cores /= sum.processes.max(1) as f64;
    sum
}
