//! The processes of a scale run: starting and killing them, and measuring what they use.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use procfs::process::Process as ProcFs;

use super::result::Usage;
use super::role::Role;
use crate::error::{Error, IoContext};

const MEGABYTE: f64 = 1024.0 * 1024.0;
/// Cores are measured over longer intervals than this, as processor time is counted in ticks.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Why a role did not get ready.
#[derive(Debug, thiserror::Error)]
enum ReadyError {
    #[error("nothing to read from")]
    NoOutput,
    #[error("{0}")]
    Read(#[from] io::Error),
    #[error("it said {0:?}")]
    Unexpected(String),
    #[error("no address: {0}")]
    Address(String),
}

/// A process of a run; it is killed when this is dropped.
pub struct Running {
    child: Child,
    meter: Meter,
}

impl Running {
    /// Starts a role in a process of its own; returns the addresses at which it listens.
    pub fn start(role: &Role, dir: &Path, name: &str) -> Result<(Running, Vec<SocketAddr>), Error> {
        let (mut child, out) = Self::spawn(role, dir, name, Stdio::piped())?;
        let ready = match out {
            Some(out) => read_ready(out),
            None => Err(ReadyError::NoOutput),
        };
        match ready {
            Ok(addresses) => Ok((Running { meter: Meter::new(child.id()), child }, addresses)),
            Err(reason) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(Error::Failed(format!("{name} did not get ready: {reason}; see {}", dir.display())))
            }
        }
    }

    /// Starts a controller.
    pub fn start_controller(role: &Role, dir: &Path, name: &str) -> Result<Running, Error> {
        let (child, _) = Self::spawn(role, dir, name, Stdio::null())?;
        Ok(Running { meter: Meter::new(child.id()), child })
    }

    fn spawn(role: &Role, dir: &Path, name: &str, out: Stdio) -> Result<(Child, Option<ChildStdout>), Error> {
        let program = std::env::current_exe().context("this program")?;
        let log: PathBuf = dir.join(format!("{name}.log"));
        let open = std::fs::OpenOptions::new().create(true).append(true).open(&log);
        let log = open.context(log.display().to_string())?;
        let text = serde_json::to_string(role).map_err(|error| Error::Failed(format!("{name}: {error}")))?;
        let mut command = Command::new(program);
        command.arg("scale-role").arg(text).arg("--parent").arg(std::process::id().to_string());
        let mut child = command.stdin(Stdio::null()).stdout(out).stderr(log).spawn().context(name)?;
        let out = child.stdout.take();
        Ok((child, out))
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its exit status, if it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// Measures what it uses.
    pub fn meter(&mut self) -> &mut Meter {
        &mut self.meter
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the line in which a role says where it listens.
fn read_ready(out: ChildStdout) -> Result<Vec<SocketAddr>, ReadyError> {
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line)?;
    let Some(list) = line.trim().strip_prefix("ready ") else { return Err(ReadyError::Unexpected(line)) };
    list.split(' ').map(|text| text.parse().map_err(|_| ReadyError::Address(text.to_owned()))).collect()
}

/// Processor time of a process at one moment.
#[derive(Debug, Clone, Copy)]
struct ProcessorSample {
    at: Instant,
    /// Processor time since the start of the process, in seconds.
    processor_s: f64,
}

impl ProcessorSample {
    fn now(processor_s: f64) -> ProcessorSample {
        ProcessorSample { at: Instant::now(), processor_s }
    }

    /// Cores used between an earlier sample and this one, over at least `min_s` seconds.
    fn cores_since(&self, earlier: &ProcessorSample, min_s: f64) -> f64 {
        (self.processor_s - earlier.processor_s) / self.at.duration_since(earlier.at).as_secs_f64().max(min_s)
    }
}

/// What the operating system says of a process.
struct ProcessStat {
    /// Processor time since its start, in seconds.
    processor_s: f64,
    memory_mb: f64,
}

/// Measures what a process uses in a phase.
pub struct Meter {
    process_id: u32,
    /// At the beginning of the phase.
    first: ProcessorSample,
    /// At the last interval whose cores were measured.
    last: ProcessorSample,
    max_cores: f64,
    max_memory_mb: f64,
}

impl Meter {
    /// Creates a meter of the process with this id.
    pub fn new(process_id: u32) -> Meter {
        let now = ProcessorSample::now(0.0);
        Meter { process_id, first: now, last: now, max_cores: 0.0, max_memory_mb: 0.0 }
    }

    fn stat(&self) -> Option<ProcessStat> {
        let stat = ProcFs::new(i32::try_from(self.process_id).ok()?).ok()?.stat().ok()?;
        let ticks = procfs::ticks_per_second() as f64;
        let memory_mb = stat.rss as f64 * procfs::page_size() as f64 / MEGABYTE;
        Some(ProcessStat { processor_s: (stat.utime + stat.stime) as f64 / ticks, memory_mb })
    }

    /// Begins a phase.
    pub fn begin(&mut self) {
        let Some(stat) = self.stat() else { return };
        self.first = ProcessorSample::now(stat.processor_s);
        self.last = self.first;
        self.max_cores = 0.0;
        self.max_memory_mb = stat.memory_mb;
    }

    /// Records what was used since the last sample; returns the memory held now, in MB.
    pub fn sample(&mut self) -> f64 {
        let Some(stat) = self.stat() else { return 0.0 };
        let now = ProcessorSample::now(stat.processor_s);
        if now.at.duration_since(self.last.at) > MIN_SAMPLE_INTERVAL {
            self.max_cores = self.max_cores.max(now.cores_since(&self.last, 0.0));
            self.last = now;
        }
        self.max_memory_mb = self.max_memory_mb.max(stat.memory_mb);
        stat.memory_mb
    }

    /// What was used since the phase began.
    pub fn used(&mut self) -> Usage {
        self.sample();
        let Some(stat) = self.stat() else { return Usage::default() };
        let cores = ProcessorSample::now(stat.processor_s).cores_since(&self.first, 1e-3);
        let files = ProcFs::new(self.process_id as i32).and_then(|process| process.fd_count()).unwrap_or(0);
        let (cores_most, memory_mb) = (self.max_cores.max(cores), self.max_memory_mb);
        Usage { processes: 1, cores, cores_most, memory_mb, files }
    }
}

/// Combines the usage of processes of one role: the mean of their cores, and the greatest of the
/// other figures.
pub fn together(usages: impl IntoIterator<Item = Usage>) -> Usage {
    let mut sum = Usage::default();
    for usage in usages {
        sum.processes += usage.processes;
        sum.cores += usage.cores;
        sum.cores_most = sum.cores_most.max(usage.cores_most);
        sum.memory_mb = sum.memory_mb.max(usage.memory_mb);
        sum.files = sum.files.max(usage.files);
    }
    sum.cores /= sum.processes.max(1) as f64;
    sum
}
